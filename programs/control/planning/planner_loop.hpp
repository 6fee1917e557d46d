// Turns the leader's decisions into commands, at a steady pace.
#ifndef DRAGONFLYMOUNT_CONTROL_PLANNING_PLANNER_LOOP_HPP
#define DRAGONFLYMOUNT_CONTROL_PLANNING_PLANNER_LOOP_HPP

#include "programs/control/agreement/control_replica.hpp"

namespace dragonflymount::control_program {

/// \returns the time of day, UTC, for maintenance windows.
std::chrono::minutes time_of_day();

class planner_loop {
public:
    planner_loop(asio::io_context& context, replica_host& replica,
        control::planner_options options);

    std::string name() const { return "planning"; }
    result<done> start();
    void stop();

    /// \returns the reply to an entry's beat, nothing if this replica doesn't
    /// lead.
    std::optional<wire::EntryLeaseT> receive(const wire::EntryBeatT& beat);
    const control::planner& planner() const { return planner_; }

private:
    void decide();
    void log_quarantine(const wire::EntryBeatT& beat);

    replica_host& replica_;
    control::planner planner_;
    runtime::repeating_timer timer_;
    // Proposals not applied yet; decisions wait for them, or they would be
    // taken twice.
    std::size_t under_way_ = 0;
    // VMs whose quarantine has been logged.
    std::set<vm_id> quarantined_;
};

} // namespace dragonflymount::control_program

#endif
