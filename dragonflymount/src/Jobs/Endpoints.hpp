// What the leader knows of endpoints from their own reports: who is there,
// what they offer, what runs there, and how far they can be trusted.
//
// None of it is agreed: a new leader learns it anew within one report
// interval. Before it has heard of a life it must assume that the life holds
// the longest lease that an earlier leader can have granted.
#ifndef DRAGONFLYMOUNT_JOBS_ENDPOINTS_HPP
#define DRAGONFLYMOUNT_JOBS_ENDPOINTS_HPP

#include "dragonflymount/src/Jobs/State.hpp"

#include <optional>

namespace dragonflymount::jobs {

/// \brief A run as its endpoint lists it.
struct running_task {
    run_ref run;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// Of a serving task the tail of its response times in milliseconds, of
    /// any other the thousandths of a core in use; over the last half second.
    std::uint32_t load = 0;
};

/// \brief An end that its endpoint lists until it is taken note of.
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
    /// Grows with each report of one life.
    std::uint64_t sequence = 0;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

/// \brief How a run has been getting on, by its endpoint's observed time.
struct run_progress {
    std::uint32_t percent = 0;
    // What was listed first: a run may begin at a checkpoint.
    std::uint32_t first_percent = 0;
    std::uint32_t load = 0;
    std::string checkpoint;
    instant first_seen{};
    // When the percentage last grew.
    instant advanced{};
};

/// \brief One living endpoint as the leader sees it.
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
    instant heard{};
    /// When the next report is due; how much later it is heard may be the
    /// leader's own delay and tells nothing about the runs.
    instant report_due{};
    /// How long the runs there have been observed at least: it doesn't grow
    /// while a report is overdue.
    instant observation_time{};
    /// Everything there has ended by then if no further lease is granted.
    instant lease_ends{};
    std::map<run_ref, run_progress> running;
    // Runs that the last report listed as ended.
    std::set<run_ref> ended;
    // Jobs of which a run failed, stood still or crept since the last success.
    std::set<job_id> jobs_with_bad_runs;
    instant quarantined_until{};
    std::uint32_t quarantines = 0;
};

/// \brief Timing of endpoints.
struct endpoint_options {
    /// Lease that each answered report extends to.
    duration lease = std::chrono::seconds(9);
    /// Longest lease that any leader grants.
    duration longest_lease = std::chrono::seconds(10);
    /// An endpoint that is silent for this long gets no new task: two times
    /// that its reports are held, and a call that went astray.
    duration silence_limit = std::chrono::milliseconds(1500);
    /// How long an endpoint that failed tasks of several jobs is avoided the
    /// first time; twice as long each further time.
    duration quarantine = std::chrono::seconds(4);
};

/// An endpoint gives up waiting for the answer to a report after this time,
/// and reports again.
inline constexpr duration answer_timeout = std::chrono::seconds(1);
/// What a report that is due may take to arrive, and still counts as on time.
inline constexpr duration report_travel_time = std::chrono::milliseconds(100);
/// Rate error of an endpoint's clock, in parts per thousand; the platform's
/// protocol states 2 %.
inline constexpr std::int64_t endpoint_drift_per_mille = 20;
/// What is added to a lease for the time an endpoint takes to end its tasks.
inline constexpr duration lease_margin = std::chrono::milliseconds(500);
/// Jobs that must have trouble in a row at one endpoint before it is avoided.
inline constexpr std::size_t jobs_to_quarantine = 2;
/// More than one in so many endpoints of a pool that are in quarantine at once,
/// and at least two, have a cause in common.
inline constexpr std::size_t shared_quarantine_divisor = 3;
/// Quarantines after which their length grows no more.
inline constexpr std::uint32_t most_quarantine_doublings = 2;

/// \returns when a lease granted at \p granted has ended on any clock.
constexpr instant lease_end(instant granted, duration lease) {
    return granted + lease + lease * endpoint_drift_per_mille / 1000 +
        lease_margin;
}

class endpoint_table {
public:
    using view_map = std::map<std::string, endpoint_view>;

    explicit endpoint_table(endpoint_options options) : options_(options) {}

    /// \brief Forgets everything: a new leader begins here.
    void reset(instant now);

    /// \brief Takes a report.
    /// \returns the endpoint's view, or null if the report is older than one
    /// that was taken, or of a life that has ended.
    endpoint_view* apply_report(const endpoint_report& report, instant now);
    /// \brief Notes that a reply to \p view extends its lease.
    void extend_lease(endpoint_view& view, instant reported);
    /// \brief Notes when an endpoint was told to report again.
    static void set_report_due(endpoint_view& view, instant due);
    /// \brief The endpoint said that it leaves, or is known to be gone.
    void remove(const std::string& endpoint);
    /// \brief The VM service says that a life is over.
    void end_life(const endpoint_life& life);
    /// \brief Whether nothing can be running any more in \p life.
    bool is_over(const endpoint_life& life, instant now) const;

    /// \brief Notes how a run ended, as evidence about its endpoint.
    void note_end(const endpoint_life& life, const run_ref& run,
        wire::run_end how, instant now);
    /// \brief Notes that a run of \p job failed, stood still or crept there;
    /// after trouble with several jobs the endpoint is avoided for a while.
    void note_bad_run(const std::string& endpoint, job_id job, instant now);

    /// \brief Ends the quarantines of pools in which they have a cause in
    /// common: elsewhere in the pool, tasks would fare no better.
    void end_shared_quarantines(instant now);

    /// \returns how many lives are known to have ended; it grows whenever
    /// \c is_over may have changed but for the time.
    std::uint64_t ended_lives() const { return ended_lives_; }

    bool can_take_tasks(const endpoint_view& view, instant now) const;
    const view_map& views() const { return views_; }
    endpoint_view* find(const std::string& endpoint);
    const endpoint_view* find(const std::string& endpoint) const;
    const endpoint_view* find_life(const endpoint_life& life) const;
    const endpoint_options& options() const { return options_; }

private:
    bool is_outdated(const endpoint_report& report) const;
    void note_newer_life(const endpoint_report& report);
    static void advance_observation(endpoint_view& view, instant now);
    void update_runs(endpoint_view& view, const endpoint_report& report);

    endpoint_options options_;
    view_map views_;
    // The newest life heard of at an address, of an endpoint and of a VM:
    // the older ones are over.
    std::map<std::string, std::uint64_t> newest_at_address_;
    std::map<std::string, std::uint64_t> newest_of_endpoint_;
    std::map<vm_id, std::uint64_t> newest_of_vm_;
    // Lives that are known to be over, by the endpoint's name.
    std::map<std::string, std::uint64_t> last_ended_life_;
    std::uint64_t ended_lives_ = 0;
    // When this leader began, and the latest end of leases granted before.
    instant unknown_leases_end_{};
};

} // namespace dragonflymount::jobs

#endif
