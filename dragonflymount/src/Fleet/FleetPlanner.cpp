// Builds the leader's view of the fleet, and runs one round of decisions.
#include "dragonflymount/src/Fleet/FleetPlanner.hpp"

#include <algorithm>

namespace dragonflymount::fleet {
namespace {

vm_report read_report(
    const wire::VmSummaryT& summary, std::uint64_t coordinator) {
    vm_report report;
    report.coordinator = zone_epoch(coordinator);
    report.epoch = assignment_epoch(summary.assignment_epoch);
    report.incarnation = summary.incarnation;
    report.slots = summary.slots;
    report.running = summary.running;
    report.held = summary.held;
    report.lost = summary.lost;
    report.leaving = summary.leaving;
    report.quarantined = summary.quarantined;
    report.drained = summary.drained && !summary.lost;
    return report;
}

template <class Content>
void append(std::vector<Content>&& decided, std::vector<bytes>& commands) {
    for (Content& command : decided) {
        commands.push_back(wire::encode_command(std::move(command)));
    }
}

} // namespace

void fleet_planner::reset() {
    waves_.reset();
    absent_vm_remover_.reset();
    log_time_base_ms_.reset();
}

void fleet_planner::set_log_time_base(std::uint64_t agreed_log_time_ms) {
    if (!log_time_base_ms_) {
        log_time_base_ms_ = agreed_log_time_ms;
    }
}

fleet_view fleet_planner::begin_view(const rules::rule_set& rules,
    const vm_table& vms, std::uint64_t agreed_log_time_ms,
    instant leading_since, instant now,
    std::chrono::minutes time_of_day) const {
    using std::chrono::milliseconds;
    const auto leadership_time =
        std::chrono::duration_cast<milliseconds>(now - leading_since);
    const std::uint64_t log_time_ms = std::max(agreed_log_time_ms,
        log_time_base_ms_.value_or(0) +
            static_cast<std::uint64_t>(leadership_time.count()));
    return {rules, vms, {}, {}, {}, {}, log_time_ms, time_of_day};
}

void fleet_planner::decide(const wave_table& waves, const fleet_view& view,
    instant now, std::vector<bytes>& commands) {
    append(assign_new_vms(view), commands);
    budget stop_budget(view);
    wave_decisions decided = waves_.decide(waves, view, stop_budget, now);
    append(std::move(decided.assignments), commands);
    append(std::move(decided.progress), commands);
    append(absent_vm_remover_.decide(view, now), commands);
}

void add_report(fleet_view& view, const wire::EntryBeatT& beat) {
    const availability_zone_id zone(beat.zone);
    view.reporting_zones.insert(zone);
    for (const auto& summary : beat.vms) {
        const vm_id vm(summary->vm);
        const vm_record* record = view.vms.find(vm);
        if (record == nullptr) {
            if (!summary->lost && !summary->leaving) {
                view.unassigned[vm] = {
                    zone, rack_id(summary->rack), summary->incarnation};
            }
        } else if (record->zone == zone) {
            view.reports[vm] = read_report(*summary, beat.zone_epoch);
        }
    }
    for (const auto& demand : beat.pools) {
        pool_demand& sum = view.demand[pool_id(demand->pool)];
        sum.queued += demand->queued;
        sum.running += demand->running;
    }
}

} // namespace dragonflymount::fleet
