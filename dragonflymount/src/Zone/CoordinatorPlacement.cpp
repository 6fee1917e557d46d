// Starts queued requests: keeps the dispatcher's view of the VMs up to date,
// and starts the requests that the dispatcher selects.
#include "dragonflymount/src/Zone/Coordinator.hpp"

namespace dragonflymount::zone {

bool coordinator::may_start(instant now) const {
    return recovered_ && now < zone_lease_end_;
}

void coordinator::update_vm_view(
    const vm_id& vm, const endpoint& known, instant now) {
    policy::vm_view view;
    view.vm = vm;
    view.rack = known.rack;
    view.slots = known.slots;
    view.connections = known.connections;
    // The view is refreshed once per interval, so the VM must still be
    // available at the end of the interval.
    view.available = endpoint_table::is_available(
        known, known.pool, now + silence_check_interval);
    dispatcher_.update_vm(known.pool, view);
}

void coordinator::update_all_vm_views(instant now) {
    for (const auto& [vm, known] : endpoints_.all()) {
        update_vm_view(vm, known, now);
    }
}

void coordinator::start_queued(instant now) {
    if (!may_start(now)) {
        return;
    }
    for (const pool_id& pool : dispatcher_.pools()) {
        while (start_next(pool, now)) {
        }
    }
    for (const policy::shed_request& shed : dispatcher_.take_shed()) {
        refuse(shed.key, requests_.at(shed.key), "its deadline can't be met",
            shed.retry_after, now);
    }
}

bool coordinator::start_next(const pool_id& pool, instant now) {
    const auto next = dispatcher_.next(
        pool, [&](const team_id& team) { return grants_.may_start(team); },
        now);
    if (!next) {
        return false;
    }
    start(next->key, requests_.at(next->key), next->vm, now);
    return true;
}

} // namespace dragonflymount::zone
