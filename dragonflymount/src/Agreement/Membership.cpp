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

std::string_view replica::find_seat_conflict(
    wire::replica_change change, const member& subject) const {
    const member* found = find_member(subject.id);
    const bool is_living_voter = found != nullptr && found->voter &&
        (change == wire::replica_change::remove ||
            found->identity == subject.identity);
    const bool takes_vote = change == wire::replica_change::remove ||
        change == wire::replica_change::admit;
    if (options_.voters != 0 && takes_vote && is_living_voter &&
        voter_count(log_.members()) <= options_.voters) {
        return "no voter is to spare";
    }
    return {};
}

result<log_index> replica::change(
    wire::replica_change change, const member& subject, instant now) {
    check_quorum(now);
    if (failed_ || !may_change_members()) {
        return change_failure(subject.id, errc::not_leader, "ask the leader");
    }
    if (!is_list_committed()) {
        return change_failure(
            subject.id, errc::conflict, "another change is under way");
    }
    if (const auto why = find_seat_conflict(change, subject); !why.empty()) {
        return change_failure(subject.id, errc::conflict, std::string(why));
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

member_list replica::members_before(log_index end) const {
    while (end > log_.first_index()) {
        end = log_index(end.value() - 1);
        const log_record& record = log_.at(end);
        if (record.kind != record_kind::members) {
            continue;
        }
        if (auto list = decode_members(record.payload)) {
            return *std::move(list);
        }
    }
    return log_.base().members;
}

// A list is repeated only after it was committed.
bool replica::is_list_committed() const {
    return log_.members_index() <= commit_ ||
        (options_.voters != 0 &&
            members_before(log_.members_index()) == log_.members());
}

void replica::confirm_members() {
    const log_index newest = log_.members_index();
    if (options_.voters == 0 || !has_committed_in_term() || newest > commit_ ||
        newest == confirmed_members_) {
        return;
    }
    confirmed_members_ = newest;
    if (newest != log_index(0) &&
        members_before(log_.members_index()) != log_.members()) {
        confirmed_members_ = log_.last_index().next();
        append({hard_.term, confirmed_members_, record_kind::members,
            encode_members(log_.members())});
    }
}

// A voter whose disk is known to be lost can't hold a record any more. All
// others have to, so that an election without the lost ones finds the record.
std::size_t replica::voters_to_commit() const {
    const member_list& members = log_.members();
    const auto lost = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto& peer) {
            return peer.voter && unadmitted_.contains(peer.id);
        }));
    const std::size_t voters = voter_count(members);
    return std::max(voters / 2 + 1,
        std::min(commit_quorum(members, options_.voters), voters - lost));
}

log_index replica::held_by(std::size_t count) const {
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
    if (matched.size() < count) {
        return log_index(0);
    }
    std::sort(matched.begin(), matched.end(), std::greater<>());
    return matched[count - 1];
}

void replica::advance_commit() {
    const log_index held = held_by(voters_to_commit());
    if (held > commit_ && log_.term_at(held) == hard_.term) {
        commit_ = held;
    }
}

// A record of this term on a majority excludes every leader that might write
// another list after the same one.
bool replica::may_change_members() const {
    return has_committed_in_term() ||
        (options_.voters != 0 && is_leader() &&
            held_by(voter_count(log_.members()) / 2 + 1) >= first_own_index_);
}

} // namespace dragonflymount::agreement
