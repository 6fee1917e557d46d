// Combines the agreed records of VMs with the reports of the zones'
// coordinators into the leader's view of the fleet.
#ifndef DRAGONFLYMOUNT_FLEET_VIEW_HPP
#define DRAGONFLYMOUNT_FLEET_VIEW_HPP

#include "dragonflymount/rules.hpp"
#include "dragonflymount/src/Fleet/VmTable.hpp"

#include <map>
#include <set>

namespace dragonflymount::fleet {

/// \brief The state of one VM as a coordinator reports it.
struct vm_report {
    /// The epoch of the reporting coordinator.
    zone_epoch coordinator;
    /// The epoch of the assignment under which the VM works.
    assignment_epoch epoch;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    /// Running tasks that can neither be stopped nor checkpointed.
    std::uint32_t held = 0;
    /// The coordinator no longer receives messages from the VM.
    bool lost = false;
    bool leaving = false;
    bool quarantined = false;
    /// Draining, not lost, and no task runs or may start on it.
    bool drained = false;
};

/// \brief A VM that a coordinator reports and that has no record yet.
struct new_vm {
    availability_zone_id zone;
    rack_id rack;
    std::uint64_t incarnation = 0;
};

/// \brief The slots that a pool's requests need.
struct pool_demand {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
};

/// \brief The input of one round of decisions.
struct fleet_view {
    const rules::rule_set& rules;
    const vm_table& vms;
    /// Only from current coordinators whose last report is recent.
    std::map<vm_id, vm_report> reports;
    std::map<vm_id, new_vm> unassigned;
    /// Zones whose current coordinator sent a recent report.
    std::set<availability_zone_id> reporting_zones;
    std::map<pool_id, pool_demand> demand;
    std::uint64_t log_time_ms = 0;
    /// UTC, for maintenance windows. Passed in so that decisions never read a
    /// clock.
    std::chrono::minutes time_of_day{0};

    /// \returns the report on \p vm, or a null pointer if there is none.
    const vm_report* report_of(const vm_id& vm) const {
        const auto found = reports.find(vm);
        return found == reports.end() ? nullptr : &found->second;
    }
};

/// \returns whether \p vm accepts tasks according to its record and report.
inline bool is_up(
    const fleet_view& view, const vm_id& vm, const vm_record& record) {
    const vm_report* report = view.report_of(vm);
    return report != nullptr && !record.draining && !report->lost &&
        !report->leaving && !report->quarantined &&
        report->epoch == record.epoch;
}

} // namespace dragonflymount::fleet

#endif
