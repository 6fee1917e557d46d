// Writes one log line for each agreed decision on jobs, runs and VM
// maintenance, with the term in which it was made.
//
// The number of lines per second is limited, so that high load doesn't flood
// the log. Omitted lines are counted, and their number is logged.
#ifndef DRAGONFLYMOUNT_SCHEDULER_DECISION_LOG_HPP
#define DRAGONFLYMOUNT_SCHEDULER_DECISION_LOG_HPP

#include "dragonflymount/jobs.hpp"
#include "dragonflymount/src/Runtime/LogBudget.hpp"

#include <map>

namespace dragonflymount::scheduler_program {

/// \brief Counts of the decisions that this process proposed as leader and
/// that were agreed, since its start.
struct decision_counts {
    std::uint64_t accepted = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t started = 0;
    std::map<wire::run_end, std::uint64_t> ended;
};

class decision_log {
public:
    explicit decision_log(const jobs::state& agreed) : agreed_(agreed) {}

    /// \brief Remembers what the batch is about to change and a later line
    /// tells. Called before the batch is proposed; one batch at a time.
    void note_proposed(const wire::JobBatchT& batch);
    /// \brief Logs and counts the decisions of a batch that was agreed.
    /// \param term in which the leader proposed the batch.
    /// \param agreement_time from the proposal until the batch was agreed;
    /// logged in microseconds.
    void write(const wire::JobBatchT& batch, log_term term,
        duration agreement_time, instant now);
    const decision_counts& counts() const { return counts_; }

private:
    void write_jobs(const wire::JobBatchT& batch);
    void write_runs(const wire::JobBatchT& batch);
    void write_crash(const wire::RunEndT& ended, const wire::JobT* job);

    const jobs::state& agreed_;
    // Counts of the tasks under which endpoints crashed, before the proposed
    // batch. The batch may end their jobs and so remove their records.
    std::map<jobs::task_name, jobs::crash_counts> counts_before_;
    runtime::log_budget budget_{max_lines_per_second};
    // Crashes end many runs at once, and the reason why a job was given up must
    // not be among the lines that are left out for them.
    runtime::log_budget crash_budget_{max_crash_lines_per_second};
    decision_counts counts_;
    // Arguments of the current call of write().
    log_term term_;
    duration agreement_time_{};
    instant now_{};

    /// At the usual line length, this limits the log to about 40 KB/s.
    static constexpr std::uint32_t max_lines_per_second = 300;
    static constexpr std::uint32_t max_crash_lines_per_second = 100;
};

} // namespace dragonflymount::scheduler_program

#endif
