// Which waiting tasks start where: the placement round of the leader.
//
// Pure: it reads the agreed state and the reports, and returns starts. One
// round follows another only once the starts of the first are agreed, so the
// state already counts all that was placed before.
//
// A round costs what waits and the endpoints of the pools that it waits for;
// a start looks at the roomiest endpoints first and ends its search at one
// that nothing speaks against. What found no room isn't searched for again,
// nor is anything that needs as much, so a long backlog costs little and never
// hides a task that fits.
#ifndef DRAGONFLYMOUNT_JOBS_PLACEMENT_HPP
#define DRAGONFLYMOUNT_JOBS_PLACEMENT_HPP

#include "dragonflymount/src/Jobs/Endpoints.hpp"

namespace dragonflymount::jobs {

/// \brief Endpoints at which a task's runs have failed, crept or stood still,
/// and when the last of them did.
using avoided_endpoints = std::map<task_name, std::map<std::string, instant>>;

/// For this long a task waits for another endpoint than those it avoids; then
/// it goes back to one rather than never run. About the time in which its pool
/// gets a further VM.
inline constexpr duration avoid_time = std::chrono::milliseconds(1500);

struct placed_run {
    run_ref run;
    endpoint_life life;
};

/// \brief What starting a job's next step now can still reach.
enum class timeliness : std::uint8_t {
    on_time,
    late,
    /// Later than \c latest_use_factor times the objective.
    useless,
};

/// Work that takes longer than this multiple of its objective is of no use
/// to its caller any more.
inline constexpr std::uint64_t latest_use_factor = 3;

class placement {
public:
    /// \param reserved VMs that take no new task, since they are about to
    /// leave their pool or be maintained.
    placement(const state& agreed, const endpoint_table& endpoints,
        const avoided_endpoints& avoided, const std::set<vm_id>& reserved,
        instant now);

    /// \returns the starts of this round, at most \p most.
    std::vector<placed_run> plan(std::size_t most);
    /// \returns the pools in which \c plan left a task without a place.
    const std::set<std::string>& short_pools() const { return short_pools_; }

private:
    struct candidate {
        const endpoint_view* view = nullptr;
        resources room;
        // Whether a task that lasts is there.
        bool holds_lasting = false;
    };
    // Where a candidate stands in the order of room: most processor time
    // first, then by name.
    struct room_rank {
        std::int64_t free_cpu_milli = 0;
        std::size_t candidate = 0;

        friend bool operator<(const room_rank& left, const room_rank& right) {
            return std::tie(right.free_cpu_milli, left.candidate) <
                std::tie(left.free_cpu_milli, right.candidate);
        }
    };
    // Tasks that found no room together, for want of room alone. Room only
    // shrinks in a round, so whatever needs as much finds none, either.
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
    // Invariant: by_room holds each candidate once, at its present room.
    struct pool_room {
        std::vector<candidate> candidates;
        std::set<room_rank> by_room;
        // Invariant: none covers another.
        std::vector<refused_need> refused;
    };
    // What speaks against an endpoint for a task, the gravest first.
    struct place_cost {
        bool avoided = false;
        bool other_rack = false;
        bool off_preferred_rack = false;
        bool has_bad_runs = false;
        bool warming_up = false;
        bool crowded = false;
        bool without_lasting = false;
        std::uint32_t same_step_runs = 0;

        auto fields() const {
            return std::tie(avoided, other_rack, off_preferred_rack,
                has_bad_runs, warming_up, crowded, without_lasting,
                same_step_runs);
        }
        friend bool operator<(const place_cost& one, const place_cost& other) {
            return one.fields() < other.fields();
        }
        bool is_zero() const { return !(place_cost{} < *this); }
    };
    // A run that the round placed, so that it can be taken back.
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
        // Order of service: lasting tasks, then priority, then what can
        // still be in time, then the instant by which the step must begin.
        bool lasting = false;
        std::uint32_t priority = 0;
        timeliness predicted = timeliness::on_time;
        std::uint64_t begin_by_ms = 0;
    };
    // Tasks of one step at each endpoint, and the racks that they use.
    struct step_spread {
        // Members of a gang that the round has placed.
        std::size_t members = 0;
        std::map<std::string, std::uint32_t> at_endpoint;
        std::set<rack_id> racks;
    };

    void group_endpoints();
    pool_room& room_of_pool(const std::string& pool);
    static void take_room(
        pool_room& pool, std::size_t candidate, const resources& taken);
    void collect_steps();
    void collect_steps(const wire::JobT& job);
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
    /// \returns when a run of \p name last had trouble there, if ever.
    std::optional<instant> last_bad_run(
        const task_name& name, const std::string& endpoint) const;

    const state& agreed_;
    const endpoint_table& endpoints_;
    const avoided_endpoints& avoided_;
    const std::set<vm_id>& reserved_;
    instant now_;
    // Endpoints that take tasks, by pool; a pool's room is worked out when its
    // first step is placed.
    std::map<std::string, std::vector<const endpoint_view*>> endpoints_of_;
    std::map<std::string, pool_room> pools_;
    std::vector<open_step> steps_;
    std::map<std::string, resources> team_usage_;
    std::set<std::string> short_pools_;
    std::vector<placed_run> placed_;
    // Invariant: as long as placed_, one place for each run.
    std::vector<used_place> used_places_;
};

/// \brief When a job should be complete, on the log's wall clock.
/// \returns milliseconds since 1970.
std::uint64_t due_time_ms(const wire::JobT& job, std::uint32_t occurrence,
    const wire::JobQueueT& queue);

/// \brief What starting an occurrence's next step at \p now_ms can reach.
timeliness predict_timeliness(const wire::JobT& job,
    const wire::JobOccurrenceT& occurrence, const wire::JobQueueT& queue,
    std::uint64_t now_ms);

/// \returns the longest chain of declared run times through the steps.
std::uint64_t longest_chain_ms(const wire::JobSpecT& spec);

/// \returns the longest chain of declared run times through the steps that
/// are not done.
std::uint64_t remaining_chain_ms(
    const wire::JobSpecT& spec, const wire::JobOccurrenceT& occurrence);

} // namespace dragonflymount::jobs

#endif
