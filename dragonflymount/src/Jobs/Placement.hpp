// Which waiting tasks start where: the placement round of the leader.
//
// Pure: it reads the agreed state and the reports, and returns starts. One
// round follows another only once the starts of the first are agreed, so the
// state already counts all that was placed before.
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

private:
    struct candidate {
        const endpoint_view* view = nullptr;
        resources room;
        // Whether a task that lasts is there.
        bool holds_lasting = false;
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
        timeliness outlook = timeliness::on_time;
        std::uint64_t begin_by_ms = 0;
    };
    // Tasks of one step at each endpoint, and the racks that they use.
    struct step_spread {
        std::map<std::string, std::uint32_t> at_endpoint;
        std::set<rack_id> racks;
    };

    void collect_candidates();
    bool holds_lasting(const endpoint_load* load) const;
    void collect_steps();
    void collect_steps(const wire::JobT& job);
    void place_step(const open_step& open, std::size_t most);
    void place_gang(const open_step& open);
    bool place_task(
        const open_step& open, std::uint32_t index, step_spread& spread);
    candidate* choose(const open_step& open, const task_name& name,
        const step_spread& spread);
    bool may_use(const open_step& open, const task_name& name,
        const step_spread& spread, const candidate& place) const;
    bool within_limit(const wire::JobT& job, const wire::JobStepT& step);
    step_spread spread_of(const open_step& open) const;
    /// \returns when a run of \p name last had trouble there, if ever.
    std::optional<instant> last_trouble(
        const task_name& name, const std::string& endpoint) const;

    const state& agreed_;
    const endpoint_table& endpoints_;
    const avoided_endpoints& avoided_;
    const std::set<vm_id>& reserved_;
    instant now_;
    std::map<std::string, std::vector<candidate>> pools_;
    std::vector<open_step> steps_;
    std::map<std::string, resources> team_usage_;
    std::vector<placed_run> placed_;
};

/// \brief When a job should be complete, on the log's wall clock.
/// \returns milliseconds since 1970.
std::uint64_t due_time_ms(const wire::JobT& job, std::uint32_t occurrence,
    const wire::JobQueueT& queue);

/// \returns the longest chain of declared run times through the steps.
std::uint64_t longest_chain_ms(const wire::JobSpecT& spec);

/// \returns the longest chain of declared run times through the steps that
/// are not done.
std::uint64_t remaining_chain_ms(
    const wire::JobSpecT& spec, const wire::JobOccurrenceT& occurrence);

} // namespace dragonflymount::jobs

#endif
