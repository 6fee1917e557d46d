// Computes the remaining rounds of a wave and the time that they take with the
// pauses outside the maintenance window.
#include "dragonflymount/src/Fleet/Forecast.hpp"

#include <algorithm>

namespace dragonflymount::fleet {
namespace {

constexpr std::chrono::minutes whole_day{24 * 60};

std::uint32_t round_count(std::uint32_t left, std::uint32_t at_a_time) {
    return (left + at_a_time - 1) / at_a_time;
}

// Returns how many VMs of the pool may be down at once.
std::uint32_t spare_vms(
    const rules::rule_set& rules, const pool_id& pool, std::uint32_t members) {
    const auto rule = rules.pools.find(pool);
    const std::uint32_t minimum =
        rule == rules.pools.end() ? 0 : rule->second.min_available;
    return members - std::min(members, minimum);
}

/// \returns the time until \p work is done if it proceeds only inside the
/// window.
duration elapsed_time(const rules::window_rule& window,
    std::chrono::minutes time_of_day, duration work) {
    // The interval may span midnight.
    const auto minutes_between = [](std::chrono::minutes from,
                                     std::chrono::minutes to) {
        return (to - from + whole_day) % whole_day;
    };
    // A window whose begin equals its end is open all day.
    std::chrono::minutes open = minutes_between(window.begin, window.end);
    if (open.count() == 0) {
        open = whole_day;
    }
    const std::chrono::minutes since =
        minutes_between(window.begin, time_of_day);
    duration waited{};
    duration left = open - since;
    if (since >= open) {
        waited = whole_day - since;
        left = open;
    }
    while (work > left) {
        work -= left;
        waited += left + (whole_day - open);
        left = open;
    }
    return waited + work;
}

} // namespace

std::optional<duration> time_left(
    const fleet_view& view, const wave_record& wave, duration cycle) {
    std::map<pool_id, std::uint32_t> pools;
    std::map<pool_id, std::uint32_t> members;
    std::map<rack_id, std::uint32_t> racks;
    std::map<availability_zone_id, std::uint32_t> zones;
    for (const auto& [vm, record] : view.vms.all()) {
        ++members[record.pool];
        if (wave.covers(record.pool) &&
            record.maintained_ms < wave.started_ms) {
            ++pools[record.pool];
            ++racks[record.rack];
            ++zones[record.zone];
        }
    }
    const rules::maintenance_rule& rule = view.rules.maintenance;
    std::uint32_t rounds = 0;
    for (const auto& [rack, left] : racks) {
        rounds = std::max(rounds, round_count(left, rule.max_down_per_rack));
    }
    for (const auto& [zone, left] : zones) {
        rounds = std::max(rounds, round_count(left, rule.max_down_per_zone));
    }
    for (const auto& [pool, left] : pools) {
        const std::uint32_t spare =
            spare_vms(view.rules, pool, members.at(pool));
        if (spare == 0) {
            return std::nullopt;
        }
        rounds = std::max(rounds, round_count(left, spare));
    }
    return elapsed_time(view.rules.window, view.time_of_day, cycle * rounds);
}

} // namespace dragonflymount::fleet
