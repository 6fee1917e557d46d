// The leader's decisions over VMs, taken together: new VMs, waves, and VMs
// that are gone. All planned stops of a round share one budget.
#ifndef DRAGONFLYMOUNT_FLEET_FLEET_PLANNER_HPP
#define DRAGONFLYMOUNT_FLEET_FLEET_PLANNER_HPP

#include "dragonflymount/src/Fleet/Assigner.hpp"
#include "dragonflymount/src/Fleet/Forecast.hpp"
#include "dragonflymount/src/Fleet/WavePlanner.hpp"

namespace dragonflymount::fleet {

class fleet_planner {
public:
    /// \brief Forgets what was seen; call when leadership begins.
    void reset();

    /// \brief Notes the log time at which this leader began.
    void set_log_time_base(std::uint64_t agreed_log_time_ms);

    /// \returns a view that holds no reports yet.
    /// \param agreed_log_time_ms the log time of the agreed state.
    fleet_view begin_view(const rules::rule_set& rules, const vm_table& vms,
        std::uint64_t agreed_log_time_ms, instant leading_since, instant now,
        std::chrono::minutes time_of_day) const;

    /// \brief Appends the commands of one round.
    void decide(const wave_table& waves, const fleet_view& view, instant now,
        std::vector<bytes>& commands);

    const wave_planner& waves() const { return waves_; }

private:
    wave_planner waves_;
    absent_vm_remover absent_vm_remover_;
    // Log time when this leader first looked; unset until then.
    std::optional<std::uint64_t> log_time_base_ms_;
};

/// \brief Adds what the current coordinator of a zone reports.
void add_report(fleet_view& view, const wire::EntryBeatT& beat);

} // namespace dragonflymount::fleet

#endif
