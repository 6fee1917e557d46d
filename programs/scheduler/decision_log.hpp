// One log line for each agreed decision on a job, with what decided it.
//
// The lines of one second are bounded; what is left out is counted and told,
// so that load never turns into a flood of log.
#ifndef DRAGONFLYMOUNT_SCHEDULER_DECISION_LOG_HPP
#define DRAGONFLYMOUNT_SCHEDULER_DECISION_LOG_HPP

#include "dragonflymount/jobs.hpp"
#include "dragonflymount/src/Runtime/LogBudget.hpp"

namespace dragonflymount::scheduler_program {

/// \brief Counts of agreed decisions since the process began to lead.
struct decision_counts {
    std::uint64_t accepted = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t started = 0;
    std::map<wire::run_end, std::uint64_t> ended;
};

class decision_log {
public:
    explicit decision_log(const jobs::state& agreed) : agreed_(agreed) {}

    /// \brief Writes what a batch decided, after it was agreed.
    /// \param term of the leader that decided it.
    /// \param agreement_time from the proposal until the batch was agreed.
    void write(const wire::JobBatchT& batch, log_term term,
        duration agreement_time, instant now);
    const decision_counts& counts() const { return counts_; }

private:
    void write_jobs(const wire::JobBatchT& batch);
    void write_runs(const wire::JobBatchT& batch);

    const jobs::state& agreed_;
    runtime::log_budget budget_{max_lines_per_second};
    decision_counts counts_;
    // The batch that is being written.
    log_term term_;
    duration agreement_time_{};
    instant now_{};

    /// About 40 KB a second at the length of a usual line.
    static constexpr std::uint32_t max_lines_per_second = 300;
};

} // namespace dragonflymount::scheduler_program

#endif
