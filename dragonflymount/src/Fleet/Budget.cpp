// Counts the VMs that are down, and checks planned stops against the rules.
#include "dragonflymount/src/Fleet/Budget.hpp"

namespace dragonflymount::fleet {
namespace {

template <class Map, class Key>
std::uint32_t count_of(const Map& counts, const Key& key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

const char* name_of(budget_verdict verdict) {
    switch (verdict) {
    case budget_verdict::allowed:
        return "allowed";
    case budget_verdict::pool_minimum:
        return "the pool is at its minimum";
    case budget_verdict::last_in_zone:
        return "it is the pool's last VM that is up in the zone";
    case budget_verdict::rack_limit:
        return "the rack has as many VMs down as it may";
    case budget_verdict::zone_limit:
        return "the zone has as many VMs down as it may";
    case budget_verdict::unknown_vm:
        break;
    }
    return "the VM is not known";
}

budget::budget(const fleet_view& view) : view_(view) {
    for (const auto& [vm, record] : view.vms.all()) {
        const pool_in_zone place{record.pool, record.zone};
        ++members_[place];
        if (is_up(view, vm, record)) {
            ++pool_up_[record.pool];
            ++members_up_[place];
        } else {
            down_.insert(vm);
            ++rack_down_[record.rack];
            ++zone_down_[record.zone];
        }
    }
}

std::uint32_t budget::up_in(const pool_id& pool) const {
    return count_of(pool_up_, pool);
}

std::uint32_t budget::down_in(const rack_id& rack) const {
    return count_of(rack_down_, rack);
}

std::uint32_t budget::down_in(const availability_zone_id& zone) const {
    return count_of(zone_down_, zone);
}

budget_verdict budget::check(const vm_id& vm) const {
    const vm_record* record = view_.vms.find(vm);
    if (record == nullptr) {
        return budget_verdict::unknown_vm;
    }
    // A VM that is already down is already counted.
    const std::uint32_t additional = down_.contains(vm) ? 0 : 1;
    const rules::maintenance_rule& rule = view_.rules.maintenance;
    if (down_in(record->zone) + additional > rule.max_down_per_zone) {
        return budget_verdict::zone_limit;
    }
    if (down_in(record->rack) + additional > rule.max_down_per_rack) {
        return budget_verdict::rack_limit;
    }
    const auto pool = view_.rules.pools.find(record->pool);
    const std::uint32_t minimum =
        pool == view_.rules.pools.end() ? 0 : pool->second.min_available;
    if (up_in(record->pool) < minimum + additional) {
        return budget_verdict::pool_minimum;
    }
    const pool_in_zone place{record->pool, record->zone};
    if (additional > 0 && count_of(members_, place) > 1 &&
        count_of(members_up_, place) <= 1) {
        return budget_verdict::last_in_zone;
    }
    return budget_verdict::allowed;
}

budget_verdict budget::reserve(const vm_id& vm) {
    const budget_verdict verdict = check(vm);
    if (verdict == budget_verdict::allowed && !down_.contains(vm)) {
        mark_down(vm, *view_.vms.find(vm));
    }
    return verdict;
}

void budget::mark_down(const vm_id& vm, const vm_record& record) {
    down_.insert(vm);
    --pool_up_[record.pool];
    --members_up_[{record.pool, record.zone}];
    ++rack_down_[record.rack];
    ++zone_down_[record.zone];
}

} // namespace dragonflymount::fleet
