// Applies announcements and assignments to the endpoint table, and decides
// which endpoints may get new tasks.
#include "dragonflymount/src/Zone/Endpoints.hpp"

#include <algorithm>

namespace dragonflymount::zone {
namespace {

bool awaits_restart(const endpoint& candidate, instant now) {
    return candidate.reboot_sent_to == candidate.incarnation &&
        candidate.reboot_sent != instant::min() &&
        now - candidate.reboot_sent < endpoint_table::reboot_hold;
}

} // namespace

endpoint& endpoint_table::announce(
    const wire::AnnounceT& message, instant now) {
    endpoint& known = endpoints_[vm_id(message.vm)];
    known.rack = rack_id(message.rack);
    known.slots = message.slots;
    known.connections = message.connections;
    known.incarnation = message.incarnation;
    known.leaving = message.leaving;
    known.clock_ms = message.clock_ms;
    known.connected = true;
    known.last_heard = now;
    return known;
}

void endpoint_table::disconnect(const vm_id& vm) {
    if (endpoint* known = find(vm)) {
        known->connected = false;
    }
}

void endpoint_table::assign(const wire::EntryLeaseT& lease) {
    for (const auto& assignment : lease.assignments) {
        endpoint& known = endpoints_[vm_id(assignment->vm)];
        if (assignment_epoch(assignment->epoch) < known.epoch) {
            continue;
        }
        known.pool = pool_id(assignment->pool);
        known.epoch = assignment_epoch(assignment->epoch);
        known.draining = assignment->draining;
        known.assigned_incarnation = assignment->incarnation;
        known.reboot = assignment->reboot ? assignment->incarnation : 0;
    }
}

bool endpoint_table::is_available(
    const endpoint& candidate, const pool_id& pool, instant now) {
    return candidate.connected && candidate.fenced && !candidate.leaving &&
        !candidate.draining && candidate.pool == pool &&
        candidate.incarnation == candidate.assigned_incarnation &&
        !awaits_restart(candidate, now) &&
        now - candidate.last_heard < silence_limit;
}

endpoint* endpoint_table::find(const vm_id& vm) {
    const auto found = endpoints_.find(vm);
    return found == endpoints_.end() ? nullptr : &found->second;
}

bool endpoint_table::all_fenced() const {
    return std::all_of(
        endpoints_.begin(), endpoints_.end(), [](const auto& entry) {
            return entry.second.fenced || entry.second.pool.empty();
        });
}

bool endpoint_table::all_clean() const {
    return std::all_of(
        endpoints_.begin(), endpoints_.end(), [](const auto& entry) {
            const endpoint& known = entry.second;
            return known.pool.empty() ||
                (known.fenced &&
                    known.incarnation == known.assigned_incarnation);
        });
}

} // namespace dragonflymount::zone
