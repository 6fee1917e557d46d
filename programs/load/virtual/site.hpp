// Replays a trace against the dispatchers of a site in virtual time.
//
// Endpoints are scripted: a task ends after its run time, fails on a bad
// worker, and is lost with its VM. Nothing but the trace and its seeds has an
// influence, so a run gives the same figures every time.
#ifndef DRAGONFLYMOUNT_LOAD_SITE_HPP
#define DRAGONFLYMOUNT_LOAD_SITE_HPP

#include "programs/load/trace.hpp"

#include "dragonflymount/policy.hpp"

#include <map>
#include <optional>

namespace dragonflymount::load_program {

struct virtual_options {
    policy::dispatcher_options dispatcher;
    /// Requests of a team go in the order of arrival, not of deadlines.
    bool by_arrival = false;
};

/// \brief Figures of a replay; their names are those of expect lines.
struct virtual_report {
    std::map<std::string, double> figures;
    /// Part of each team's requests that were answered in time.
    std::optional<double> figure(const std::string& name) const;
};

template <policy::team_order Order>
virtual_report replay_virtual(const trace& recorded,
    const rules::rule_set& rules, const virtual_options& options);

/// \returns the names of the policy and its baselines.
std::vector<std::string> policy_names();
/// \brief Replays under the policy of that name.
virtual_report replay_named(const std::string& name, const trace& recorded,
    const rules::rule_set& rules);

} // namespace dragonflymount::load_program

#endif
