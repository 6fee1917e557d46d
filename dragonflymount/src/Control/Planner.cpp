// Handles entry reports and leases, appoints coordinators and reassigns
// restarted VMs.
#include "dragonflymount/src/Control/Planner.hpp"

#include <algorithm>

namespace dragonflymount::control {
void planner::reset(instant now) {
    leading_since_ = now;
    entries_.clear();
    zones_.clear();
    targets_.clear();
    fleet_.reset();
}

void planner::report(const wire::EntryBeatT& beat, instant now) {
    const availability_zone_id zone(beat.zone);
    entry_view& entry = entries_[entry_id(beat.entry)];
    entry.zone = zone;
    entry.address = beat.address;
    entry.version = rules_version(beat.rules_version);
    entry.last_beat = now;
    entry.stopping = beat.stopping;
    entry.incarnation = beat.incarnation;
    entry.beats[beat.incarnation] = now;
    std::erase_if(entry.beats, [&](const auto& held) {
        return now - held.second > grantor_span(options_.zone_lease);
    });
    if (beat.zone_epoch == 0) {
        return;
    }
    zone_view& view = zones_[zone];
    if (beat.zone_epoch < view.epoch.value()) {
        return;
    }
    view.epoch = zone_epoch(beat.zone_epoch);
    view.report = beat;
    view.last_report = now;
}

wire::EntryLeaseT planner::lease_for(const wire::EntryBeatT& beat,
    const state& agreed, instant quorum, instant now) const {
    wire::EntryLeaseT lease;
    lease.rules_version = agreed.version().value();
    const duration left = quorum + options_.freshness_lease - now;
    lease.fresh_ms = to_wire_ms(holder_span(std::max(left, duration(0))));
    if (beat.rules_version != agreed.version().value()) {
        lease.rules = agreed.rules_text();
    }
    for (const auto& [digest, withdrawal] : agreed.withdrawn()) {
        lease.withdrawn.push_back(digest);
    }
    for (const auto& [zone, held] : agreed.coordinators()) {
        auto route = std::make_unique<wire::ZoneRouteT>();
        route->zone = zone.str();
        route->entry = held.entry.str();
        route->address = held.address;
        route->epoch = held.epoch.value();
        lease.routes.push_back(std::move(route));
    }
    const availability_zone_id zone(beat.zone);
    const auto held = agreed.coordinators().find(zone);
    if (held == agreed.coordinators().end()) {
        return lease;
    }
    const bool is_entry = held->second.entry.str() == beat.entry;
    if (is_entry && held->second.incarnation != beat.incarnation) {
        return lease;
    }
    lease.coordinator = held->second.entry.str();
    lease.zone_epoch = held->second.epoch.value();
    if (lease.coordinator != beat.entry || left <= duration(0)) {
        return lease;
    }
    lease.zone_lease_ms = to_wire_ms(holder_span(options_.zone_lease));
    for (const auto& [key, grant] : agreed.grants()) {
        if (key.first != zone) {
            continue;
        }
        auto part = std::make_unique<wire::GrantStateT>();
        part->team = key.second.str();
        part->amount = grant.amount;
        part->sequence = grant.sequence.value();
        const auto target = targets_.find(key);
        part->target = target == targets_.end() ? grant.amount : target->second;
        lease.grants.push_back(std::move(part));
    }
    for (const auto& [vm, record] : agreed.vms()) {
        if (record.zone != zone) {
            continue;
        }
        auto assignment = std::make_unique<wire::AssignmentT>();
        assignment->vm = vm.str();
        assignment->pool = record.pool.str();
        assignment->epoch = record.epoch.value();
        assignment->draining = record.draining;
        assignment->reboot = record.reboot;
        assignment->incarnation = record.incarnation;
        lease.assignments.push_back(std::move(assignment));
    }
    return lease;
}

std::vector<bytes> planner::decide(
    const state& agreed, instant now, std::chrono::minutes time_of_day) {
    std::vector<bytes> commands;
    appoint(agreed, now, commands);
    reassign_restarted_vms(agreed, commands);
    fleet_.set_log_time_base(agreed.log_time_ms());
    fleet_.decide(
        agreed.waves(), view_of(agreed, now, time_of_day), now, commands);
    grant(agreed, now, commands);
    return commands;
}

instant planner::last_beat_of(const coordinator_record& held) const {
    const auto entry = entries_.find(held.entry);
    if (entry == entries_.end()) {
        return leading_since_;
    }
    const auto beat = entry->second.beats.find(held.incarnation);
    return beat == entry->second.beats.end()
        ? leading_since_
        : std::max(leading_since_, beat->second);
}

void planner::appoint(
    const state& agreed, instant now, std::vector<bytes>& commands) {
    std::map<availability_zone_id, entry_id> candidates;
    for (const auto& [entry, view] : entries_) {
        const bool alive = now - view.last_beat < options_.entry_timeout;
        if (alive && !view.stopping) {
            candidates.try_emplace(view.zone, entry);
        }
    }
    for (const auto& [zone, candidate] : candidates) {
        zone_epoch epoch;
        const auto held = agreed.coordinators().find(zone);
        if (held != agreed.coordinators().end()) {
            const auto view = entries_.find(held->second.entry);
            // A new leader doesn't know when its predecessor last renewed the
            // lease, so last_beat_of counts from the start of leadership.
            const instant renewed = last_beat_of(held->second);
            const bool stopping = view != entries_.end() &&
                view->second.stopping &&
                view->second.incarnation == held->second.incarnation;
            if (!stopping &&
                now - renewed < grantor_span(options_.zone_lease)) {
                continue;
            }
            epoch = held->second.epoch;
        }
        wire::AppointCoordinatorT command;
        command.zone = zone.str();
        command.entry = candidate.str();
        command.address = entries_.at(candidate).address;
        command.epoch = epoch.value();
        command.incarnation = entries_.at(candidate).incarnation;
        commands.push_back(wire::encode_command(std::move(command)));
    }
}

// A restarted VM keeps its pool but has lost its tasks; the command records
// the new incarnation.
void planner::reassign_if_restarted(const vm_id& vm, const vm_record& held,
    const wire::VmSummaryT& summary, std::vector<bytes>& commands) {
    // After a requested reboot, the wave records the new incarnation.
    if (held.incarnation == summary.incarnation || held.reboot) {
        return;
    }
    wire::AssignVmT command;
    command.vm = vm.str();
    command.zone = held.zone.str();
    command.rack = summary.rack;
    command.pool = held.pool.str();
    command.epoch = held.epoch.value();
    command.draining = held.draining;
    command.reboot = held.reboot;
    command.incarnation = summary.incarnation;
    commands.push_back(wire::encode_command(std::move(command)));
}

void planner::reassign_restarted_vms(
    const state& agreed, std::vector<bytes>& commands) const {
    for (const auto& [zone, view] : zones_) {
        for (const auto& vm : view.report.vms) {
            const auto held = agreed.vms().find(vm_id(vm->vm));
            if (held != agreed.vms().end()) {
                reassign_if_restarted(held->first, held->second, *vm, commands);
            }
        }
    }
}

fleet::fleet_view planner::view_of(
    const state& agreed, instant now, std::chrono::minutes time_of_day) const {
    fleet::fleet_view view =
        fleet_.begin_view(agreed.rules(), agreed.vm_table(),
            agreed.log_time_ms(), leading_since_, now, time_of_day);
    for (const auto& [zone, held] : agreed.coordinators()) {
        const auto found = zones_.find(zone);
        if (found != zones_.end() && found->second.epoch == held.epoch &&
            now - found->second.last_report < options_.entry_timeout) {
            fleet::add_report(view, found->second.report);
        }
    }
    return view;
}

} // namespace dragonflymount::control
