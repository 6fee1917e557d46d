// Divides one team's upper limit among the zones.
//
// Demand is met evenly, and the remainder is spread evenly. While every zone
// has what it wants, or would gain little, the grants stay as they are,
// because each change costs log records.
#ifndef DRAGONFLYMOUNT_CONTROL_LIMIT_PLAN_HPP
#define DRAGONFLYMOUNT_CONTROL_LIMIT_PLAN_HPP

#include <cstdint>
#include <span>
#include <vector>

namespace dragonflymount::control {

/// \brief A zone's current grant and its demand, both in tasks.
struct zone_need {
    std::uint32_t granted = 0;
    /// Tasks that run, are allowed to run or are queued in the zone.
    std::uint32_t wanted = 0;
};

/// \brief Computes how many tasks each zone should be granted.
/// \returns one target per zone, in the order of \p zones; the targets add up
/// to \p limit. Empty if there are no zones.
std::vector<std::uint32_t> divide_limit(
    std::uint32_t limit, std::span<const zone_need> zones);

} // namespace dragonflymount::control

#endif
