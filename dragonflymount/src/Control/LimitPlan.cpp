// Divides a limit evenly among the zones, with hysteresis.
#include "dragonflymount/src/Control/LimitPlan.hpp"

#include <algorithm>

namespace dragonflymount::control {
namespace {

/// Grants move only if a zone gains at least limit / min_gain_divisor tasks,
/// and at least one.
constexpr std::uint32_t min_gain_divisor = 10;

/// Gives \p rest one by one to the zones that have least, up to their cap.
template <class Cap>
void fill(
    std::vector<std::uint32_t>& targets, std::uint32_t& remaining, Cap cap) {
    while (remaining > 0) {
        std::size_t lowest = targets.size();
        for (std::size_t k = 0; k < targets.size(); ++k) {
            const bool below_cap = targets[k] < cap(k);
            if (below_cap &&
                (lowest == targets.size() || targets[k] < targets[lowest])) {
                lowest = k;
            }
        }
        if (lowest == targets.size()) {
            return;
        }
        ++targets[lowest];
        --remaining;
    }
}

bool should_keep_grants(std::uint32_t limit, std::span<const zone_need> zones,
    const std::vector<std::uint32_t>& targets) {
    const std::uint32_t min_gain =
        std::max<std::uint32_t>(1, limit / min_gain_divisor);
    std::uint64_t granted = 0;
    for (std::size_t k = 0; k < zones.size(); ++k) {
        granted += zones[k].granted;
        const bool is_short = zones[k].wanted > zones[k].granted;
        if (is_short && targets[k] >= zones[k].granted + min_gain) {
            return false;
        }
    }
    return granted == limit;
}

} // namespace

std::vector<std::uint32_t> divide_limit(
    std::uint32_t limit, std::span<const zone_need> zones) {
    std::vector<std::uint32_t> targets(zones.size(), 0);
    std::uint32_t remaining = limit;
    fill(targets, remaining, [&](std::size_t k) { return zones[k].wanted; });
    fill(targets, remaining, [&](std::size_t) { return limit; });
    if (should_keep_grants(limit, zones, targets)) {
        for (std::size_t k = 0; k < zones.size(); ++k) {
            targets[k] = zones[k].granted;
        }
    }
    return targets;
}

} // namespace dragonflymount::control
