// Balances new VMs over pools, zones and racks, and removes absent VMs.
#include "dragonflymount/src/Fleet/Assigner.hpp"

#include <algorithm>
#include <tuple>

namespace dragonflymount::fleet {
namespace {

// Numbers of VMs per pool, and per pool in each zone and rack.
struct placement_counts {
    std::map<pool_id, std::uint32_t> pools;
    std::map<std::pair<pool_id, availability_zone_id>, std::uint32_t> zones;
    std::map<std::pair<pool_id, rack_id>, std::uint32_t> racks;

    void add(const pool_id& pool, const availability_zone_id& zone,
        const rack_id& rack) {
        ++pools[pool];
        ++zones[{pool, zone}];
        ++racks[{pool, rack}];
    }
};

template <class Map, class Key>
std::uint32_t count_of(const Map& counts, const Key& key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

// Returns an empty ID if every pool has size 0.
pool_id choose_pool(const rules::rule_set& rules,
    const placement_counts& counts, const new_vm& vm) {
    using key = std::tuple<double, std::uint32_t, std::uint32_t>;
    pool_id best;
    key best_key;
    for (const auto& [name, pool] : rules.pools) {
        if (pool.size == 0) {
            continue;
        }
        const key candidate{static_cast<double>(count_of(counts.pools, name)) /
                static_cast<double>(pool.size),
            count_of(counts.zones, std::pair(name, vm.zone)),
            count_of(counts.racks, std::pair(name, vm.rack))};
        if (best.empty() || candidate < best_key) {
            best = name;
            best_key = candidate;
        }
    }
    return best;
}

// A silent zone gives no evidence that its VMs are absent.
bool is_absent(
    const fleet_view& view, const vm_id& vm, const vm_record& record) {
    if (!view.reporting_zones.contains(record.zone)) {
        return false;
    }
    const vm_report* report = view.report_of(vm);
    return report == nullptr || (report->lost && report->running == 0);
}

} // namespace

std::vector<wire::AssignVmT> assign_new_vms(const fleet_view& view) {
    placement_counts counts;
    for (const auto& [vm, record] : view.vms.all()) {
        counts.add(record.pool, record.zone, record.rack);
    }
    std::vector<wire::AssignVmT> commands;
    for (const auto& [vm, found] : view.unassigned) {
        const auto pin = view.rules.pins.find(vm);
        const pool_id pool = pin != view.rules.pins.end()
            ? pin->second
            : choose_pool(view.rules, counts, found);
        if (pool.empty()) {
            continue;
        }
        counts.add(pool, found.zone, found.rack);
        vm_record record;
        record.zone = found.zone;
        record.rack = found.rack;
        record.pool = pool;
        record.incarnation = found.incarnation;
        commands.push_back(command_for(vm, record, view.log_time_ms));
    }
    return commands;
}

std::vector<wire::ForgetVmT> absent_vm_remover::decide(
    const fleet_view& view, instant now) {
    std::vector<wire::ForgetVmT> commands;
    std::map<vm_id, instant> still_absent;
    for (const auto& [vm, record] : view.vms.all()) {
        if (!is_absent(view, vm, record)) {
            continue;
        }
        const auto known = absent_since_.find(vm);
        const instant since =
            known == absent_since_.end() ? now : known->second;
        still_absent[vm] = since;
        if (now - since >= removal_delay_) {
            wire::ForgetVmT command;
            command.vm = vm.str();
            command.epoch = record.epoch.value();
            commands.push_back(std::move(command));
        }
    }
    absent_since_ = std::move(still_absent);
    return commands;
}

} // namespace dragonflymount::fleet
