// Implements the ordered index of free VMs.
#include "dragonflymount/src/Policy/VmIndex.hpp"

#include <algorithm>

namespace dragonflymount::policy {

vm_index::placement_rank vm_index::rank_of(const vm_view& view) const {
    const auto rack = racks_.find(view.rack);
    return {view.running * 1000 / std::max(1U, view.capacity()),
        rack == racks_.end() ? 0 : rack->second.running, view.vm};
}

// Running tasks use slots of the pool even if their VM takes no new tasks.
std::uint32_t vm_index::counted_slots(const vm_view& view) {
    return view.available ? std::max(view.capacity(), view.running)
                          : view.running;
}

void vm_index::remove_free_vms(const rack_id& rack) {
    for (const vm_id& vm : racks_[rack].vms) {
        free_.erase(rank_of(vms_.at(vm).view));
    }
}

void vm_index::insert_free_vms(const rack_id& rack) {
    for (const vm_id& vm : racks_[rack].vms) {
        const vm_view& view = vms_.at(vm).view;
        if (view.available && view.running < view.capacity()) {
            free_.insert(rank_of(view));
        }
    }
}

void vm_index::update(const vm_view& view) {
    const auto known = vms_.find(view.vm);
    if (known != vms_.end() && known->second.view.rack != view.rack) {
        remove(view.vm);
    }
    remove_free_vms(view.rack);
    rack_state& rack = racks_[view.rack];
    vm_state& known_vm = vms_[view.vm];
    rack.running = rack.running - known_vm.view.running + view.running;
    slots_ = slots_ - counted_slots(known_vm.view) + counted_slots(view);
    rack.vms.insert(view.vm);
    known_vm.view = view;
    insert_free_vms(view.rack);
}

void vm_index::remove(const vm_id& vm) {
    const auto known = vms_.find(vm);
    if (known == vms_.end()) {
        return;
    }
    const vm_view view = known->second.view;
    remove_free_vms(view.rack);
    slots_ -= counted_slots(view);
    racks_[view.rack].running -= view.running;
    racks_[view.rack].vms.erase(vm);
    vms_.erase(known);
    insert_free_vms(view.rack);
}

void vm_index::mark_warm(const vm_id& vm, const service_id& service) {
    const auto known = vms_.find(vm);
    if (known != vms_.end()) {
        known->second.warm_services.insert(service);
    }
}

std::optional<vm_id> vm_index::choose(
    const service_id& service, std::span<const vm_id> avoid) const {
    const placement_rank* chosen = nullptr;
    std::size_t seen = 0;
    for (const placement_rank& rank : free_) {
        const bool avoided =
            std::find(avoid.begin(), avoid.end(), rank.vm) != avoid.end();
        if (avoided) {
            continue;
        }
        const bool first = chosen == nullptr;
        if (!first &&
            (rank.load_permille != chosen->load_permille ||
                ++seen == most_candidates)) {
            break;
        }
        if (first) {
            chosen = &rank;
        }
        if (vms_.at(rank.vm).warm_services.contains(service)) {
            return rank.vm;
        }
    }
    if (chosen != nullptr) {
        return chosen->vm;
    }
    if (free_.empty()) {
        return std::nullopt;
    }
    return free_.begin()->vm;
}

const vm_view* vm_index::find(const vm_id& vm) const {
    const auto known = vms_.find(vm);
    return known == vms_.end() ? nullptr : &known->second.view;
}

} // namespace dragonflymount::policy
