// The leader's placement round: it chooses the waiting tasks to start and an
// endpoint for each of them.
//
// A round has no side effects: it reads the agreed state and the endpoint
// table, and returns starts. The next round begins only after these starts are
// committed, so the state already includes all earlier placements.
//
// The cost of a round grows with the number of waiting tasks and of endpoints
// in their pools. The search for a task tries the endpoints with the most room
// first and stops at the first one without drawbacks. A need that found no room
// is recorded; tasks that need at least as much are skipped in this round. A
// long backlog is thus cheap and doesn't block a smaller task that fits.
#ifndef DRAGONFLYMOUNT_JOBS_PLACEMENT_HPP
#define DRAGONFLYMOUNT_JOBS_PLACEMENT_HPP

#include "dragonflymount/src/Jobs/Endpoints.hpp"
#include "dragonflymount/src/Jobs/RackForecast.hpp"

#include <functional>

namespace dragonflymount::jobs {

/// \brief For each task, the endpoints at which its runs failed, were refused,
/// stalled or were too slow, and when this last happened.
using avoided_endpoints = std::map<task_name, std::map<std::string, instant>>;

/// Time for which a task isn't placed on an endpoint that it avoids. After it,
/// the endpoint is used if there is no other, so that the task isn't delayed
/// forever. About the time in which its pool gets a further VM.
inline constexpr duration avoid_time = std::chrono::milliseconds(1500);

/// \brief Identifies a step of one occurrence of a job.
struct step_key {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend bool operator<(const step_key& left, const step_key& right) {
        return std::tie(left.job, left.occurrence, left.step) <
            std::tie(right.job, right.occurrence, right.step);
    }
};

/// \brief What the leader knows of waits for a place near the data or group of
/// a task.
struct place_waits {
    /// How many times as long a task runs far away; 1 if no task waits.
    double remote_factor = 1;
    /// When tasks of a step first waited.
    std::map<step_key, instant> begun;
};

struct placed_run {
    run_ref run;
    endpoint_life life;
};

/// \brief When a job is expected to finish if its next step starts now.
enum class timeliness : std::uint8_t {
    on_time,
    late,
    /// More than \c latest_use_factor times the objective after it began.
    useless,
};

/// A result that takes longer than this multiple of the job's objective is
/// assumed to be useless to the caller.
inline constexpr std::uint64_t latest_use_factor = 3;

class placement {
public:
    /// \param reserved VMs that take no new task because they are about to
    /// move to another pool or to be maintained.
    /// \param now the time of the round, on the clock of the reports.
    placement(const state& agreed, const endpoint_table& endpoints,
        const avoided_endpoints& avoided, const std::set<vm_id>& reserved,
        const place_waits& waits, instant now);

    /// \brief Runs the round; call it once.
    /// \returns the starts of this round, at most \p most and the rest of a
    /// gang.
    std::vector<placed_run> plan(std::size_t most);
    /// \brief Places copies of tasks that run already, in room that \c plan
    /// left idle; call it after \c plan. \returns the starts, at most \p most.
    std::vector<placed_run> plan_copies(
        const std::set<task_name>& tasks, std::size_t most);
    /// \returns the pools in which \c plan found no endpoint for a task.
    const std::set<std::string>& short_pools() const { return short_pools_; }
    /// \returns the steps of which \c plan left a task waiting for a near
    /// place although another was free.
    const std::set<step_key>& waiting_steps() const { return waiting_steps_; }

private:
    struct candidate {
        const endpoint_view* view = nullptr;
        resources room;
        // Whether a long-running task is placed there.
        bool holds_long_running = false;
        // Whether a strong suspect has been started there that hasn't survived
        // its start yet.
        bool on_trial = false;
        // Whether this round has placed a run there.
        bool started_now = false;
    };
    // Position of a candidate in the order of room: most free processor time
    // first, then by name of the endpoint.
    struct room_rank {
        std::int64_t free_cpu_milli = 0;
        std::size_t candidate = 0;

        friend bool operator<(const room_rank& left, const room_rank& right) {
            return std::tie(right.free_cpu_milli, left.candidate) <
                std::tie(left.free_cpu_milli, right.candidate);
        }
    };
    // Tasks for which there was no room at the same time, and no other reason
    // against a start. Room only shrinks in a round, so tasks that need at
    // least as much find no room either.
    struct refused_need {
        std::string label;
        resources each;
        std::size_t tasks = 1;

        bool covers(const refused_need& other) const {
            return (label.empty() || label == other.label) &&
                each.fits(other.each) && tasks <= other.tasks;
        }
    };
    // The endpoints of one pool that take tasks.
    // Invariant: by_room holds each candidate once, with its current room, in
    // ascending order. A pool has few enough endpoints that moving an element
    // within the vector costs less than allocating one for each endpoint in
    // each round.
    struct pool_room {
        std::vector<candidate> candidates;
        std::vector<room_rank> by_room;
        // Invariant: no element covers another.
        std::vector<refused_need> refused;
    };
    // Drawbacks of an endpoint for a task, the most important one first.
    struct place_cost {
        // A run of the task was bad there.
        bool avoided = false;
        // A suspect and another task would start there at the same time.
        bool beside_start = false;
        // The task is a suspect, and long-running tasks are there.
        bool endangers_long_running = false;
        bool other_rack = false;
        bool off_preferred_rack = false;
        // Runs of any job were bad there since the last run that was done.
        bool has_bad_runs = false;
        bool warming_up = false;
        // For a long-running step: too many of its tasks are there, the VM is
        // still to be maintained, no long-running task is there, number of its
        // tasks there.
        bool crowded = false;
        bool awaits_maintenance = false;
        bool without_long_running = false;
        std::uint32_t same_step_runs = 0;

        auto fields() const {
            return std::tie(avoided, beside_start, endangers_long_running,
                other_rack, off_preferred_rack, has_bad_runs, warming_up,
                crowded, awaits_maintenance, without_long_running,
                same_step_runs);
        }
        friend bool operator<(const place_cost& one, const place_cost& other) {
            return one.fields() < other.fields();
        }
        bool is_zero() const { return !(place_cost{} < *this); }
    };
    // Where the round placed a run; used to undo the placement.
    struct used_place {
        pool_room* pool = nullptr;
        std::size_t candidate = 0;
    };
    struct open_step {
        const wire::JobT* job = nullptr;
        const wire::JobOccurrenceT* occurrence = nullptr;
        std::uint32_t step = 0;
        const wire::JobStepT* spec = nullptr;
        const wire::JobQueueT* queue = nullptr;
        // Order of service: long-running tasks first, then by priority, by
        // predicted timeliness, late jobs within their account's rate before
        // others, and by the latest time at which the step can begin and still
        // be on time.
        bool long_running = false;
        std::uint32_t priority = 0;
        timeliness predicted = timeliness::on_time;
        std::uint64_t begin_by_ms = 0;
    };
    // Number of tasks of one step at each endpoint, and the racks that they
    // use.
    struct step_spread {
        // Members of the gang that this round has placed so far.
        std::size_t members = 0;
        std::map<std::string, std::uint32_t> at_endpoint;
        std::set<rack_id> racks;
    };

    void group_endpoints();
    pool_room& room_of_pool(const std::string& pool);
    static void take_room(
        pool_room& pool, std::size_t candidate, const resources& taken);
    static bool goes_behind(const open_step& open);
    void collect_steps();
    void collect_steps(const wire::JobT& job);
    std::optional<open_step> step_of(const task_place& place) const;
    bool place_copy(const task_name& name);
    void find_awaiting_maintenance();
    void find_trials();
    bool may_start_at(const open_step& open, std::uint32_t index,
        const candidate& place) const;
    bool has_new_starts(const candidate& place) const;
    static void note_start(
        candidate& place, const open_step& open, const wire::JobTaskT& task);
    void place_step(const open_step& open, std::size_t most);
    void place_gang(const open_step& open);
    bool place_task(
        const open_step& open, std::uint32_t index, step_spread& spread);
    void undo_placements(const open_step& open, std::size_t placed_before);
    static refused_need need_of(const open_step& open, std::size_t tasks);
    static bool is_refused(const pool_room& pool, const refused_need& need);
    void note_refusal(
        const open_step& open, std::size_t tasks, pool_room& pool) const;
    bool avoids_any(const open_step& open) const;
    std::optional<std::size_t> choose_candidate(const open_step& open,
        const task_name& name, const step_spread& spread,
        const pool_room& pool) const;
    place_cost cost_of(const open_step& open, const task_name& name,
        const step_spread& spread, const candidate& place) const;
    bool may_use(const open_step& open, const task_name& name,
        const step_spread& spread, const candidate& place) const;
    bool within_limit(
        const wire::JobT& job, const wire::JobStepT& step, std::size_t tasks);
    step_spread spread_of(const open_step& open) const;
    /// \returns the spread with what this round has placed so far.
    step_spread& spread_in_round(const open_step& open);
    double remaining_ms(const endpoint_view& view, const run_ref& run) const;
    rack_forecast make_forecast(const pool_room& pool,
        const std::function<bool(const endpoint_view&)>& is_near) const;
    rack_forecast& forecast_of(
        const std::string& pool, const std::string& label);
    static step_key key_of(const open_step& open);
    double waited_ms(const open_step& open) const;
    /// \returns whether a task waits for its preferred rack instead of starting
    /// at \p free.
    bool waits_for_rack(const open_step& open, const endpoint_view& free);
    // The rack for a step whose tasks run faster together, if there is one, and
    // whether the step waits for it.
    struct rack_choice {
        std::optional<rack_id> rack;
        bool waits = false;
    };
    std::size_t tasks_that_fit(const pool_room& pool, const rack_id& rack,
        const open_step& open) const;
    rack_choice choose_rack(const open_step& open);
    /// \returns when a run of \p name was last bad there, or nothing.
    std::optional<instant> last_bad_run(
        const task_name& name, const std::string& endpoint) const;

    const state& agreed_;
    const endpoint_table& endpoints_;
    const avoided_endpoints& avoided_;
    const std::set<vm_id>& reserved_;
    const place_waits& waits_;
    instant now_;
    // Endpoints that take tasks, by pool. The room of a pool is computed when
    // its first step is placed.
    std::map<std::string, std::vector<const endpoint_view*>> endpoints_of_;
    std::map<std::string, pool_room> pools_;
    std::vector<open_step> steps_;
    // VMs of waves whose maintenance hasn't been ordered; empty unless the
    // round has a long-running step.
    std::set<std::string> awaiting_maintenance_;
    // Endpoints at which a strong suspect has been started that hasn't survived
    // its start yet.
    std::set<std::string> trial_endpoints_;
    std::map<std::string, resources> team_usage_;
    std::set<std::string> short_pools_;
    std::set<step_key> waiting_steps_;
    // Of the steps of which this round has placed tasks or copies.
    std::map<step_key, step_spread> spreads_;
    // The expected room near a preferred rack, by pool and label, less what
    // waiting tasks have booked.
    std::map<std::pair<std::string, std::string>, rack_forecast> forecasts_;
    std::vector<placed_run> placed_;
    // Invariant: has one element for each element of placed_.
    std::vector<used_place> used_places_;
};

/// \brief When an occurrence of a job with a schedule is due, in log time.
/// \returns milliseconds since 1970; the largest value if it exceeds the range.
std::uint64_t start_time_ms(
    const wire::JobSpecT& spec, std::uint32_t occurrence);

/// \brief The times of an occurrence that decide about its order of service.
struct occurrence_times {
    /// When it should be complete, in milliseconds since 1970 of log time.
    std::uint64_t due_ms = 0;
    /// The sum of declared run times on the critical path through the steps
    /// that are not done.
    std::uint64_t remaining_ms = 0;
    /// Whether it will be on time if its next step starts now, by the declared
    /// run times.
    timeliness predicted = timeliness::on_time;
};

/// \param now_ms log time in milliseconds since 1970.
occurrence_times times_of(const wire::JobT& job,
    const wire::JobOccurrenceT& occurrence, const wire::JobQueueT& queue,
    std::uint64_t now_ms);

/// \returns the sum of declared run times on the critical path through the
/// steps, in milliseconds.
std::uint64_t longest_chain_ms(const wire::JobSpecT& spec);

} // namespace dragonflymount::jobs

#endif
