// Orders restarts of drained VMs, and reports the demand of each pool, which
// the planning of restart waves and VM moves uses.
#include "dragonflymount/src/Zone/Coordinator.hpp"

namespace dragonflymount::zone {

// The restart order is repeated until the VM announces a new incarnation. The
// order carries the incarnation that it is for, so that a delayed copy doesn't
// restart the VM a second time.
void coordinator::order_reboots(instant now) {
    std::vector<vm_id> drained;
    for (const auto& [vm, known] : endpoints_.all()) {
        const bool reboot_requested = known.draining && known.reboot != 0 &&
            known.reboot == known.incarnation;
        if (reboot_requested && known.connected && known.fenced &&
            known.tasks.empty()) {
            drained.push_back(vm);
        }
    }
    for (const vm_id& vm : drained) {
        endpoint& known = *endpoints_.find(vm);
        known.reboot_sent = now;
        known.reboot_sent_to = known.incarnation;
        wire::RebootT order;
        order.vm = vm.str();
        order.zone_epoch = epoch_.value();
        order.incarnation = known.incarnation;
        actions_.push_back(
            send_endpoint{vm, wire::make_message(std::move(order))});
    }
}

void coordinator::report_demand(wire::EntryBeatT& beat) const {
    std::map<pool_id, wire::PoolDemandT> demands;
    for (const pool_id& pool : dispatcher_.pools()) {
        demands[pool].queued =
            static_cast<std::uint32_t>(dispatcher_.queued(pool));
    }
    for (const auto& [vm, known] : endpoints_.all()) {
        if (known.pool.empty()) {
            continue;
        }
        wire::PoolDemandT& demand = demands[known.pool];
        demand.running += static_cast<std::uint32_t>(known.tasks.size());
        demand.slots += known.draining ? 0 : known.slots;
    }
    for (auto& [pool, demand] : demands) {
        demand.pool = pool.str();
        beat.pools.push_back(
            std::make_unique<wire::PoolDemandT>(std::move(demand)));
    }
}

} // namespace dragonflymount::zone
