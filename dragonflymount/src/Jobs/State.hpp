// The replicated state of the job scheduler: the catalogue in force, every
// accepted job, every run that may still be executing, the maintenance waves
// and the evacuations of zones.
//
// This is a deterministic state machine that applies the batches of the
// replicated log. Reports of endpoints are not part of it; only the ends of
// runs that the leader put into a batch are.
#ifndef DRAGONFLYMOUNT_JOBS_STATE_HPP
#define DRAGONFLYMOUNT_JOBS_STATE_HPP

#include "dragonflymount/src/Jobs/AccountRates.hpp"
#include "dragonflymount/src/Jobs/CrashCounts.hpp"
#include "dragonflymount/src/Jobs/Evacuations.hpp"
#include "dragonflymount/src/Jobs/RouteTable.hpp"
#include "dragonflymount/src/Jobs/Types.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflymount::jobs {

/// \brief Identifies one run, that is, one execution of a task.
struct run_ref {
    task_name task;
    std::uint32_t run = 0;

    friend bool operator==(const run_ref&, const run_ref&) = default;
    friend bool operator<(const run_ref& left, const run_ref& right) {
        return std::tie(left.task, left.run) < std::tie(right.task, right.run);
    }
};

/// \brief The runs that the replicated state places on one life of an
/// endpoint, and the capacity that they use.
struct endpoint_load {
    resources used;
    std::vector<run_ref> runs;
    // The number of runs whose step is long_running.
    std::uint32_t long_running_runs = 0;

    /// \returns the number of runs that end by themselves, that is, whose step
    /// isn't long_running.
    std::size_t finite_runs() const { return runs.size() - long_running_runs; }
};

/// \brief Whether all tasks are done in all steps that \p step depends on.
bool is_ready(
    const wire::JobOccurrenceT& occurrence, const wire::JobStepT& step);
/// \brief Whether the task is neither done nor has a run.
inline bool is_waiting(const wire::JobTaskT& task) {
    return !task.done && task.runs.empty();
}

/// \brief Whether endpoints crashed while the task ran there, so that it may be
/// the cause.
inline bool is_suspect(const wire::JobTaskT& task) {
    return task.crashes > 0;
}

/// \brief Whether endpoints crashed soon after the task's start.
inline bool is_strong_suspect(const wire::JobTaskT& task) {
    return task.start_crashes > 0;
}

/// \returns the VMs of the wave that have returned from maintenance or are no
/// longer listed by the VM service. The names are those in \p wave.
absl::flat_hash_set<std::string_view> finished_vms(
    const wire::MaintenanceWaveT& wave);
/// \brief Whether every VM of the wave has returned from maintenance or is
/// no longer listed by the VM service.
bool is_complete(const wire::MaintenanceWaveT& wave);

/// \brief A task and the records that contain it. The pointers are either all
/// set or all null.
struct task_place {
    wire::JobT* job = nullptr;
    wire::JobOccurrenceT* occurrence = nullptr;
    const wire::JobStepT* step = nullptr;
    wire::StepTasksT* group = nullptr;
    wire::JobTaskT* task = nullptr;

    explicit operator bool() const { return task != nullptr; }
};

/// \brief Whether the results of the task's runs are still needed: the job is
/// active and the task isn't done.
inline bool is_wanted(const task_place& place) {
    return place && place.job->phase == wire::job_phase::active &&
        !place.task->done;
}

class state_image;

class state {
public:
    /// How long a job can still be read after its end.
    static constexpr std::uint64_t retention_ms = 300'000;

    /// \brief Applies one command of the log. Commands other than batches
    /// change nothing.
    /// \returns accepted, or refused with a detail if the command can't be
    /// decoded.
    wire::ProposeReplyT apply(log_index index, const bytes& command);
    bytes save() const;
    /// \returns an object that packs an image in parts. The state must not
    /// change until the image is finished.
    state_image begin_image() const;
    /// \brief Replaces the state by that of an image.
    /// \returns malformed_message if verification fails; the state is then
    /// unchanged.
    result<done> load(const bytes& image);

    /// \returns the catalogue in force. Before the first one is set it is
    /// empty and has version 0.
    const wire::CatalogueT& catalogue() const { return *catalogue_; }
    bool has_catalogue() const { return catalogue_->version > 0; }
    const wire::JobQueueT* find_queue(const std::string& name) const;
    /// \returns the queue that calls to \p path at \p host are for, or null.
    const wire::JobQueueT* route(
        const std::string& host, const std::string& path) const {
        return routes_.find(host, path);
    }
    const wire::JobPoolT* find_pool(const std::string& name) const;
    const wire::JobTeamT* find_team(const std::string& name) const;
    /// \returns the team that \p key authorizes, or null.
    const wire::JobTeamT* team_of_key(const std::string& key) const;

    const wire::JobT* find_job(job_id id) const;
    /// \returns jobs that are neither complete, failed nor cancelled.
    const std::set<job_id>& active_jobs() const { return active_; }
    /// \returns the active jobs that have a waiting task in a ready step.
    /// Only these have tasks to place.
    const std::set<job_id>& startable_jobs() const { return startable_; }
    /// \returns the active jobs that have occurrences still to begin.
    const std::set<job_id>& repeating_jobs() const { return repeating_; }
    /// \returns the tasks of active jobs for which \c is_suspect holds.
    const std::set<task_name>& suspects() const { return suspects_; }
    /// \returns the number of active jobs in a queue of which no task has ever
    /// been started.
    std::uint32_t pending_in(const std::string& queue) const;
    std::size_t job_count() const { return jobs_.size(); }
    /// \returns about how many bytes all jobs take up besides their runs.
    std::uint64_t job_memory() const { return job_memory_; }
    /// \returns the records of a task, or null pointers if there is none.
    task_place find_task(const task_name& name) const;
    /// \returns the record of the run, or null if the run has ended or was
    /// never started.
    const wire::TaskRunT* find_run(const run_ref& run) const;
    /// \brief Whether the run's result is still needed: the job is active and
    /// the task isn't done.
    bool is_wanted(const run_ref& run) const;

    const std::map<endpoint_life, endpoint_load>& loads() const {
        return loads_;
    }
    const endpoint_load* load_of(const endpoint_life& life) const;
    /// \returns the highest number of an end from this life of an endpoint that
    /// has been applied, or 0.
    std::uint64_t acknowledged(const endpoint_life& life) const;
    resources usage_of_team(const std::string& team) const;

    const std::map<std::uint64_t, wire::MaintenanceWaveT>& waves() const {
        return waves_;
    }
    /// \returns the zones whose endpoints start no task.
    const evacuations& evacuated_zones() const { return evacuations_; }
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
    /// \returns whether the task was given up, which ends its job.
    bool count_crash(const task_place& place, const wire::RunEndT& end);
    void clear_suspects(const wire::JobT& job);
    void count_failure(const task_place& place, const wire::RunEndT& end);
    void finish_task(const task_place& place);
    void finish_job(wire::JobT& job, wire::job_phase phase);
    void remove_idle_occurrences(wire::JobT& job);
    template <class Change>
    void change_job(wire::JobT& job, Change change);
    void remove_expired();
    void apply(const wire::MaintenanceStepT& step);
    void set_catalogue(std::shared_ptr<const wire::CatalogueT> catalogue);
    void add_run(const run_ref& run, const wire::TaskRunT& record,
        const wire::JobT& job, const wire::JobStepT& step);
    void remove_run(const run_ref& run, const wire::TaskRunT& record,
        const wire::JobT& job, const wire::JobStepT& step);
    void rebuild_indexes();
    void index_suspect(const task_name& name, const wire::JobT& job,
        const wire::JobTaskT& task);
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
    // Invariant: no element of acks_ was touched before this time.
    std::uint64_t acks_touched_from_ms_ = 0;
    std::map<std::uint64_t, wire::MaintenanceWaveT> waves_;
    evacuations evacuations_;
    account_rates rates_;

    // Indexes over the members above, updated with each change and rebuilt
    // when an image is loaded.
    // Invariant: exactly the jobs whose phase is active.
    std::set<job_id> active_;
    // Invariant: exactly the active jobs with a waiting task in a ready step.
    std::set<job_id> startable_;
    // Invariant: exactly the active jobs with occurrences still to begin.
    std::set<job_id> repeating_;
    // Invariant: exactly the tasks of active jobs that aren't done and for
    // which is_suspect holds.
    std::set<task_name> suspects_;
    // Invariant: the sum of memory_of over jobs_.
    std::uint64_t job_memory_ = 0;
    // The number of active jobs that haven't begun, by queue name.
    std::map<std::string, std::uint32_t> pending_;
    // Invariant: exactly the runs in jobs_, by the life that executes them.
    std::map<endpoint_life, endpoint_load> loads_;
    // Invariant: refers to exactly the elements of loads_. Each report and each
    // placement round looks up many lives; comparing names in an ordered map
    // would cost more than all else in these look-ups.
    absl::flat_hash_map<endpoint_life, endpoint_load*> load_of_life_;
    std::map<std::string, resources> team_usage_;
    // End times in milliseconds and IDs of ended jobs, the oldest first.
    std::deque<std::pair<std::uint64_t, job_id>> ended_;
    // Refers to catalogue_.
    route_table routes_;
    std::map<std::string, std::size_t> queue_index_;
    std::map<std::string, std::size_t> pool_index_;
    std::map<std::string, std::size_t> team_index_;
    std::unordered_map<std::string, std::size_t> key_index_;
};

} // namespace dragonflymount::jobs

#endif
