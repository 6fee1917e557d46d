// Replicates records and snapshots from the leader to the other replicas.
#include "dragonflymount/src/Agreement/Batch.hpp"
#include "dragonflymount/src/Agreement/Replica.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

namespace {

constexpr std::size_t max_stored_rounds = 256;

// Lowest rate at which records or an image are expected to be sent, read and
// synced. Extends the wait for an answer.
constexpr std::int64_t least_bytes_per_millisecond = 2000;

// The wait for an answer doubles with each resend, at most this often.
constexpr unsigned most_doublings = 3;

// A peer that lacks fewer bytes of records is sent these.
constexpr std::size_t least_replaced_bytes = 256U << 10U;

// The time between two snapshots for peers that are behind, in election
// timeouts.
constexpr int timeouts_between_snapshots = 2;

duration transfer_time(std::size_t size) {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(size) / least_bytes_per_millisecond);
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
    const auto found = peers_.find(follower);
    if (found == peers_.end()) {
        return;
    }
    progress& state = found->second;
    const auto sent = state.rounds.find(reply.round);
    if (sent != state.rounds.end()) {
        state.acknowledged = std::max(state.acknowledged, sent->second.sent);
    }
    state.note_answer(reply, round_, now);
    state.retry_at = now + retry_delay(state);
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
        progress& state = progress_of(peer, now);
        if (!send_due(peer, state, now) && heartbeat) {
            send_heartbeat(peer, state, now);
        }
    }
}

progress& replica::progress_of(const member& peer, instant now) {
    const auto [found, inserted] = peers_.try_emplace(
        peer.id, options_.batch_bytes, options_.heartbeat_interval);
    progress& state = found->second;
    if (inserted) {
        state.next = log_.last_index().next();
        state.unsent = state.next;
        state.begun = now;
    }
    return state;
}

void replica::begin_round(progress& state, instant now) {
    ++round_;
    state.rounds[round_] = {now, commit_};
    while (state.rounds.size() > max_stored_rounds) {
        state.rounds.erase(state.rounds.begin());
    }
}

duration replica::retry_delay(const progress& state) const {
    const duration longest =
        std::max(options_.election_timeout, state.answer_delay * 2) *
        (1U << std::min(state.retries, most_doublings));
    return longest +
        transfer_time(state.needs_image() ? state.image.bytes
                                          : state.window.bytes_in_flight());
}

bool replica::fills_message(log_index from) const {
    const log_index last = log_.last_index();
    return last.value() - from.value() + 1 >= options_.batch_records ||
        log_.bytes_between(log_index(from.value() - 1), last) >=
        options_.batch_bytes;
}

bool replica::is_image_smaller(log_index from) const {
    return image_bytes() <
        log_.bytes_between(log_index(from.value() - 1), log_.base().last_index);
}

// While less than a full message waits for its answer, the records that come
// meanwhile are gathered for the next one. Records wait until the image before
// them is installed.
bool replica::has_due_message(const progress& state) const {
    if (state.needs_image()) {
        return !state.image.is_sent &&
            state.window.has_room(options_.part_bytes);
    }
    return state.unsent <= log_.last_index() &&
        state.window.has_room(options_.batch_bytes) &&
        (!state.window.has_partial() || fills_message(state.unsent));
}

bool replica::send_due(const member& peer, progress& state, instant now) {
    if (!state.is_known) {
        return false;
    }
    if (!state.window.is_empty() && now >= state.retry_at) {
        ++state.retries;
        state.window.clear();
        state.rewind(round_);
    }
    bool sent = false;
    for (;;) {
        const bool is_newer = state.image.last < log_.base().last_index;
        if (is_newer &&
            (state.needs_image() || state.unsent < log_.first_index() ||
                is_image_smaller(state.unsent))) {
            state.begin_image(log_.base());
        }
        if (!has_due_message(state)) {
            return sent;
        }
        if (state.window.is_empty()) {
            state.retry_at = now + retry_delay(state);
        }
        begin_round(state, now);
        state.needs_image() ? send_part(peer, state)
                            : send_records(peer, state);
        sent = true;
    }
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

std::size_t replica::count_for_message(log_index from) const {
    std::size_t size = size_of(log_.at(from));
    std::size_t count = 1;
    for (log_index next = from.next();
         next <= log_.last_index() && count < options_.batch_records;
         next = next.next()) {
        size += size_of(log_.at(next));
        if (size > options_.batch_bytes) {
            break;
        }
        ++count;
    }
    return count;
}

void replica::send_records(const member& peer, progress& state) {
    wire::AppendRequestT request =
        make_append_request(log_index(state.unsent.value() - 1));
    std::vector<log_record> records =
        log_.slice(state.unsent, count_for_message(state.unsent));
    flight message;
    message.round = round_;
    message.last = records.back().index;
    message.is_partial = !fills_message(state.unsent);
    message.bytes =
        put_records(std::move(records), state.reads_packed, request);
    state.note_records(message, state.unsent);
    send(peer.id, std::move(request));
}

// Prevents the follower from starting an election while records or a snapshot
// are in flight to it, without sending them again. The record before those in
// flight is one that the follower holds, unless it needs a snapshot.
void replica::send_heartbeat(const member& peer, progress& state, instant now) {
    begin_round(state, now);
    const log_index previous = state.needs_image()
        ? log_.base().last_index
        : std::max(log_index(log_.first_index().value() - 1),
              log_index(state.next.value() - 1));
    send(peer.id, make_append_request(previous));
}

void replica::send_part(const member& peer, progress& state) {
    wire::InstallSnapshotT request;
    request.term = hard_.term.value();
    request.leader = options_.self.str();
    request.round = round_;
    request.part = std::make_unique<wire::SnapshotPartT>(make_part(log_.base(),
        state.image.sent, options_.part_bytes, state.reads_packed));
    flight message;
    message.round = round_;
    message.bytes = request.part->data.size();
    message.last = state.image.last;
    message.image_bytes = end_of(*request.part);
    message.is_part = true;
    state.note_part(message, request.part->offset);
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

// The image at hand is sent by itself; a new one pays if it takes less than the
// records after that one. Its size is taken to be that of the image at hand. An
// image that is half sent is completed first.
bool replica::wants_snapshot(instant now) const {
    if (!is_leader() ||
        now - snapshot_saved_ <
            options_.election_timeout * timeouts_between_snapshots) {
        return false;
    }
    const auto answers = [&](const progress& state) {
        return now - state.acknowledged < options_.election_timeout;
    };
    const auto is_half_sent = [&](const auto& entry) {
        const progress& state = entry.second;
        return answers(state) && state.needs_image() &&
            state.image.sent * 2 >= state.image.bytes;
    };
    if (std::any_of(peers_.begin(), peers_.end(), is_half_sent)) {
        return false;
    }
    const std::size_t worth = std::max(least_replaced_bytes, image_bytes());
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const progress& state = entry.second;
        const log_index held = std::max(
            log_.base().last_index, log_index(state.unsent.value() - 1));
        return answers(state) && log_.bytes_between(held, applied_) > worth;
    });
}

std::size_t replica::log_bytes() const {
    return log_.bytes_between(log_.base().last_index, applied_);
}

std::optional<transfer> replica::transfer_to(const replica_id& peer) const {
    const auto found = peers_.find(peer);
    if (!is_leader() || found == peers_.end()) {
        return std::nullopt;
    }
    const progress& state = found->second;
    transfer known{state.match, state.needs_image(), 0, 0, state.sent_bytes,
        state.resent_bytes, state.begun};
    if (known.installing) {
        known.image_bytes = state.image.bytes;
        known.image_received = state.image.held;
    }
    return known;
}

} // namespace dragonflymount::agreement
