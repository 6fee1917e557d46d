// The leader's table of endpoints, built from their reports: capacity, running
// tasks, leases, and evidence of faulty endpoints.
//
// The table isn't replicated. A new leader rebuilds it from the reports within
// one report interval. Until it has received a report of a life, it assumes
// that this life holds the longest lease that an earlier leader can have
// granted.
#ifndef DRAGONFLYMOUNT_JOBS_ENDPOINTS_HPP
#define DRAGONFLYMOUNT_JOBS_ENDPOINTS_HPP

#include "dragonflymount/src/Jobs/FormerLives.hpp"

#include <optional>

namespace dragonflymount::jobs {

/// \brief A run as its endpoint lists it.
struct running_task {
    run_ref run;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// For a serving task, the tail of its response times in milliseconds; for
    /// any other, the processor time in thousandths of a core. Measured over
    /// the last half second.
    std::uint32_t load = 0;
};

/// \brief An ended run; its endpoint lists it until it is acknowledged.
struct ended_task {
    std::uint64_t number = 0;
    run_ref run;
    wire::run_end how = wire::run_end::lost;
    std::string checkpoint;
};

/// \brief One report of an endpoint about itself.
struct endpoint_report {
    endpoint_life life;
    vm_id vm;
    pool_id pool;
    std::string address;
    availability_zone_id zone;
    bool draining = false;
    duration drain_remaining{};
    duration warmup_left{};
    resources capacity;
    std::vector<std::string> labels;
    /// When the report was sent, on the endpoint's own steady clock; zero if
    /// unknown.
    duration sent{};
    /// Grows with each report of one life.
    std::uint64_t sequence = 0;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

/// \brief Progress of a run; instants are \c endpoint_view::observation_time.
struct run_progress {
    std::uint32_t percent = 0;
    // Percentage in the first report; above 0 if the run began at a checkpoint.
    std::uint32_t first_percent = 0;
    std::uint32_t load = 0;
    std::string checkpoint;
    instant first_seen{};
    // When the percentage last increased.
    instant advanced{};
};

/// \brief The current life of one endpoint, as known to the leader.
struct endpoint_view {
    endpoint_life life;
    vm_id vm;
    pool_id pool;
    std::string address;
    availability_zone_id zone;
    rack_id rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    instant drain_ends{};
    instant warm_from{};
    std::uint64_t sequence = 0;
    /// When the last report arrived, and the one before it.
    instant heard{};
    instant heard_before{};
    /// The endpoint's clock in the last report: its age; zero if unknown.
    duration age{};
    /// By how much the last report took longer to arrive than the fastest one
    /// of this life.
    duration report_delay{};
    // Difference of the two clocks as seen in the fastest report, which rises
    // by the endpoint's drift.
    std::optional<duration> least_offset;
    /// When the next report is due. A later arrival may be caused by the leader
    /// itself, so the time after it is no evidence about the runs.
    instant report_due{};
    /// Clock for the progress of the endpoint's runs. It advances by the time
    /// between reports, but not while a report is overdue.
    instant observation_time{};
    /// Time by which all runs of this life have ended if no further lease is
    /// granted.
    instant lease_ends{};
    std::map<run_ref, run_progress> running;
    // Runs that the last report listed as ended.
    std::set<run_ref> ended;
    /// Runs whose start was sent in the reply to the last report. Whatever was
    /// sent before and isn't listed has not begun and never will, because the
    /// endpoint applies orders in the order of its reports.
    std::set<run_ref> sent_starts;
    /// Age of the last report when that reply was sent. The endpoint may have
    /// crashed in that time, and then never got the reply.
    duration reply_age{};
    // Jobs with a bad run (failed, stalled or too slow) at this endpoint since
    // the last run that was done here.
    std::set<job_id> jobs_with_bad_runs;
    instant quarantined_until{};
    std::uint32_t quarantines = 0;
};

bool has_label(const endpoint_view& view, const std::string& label);
/// \brief Whether the endpoint has the label that \p step requires, if any.
bool has_required_label(const endpoint_view& view, const wire::JobStepT& step);

/// \brief How a life of an endpoint ended, as far as the leader knows.
enum class life_end : std::uint8_t {
    /// Silent until its lease had expired; it may have been cut off.
    lease_expired,
    /// It had announced its end, or a move or maintenance ended it.
    planned,
    crashed,
};

/// \brief Leases of endpoints and the exclusion of silent or faulty ones.
struct endpoint_options {
    /// Lease granted by the reply to a report.
    duration lease = std::chrono::seconds(9);
    /// Longest lease that any leader grants.
    duration longest_lease = std::chrono::seconds(10);
    /// An endpoint without a report for this long gets no new task. Allows for
    /// two held reports and one lost call.
    duration silence_limit = std::chrono::milliseconds(1500);
    /// Duration of the first quarantine of an endpoint with bad runs of several
    /// jobs. Each further one lasts twice as long, up to a limit.
    duration quarantine = std::chrono::seconds(4);
};

/// Time after which an endpoint stops waiting for the reply to a report and
/// sends a new one.
inline constexpr duration answer_timeout = std::chrono::seconds(1);
/// Time that a report may take to arrive and still count as on time.
inline constexpr duration report_travel_time = std::chrono::milliseconds(100);
/// Rate error of an endpoint's clock, in parts per thousand; the platform's
/// protocol states 2 %.
inline constexpr std::int64_t endpoint_drift_per_mille = 20;
/// Time added to a lease, in which an endpoint ends its tasks after expiry.
inline constexpr duration lease_margin = std::chrono::milliseconds(500);
/// Age of a report up to which it shows that its endpoint is still there.
inline constexpr duration fresh_report_age = std::chrono::milliseconds(50);
/// Number of jobs with bad runs, without a run done in between, after which an
/// endpoint is quarantined.
inline constexpr std::size_t jobs_to_quarantine = 2;
/// If more than one in this many endpoints of a pool are in quarantine at once,
/// and at least two, the cause is assumed to be shared.
inline constexpr std::size_t shared_quarantine_divisor = 3;
/// Number of quarantines after which their duration no longer doubles.
inline constexpr std::uint32_t most_quarantine_doublings = 2;

/// \returns the instant at which a lease granted at \p granted has expired and
/// its tasks have ended, whatever the drift of the endpoint's clock.
constexpr instant lease_end(instant granted, duration lease) {
    return granted + lease + lease * endpoint_drift_per_mille / 1000 +
        lease_margin;
}

/// \returns for how long reports have listed the run as running.
duration observed_time(const endpoint_view& view, const run_ref& run);
/// \brief Whether a report has listed the run, so it has survived its start.
inline bool has_survived_start(const endpoint_view& view, const run_ref& run) {
    return view.running.contains(run) || view.ended.contains(run);
}

class endpoint_table {
public:
    using view_map = std::map<std::string, endpoint_view>;

    explicit endpoint_table(endpoint_options options) : options_(options) {}

    /// \brief Clears the table when this replica becomes the leader at \p now.
    void reset(instant now);

    /// \brief Updates the table from a report received at \p now.
    /// \returns the endpoint's view, or null if the report is older than one
    /// that was applied or comes from a life that has ended.
    endpoint_view* apply_report(const endpoint_report& report, instant now);
    /// \brief Extends the lease of \p view, counted from the arrival of the
    /// report at \p reported.
    void extend_lease(endpoint_view& view, instant reported);
    /// \brief Records the starts in the reply to the last report.
    /// \param waited from the arrival of the report until the reply.
    static void note_reply(
        endpoint_view& view, std::set<run_ref> starts, duration waited);
    /// \brief Sets when the next report of the endpoint is due to be sent.
    static void set_report_due(endpoint_view& view, instant due);
    /// \brief Removes an endpoint that has shut down or was replaced.
    void remove(const std::string& endpoint);
    /// \brief Records that a life has ended, as reported by the VM service: a
    /// crash, unless the endpoint was draining.
    void end_life(const endpoint_life& life);
    /// \brief Whether nothing can still be running in \p life.
    bool is_over(const endpoint_life& life, instant now) const;
    /// \brief Whether a run that the log places in \p life, which is over, may
    /// be running in the next life of the endpoint.
    bool may_run_in_next_life(
        const endpoint_life& life, const run_ref& run, instant now) const;

    /// \brief How \p life ended, given that it is over.
    life_end how_ended(const endpoint_life& life) const;
    /// \returns the last view of a crashed life, or null if none was heard.
    const endpoint_view* find_crashed(const endpoint_life& life) const;
    /// \brief Drops what is known of crashed lives, except of those in
    /// \p kept; called once the runs of the others are declared ended.
    void forget_crashes(const std::set<endpoint_life>& kept, instant now);
    /// \brief Regards the crashes of these VMs as planned: they were about to
    /// move or to be maintained.
    void excuse_crashes(const std::set<vm_id>& reserved);

    /// \brief Records how a run ended, as evidence about its endpoint.
    void note_end(const endpoint_life& life, const run_ref& run,
        wire::run_end how, instant now);
    /// \brief Records that a run of \p job failed, stalled or was too slow at
    /// the endpoint. After bad runs of several jobs the endpoint is
    /// quarantined.
    void note_bad_run(const std::string& endpoint, job_id job, instant now);

    /// \brief Ends the quarantines in pools where many endpoints are in
    /// quarantine at once. The cause is then shared, so other endpoints of the
    /// pool would be no better.
    void end_shared_quarantines(instant now);

    /// \returns a counter that increases with every event, other than the
    /// passage of time, that may change the result of \c is_over.
    std::uint64_t ended_lives() const { return ended_lives_; }

    /// \brief Whether the endpoint is neither draining, silent nor in
    /// quarantine.
    bool can_take_tasks(const endpoint_view& view, instant now) const;
    const view_map& views() const { return views_; }
    endpoint_view* find(const std::string& endpoint);
    const endpoint_view* find(const std::string& endpoint) const;
    const endpoint_view* find_life(const endpoint_life& life) const;
    const endpoint_options& options() const { return options_; }

private:
    bool is_outdated(const endpoint_report& report) const;
    void note_newer_life(const endpoint_report& report);
    void note_crash(endpoint_view view);
    void note_replaced(const endpoint_view& view);
    static void advance_observation(endpoint_view& view, instant now);
    static void measure_delay(
        endpoint_view& view, const endpoint_report& report, instant now);
    void update_runs(endpoint_view& view, const endpoint_report& report);

    endpoint_options options_;
    view_map views_;
    // The newest life reported for each address, endpoint and VM; older ones
    // have ended.
    absl::flat_hash_map<std::string, std::uint64_t> newest_at_address_;
    absl::flat_hash_map<std::string, std::uint64_t> newest_of_endpoint_;
    absl::flat_hash_map<vm_id, std::uint64_t, std::hash<vm_id>> newest_of_vm_;
    // Newest life that is known to have ended, by the endpoint's name.
    absl::flat_hash_map<std::string, std::uint64_t> last_ended_life_;
    // Lives that ended without an announcement since forget_crashes, with their
    // last view.
    std::map<endpoint_life, endpoint_view> crashed_;
    former_lives former_lives_;
    std::uint64_t ended_lives_ = 0;
    // When endpoints drop the replies of earlier leaders.
    instant unknown_replies_end_{};
    // Latest end of the leases that earlier leaders can have granted.
    instant unknown_leases_end_{};
};

} // namespace dragonflymount::jobs

#endif
