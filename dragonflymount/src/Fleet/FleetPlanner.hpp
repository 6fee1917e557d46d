// Runs the leader's decisions on VMs: pools for new VMs, maintenance waves, and
// removal of absent VMs. All planned stops of a round share one budget.
#ifndef DRAGONFLYMOUNT_FLEET_FLEET_PLANNER_HPP
#define DRAGONFLYMOUNT_FLEET_FLEET_PLANNER_HPP

#include "dragonflymount/src/Fleet/Assigner.hpp"
#include "dragonflymount/src/Fleet/Forecast.hpp"
#include "dragonflymount/src/Fleet/WavePlanner.hpp"

namespace dragonflymount::fleet {

class fleet_planner {
public:
    /// \brief Discards all observations; call when leadership begins.
    void reset();

    /// \brief Stores the log time at the first call after \c reset.
    ///
    /// Later calls have no effect. \c begin_view adds the time since leadership
    /// began to this base.
    /// \param agreed_log_time_ms the log time of the agreed state.
    void set_log_time_base(std::uint64_t agreed_log_time_ms);

    /// \returns a view without reports; add them with \c add_report.
    /// \param agreed_log_time_ms the log time of the agreed state; the view's
    /// log time is never earlier.
    /// \param time_of_day UTC.
    fleet_view begin_view(const rules::rule_set& rules, const vm_table& vms,
        std::uint64_t agreed_log_time_ms, instant leading_since, instant now,
        std::chrono::minutes time_of_day) const;

    /// \brief Appends the encoded commands of one round to \p commands.
    void decide(const wave_table& waves, const fleet_view& view, instant now,
        std::vector<bytes>& commands);

    const wave_planner& waves() const { return waves_; }

private:
    wave_planner waves_;
    absent_vm_remover absent_vm_remover_;
    // Log time at this leader's first round; unset before it.
    std::optional<std::uint64_t> log_time_base_ms_;
};

/// \brief Adds a report of the current coordinator of a zone to the view.
///
/// A VM whose record names another zone is skipped.
void add_report(fleet_view& view, const wire::EntryBeatT& beat);

} // namespace dragonflymount::fleet

#endif
