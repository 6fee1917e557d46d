// Selects the learner to promote or the silent replica to remove.
#include "dragonflymount/src/Agreement/MemberPlan.hpp"

#include <algorithm>

namespace dragonflymount::agreement {
namespace {

template <class Predicate>
const member_status* find_member(
    const std::vector<member_status>& members, Predicate holds) {
    const auto found = std::find_if(members.begin(), members.end(), holds);
    return found == members.end() ? nullptr : &*found;
}

member_change make_change(
    wire::replica_change change, const member_status& status) {
    return {change, status.subject};
}

bool is_lost(const member_status& voter, const member_policy& policy) {
    return voter.silent_for >=
        (voter.answered ? policy.replace_after : policy.replace_unheard_after);
}

} // namespace

// A replacement is promoted before the silent voter is removed. In the opposite
// order two voters of three would remain for a short time: if the disk of one
// of them were lost then, no quorum would be left, not even with the silent
// voter back. Afterwards the number of voters is odd again: one voter more
// needs a larger quorum and tolerates no further loss.
std::optional<member_change> plan_change(
    const std::vector<member_status>& members, const replica_id& self,
    const member_policy& policy) {
    const auto voting = static_cast<std::size_t>(std::count_if(members.begin(),
        members.end(), [](const auto& peer) { return peer.subject.voter; }));
    const bool excess = voting > policy.voters && voting % 2 == 0;
    const member_status* lost = find_member(members, [&](const auto& peer) {
        return peer.subject.voter && peer.subject.id != self &&
            is_lost(peer, policy);
    });
    if (excess && lost != nullptr) {
        return make_change(wire::replica_change::remove, *lost);
    }
    const bool all_answered =
        std::all_of(members.begin(), members.end(), [&](const auto& peer) {
            return !peer.subject.voter || peer.subject.id == self ||
                peer.answered;
        });
    if (excess && all_answered) {
        // The silent voter is back. The newest voter becomes a learner again.
        const auto newest =
            std::find_if(members.rbegin(), members.rend(), [&](const auto& it) {
                return it.subject.voter && it.subject.id != self;
            });
        return make_change(wire::replica_change::admit, *newest);
    }
    if (excess) {
        // A new leader doesn't know yet which voter is silent.
        return std::nullopt;
    }
    const member_status* ready = find_member(members, [&](const auto& peer) {
        return !peer.subject.voter && peer.caught_up &&
            peer.silent_for < policy.replace_after;
    });
    if (ready != nullptr && (voting < policy.voters || lost != nullptr)) {
        return make_change(wire::replica_change::promote, *ready);
    }
    const member_status* gone = find_member(members, [&](const auto& peer) {
        return !peer.subject.voter && peer.subject.id != self &&
            peer.silent_for >= policy.remove_after;
    });
    if (gone != nullptr) {
        return make_change(wire::replica_change::remove, *gone);
    }
    return std::nullopt;
}

} // namespace dragonflymount::agreement
