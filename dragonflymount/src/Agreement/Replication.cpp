// Replicates records and snapshots from the leader to the other replicas.
#include "dragonflymount/src/Agreement/Batch.hpp"
#include "dragonflymount/src/Agreement/Replica.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

namespace {

constexpr std::size_t max_stored_rounds = 256;

// Lowest rate at which a snapshot is expected to be sent, read and synced. It
// sets how long the leader waits for an answer before it resends a snapshot.
constexpr std::int64_t image_bytes_per_millisecond = 2000;

duration transfer_time(std::size_t image_bytes) {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(image_bytes) / image_bytes_per_millisecond);
}

} // namespace

void replica::reply_append(const std::string& leader, std::uint64_t round,
    bool accepted, log_index match) {
    wire::AppendReplyT reply;
    reply.term = hard_.term.value();
    reply.follower = options_.self.str();
    reply.identity = identity_.value();
    reply.accepted = accepted;
    reply.match_index = match.value();
    reply.round = round;
    reply.part_index = incoming_.last_index().value();
    reply.part_bytes = incoming_.size();
    reply.reads_packed = true;
    send(replica_id(leader), std::move(reply));
}

void replica::receive(const wire::AppendRequestT& request, instant now) {
    const log_term term(request.term);
    if (term < hard_.term) {
        reply_append(request.leader, request.round, false, log_.last_index());
        return;
    }
    auto records = take_records(request);
    if (!records) {
        return;
    }
    become_follower(term, replica_id(request.leader), now);
    last_leader_contact_ = now;
    const log_index previous(request.previous_index);
    const std::optional<log_term> previous_term = log_.term_at(previous);
    if (previous > log_.last_index() ||
        (previous_term && *previous_term != log_term(request.previous_term))) {
        const log_index hint = previous > log_.last_index()
            ? log_.last_index()
            : log_index(previous.value() - 1);
        reply_append(request.leader, request.round, false, hint);
        return;
    }
    // This log reaches the leader's, so no snapshot is needed any more.
    incoming_ = incoming_snapshot();
    log_index match = previous;
    for (log_record& record : *records) {
        match = record.index;
        if (match <= log_.base().last_index) {
            continue;
        }
        const std::optional<log_term> known = log_.term_at(match);
        if (known && *known == record.term) {
            continue;
        }
        if (known && match <= commit_) {
            // A committed record differs from the leader's. That happens only
            // if a disk has lost synced records.
            fail();
            return;
        }
        if (known) {
            log_.truncate(match);
            unsaved_from_ = std::min(unsaved_from_, match);
        }
        append(std::move(record));
    }
    commit_ = std::max(commit_, std::min(log_index(request.commit), match));
    reply_append(request.leader, request.round, true, match);
}

void replica::receive(const wire::InstallSnapshotT& request, instant now) {
    const log_term term(request.term);
    if (term < hard_.term || !request.part) {
        reply_append(request.leader, request.round, false, log_.last_index());
        return;
    }
    become_follower(term, replica_id(request.leader), now);
    last_leader_contact_ = now;
    if (log_index(request.part->last_index) <= commit_) {
        reply_append(request.leader, request.round, true, commit_);
        return;
    }
    incoming_.add(*request.part);
    if (!incoming_.is_complete()) {
        reply_append(request.leader, request.round, false, log_.last_index());
        return;
    }
    snapshot image = incoming_.take();
    commit_ = image.last_index;
    applied_ = image.last_index;
    log_.compact(image);
    unsaved_from_ = std::max(unsaved_from_, log_.base().last_index.next());
    installed_ = std::move(image);
    reply_append(request.leader, request.round, true, commit_);
}

// A reply that was held up may come from a life that ended since. Rounds are
// forgotten when a member is admitted under a new identity.
void replica::note_unadmitted(const wire::AppendReplyT& reply) {
    const replica_id follower(reply.follower);
    const auto sent_to = peers_.find(follower);
    if (is_leader() && log_term(reply.term) == hard_.term &&
        sent_to != peers_.end() &&
        sent_to->second.rounds.contains(reply.round)) {
        unadmitted_[follower] = replica_identity(reply.identity);
    }
}

void replica::receive(const wire::AppendReplyT& reply, instant now) {
    const replica_id follower(reply.follower);
    const replica_identity identity(reply.identity);
    const member* peer = find_member(follower);
    if (peer == nullptr || peer->identity != identity) {
        note_unadmitted(reply);
        return;
    }
    unadmitted_.erase(follower);
    if (log_term(reply.term) > hard_.term) {
        become_follower(log_term(reply.term), replica_id(), now);
        return;
    }
    if (!is_leader() || log_term(reply.term) != hard_.term) {
        return;
    }
    progress& state = peers_[follower];
    const auto sent = state.rounds.find(reply.round);
    if (sent != state.rounds.end()) {
        state.acknowledged = std::max(state.acknowledged, sent->second.sent);
    }
    state.reads_packed = reply.reads_packed;
    if (reply.round >= state.in_flight_round) {
        state.in_flight = false;
        state.part_index = log_index(reply.part_index);
        state.part_bytes = reply.part_bytes;
    }
    const log_index match(reply.match_index);
    if (reply.accepted) {
        state.match = std::max(state.match, match);
        state.next = std::max(state.next, state.match.next());
        state.caught_up =
            sent != state.rounds.end() && state.match >= sent->second.commit;
        state.installing = state.installing && !state.caught_up;
        return;
    }
    // A rejection may arrive late. The match index never decreases in a term.
    state.next =
        std::max(state.match.next(), std::min(state.next, match.next()));
}

std::optional<log_index> replica::propose(bytes command, instant now) {
    if (failed_ || !is_leader()) {
        return std::nullopt;
    }
    check_quorum(now);
    if (!is_leader()) {
        return std::nullopt;
    }
    const log_index index = log_.last_index().next();
    append({hard_.term, index, record_kind::command, std::move(command)});
    return index;
}

void replica::append(log_record record) {
    unsaved_from_ = std::min(unsaved_from_, record.index);
    log_.append(std::move(record));
}

void replica::broadcast(instant now, bool heartbeat) {
    if (heartbeat) {
        next_heartbeat_ = now + options_.heartbeat_interval;
    }
    for (const member& peer : log_.members()) {
        if (peer.id == options_.self) {
            continue;
        }
        auto [found, inserted] = peers_.try_emplace(peer.id);
        progress& state = found->second;
        if (inserted) {
            state.next = log_.last_index().next();
            state.begun = now;
        }
        const bool awaits_reply = state.in_flight && now < state.retry_at;
        if (!awaits_reply && state.next <= log_.last_index()) {
            send_records(peer, state, now);
        } else if (heartbeat) {
            send_heartbeat(peer, state, now);
        }
    }
}

void replica::begin_round(progress& state, instant now) {
    ++round_;
    state.rounds[round_] = {now, commit_};
    while (state.rounds.size() > max_stored_rounds) {
        state.rounds.erase(state.rounds.begin());
    }
}

void replica::mark_in_flight(
    progress& state, duration retry_delay, instant now) const {
    state.in_flight = true;
    state.in_flight_round = round_;
    state.retry_at = now + retry_delay;
}

wire::AppendRequestT replica::make_append_request(log_index previous) const {
    wire::AppendRequestT request;
    request.term = hard_.term.value();
    request.leader = options_.self.str();
    request.previous_index = previous.value();
    request.previous_term = log_.term_at(previous).value_or(log_term()).value();
    request.commit = commit_.value();
    request.round = round_;
    return request;
}

void replica::send_records(const member& peer, progress& state, instant now) {
    begin_round(state, now);
    if (state.next < log_.first_index()) {
        send_snapshot(peer, state, now);
        return;
    }
    wire::AppendRequestT request =
        make_append_request(log_index(state.next.value() - 1));
    std::vector<log_record> records =
        log_.slice(state.next, options_.batch_records);
    std::size_t size = 0;
    std::size_t count = 0;
    while (count < records.size() &&
        (count == 0 ||
            size + size_of(records[count]) <= options_.batch_bytes)) {
        size += size_of(records[count]);
        ++count;
    }
    records.resize(count);
    state.sent_bytes +=
        put_records(std::move(records), state.reads_packed, request);
    mark_in_flight(state, options_.election_timeout, now);
    send(peer.id, std::move(request));
}

// Prevents the follower from starting an election while records or a snapshot
// are in flight to it, without sending them again.
void replica::send_heartbeat(const member& peer, progress& state, instant now) {
    begin_round(state, now);
    const log_index before = state.installing
        ? log_.base().last_index
        : log_index(log_.first_index().value() - 1);
    const log_index previous =
        std::max(before, log_index(state.next.value() - 1));
    send(peer.id, make_append_request(previous));
}

void replica::send_snapshot(const member& peer, progress& state, instant now) {
    const snapshot& image = log_.base();
    const std::size_t received =
        state.part_index == image.last_index ? state.part_bytes : 0;
    wire::InstallSnapshotT request;
    request.term = hard_.term.value();
    request.leader = options_.self.str();
    request.round = round_;
    request.part = std::make_unique<wire::SnapshotPartT>(
        make_part(image, received, options_.part_bytes, state.reads_packed));
    const duration transfer =
        transfer_time(image.state.size() - request.part->offset);
    state.installing = true;
    state.sent_bytes += request.part->data.size();
    mark_in_flight(state, options_.election_timeout + transfer, now);
    send(peer.id, std::move(request));
}

bool replica::is_sending_snapshot(instant now) const {
    // A peer answers nothing while it syncs and loads the image.
    const duration longest_silence =
        options_.election_timeout + transfer_time(log_.base().state.size());
    return is_leader() &&
        std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
            const progress& state = entry.second;
            return state.installing &&
                now - state.acknowledged < longest_silence;
        });
}

std::optional<transfer> replica::transfer_to(const replica_id& peer) const {
    const auto found = peers_.find(peer);
    if (!is_leader() || found == peers_.end()) {
        return std::nullopt;
    }
    const progress& state = found->second;
    const snapshot& image = log_.base();
    transfer known{state.match,
        state.match < image.last_index && state.installing, 0, 0,
        state.sent_bytes, 0, state.begun};
    if (known.installing) {
        known.image_bytes = image.state.size();
        known.image_received =
            state.part_index == image.last_index ? state.part_bytes : 0;
    }
    return known;
}

} // namespace dragonflymount::agreement
