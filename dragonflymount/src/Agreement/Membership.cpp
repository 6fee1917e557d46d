// Changes the members of the replicated log, one member at a time, and commits
// the records that enough voters hold.
#include "dragonflymount/src/Agreement/Replica.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

namespace {

failure change_failure(const replica_id& subject, errc code, std::string why) {
    return {
        make_error_code(code), "change members", subject.str(), std::move(why)};
}

} // namespace

result<log_index> replica::change(
    wire::replica_change change, const member& subject, instant now) {
    check_quorum(now);
    if (failed_ || !has_committed_in_term()) {
        return change_failure(subject.id, errc::not_leader, "ask the leader");
    }
    if (log_.members_index() > commit_) {
        return change_failure(
            subject.id, errc::conflict, "another change is under way");
    }
    member_list members = log_.members();
    const auto found = std::find_if(members.begin(), members.end(),
        [&](const member& peer) { return peer.id == subject.id; });
    switch (change) {
    case wire::replica_change::admit:
        if (subject.identity == replica_identity()) {
            return change_failure(
                subject.id, errc::conflict, "it has no identity");
        }
        // Admitting a replica under a new identity also removes its old vote.
        if (found != members.end()) {
            members.erase(found);
        }
        members.push_back(subject);
        members.back().voter = false;
        break;
    case wire::replica_change::promote:
        if (found == members.end()) {
            return change_failure(subject.id, errc::conflict, "not a member");
        }
        if (!has_caught_up(subject.id)) {
            return change_failure(
                subject.id, errc::unavailable, "still behind the log");
        }
        found->voter = true;
        break;
    case wire::replica_change::remove:
        if (found == members.end()) {
            return change_failure(subject.id, errc::conflict, "not a member");
        }
        members.erase(found);
        break;
    }
    if (std::none_of(members.begin(), members.end(),
            [](const member& peer) { return peer.voter; })) {
        return change_failure(subject.id, errc::conflict, "no voter is left");
    }
    const log_index index = log_.last_index().next();
    append({hard_.term, index, record_kind::members, encode_members(members)});
    // A promoted learner has the same identity and log as before. Without its
    // last answer the leader would lack a quorum while another voter is silent.
    if (change != wire::replica_change::promote) {
        peers_.erase(subject.id);
    }
    unadmitted_.erase(subject.id);
    broadcast(now, true);
    return index;
}

void replica::step_down_if_removed(instant now) {
    const bool committed = log_.members_index() <= commit_;
    if (is_leader() && committed && !can_vote()) {
        end_lead(lead_end::removed);
        become_follower(hard_.term, replica_id(), now);
    }
}

void replica::advance_commit() {
    std::vector<log_index> matched;
    for (const member& peer : log_.members()) {
        if (!peer.voter) {
            continue;
        }
        if (peer.id == options_.self) {
            matched.push_back(log_index(unsaved_from_.value() - 1));
        } else {
            matched.push_back(match_index(peer.id));
        }
    }
    if (matched.empty()) {
        return;
    }
    std::sort(matched.begin(), matched.end(), std::greater<>());
    const log_index majority_match = matched[matched.size() / 2];
    if (majority_match > commit_ &&
        log_.term_at(majority_match) == hard_.term) {
        commit_ = majority_match;
    }
}

} // namespace dragonflymount::agreement
