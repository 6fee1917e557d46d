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

} // namespace

// A silent voter is removed before its replacement is promoted. In the opposite
// order the group would have one more voter for a short time, and with three
// voters a quorum would need every replica that still answers.
std::optional<member_change> plan_change(
    const std::vector<member_status>& members, const replica_id& self,
    const member_policy& policy) {
    const auto voting = static_cast<std::size_t>(std::count_if(members.begin(),
        members.end(), [](const auto& peer) { return peer.subject.voter; }));
    const member_status* ready = find_member(members, [&](const auto& peer) {
        return !peer.subject.voter && peer.caught_up &&
            peer.silent_for < policy.replace_after;
    });
    if (ready != nullptr && voting < policy.voters) {
        return make_change(wire::replica_change::promote, *ready);
    }
    const member_status* lost = find_member(members, [&](const auto& peer) {
        return peer.subject.voter && peer.subject.id != self &&
            peer.silent_for >= policy.replace_after;
    });
    if (ready != nullptr && lost != nullptr) {
        return make_change(wire::replica_change::remove, *lost);
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
