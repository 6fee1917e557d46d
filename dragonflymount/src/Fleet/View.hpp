// The leader's view of the fleet: the agreed records beside what the zones'
// coordinators report.
#ifndef DRAGONFLYMOUNT_FLEET_VIEW_HPP
#define DRAGONFLYMOUNT_FLEET_VIEW_HPP

#include "dragonflymount/rules.hpp"
#include "dragonflymount/src/Fleet/VmTable.hpp"

#include <map>
#include <set>

namespace dragonflymount::fleet {

/// \brief What a coordinator reports of one VM.
struct vm_report {
    /// The coordinator that reports it.
    zone_epoch coordinator;
    assignment_epoch epoch;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t held = 0;
    bool lost = false;
    bool leaving = false;
    bool quarantined = false;
    bool drained = false;
};

/// \brief A VM that its coordinator reports, and that has no record yet.
struct new_vm {
    availability_zone_id zone;
    rack_id rack;
    std::uint64_t incarnation = 0;
};

/// \brief What the requests of a pool ask for, in slots.
struct pool_demand {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
};

struct fleet_view {
    const rules::rule_set& rules;
    const vm_table& vms;
    /// From current coordinators that were heard of lately, no others.
    std::map<vm_id, vm_report> reports;
    std::map<vm_id, new_vm> unassigned;
    /// Zones whose current coordinator was heard of lately.
    std::set<availability_zone_id> reporting_zones;
    std::map<pool_id, pool_demand> demand;
    std::uint64_t log_time_ms = 0;
    /// UTC; an input like any other, for maintenance windows.
    std::chrono::minutes time_of_day{0};

    const vm_report* report_of(const vm_id& vm) const {
        const auto found = reports.find(vm);
        return found == reports.end() ? nullptr : &found->second;
    }
};

/// \returns whether \p vm takes work, as far as the leader knows.
inline bool is_up(
    const fleet_view& view, const vm_id& vm, const vm_record& record) {
    const vm_report* report = view.report_of(vm);
    return report != nullptr && !record.draining && !report->lost &&
        !report->leaving && !report->quarantined &&
        report->epoch == record.epoch;
}

} // namespace dragonflymount::fleet

#endif
