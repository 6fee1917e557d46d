// Elects the leader: terms, pre-votes and votes.
#include "dragonflymount/src/Agreement/Replica.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

// Replicas may pack the same state into different bytes, so the parts of two
// leaders don't fit together.
void replica::begin_term(hard_state hard) {
    hard_ = std::move(hard);
    hard_dirty_ = true;
    incoming_ = incoming_snapshot();
}

void replica::set_term(log_term term) {
    if (term <= hard_.term) {
        return;
    }
    begin_term({term, replica_id()});
}

// Keeps the first reason: a second call for the same step-down finds a follower
// and changes nothing.
void replica::end_lead(lead_end reason) {
    if (is_leader()) {
        lead_end_ = reason;
        role_ = role::follower;
    }
}

void replica::become_follower(
    log_term term, const replica_id& leader, instant now) {
    end_lead(lead_end::higher_term);
    set_term(term);
    role_ = role::follower;
    leader_ = leader;
    votes_.clear();
    reset_election_timer(now);
}

void replica::start_election(bool pre_vote, instant now) {
    role_ = pre_vote ? role::pre_candidate : role::candidate;
    leader_ = replica_id();
    votes_ = {options_.self};
    if (!pre_vote) {
        begin_term({hard_.term.next(), options_.self});
    }
    reset_election_timer(now);
    if (is_majority(votes_.size())) {
        pre_vote ? start_election(false, now) : become_leader(now);
        return;
    }
    for (const member& peer : log_.members()) {
        if (!peer.voter || peer.id == options_.self) {
            continue;
        }
        wire::VoteRequestT request;
        request.term =
            pre_vote ? hard_.term.next().value() : hard_.term.value();
        request.candidate = options_.self.str();
        request.identity = identity_.value();
        request.last_index = log_.last_index().value();
        request.last_term = log_.last_term().value();
        request.pre_vote = pre_vote;
        send(peer.id, std::move(request));
    }
}

void replica::become_leader(instant now) {
    role_ = role::leader;
    leader_ = options_.self;
    leader_since_ = now;
    peers_.clear();
    unadmitted_.clear();
    // A leader may count replicas only for records of its own term, so this
    // record is needed to commit the records of earlier terms.
    first_own_index_ = log_.last_index().next();
    append({hard_.term, first_own_index_, record_kind::command,
        wire::encode_command(wire::NoOpT())});
    broadcast(now, true);
}

bool replica::has_committed_in_term() const {
    return is_leader() && commit_ >= first_own_index_;
}

bool replica::is_up_to_date(log_index index, log_term term) const {
    if (term != log_.last_term()) {
        return term > log_.last_term();
    }
    return index >= log_.last_index();
}

bool replica::is_same_log(const wire::VoteRequestT& request) const {
    return log_index(request.last_index) == log_.last_index() &&
        log_term(request.last_term) == log_.last_term();
}

void replica::receive(const wire::VoteRequestT& request, instant now) {
    const replica_id candidate(request.candidate);
    const log_term term(request.term);
    const bool up_to_date = is_up_to_date(
        log_index(request.last_index), log_term(request.last_term));
    // A candidate whose identity isn't that of a voter has lost its disk or was
    // removed, and is ignored so that it can't disturb the group. The exception
    // is a candidate with a newer log: that log may hold a change of members
    // that this replica hasn't received, so the candidate decides whose votes
    // count.
    const bool longer = up_to_date && !is_same_log(request);
    const bool between_voters =
        can_vote() && is_voter(candidate, replica_identity(request.identity));
    if (!is_admitted() || (!between_voters && !longer)) {
        return;
    }
    // Requests of other candidates are ignored while a leader is active.
    const bool leader_alive =
        is_leader() || now - last_leader_contact_ < options_.election_timeout;
    if (leader_alive && leader_ != candidate) {
        return;
    }
    wire::VoteReplyT reply;
    reply.voter = options_.self.str();
    reply.identity = identity_.value();
    reply.pre_vote = request.pre_vote;
    if (request.pre_vote) {
        reply.granted = term > hard_.term && up_to_date;
        // A denial carries this replica's own term. A candidate with an older
        // term adopts it; otherwise all its later requests would be denied.
        reply.term = reply.granted ? request.term : hard_.term.value();
        send(candidate, std::move(reply));
        return;
    }
    if (term > hard_.term) {
        become_follower(term, replica_id(), now);
    }
    const bool free_vote = hard_.vote.empty() || hard_.vote == candidate;
    reply.granted = term == hard_.term && free_vote && up_to_date &&
        role_ == role::follower;
    reply.term = hard_.term.value();
    if (reply.granted) {
        hard_.vote = candidate;
        hard_dirty_ = true;
        reset_election_timer(now);
    }
    send(candidate, std::move(reply));
}

void replica::receive(const wire::VoteReplyT& reply, instant now) {
    const replica_id voter(reply.voter);
    if (!is_voter(voter, replica_identity(reply.identity))) {
        return;
    }
    if (!reply.granted) {
        if (log_term(reply.term) > hard_.term) {
            become_follower(log_term(reply.term), replica_id(), now);
        }
        return;
    }
    const bool counts = reply.pre_vote
        ? role_ == role::pre_candidate &&
            log_term(reply.term) == hard_.term.next()
        : role_ == role::candidate && log_term(reply.term) == hard_.term;
    if (!counts) {
        return;
    }
    votes_.insert(voter);
    if (is_majority(votes_.size())) {
        reply.pre_vote ? start_election(false, now) : become_leader(now);
    }
}

result<done> replica::reform(
    const std::set<replica_id>& lost, instant /*now*/) {
    return failure{make_error_code(errc::conflict), "reform group",
        lost.empty() ? std::string() : lost.begin()->str(),
        "no target number of voters is set"};
}

} // namespace dragonflymount::agreement
