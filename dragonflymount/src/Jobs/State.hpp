// The agreed state of the job scheduler: what operators put in force, every
// accepted job, every run that may be going on, and maintenance waves.
//
// A deterministic state machine: batches of the replicated log go in. What
// endpoints report is not in here, except the ends that were taken note of.
#ifndef DRAGONFLYMOUNT_JOBS_STATE_HPP
#define DRAGONFLYMOUNT_JOBS_STATE_HPP

#include "dragonflymount/src/Jobs/Types.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace dragonflymount::jobs {

/// \brief A run that may be going on at an endpoint.
struct run_ref {
    task_name task;
    std::uint32_t run = 0;

    friend bool operator==(const run_ref&, const run_ref&) = default;
    friend bool operator<(const run_ref& left, const run_ref& right) {
        return std::tie(left.task, left.run) < std::tie(right.task, right.run);
    }
};

/// \brief What the agreed runs take of one life of an endpoint.
struct endpoint_load {
    resources used;
    std::vector<run_ref> runs;
    // How many of the runs are of tasks that last.
    std::uint32_t long_running_runs = 0;

    /// \returns the number of runs that end by themselves.
    std::size_t finite_runs() const { return runs.size() - long_running_runs; }
};

/// \brief Whether all steps that a step depends on are done.
bool is_ready(
    const wire::JobOccurrenceT& occurrence, const wire::JobStepT& step);
/// \brief Whether a task waits to be started.
inline bool is_waiting(const wire::JobTaskT& task) {
    return !task.done && task.runs.empty();
}

/// \brief Whether every VM of the wave has been maintained or has left.
bool is_complete(const wire::MaintenanceWaveT& wave);

/// \brief Pointers into the state that go with a task; all set or all null.
struct task_place {
    wire::JobT* job = nullptr;
    wire::JobOccurrenceT* occurrence = nullptr;
    const wire::JobStepT* step = nullptr;
    wire::StepTasksT* group = nullptr;
    wire::JobTaskT* task = nullptr;

    explicit operator bool() const { return task != nullptr; }
};

class state_image;

class state {
public:
    /// How long a job that has ended can be asked for.
    static constexpr std::uint64_t retention_ms = 300'000;

    /// \brief Applies one command of the log; others than batches change
    /// nothing.
    wire::ProposeReplyT apply(log_index index, const bytes& command);
    bytes save() const;
    /// \returns what packs an image part by part; the state mustn't change
    /// before it is finished.
    state_image begin_image() const;
    result<done> load(const bytes& image);

    /// \returns the catalogue in force; version 0 is the empty one of a site
    /// that has none yet.
    const wire::CatalogueT& catalogue() const { return *catalogue_; }
    bool has_catalogue() const { return catalogue_->version > 0; }
    const wire::JobQueueT* find_queue(const std::string& name) const;
    const wire::JobPoolT* find_pool(const std::string& name) const;
    const wire::JobTeamT* find_team(const std::string& name) const;
    /// \returns the team that \p key admits, or null.
    const wire::JobTeamT* team_of_key(const std::string& key) const;

    const wire::JobT* find_job(job_id id) const;
    /// \returns jobs that are neither complete, failed nor cancelled.
    const std::set<job_id>& active_jobs() const { return active_; }
    /// \returns active jobs of which a task may be started now; no others can
    /// be placed.
    const std::set<job_id>& startable_jobs() const { return startable_; }
    /// \returns active jobs of which an occurrence is still to come.
    const std::set<job_id>& repeating_jobs() const { return repeating_; }
    /// \returns the number of a queue's active jobs that haven't begun.
    std::uint32_t pending_in(const std::string& queue) const;
    std::size_t job_count() const { return jobs_.size(); }
    /// \returns where a task stands, or nulls.
    task_place find_task(const task_name& name) const;
    /// \returns the run, or null if it isn't going on.
    const wire::TaskRunT* find_run(const run_ref& run) const;
    /// \brief Whether a run's end is still wanted: its job is active, and no
    /// other run has done the task.
    bool is_wanted(const run_ref& run) const;

    const std::map<endpoint_life, endpoint_load>& loads() const {
        return loads_;
    }
    const endpoint_load* load_of(const endpoint_life& life) const;
    /// \returns the number up to which an endpoint's ends are taken note of.
    std::uint64_t acknowledged(const endpoint_life& life) const;
    resources usage_of_team(const std::string& team) const;

    const std::map<std::uint64_t, wire::MaintenanceWaveT>& waves() const {
        return waves_;
    }
    std::uint64_t time_ms() const { return time_ms_; }

private:
    friend class state_image;

    void apply(wire::JobBatchT& batch);
    void submit(wire::JobT job);
    void cancel(const wire::JobCancelT& order);
    void begin_occurrence(wire::JobT& job, std::uint32_t number);
    void start(const wire::RunStartT& order);
    void end(const wire::RunEndT& end);
    void record_outcome(const task_place& place, const wire::RunEndT& end);
    void count_failure(const task_place& place, const wire::RunEndT& end);
    void finish_task(const task_place& place);
    void finish_job(wire::JobT& job, wire::job_phase phase);
    void remove_idle_occurrences(wire::JobT& job);
    void remove_expired();
    void apply(const wire::MaintenanceStepT& step);
    void set_catalogue(std::shared_ptr<const wire::CatalogueT> catalogue);
    void add_run(const run_ref& run, const wire::TaskRunT& record,
        const wire::JobT& job, const wire::JobStepT& step);
    void remove_run(const run_ref& run, const wire::TaskRunT& record,
        const wire::JobT& job, const wire::JobStepT& step);
    void rebuild_indexes();
    void index_startable(const wire::JobT& job);
    void index_active(const wire::JobT& job);
    void unindex_active(const wire::JobT& job);

    struct acknowledgement {
        std::uint64_t number = 0;
        std::uint64_t touched_ms = 0;
    };

    std::uint64_t time_ms_ = 0;
    std::shared_ptr<const wire::CatalogueT> catalogue_ =
        std::make_shared<wire::CatalogueT>();
    std::unordered_map<std::uint64_t, std::unique_ptr<wire::JobT>> jobs_;
    std::map<endpoint_life, acknowledgement> acks_;
    std::map<std::uint64_t, wire::MaintenanceWaveT> waves_;

    // Derived from the above; rebuilt when an image is loaded.
    // Invariant: exactly the jobs whose phase is active.
    std::set<job_id> active_;
    // Invariant: exactly the active jobs with a waiting task of a ready step.
    std::set<job_id> startable_;
    // Invariant: exactly the active jobs with further occurrences.
    std::set<job_id> repeating_;
    // Active jobs that haven't begun, by their queue.
    std::map<std::string, std::uint32_t> pending_;
    // Invariant: exactly the runs in jobs_, by where they are.
    std::map<endpoint_life, endpoint_load> loads_;
    std::map<std::string, resources> team_usage_;
    // Jobs that have ended, the oldest first.
    std::deque<std::pair<std::uint64_t, job_id>> ended_;
    std::map<std::string, std::size_t> queue_index_;
    std::map<std::string, std::size_t> pool_index_;
    std::map<std::string, std::size_t> team_index_;
    std::unordered_map<std::string, std::size_t> key_index_;
};

} // namespace dragonflymount::jobs

#endif
