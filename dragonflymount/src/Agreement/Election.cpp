// Elects the leader: terms, pre-votes and votes.
#include "dragonflymount/src/Agreement/Replica.hpp"

#include <algorithm>

namespace dragonflymount::agreement {
namespace {

// Terms that may have been used without a living replica knowing: by a leader
// and its voters whose disks are lost. Messages of that leader may still
// arrive. Each term takes an election timeout at least, so far fewer than this
// pass while a message is delayed.
constexpr std::uint64_t lost_terms = 1000;

// A member that was named as lost by mistake has this long to answer.
duration time_to_answer(duration election_timeout) {
    return election_timeout / 2;
}

// A majority of votes elects after this long if too few members were named: it
// is later than time_to_answer, and before the next attempt.
duration time_for_named(duration election_timeout) {
    return election_timeout * 3 / 4;
}

bool has_voter(const result<member_list>& list, const replica_id& id,
    replica_identity identity) {
    return list &&
        std::any_of(list->begin(), list->end(), [&](const member& peer) {
            return peer.voter && peer.id == id && peer.identity == identity;
        });
}

} // namespace

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
        seats_given_up_.clear();
    }
}

void replica::become_follower(
    log_term term, const replica_id& leader, instant now) {
    end_lead(lead_end::higher_term);
    set_term(term);
    role_ = role::follower;
    leader_ = leader;
    votes_.clear();
    if (!leader.empty()) {
        declared_lost_.clear();
    }
    reset_election_timer(now);
}

void replica::start_election(bool pre_vote, instant now) {
    if (!pre_vote) {
        begin_term({hard_.term.next(), options_.self});
    }
    request_votes(pre_vote, now);
}

void replica::request_votes(bool pre_vote, instant now) {
    role_ = pre_vote ? role::pre_candidate : role::candidate;
    leader_ = replica_id();
    votes_ = {options_.self};
    reset_election_timer(now);
    if (options_.voters != 0) {
        // After a restart the random numbers repeat; the clock tells the
        // attempts apart.
        attempt_ = next_random() ^
            static_cast<std::uint64_t>(now.time_since_epoch().count());
        attempt_began_ = now;
        highest_answer_term_ = hard_.term;
        answers_ = {{options_.self, {identity_, true, false}}};
    }
    for (const member& peer : log_.members()) {
        const bool asked = peer.voter || options_.voters != 0;
        if (!asked || peer.id == options_.self) {
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
        request.attempt = attempt_;
        send(peer.id, std::move(request));
    }
    count_votes(now);
}

attempt_answers replica::answers_at(instant now) const {
    attempt_answers attempt{answers_, {}};
    if (now - attempt_began_ >= time_to_answer(options_.election_timeout)) {
        attempt.declared_lost = declared_lost_;
    }
    return attempt;
}

// A list that may not be committed may give way to the one before it, under
// which records may be committed as well.
bool replica::may_lead_without_lost(instant now) const {
    const attempt_answers attempt = answers_at(now);
    const auto allows = [&](const member_list& members) {
        return agreement::may_lead_without_lost(
            members, options_.voters, attempt);
    };
    if (!allows(log_.members())) {
        return false;
    }
    const member_list before = is_list_committed()
        ? member_list()
        : members_before(log_.members_index());
    return before.empty() || has_majority(before, attempt) || allows(before);
}

void replica::count_votes(instant now) {
    if (role_ != role::pre_candidate && role_ != role::candidate) {
        return;
    }
    const bool pre_vote = role_ == role::pre_candidate;
    const bool waits_for_lost = !declared_lost_.empty() &&
        now - attempt_began_ < time_for_named(options_.election_timeout);
    if (!waits_for_lost && is_majority(votes_.size())) {
        pre_vote ? start_election(false, now) : become_leader(now);
    } else if (may_lead_without_lost(now)) {
        if (!pre_vote) {
            lead_reformed_group(now);
            return;
        }
        begin_term({log_term(highest_answer_term_.value() + lost_terms),
            options_.self});
        request_votes(false, now);
    }
}

void replica::become_leader(instant now) {
    role_ = role::leader;
    leader_ = options_.self;
    leader_since_ = now;
    peers_.clear();
    unadmitted_.clear();
    declared_lost_.clear();
    confirmed_members_ = log_index(0);
    // A leader may count replicas only for records of its own term, so this
    // record is needed to commit the records of earlier terms.
    first_own_index_ = log_.last_index().next();
    append({hard_.term, first_own_index_, record_kind::command,
        wire::encode_command(wire::NoOpT())});
    broadcast(now, true);
}

// The record with the new members comes first: nothing before it may be
// committed by the votes of the old list.
void replica::lead_reformed_group(instant now) {
    reformed_group reformed = reform_members(log_.members(), answers_at(now));
    if (reformed.members != log_.members()) {
        append({hard_.term, log_.last_index().next(), record_kind::members,
            encode_members(reformed.members)});
    }
    become_leader(now);
    seats_given_up_ = std::move(reformed.lost_voters);
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

bool replica::is_up_to_date_with(log_index index, log_term term) const {
    return log_.last_term() > term ||
        (log_.last_term() == term && log_.last_index() >= index);
}

bool replica::is_same_log(const wire::VoteRequestT& request) const {
    return log_index(request.last_index) == log_.last_index() &&
        log_term(request.last_term) == log_.last_term();
}

wire::VoteReplyT replica::make_vote_reply(
    const wire::VoteRequestT& request) const {
    wire::VoteReplyT reply;
    reply.term = hard_.term.value();
    reply.voter = options_.self.str();
    reply.identity = identity_.value();
    reply.pre_vote = request.pre_vote;
    reply.attempt = request.attempt;
    reply.last_index = log_.last_index().value();
    reply.last_term = log_.last_term().value();
    reply.members_digest = digest_of(list_to_compare(request));
    return reply;
}

// The log of the candidate may be the beginning of this one. A newer list that
// never gave this replica a vote wasn't committed with its help, so the
// candidate needn't know of it.
member_list replica::list_to_compare(const wire::VoteRequestT& request) const {
    const log_index last(request.last_index);
    if (log_.term_at(last) != log_term(request.last_term)) {
        return log_.members();
    }
    for (log_index at = last.next(); at <= log_.last_index(); at = at.next()) {
        const log_record& record = log_.at(at);
        const bool had_vote = record.kind == record_kind::members &&
            has_voter(decode_members(record.payload), options_.self, identity_);
        if (had_vote) {
            return log_.members();
        }
    }
    return members_before(last.next());
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
    const bool may_grant = is_admitted() && (between_voters || longer);
    if (!may_grant && options_.voters == 0) {
        return;
    }
    // Requests of other candidates are ignored while a leader is active.
    const bool leader_alive =
        is_leader() || now - last_leader_contact_ < options_.election_timeout;
    if (leader_alive && leader_ != candidate) {
        return;
    }
    wire::VoteReplyT reply = make_vote_reply(request);
    if (!may_grant) {
        send(candidate, std::move(reply));
        return;
    }
    if (request.pre_vote) {
        reply.granted = term > hard_.term && up_to_date;
        // A denial carries this replica's own term. A candidate with an older
        // term adopts it; otherwise all its later requests would be denied.
        if (reply.granted) {
            reply.term = request.term;
        }
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

void replica::note_answer(const wire::VoteReplyT& reply) {
    const role asked = reply.pre_vote ? role::pre_candidate : role::candidate;
    if (options_.voters == 0 || role_ != asked || reply.attempt != attempt_) {
        return;
    }
    const log_term term(reply.term);
    highest_answer_term_ = std::max(highest_answer_term_, term);
    // A leader's term must not be below one that a replica already uses.
    if (!reply.pre_vote && term > hard_.term) {
        return;
    }
    vote_answer& answer = answers_[replica_id(reply.voter)];
    answer.identity = replica_identity(reply.identity);
    answer.granted = reply.granted;
    const bool holds_no_more = is_up_to_date_with(
        log_index(reply.last_index), log_term(reply.last_term));
    answer.newer_list = answer.newer_list ||
        (!reply.granted && !holds_no_more &&
            reply.members_digest != digest_of(log_.members()));
}

void replica::receive(const wire::VoteReplyT& reply, instant now) {
    const replica_id voter(reply.voter);
    const log_term term(reply.term);
    note_answer(reply);
    if (is_voter(voter, replica_identity(reply.identity))) {
        if (!reply.granted && term > hard_.term) {
            become_follower(term, replica_id(), now);
            return;
        }
        const bool counts = reply.pre_vote
            ? role_ == role::pre_candidate && term == hard_.term.next()
            : role_ == role::candidate && term == hard_.term;
        if (reply.granted && counts) {
            votes_.insert(voter);
        }
    }
    count_votes(now);
}

result<done> replica::reform(const std::set<replica_id>& lost, instant now) {
    const auto refuse = [&](std::string why) {
        return failure{make_error_code(errc::conflict), "reform group",
            options_.self.str(), std::move(why)};
    };
    check_quorum(now);
    if (options_.voters == 0 || !can_vote()) {
        return refuse("this replica has no vote");
    }
    // A leader that can't commit serves nobody, and can't change members.
    const bool stalled = is_leader() && !has_committed_in_term();
    if (hears_leader(now) && !stalled) {
        return refuse("there is a leader");
    }
    if (lost.empty()) {
        return refuse("no member is named");
    }
    for (const replica_id& id : lost) {
        if (id == options_.self || find_member(id) == nullptr) {
            return refuse(id.str() + " is no other member");
        }
    }
    if (stalled) {
        end_lead(lead_end::silent_quorum);
        become_follower(hard_.term, replica_id(), now);
    }
    declared_lost_ = lost;
    return done{};
}

} // namespace dragonflymount::agreement
