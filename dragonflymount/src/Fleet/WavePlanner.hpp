// Decides which VMs of a maintenance wave to drain, and tracks their progress.
//
// A wave drains as many VMs at a time as the budgets allow, beginning with
// those maintained longest ago. A VM restarts only when no task runs on it.
// A task that doesn't end delays only its own VM: the drain is cancelled after
// a time limit and retried later with a longer one, after the VMs with fewer
// attempts.
#ifndef DRAGONFLYMOUNT_FLEET_WAVE_PLANNER_HPP
#define DRAGONFLYMOUNT_FLEET_WAVE_PLANNER_HPP

#include "dragonflymount/src/Fleet/Budget.hpp"
#include "dragonflymount/src/Fleet/Waves.hpp"

#include <vector>

namespace dragonflymount::fleet {

struct wave_options {
    /// A VM that has been lost for this long counts as failed.
    duration lost_limit = std::chrono::seconds(15);
    /// A drained VM that hasn't returned from its restart within this time
    /// counts as failed.
    duration reboot_limit = std::chrono::minutes(10);
    /// A drain that takes longer is cancelled. The limit doubles with each
    /// attempt, at most eight times.
    duration drain_limit = std::chrono::minutes(5);
    /// Delay before a VM whose drain exceeded its limit is drained again.
    duration retry_delay = std::chrono::minutes(15);
    /// Drains one VM of the whole fleet at a time; a baseline for
    /// measurements.
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

/// \brief The progress of a VM in a wave, for operators.
struct vm_progress {
    vm_phase phase = vm_phase::waiting;
    /// Why the VM isn't drained yet, or that its record is gone; may be empty.
    std::string reason;
};

class wave_planner {
public:
    explicit wave_planner(wave_options options = {}) : options_(options) {}

    /// \brief Discards all observations; call when leadership begins.
    void reset();
    /// \brief Takes one round of decisions.
    /// \param stop_budget the budget of this round; new drains are reserved in
    /// it.
    wave_decisions decide(const wave_table& waves, const fleet_view& view,
        budget& stop_budget, instant now);

    vm_progress progress_of(
        const fleet_view& view, const wave_record& wave, const vm_id& vm) const;
    /// \returns the moving average of a VM's time from the start of its drain
    /// to its return.
    duration mean_cycle() const { return mean_cycle_; }

private:
    /// What this leader has observed of a VM. A \c _since time is
    /// \c instant::max() while its condition doesn't hold.
    struct vm_observations {
        bool seen_up = false;
        instant draining_since = instant::max();
        instant lost_since = instant::max();
        /// Since when the VM has been drained or lost and only its restart is
        /// awaited.
        instant stopped_since = instant::max();
        bool failure_reported = false;
        /// Drains cancelled at their limit since the last return.
        std::uint32_t attempts = 0;
        instant retry_at{};
        /// Why the VM wasn't drained in the last round.
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
    /// \returns why \p vm can't be drained now; empty if it can.
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
