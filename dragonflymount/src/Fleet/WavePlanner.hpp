// The leader's decisions on maintenance waves.
//
// A wave drains as many VMs at a time as the budgets allow, those first that
// were maintained longest ago. A VM restarts only when no task runs there.
// A task that doesn't end holds its VM back, not the wave: the drain is given
// up, and tried again later with more patience.
#ifndef DRAGONFLYMOUNT_FLEET_WAVE_PLANNER_HPP
#define DRAGONFLYMOUNT_FLEET_WAVE_PLANNER_HPP

#include "dragonflymount/src/Fleet/Budget.hpp"
#include "dragonflymount/src/Fleet/Waves.hpp"

#include <vector>

namespace dragonflymount::fleet {

struct wave_options {
    /// A VM that was lost for this long counts as failed.
    duration lost_limit = std::chrono::seconds(15);
    /// A drained VM that isn't back from its restart in this time counts as
    /// failed.
    duration reboot_limit = std::chrono::minutes(10);
    /// A drain that takes longer is given up; doubles with each attempt.
    duration drain_limit = std::chrono::minutes(5);
    /// A VM that was held back is drained again no sooner than this.
    duration retry_delay = std::chrono::minutes(15);
    /// Baseline for measurements: one VM of the whole fleet at a time.
    bool one_at_a_time = false;
};

struct wave_decisions {
    std::vector<wire::AssignVmT> assignments;
    std::vector<wire::WaveProgressT> progress;
};

enum class vm_phase : std::uint8_t {
    waiting,
    draining,
    rebooting,
    returned,
    held,
    failed
};

const char* name_of(vm_phase phase);

/// \brief How far a VM is, for operators.
struct vm_progress {
    vm_phase phase = vm_phase::waiting;
    /// Why it waits; empty in the other phases.
    std::string reason;
};

class wave_planner {
public:
    explicit wave_planner(wave_options options = {}) : options_(options) {}

    /// \brief Forgets what was seen; call when leadership begins.
    void reset();
    /// \param stops the budget of this round; what is stopped is taken of it.
    wave_decisions decide(const wave_table& waves, const fleet_view& view,
        budget& stop_budget, instant now);

    vm_progress progress_of(
        const fleet_view& view, const wave_record& wave, const vm_id& vm) const;
    /// \returns how long a VM took from its drain to its return, on average.
    duration mean_cycle() const { return mean_cycle_; }

private:
    /// What the leader has seen of a VM.
    struct vm_observations {
        bool seen_up = false;
        instant drained_since = instant::max();
        instant lost_since = instant::max();
        /// Since when nothing but its restart was awaited.
        instant stopped_since = instant::max();
        bool failure_reported = false;
        std::uint32_t attempts = 0;
        instant retry_at{};
        std::string reason;
    };

    void observe(const fleet_view& view, instant now);
    void complete_reboots(
        const fleet_view& view, instant now, wave_decisions& out);
    void report_failures(const wave_id& id, const wave_record& wave,
        const fleet_view& view, instant now, wave_decisions& out);
    void cancel_drains(const wave_table& waves, const fleet_view& view,
        const budget& stop_budget, instant now, wave_decisions& out);
    void drain(const wave_record& wave, const fleet_view& view,
        budget& stop_budget, instant now, wave_decisions& out);
    std::string reason_to_wait(const fleet_view& view, const vm_id& vm,
        const vm_record& record, const budget& stop_budget, instant now) const;

    wave_options options_;
    std::map<vm_id, vm_observations> observations_;
    duration mean_cycle_ = std::chrono::minutes(5);
};

/// \returns whether \p time_of_day lies in the window; it may span midnight.
bool is_inside(
    const rules::window_rule& window, std::chrono::minutes time_of_day);

} // namespace dragonflymount::fleet

#endif
