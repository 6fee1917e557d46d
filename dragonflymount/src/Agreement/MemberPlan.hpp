// Decides which change of the replicated log's members is due.
//
// The function is pure: from the leader's view of the members it computes at
// most one change.
#ifndef DRAGONFLYMOUNT_AGREEMENT_MEMBER_PLAN_HPP
#define DRAGONFLYMOUNT_AGREEMENT_MEMBER_PLAN_HPP

#include "dragonflymount/src/Agreement/Replica.hpp"

#include <optional>

namespace dragonflymount::agreement {

/// \brief A member as the leader sees it.
struct member_status {
    member subject;
    /// The member holds all records that were committed a moment ago, see
    /// \c replica::has_caught_up.
    bool caught_up = false;
    /// The member has answered this leader, see \c replica::has_answered.
    bool answered = false;
    /// Time since the leader sent the newest heartbeat that the member
    /// answered.
    duration silent_for{};
};

struct member_change {
    wire::replica_change change = wire::replica_change::promote;
    member subject;
};

struct member_policy {
    /// Number of voters up to which learners are promoted.
    std::size_t voters = 3;
    /// A voter that is silent for this long is replaced by a learner that has
    /// caught up. Longer than a restart takes.
    duration replace_after = std::chrono::seconds(3);
    /// The same for a voter that hasn't answered this leader at all. It was
    /// silent during the election too, and elections in a row mustn't put off
    /// its replacement.
    duration replace_unheard_after = std::chrono::seconds(1);
    /// A learner that is silent for this long is removed.
    duration remove_after = std::chrono::seconds(60);
};

/// \brief Plans the next change of members.
/// \param self the leader, which is never removed for silence.
/// \returns the change that is due, or nothing.
std::optional<member_change> plan_change(
    const std::vector<member_status>& members, const replica_id& self,
    const member_policy& policy);

} // namespace dragonflymount::agreement

#endif
