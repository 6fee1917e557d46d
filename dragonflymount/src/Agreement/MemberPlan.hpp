// Which change of the replicated log's members is due.
//
// Pure: the leader's view of its peers goes in, at most one change comes out.
#ifndef DRAGONFLYMOUNT_AGREEMENT_MEMBER_PLAN_HPP
#define DRAGONFLYMOUNT_AGREEMENT_MEMBER_PLAN_HPP

#include "dragonflymount/src/Agreement/Replica.hpp"

#include <optional>

namespace dragonflymount::agreement {

/// \brief A member as the leader sees it.
struct member_status {
    member subject;
    /// Holds all that is committed.
    bool caught_up = false;
    /// Since the newest heartbeat that it answered was sent.
    duration silent_for{};
};

struct member_change {
    wire::replica_change change = wire::replica_change::promote;
    member subject;
};

struct member_policy {
    std::size_t voters = 3;
    /// A voter that is silent for this long gives its vote to a replica that
    /// stands ready; longer than a restart takes.
    duration replace_after = std::chrono::seconds(3);
    /// A replica without a vote that is silent for this long is forgotten.
    duration remove_after = std::chrono::seconds(60);
};

/// \param self the leader, which is never silent.
/// \returns the change that is due, or nothing.
std::optional<member_change> plan_change(
    const std::vector<member_status>& members, const replica_id& self,
    const member_policy& policy);

} // namespace dragonflymount::agreement

#endif
