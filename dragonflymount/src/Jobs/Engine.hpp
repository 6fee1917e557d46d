// The leader's job engine: it receives job calls and endpoint reports, collects
// the resulting changes into batches for the log, and replies once a batch is
// committed.
//
// The engine is deterministic: its inputs are events, instants and wall times,
// its outputs are replies and batches. Only one batch is in flight at a time,
// so every decision is based on committed state. A job is accepted, an end
// acknowledged and a run started only after the log holds the change.
//
// The cost of a report or batch is proportional to what it changes. Replies to
// reports are delayed (long polling); a held report is examined again only if
// its endpoint's orders may have changed or its time limit is reached.
#ifndef DRAGONFLYMOUNT_JOBS_ENGINE_HPP
#define DRAGONFLYMOUNT_JOBS_ENGINE_HPP

#include "dragonflymount/src/Jobs/Placement.hpp"
#include "dragonflymount/src/Jobs/UnconfirmedJobs.hpp"

#include <deque>
#include <functional>
#include <limits>

namespace dragonflymount::jobs {

struct start_order {
    run_ref run;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
};

/// \brief The reply to an endpoint's report.
struct endpoint_orders {
    /// Absent if the report was outdated; the lease is then not extended.
    std::optional<duration> lease;
    /// The highest number of an ended run that the log holds for this life.
    std::uint64_t acknowledged = 0;
    /// Term of the leader; endpoints reject orders of earlier leaders by it.
    std::uint64_t fence = 0;
    std::vector<start_order> starts;
    std::vector<run_ref> stops;
    /// Time until the endpoint sends its next report.
    duration retry{};
};

struct engine_options {
    endpoint_options endpoints;
    /// Report interval of an endpoint that runs tasks which end on their own.
    /// It bounds how long a start waits for the next report.
    duration busy_retry = std::chrono::milliseconds(200);
    /// Upper bound of that interval while the leader is overloaded.
    duration longest_busy_retry = std::chrono::milliseconds(700);
    /// Time for which the reply to an endpoint without such tasks is delayed,
    /// so that a new start can be sent at once. Must be less than the 1 s after
    /// which endpoints drop a reply.
    duration idle_hold = std::chrono::milliseconds(600);
    duration idle_retry = std::chrono::milliseconds(20);
    /// Time for which the reply to a report with ended runs is delayed, so that
    /// it can carry the acknowledgement and the starts that use the freed
    /// capacity.
    duration ends_hold = std::chrono::milliseconds(120);
    /// A run without progress for this long is stopped and restarted at another
    /// endpoint. A long task takes a fraction of this time for one percent.
    duration stall_limit = std::chrono::milliseconds(1200);
    /// Time for which a run must be observed before its rate of progress
    /// counts.
    duration least_observation = std::chrono::milliseconds(600);
    /// A run whose remaining time exceeds its declared run time by this factor
    /// is restarted at another endpoint. The factor is large because declared
    /// run times are rough.
    std::int64_t slow_run_factor = 3;
    /// Interval of the scan for expired leases.
    duration lapse_check_interval = std::chrono::milliseconds(100);
    /// Limit for scans without result that single reports may trigger between
    /// two ticks: placement rounds over all jobs, and lapse checks over all
    /// runs.
    std::uint32_t max_futile_scans = 2;
    /// How many times as long a task runs far from its preferred rack, or
    /// apart from its group; with 1 no task waits for a near place.
    double remote_factor = 1;
    /// Maximum number of starts in one batch.
    std::size_t most_starts = 256;
    /// Bytes that all jobs may take up besides their runs. Beyond it jobs are
    /// refused, the large ones first.
    std::uint64_t job_memory = std::numeric_limits<std::uint64_t>::max();
};

class engine {
public:
    using call_handler = std::function<void(wire::JobReplyT)>;
    /// Called with no orders if this replica is no longer the leader.
    using report_handler =
        std::function<void(const std::optional<endpoint_orders>&)>;
    using commit_handler = std::function<void(bool committed)>;

    engine(const state& agreed, engine_options options);

    void lead(log_term term, instant now);
    void resign();
    bool leads() const { return leads_; }

    void call(const wire::JobCallT& call, call_handler on_reply);
    void report(
        const endpoint_report& report, report_handler on_orders, instant now);
    /// \brief Removes an endpoint whose runs have all ended, because it shut
    /// down or its VM was moved or maintained.
    void remove_endpoint(const std::string& endpoint);
    /// \brief Removes an endpoint that says it exits. It names no life, so this
    /// may be a late message of a former one. Each life drains before it exits;
    /// for one that doesn't, the message changes nothing.
    /// \returns whether the endpoint is unknown now.
    bool leave(const std::string& endpoint);
    /// \brief Proposes a catalogue, unless the one in force is as new or newer.
    void put_catalogue(wire::CatalogueT catalogue, commit_handler on_commit);
    void start_wave(wire::MaintenanceWaveT wave, commit_handler on_commit);
    void note_maintenance(const wire::MaintenanceStepT& step);
    /// \brief Proposes the evacuation of a zone or its end. \p on_commit is
    /// called at once if the agreed state is already as requested.
    void evacuate(
        const wire::EvacuationChangeT& change, const commit_handler& on_commit);

    /// \brief Handles what depends on the time: requests a placement round,
    /// ends shared quarantines, drops evidence about finished tasks, and
    /// replies to reports that were held long enough.
    void tick(instant now);
    /// \brief Records how late a timer of the leader fired. While the smoothed
    /// delay is high, endpoints are asked to report less often.
    void note_lag(duration lag);
    /// \returns the next batch for the log, or nothing. The caller must report
    /// the outcome of a returned batch to \c batch_done. What came at once and
    /// is too large for one batch is spread over the next ones.
    std::optional<wire::JobBatchT> take_batch(
        instant now, std::uint64_t wall_ms);
    void batch_done(bool agreed, instant now);

    const endpoint_table& endpoints() const { return endpoints_; }
    endpoint_table& endpoints() { return endpoints_; }
    const state& agreed() const { return agreed_; }
    /// \brief Sets the VMs on which no new task is placed. Their lives end by
    /// an order, so the end of one is no crash.
    void set_reserved_vms(std::set<vm_id> vms);
    /// \brief Whether the last placement round found no room in the pool for a
    /// task that is within its team's limit.
    bool is_short_of_room(const std::string& pool) const {
        return short_pools_.contains(pool);
    }
    /// \brief Stops a run whose task still has to be done.
    void request_stop(const run_ref& run);
    bool is_stop_requested(const run_ref& run) const {
        return stop_requests_.contains(run);
    }
    /// \returns the number of placement rounds so far.
    std::uint64_t placement_rounds() const { return placement_rounds_; }
    /// \returns the number of scans of all runs for expired leases so far.
    std::uint64_t lapse_checks() const { return lapse_checks_; }
    /// \returns the number of steps that have waited for a near place so far.
    std::uint64_t steps_waited() const { return steps_waited_; }
    /// \returns the number of copies of lagging tasks started so far.
    std::uint64_t copies_started() const { return copies_started_; }
    /// \returns the number of jobs refused so far for want of memory.
    std::uint64_t jobs_refused() const { return jobs_refused_; }

private:
    struct held_report {
        report_handler handler;
        instant received{};
        instant reply_by{};
        // Highest number of an ended run in the report; 0 if it lists none.
        std::uint64_t last_end = 0;
        // Number of batches committed before the report arrived.
        std::uint64_t batches_before = 0;
    };
    struct pending_end {
        endpoint_life life;
        ended_task end;
    };

    void submit(const wire::JobCallT& call, const wire::JobQueueT& queue,
        const wire::JobTeamT* team, job_id id, call_handler on_reply);
    std::uint64_t job_memory() const;
    void read(job_id id, const call_handler& on_reply) const;
    void cancel(job_id id, call_handler on_reply);
    void count_pending(
        const wire::JobQueueT& queue, const call_handler& on_reply) const;

    static duration time_to_hold(duration hold, const endpoint_view& view);
    void collect_ends(const endpoint_report& report);
    void collect_calls(wire::JobBatchT& batch);
    bool collect_reported_ends(wire::JobBatchT& batch);
    void add_reported_end(
        wire::JobBatchT& batch, const pending_end& pending) const;
    void collect_declared_ends(wire::JobBatchT& batch, instant now);
    void collect_lapsed(wire::JobBatchT& batch, instant now);
    struct run_evidence {
        run_ref run;
        wire::crash_evidence crash = wire::crash_evidence::none;
    };
    std::vector<run_evidence> evidence_of(
        const endpoint_life& life, const endpoint_load& load) const;
    wire::crash_evidence evidence_of(
        const run_ref& run, const endpoint_view* view) const;
    wire::crash_evidence evidence_of_unheard(
        const wire::TaskRunT& record) const;
    void collect_due(wire::JobBatchT& batch, std::uint64_t wall_ms) const;
    void collect_starts(wire::JobBatchT& batch, instant now);
    static void add_start(wire::JobBatchT& batch, const placed_run& placed);
    void add_end(wire::JobBatchT& batch, const run_ref& run,
        const endpoint_life& life, wire::run_end how) const;
    bool is_unlisted(const endpoint_view& view, const run_ref& run) const;
    bool may_start_tasks(const endpoint_view& view) const;
    void stop_gang_of(const run_ref& run);
    void note_unneeded_starts(endpoint_view& view);
    void note_unfitting_starts(
        const endpoint_view& view, const endpoint_load& load);
    std::set<run_ref> fitting_starts(
        const endpoint_view& view, const endpoint_load& load) const;
    resources room_of_run(const run_ref& run) const;
    resources room_of_former_runs(const endpoint_view& view) const;
    void note_changed_endpoints(const wire::JobBatchT& batch);
    void mark_endpoints_of(const wire::JobT& job);
    void mark_endpoints_of_changed_jobs();
    bool is_stalled(
        const run_progress& progress, instant observation_time) const;
    bool is_too_slow(const run_progress& progress, const wire::JobStepT& step,
        instant observation_time) const;
    void stop_troubled_runs(const endpoint_view& view, instant now);
    void erase_settled_tasks(instant now);

    bool may_trigger_round() const {
        return futile_rounds_ < options_.max_futile_scans;
    }
    void reset_scan_limits();
    bool has_ending_tasks(const endpoint_view& view) const;
    duration busy_retry() const;
    endpoint_orders orders_for(
        const endpoint_view& view, duration waited) const;
    bool has_suspect_start(const endpoint_view& view) const;
    void reply(const std::string& endpoint, instant now);
    bool is_acknowledged(
        const endpoint_view& view, const held_report& held) const;
    bool is_ready(const std::string& endpoint, const held_report& held) const;
    void reply_if_ready(const std::string& endpoint, instant now);
    void reply_to_changed_endpoints(instant now);
    void reply_to_acknowledged(instant now);
    void reply_overdue(instant now);

    const state& agreed_;
    engine_options options_;
    endpoint_table endpoints_;
    bool leads_ = false;
    log_term term_;

    // Collected for the next batch.
    std::deque<std::unique_ptr<wire::JobT>> submitted_;
    // Invariant: the sum of memory_of over submitted_.
    std::uint64_t submitted_memory_ = 0;
    std::set<job_id> cancelled_;
    std::deque<pending_end> ended_;
    std::unique_ptr<wire::CatalogueT> catalogue_;
    std::vector<std::unique_ptr<wire::MaintenanceWaveT>> waves_;
    std::vector<std::unique_ptr<wire::MaintenanceStepT>> maintained_;
    std::vector<std::unique_ptr<wire::EvacuationChangeT>> evacuations_;
    // Runs that aren't running and for which no end was reported; the next
    // batch declares them lost.
    std::set<run_ref> vanished_;
    // Whether a change since the last placement round may allow new starts.
    bool placement_due_ = false;
    // Placement rounds that started nothing, and lapse checks that were
    // triggered by ended lives, since the last tick or committed batch. At
    // max_futile_scans, single reports trigger no more of them.
    std::uint32_t futile_rounds_ = 0;
    std::uint32_t early_lapse_checks_ = 0;
    std::uint64_t placement_rounds_ = 0;

    // The batch in flight.
    bool batch_in_flight_ = false;
    bool evacuations_in_flight_ = false;
    // Of the jobs that the batch in flight submits.
    std::uint64_t memory_in_flight_ = 0;
    std::vector<pending_end> ends_in_flight_;

    // Callbacks that wait for a batch to be committed.
    std::map<job_id, std::vector<call_handler>> submitters_;
    std::map<job_id, std::vector<call_handler>> cancellers_;
    std::vector<commit_handler> committers_;
    std::set<job_id> submits_in_flight_;
    std::set<job_id> cancels_in_flight_;
    std::vector<commit_handler> committers_in_flight_;

    std::map<std::string, held_report> held_;
    unconfirmed_jobs unconfirmed_;
    // Endpoints whose held report lists ended runs.
    std::set<std::string> held_with_ends_;
    // Endpoints whose orders may have changed since they were last computed.
    std::set<std::string> changed_endpoints_;
    // Endpoints whose orders change once the batch in flight is committed.
    std::set<std::string> changed_in_flight_;
    // Jobs that the batch in flight may end; their runs must then be stopped.
    std::set<job_id> changed_jobs_;
    // Runs that the batch in flight declares ended without a report of their
    // endpoint. They must be neither started nor kept in the meantime.
    std::set<run_ref> declared_ended_;
    std::uint64_t agreed_batches_ = 0;
    // Smoothed delay of the leader's timers.
    duration lag_{};
    // Smoothed time by which reports were late when the leader handled them.
    duration report_delay_{};
    instant next_lapse_check_{};
    std::uint64_t lapse_checks_ = 0;
    std::uint64_t steps_waited_ = 0;
    std::uint64_t copies_started_ = 0;
    std::uint64_t jobs_refused_ = 0;
    // Number of ended lives at the time of the last lapse check.
    std::uint64_t ended_lives_ = 0;
    instant next_cleanup_{};
    // Highest number of an ended run that was collected, for each life.
    std::map<endpoint_life, std::uint64_t> collected_ends_;
    // Runs to be stopped although their task still has to be done.
    std::set<run_ref> stop_requests_;
    avoided_endpoints avoided_;
    place_waits waits_;
    // Lagging tasks that may have a second run.
    std::set<task_name> copies_wanted_;
    std::set<vm_id> reserved_;
    // Pools in which the last placement round found too little room.
    std::set<std::string> short_pools_;
};

} // namespace dragonflymount::jobs

#endif
