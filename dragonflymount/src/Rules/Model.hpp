// The parsed form of the rules file: typed values with their defaults.
#ifndef DRAGONFLYMOUNT_RULES_MODEL_HPP
#define DRAGONFLYMOUNT_RULES_MODEL_HPP

#include "dragonflymount/core.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflymount::rules {

/// \brief A group of VMs that serve the same services.
struct pool_rule {
    pool_id name;
    /// VMs that the pool should have.
    std::uint32_t size = 0;
    /// VMs that maintenance must leave available for work.
    std::uint32_t min_available = 0;
    /// A spare pool lends VMs to the others first.
    bool spare = false;
    /// The pool from which VMs may be moved here; empty for any spare pool.
    pool_id borrows_from;
};

/// \brief A group of callers with a common share of the capacity.
struct team_rule {
    team_id name;
    /// Share under full load, in percent; all teams' shares add up to 100.
    std::uint32_t share_percent = 0;
    /// Most tasks that may run at once, fleet-wide.
    std::uint32_t limit = 0;
};

/// \brief A class of requests, and the pool that serves it.
struct service_rule {
    service_id name;
    pool_id pool;
    /// Expected run time of a task, used until run times were measured.
    duration expected{};
};

/// \brief The time of day, UTC, within which maintenance may start.
struct window_rule {
    std::chrono::minutes begin{0};
    std::chrono::minutes end{24 * 60};
};

/// \brief The weight of each measure in a decision.
struct weight_rule {
    double roll_out = 1;
    double share = 1;
    double buffer = 1;
    double moves = 1;
};

/// \brief The period and the limits of maintenance waves.
struct maintenance_rule {
    /// Every VM is maintained once within this period.
    std::chrono::hours period{42 * 24};
    /// Most VMs down at once in one rack and in one availability zone.
    std::uint32_t max_down_per_rack = 1;
    std::uint32_t max_down_per_zone = 2;
    /// The wave stops after losing this many VMs that it didn't stop itself.
    std::uint32_t stop_after_failures = 2;
};

struct rule_set {
    std::map<pool_id, pool_rule> pools;
    std::map<team_id, team_rule> teams;
    std::map<service_id, service_rule> services;
    /// The team that each key belongs to, by the key's SHA-256 in hexadecimal.
    std::map<std::string, team_id> keys;
    /// VMs that may be assigned only to the given pool.
    std::map<vm_id, pool_id> pins;
    window_rule window;
    weight_rule weights;
    maintenance_rule maintenance;
    /// How long a zone without contact to the leader may serve under the
    /// last state it received; zero means until its freshness lease ends.
    duration serve_stale{};
    /// How long a zone that has stopped reporting keeps its grants.
    duration hold = std::chrono::minutes(75);
};

} // namespace dragonflymount::rules

#endif
