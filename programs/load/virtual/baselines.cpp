// Baseline orders.
#include "programs/load/virtual/baselines.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflymount::load_program {
namespace {

template <class Value>
std::size_t lowest(std::span<const policy::team_view> teams, Value value) {
    const auto found = std::min_element(
        teams.begin(), teams.end(), [&](const auto& left, const auto& right) {
            return value(left) < value(right);
        });
    return static_cast<std::size_t>(found - teams.begin());
}

double load_of(const policy::team_view& team) {
    return team.running / std::max(team.weight, 0.001);
}

} // namespace

std::size_t arrival_order::choose(
    std::span<const policy::team_view> teams) const {
    return lowest(teams, [](const auto& team) { return team.head_rank; });
}

std::size_t static_part_order::choose(
    std::span<const policy::team_view> teams) const {
    for (std::size_t k = 0; k < teams.size(); ++k) {
        const double part = teams[k].pool_slots * teams[k].weight / 100;
        if (teams[k].running < std::max(1.0, std::floor(part))) {
            return k;
        }
    }
    return teams.size();
}

std::size_t running_order::choose(
    std::span<const policy::team_view> teams) const {
    return lowest(teams, load_of);
}

} // namespace dragonflymount::load_program
