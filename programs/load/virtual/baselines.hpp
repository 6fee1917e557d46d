// Orders that the policy is compared with.
#ifndef DRAGONFLYMOUNT_LOAD_BASELINES_HPP
#define DRAGONFLYMOUNT_LOAD_BASELINES_HPP

#include "dragonflymount/policy.hpp"

namespace dragonflymount::load_program {

/// \brief First come, first served over all teams.
struct arrival_order {
    std::size_t choose(std::span<const policy::team_view> teams) const;
};

/// \brief Each team has a fixed part of every pool, and no more.
struct static_part_order {
    std::size_t choose(std::span<const policy::team_view> teams) const;
};

/// \brief The fewest running tasks per weight, with no memory.
struct running_order {
    std::size_t choose(std::span<const policy::team_view> teams) const;
};

} // namespace dragonflymount::load_program

#endif
