// The leader's job engine: takes calls and reports, gathers what must be
// agreed into batches, and answers once a batch is agreed.
//
// Deterministic: events, instants and wall times go in; replies and batches
// come out. One batch is under way at a time, so every decision rests on
// agreed state alone. Nothing is accepted, taken note of, started or shown
// before the log holds it.
//
// A report or a batch costs what it changes: held reports are looked at when
// their endpoint's orders may have changed, and otherwise only for the time.
#ifndef DRAGONFLYMOUNT_JOBS_ENGINE_HPP
#define DRAGONFLYMOUNT_JOBS_ENGINE_HPP

#include "dragonflymount/src/Jobs/Placement.hpp"

#include <functional>

namespace dragonflymount::jobs {

struct start_order {
    run_ref run;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
};

/// \brief What an endpoint is told in answer to its report.
struct endpoint_orders {
    /// Absent if the report was outdated: then no lease is extended.
    std::optional<duration> lease;
    std::uint64_t acknowledged = 0;
    /// Fences orders of earlier leaders.
    std::uint64_t fence = 0;
    std::vector<start_order> starts;
    std::vector<run_ref> stops;
    /// When to report again.
    duration retry{};
};

struct engine_options {
    endpoint_options endpoints;
    /// Report interval of an endpoint with tasks that will end: it bounds how
    /// long a start waits for its next report.
    duration busy_retry = std::chrono::milliseconds(200);
    /// The same at most, while the leader is behind its work.
    duration longest_busy_retry = std::chrono::milliseconds(700);
    /// How long the report of an endpoint without such tasks is held back, so
    /// that a start reaches it at once; below the second after which endpoints
    /// drop a reply.
    duration idle_hold = std::chrono::milliseconds(600);
    duration idle_retry = std::chrono::milliseconds(20);
    /// How long a report with ends is held, so that its reply can carry the
    /// acknowledgement and what starts in the room that became free.
    duration ends_hold = std::chrono::milliseconds(120);
    /// A run whose progress stands still for this long is stopped and started
    /// elsewhere: several times the step of one percent of a long task.
    duration stall_limit = std::chrono::milliseconds(1200);
    /// Age from which a run's rate of progress is taken as evidence.
    duration least_observation = std::chrono::milliseconds(600);
    /// A run that needs this many times its declared time longer is started
    /// elsewhere; estimates are rough.
    std::int64_t slow_run_factor = 3;
    /// How often leases that have ended are looked for.
    duration lapse_check_interval = std::chrono::milliseconds(100);
    /// Looks at all jobs or all runs that reports may ask for between two
    /// ticks without anything coming of them.
    std::uint32_t max_futile_scans = 2;
    /// Starts in one batch.
    std::size_t most_starts = 256;
};

class engine {
public:
    using call_handler = std::function<void(wire::JobReplyT)>;
    /// Without orders this replica no longer leads.
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
    /// \brief The endpoint has left; nothing runs there any more.
    void remove_endpoint(const std::string& endpoint);
    /// \brief Puts a catalogue in force, unless a newer one is.
    void put_catalogue(wire::CatalogueT catalogue, commit_handler on_commit);
    void start_wave(wire::MaintenanceWaveT wave, commit_handler on_commit);
    void note_maintenance(const wire::MaintenanceStepT& step);

    /// \brief Takes note of the time: leases that end, runs that stall,
    /// reports that have been held long enough.
    void tick(instant now);
    /// \brief Takes note of how late the leader's timers are: while it is
    /// behind its work, endpoints report less often.
    void note_lag(duration lag);
    /// \returns what has to be agreed next, or nothing; \c batch_done must
    /// follow.
    std::optional<wire::JobBatchT> take_batch(
        instant now, std::uint64_t wall_ms);
    void batch_done(bool agreed, instant now);

    const endpoint_table& endpoints() const { return endpoints_; }
    endpoint_table& endpoints() { return endpoints_; }
    const state& agreed() const { return agreed_; }
    /// \brief VMs that get no new task.
    void set_reserved_vms(std::set<vm_id> vms) { reserved_ = std::move(vms); }
    /// \brief Whether the last placement round left a task of the pool without
    /// a place that its team's limit would admit.
    bool is_short_of_room(const std::string& pool) const {
        return short_pools_.contains(pool);
    }
    /// \brief Asks for the end of a run that is otherwise wanted.
    void request_stop(const run_ref& run);
    bool is_stop_requested(const run_ref& run) const {
        return stop_requests_.contains(run);
    }
    /// \returns how often it was looked for what can be started.
    std::uint64_t placement_rounds() const { return placement_rounds_; }
    /// \returns how often all runs were looked at for leases that ended.
    std::uint64_t lapse_checks() const { return lapse_checks_; }

private:
    struct held_report {
        report_handler handler;
        instant received{};
        instant reply_by{};
        // The highest number among the ends that the report lists.
        std::uint64_t last_end = 0;
        // How many batches had been agreed when the report came.
        std::uint64_t batches_before = 0;
    };
    struct pending_end {
        endpoint_life life;
        ended_task end;
    };

    const wire::JobQueueT* route(
        const wire::JobCallT& call, std::string& subpath) const;
    void submit(const wire::JobCallT& call, const wire::JobQueueT& queue,
        const wire::JobTeamT* team, job_id id, call_handler on_reply);
    void read(job_id id, const call_handler& on_reply) const;
    void cancel(job_id id, call_handler on_reply);
    void count_pending(
        const wire::JobQueueT& queue, const call_handler& on_reply) const;

    void collect_ends(const endpoint_report& report);
    void collect_ended(wire::JobBatchT& batch, instant now);
    void collect_lapsed(wire::JobBatchT& batch, instant now);
    void collect_due(wire::JobBatchT& batch, std::uint64_t wall_ms) const;
    void collect_starts(wire::JobBatchT& batch, instant now);
    void add_end(wire::JobBatchT& batch, const run_ref& run,
        const endpoint_life& life, wire::run_end how) const;
    bool is_unlisted(const endpoint_view& view, const run_ref& run) const;
    void note_unneeded_starts(endpoint_view& view);
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
    endpoint_orders orders_for(const endpoint_view& view) const;
    void reply(const std::string& endpoint);
    bool is_acknowledged(
        const endpoint_view& view, const held_report& held) const;
    bool is_ready(const std::string& endpoint, const held_report& held) const;
    void reply_if_ready(const std::string& endpoint);
    void reply_to_changed_endpoints();
    void reply_to_acknowledged();
    void reply_overdue(instant now);

    const state& agreed_;
    engine_options options_;
    endpoint_table endpoints_;
    bool leads_ = false;
    log_term term_;

    // Gathered for the next batch.
    std::vector<std::unique_ptr<wire::JobT>> submitted_;
    std::set<job_id> cancelled_;
    std::vector<pending_end> ended_;
    std::unique_ptr<wire::CatalogueT> catalogue_;
    std::vector<std::unique_ptr<wire::MaintenanceWaveT>> waves_;
    std::vector<std::unique_ptr<wire::MaintenanceStepT>> maintained_;
    std::set<run_ref> vanished_;
    // Set when something changed that a placement round may use.
    bool placement_due_ = false;
    // Placement rounds that found nothing to start, and checks for lapsed runs
    // that ended lives asked for, since the last tick or agreed batch: after a
    // few, single reports don't ask for more.
    std::uint32_t futile_rounds_ = 0;
    std::uint32_t early_lapse_checks_ = 0;
    std::uint64_t placement_rounds_ = 0;

    // Under way.
    bool batch_in_flight_ = false;
    std::vector<pending_end> ends_in_flight_;

    // Who waits for which part of a batch.
    std::map<job_id, std::vector<call_handler>> submitters_;
    std::map<job_id, std::vector<call_handler>> cancellers_;
    std::vector<commit_handler> committers_;
    std::set<job_id> submits_in_flight_;
    std::set<job_id> cancels_in_flight_;
    std::vector<commit_handler> committers_in_flight_;

    std::map<std::string, held_report> held_;
    // Endpoints of held reports that list ends.
    std::set<std::string> held_with_ends_;
    // Endpoints whose orders may have changed since they were last looked at.
    std::set<std::string> changed_endpoints_;
    // The same once the batch under way is agreed.
    std::set<std::string> changed_in_flight_;
    // Jobs that the batch under way may end, whose runs are then to be stopped.
    std::set<job_id> changed_jobs_;
    // Runs that the batch under way declares ended without their endpoint's
    // word; they must not be started or kept meanwhile.
    std::set<run_ref> declared_ended_;
    std::uint64_t agreed_batches_ = 0;
    // Smoothed.
    duration lag_{};
    instant next_lapse_check_{};
    std::uint64_t lapse_checks_ = 0;
    // How many lives had ended when lapsed runs were last looked for.
    std::uint64_t ended_lives_ = 0;
    instant next_cleanup_{};
    // The highest end number of each life that was put into a batch.
    std::map<endpoint_life, std::uint64_t> collected_ends_;
    std::set<run_ref> stop_requests_;
    avoided_endpoints avoided_;
    std::set<vm_id> reserved_;
    // Pools in which the last placement round found too little room.
    std::set<std::string> short_pools_;
};

} // namespace dragonflymount::jobs

#endif
