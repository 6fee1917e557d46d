// One replica of the replicated log, as a deterministic state machine.
//
// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", USENIX ATC 2014) with the pre-vote,
// check-quorum and single-member change of Ongaro's dissertation. The caller
// passes in received messages and the current time, and gets back messages to
// send and committed records to apply. \c ready writes to a store and syncs it
// before it returns anything that depends on the written data.
#ifndef DRAGONFLYMOUNT_AGREEMENT_REPLICA_HPP
#define DRAGONFLYMOUNT_AGREEMENT_REPLICA_HPP

#include "dragonflymount/src/Agreement/Log.hpp"
#include "dragonflymount/src/Agreement/LostSeats.hpp"
#include "dragonflymount/src/Agreement/Progress.hpp"
#include "dragonflymount/src/Agreement/SnapshotParts.hpp"

#include <functional>
#include <map>
#include <set>

namespace dragonflymount::agreement {

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

std::string_view name_of(role value);

/// \brief Why a leader stepped down.
enum class lead_end : std::uint8_t {
    none,
    /// No majority of voters answered for an election timeout.
    silent_quorum,
    /// A message of another replica carried a higher term.
    higher_term,
    /// The committed member list no longer has this replica as a voter.
    removed,
    disk_failed,
};

std::string_view name_of(lead_end value);

struct replica_options {
    replica_id self;
    /// A follower starts an election after a random time of one to two of these
    /// timeouts without contact. A leader steps down if no majority has
    /// answered it for one.
    duration election_timeout = std::chrono::milliseconds(1000);
    duration heartbeat_interval = std::chrono::milliseconds(150);
    /// Largest number of records in one message.
    std::size_t batch_records = 256;
    /// Largest payload of the records in one message, in bytes; a message may
    /// always hold one record.
    std::size_t batch_bytes = 64U << 10U;
    /// Largest part of a snapshot's state in one message, in bytes.
    std::size_t part_bytes = 64U << 10U;
    /// Records that a snapshot covers and that stay in memory, for replicas
    /// that are a little behind.
    kept_records kept{};
    std::uint64_t seed = 1;
    /// Target number of voters, the seats. While fewer vote, a record is
    /// committed only if a majority of the seats holds it, or all voters do.
    /// Zero: a majority of voters commits, and elects.
    std::size_t voters = 0;
};

struct outbound {
    replica_id to;
    wire::message content;
};

/// \brief What the caller of \c replica::ready has to send and apply.
struct ready_actions {
    std::vector<outbound> messages;
    /// Set if a snapshot replaced the log; load it before applying
    /// \c committed.
    std::optional<snapshot> installed;
    std::vector<log_record> committed;
};

/// \brief How far a leader has brought the log and the state to one peer.
struct transfer {
    /// The last record up to which the peer's log is known to match.
    log_index match;
    /// The peer is sent an image of the state, of which it has acknowledged
    /// \c image_received of \c image_bytes bytes; both are zero otherwise.
    bool installing = false;
    std::size_t image_bytes = 0;
    std::size_t image_received = 0;
    /// Bytes of records and images sent by this leader, and how many of them
    /// repeated what it had sent before.
    std::uint64_t sent_bytes = 0;
    std::uint64_t resent_bytes = 0;
    /// When this leader sent the peer its first message.
    instant begun{};
};

/// \brief One replica's protocol state; see the head comment of this file.
class replica {
public:
    replica(replica_options options, recovered_state recovered, instant now);

    /// \brief Starts elections and sends heartbeats that are due at \p now, and
    /// steps down if the quorum is lost.
    void tick(instant now);
    /// \brief Handles a message from another replica.
    void receive(const wire::message& content, instant now);

    /// \brief Appends a command if this replica is the leader.
    /// \returns the command's index, or nothing if this replica isn't the
    /// leader; the command may still be lost before it is committed.
    std::optional<log_index> propose(bytes command, instant now);
    /// \brief Admits a learner, promotes a learner to a voter, or removes a
    /// member.
    ///
    /// A change is refused while an earlier one isn't committed: with two
    /// uncommitted changes, two majorities could have no member in common.
    /// \returns the index of the record with the new member list; fails with
    /// \c errc::not_leader, \c errc::conflict if the change isn't possible, or
    /// \c errc::unavailable if the learner lacks committed records.
    result<log_index> change(
        wire::replica_change change, const member& subject, instant now);

    /// \brief Counts the members \p lost, whose machines are gone, as voters
    /// without a disk in the elections of this replica, until it leads or
    /// hears a leader. What only their disks held is lost.
    /// \returns \c errc::conflict if this replica isn't an admitted voter or
    /// hears a leader, if no target number of voters is set, or if \p lost
    /// names no member, no other member than this replica, or an unknown one.
    result<done> reform(const std::set<replica_id>& lost, instant now);

    /// \brief Writes and syncs unsaved changes, then returns the messages and
    /// committed records.
    /// \returns a failure if the disk failed, now or earlier; the replica sends
    /// nothing more until it is restarted.
    template <log_store Store>
    result<ready_actions> ready(Store& store, instant now);

    /// \brief Replaces the log up to \p index by \p state, the state after the
    /// record at \p index.
    /// \returns \c errc::unavailable if the record isn't applied or a later
    /// change of members is in the log.
    template <log_store Store>
    result<done> save_snapshot(Store& store, log_index index, bytes state);

    /// \brief Stops the replica: until a restart it sends no messages, neither
    /// votes nor leads.
    void fail();

    bool is_leader() const { return role_ == role::leader; }
    /// \brief Whether this replica is the leader and has committed a record of
    /// its own term. All records committed in earlier terms are then known to
    /// it as committed.
    bool has_committed_in_term() const;
    /// \returns the index of the first record of this leader's term. A state to
    /// which it was applied holds all commands committed in earlier terms.
    log_index first_own_index() const { return first_own_index_; }
    /// \returns the latest instant at which a majority of voters is known to
    /// have followed this leader; the default \c instant if this replica isn't
    /// the leader.
    instant quorum_instant() const;
    /// \returns why this replica last stepped down as leader, \c none if it
    /// never has.
    lead_end last_lead_end() const { return lead_end_; }

    /// \returns the voters without whose votes this replica began to lead, as
    /// their disks are lost; empty if it doesn't lead or a majority elected it.
    const std::vector<replica_id>& seats_given_up() const {
        return seats_given_up_;
    }

    role current_role() const { return role_; }
    log_term term() const { return hard_.term; }
    log_index commit_index() const { return commit_; }
    log_index last_index() const { return log_.last_index(); }
    log_term last_term() const { return log_.last_term(); }
    const replica_id& leader() const { return leader_; }
    /// \returns whether this replica leads, or has heard the leader within a
    /// few election timeouts. One without a vote stands for no election, so it
    /// never forgets its leader.
    bool hears_leader(instant now) const;
    const replica_id& self() const { return options_.self; }
    replica_identity identity() const { return identity_; }
    const member_list& members() const { return log_.members(); }
    /// \returns the index of the newest member record in the log, zero if it
    /// was compacted.
    log_index members_index() const { return log_.members_index(); }
    std::size_t log_size() const { return log_.size(); }
    bool is_failed() const { return failed_; }
    /// \brief Whether this replica leads, and a replica that answers receives
    /// its snapshot or the records after it. A newer snapshot would make it
    /// begin again.
    bool is_sending_snapshot(instant now) const;
    /// \brief Whether this replica leads, and a replica that answers lacks so
    /// many records that a new snapshot is likely to reach it sooner.
    bool wants_snapshot(instant now) const;
    /// \returns the bytes of the committed records after the newest snapshot.
    std::size_t log_bytes() const;
    /// \returns the bytes of the newest snapshot's state.
    std::size_t image_bytes() const { return log_.base().state.size(); }
    /// \returns the identities of replicas whose newest answer to this leader
    /// came under an identity that isn't that of a member.
    const std::map<replica_id, replica_identity>& unadmitted() const {
        return unadmitted_;
    }
    /// \returns the last index up to which \p peer's log is known to match the
    /// leader's; zero if unknown.
    log_index match_index(const replica_id& peer) const;
    /// \returns whether \p peer holds all committed records, or held those that
    /// were committed when its newest answered round was sent. Under constant
    /// load a replica that is slower than the quorum never holds all.
    bool has_caught_up(const replica_id& peer) const;
    /// \returns whether \p peer has answered this leader, since a change of
    /// members that concerned it.
    bool has_answered(const replica_id& peer) const;
    /// \returns the send time of the newest round that \p peer has answered, or
    /// the instant at which this leader sent it its first message if that is
    /// later.
    instant acknowledged(const replica_id& peer) const;
    /// \returns how far \p peer is; nothing if this replica isn't the leader
    /// or has sent \p peer nothing yet.
    std::optional<transfer> transfer_to(const replica_id& peer) const;

private:
    void receive(const wire::VoteRequestT& request, instant now);
    void receive(const wire::VoteReplyT& reply, instant now);
    void receive(const wire::AppendRequestT& request, instant now);
    void receive(const wire::AppendReplyT& reply, instant now);
    void note_unadmitted(const wire::AppendReplyT& reply);
    void receive(const wire::InstallSnapshotT& request, instant now);

    const member* find_member(const replica_id& id) const;
    bool is_voter(const replica_id& id, replica_identity identity) const;
    bool can_vote() const;
    /// \returns whether this replica is a member under its identity, as a voter
    /// or a learner.
    bool is_admitted() const;
    bool is_up_to_date(log_index index, log_term term) const;
    /// \returns whether a log that ends at \p index isn't newer than this one.
    bool is_up_to_date_with(log_index index, log_term term) const;
    bool is_same_log(const wire::VoteRequestT& request) const;
    bool is_majority(std::size_t count) const;

    void become_follower(log_term term, const replica_id& leader, instant now);
    void end_lead(lead_end reason);
    void start_election(bool pre_vote, instant now);
    /// Begins an attempt and asks the other replicas. A pre-vote asks for the
    /// term after this replica's.
    void request_votes(bool pre_vote, instant now);
    wire::VoteReplyT make_vote_reply(const wire::VoteRequestT& request) const;
    /// \returns the list that the candidate has to know, by its answer's
    /// digest.
    member_list list_to_compare(const wire::VoteRequestT& request) const;
    /// Notes an answer to the attempt under way, by the rule of lost seats.
    void note_answer(const wire::VoteReplyT& reply);
    /// Goes on with the election if the answers allow it.
    void count_votes(instant now);
    attempt_answers answers_at(instant now) const;
    bool may_lead_without_lost(instant now) const;
    void become_leader(instant now);
    /// Leads without the lost voters, and takes their votes first.
    void lead_reformed_group(instant now);
    void reset_election_timer(instant now);
    /// Steps down if no majority has answered for an election timeout.
    void check_quorum(instant now);
    void begin_round(progress& state, instant now);
    void step_down_if_removed(instant now);
    /// \returns why \p change of the voter or learner \p peer would take a
    /// living voter out of a seat, empty if it wouldn't.
    std::string_view find_seat_conflict(
        wire::replica_change change, const member& subject) const;
    /// \returns the newest list in the records before \p end.
    member_list members_before(log_index end) const;
    bool is_list_committed() const;
    /// Repeats a list once it is committed: a replica that finds a list twice
    /// in its log knows that, also after a restart.
    void confirm_members();
    /// \returns how many voters must hold a record before it is committed.
    std::size_t voters_to_commit() const;
    void broadcast(instant now, bool heartbeat);
    progress& progress_of(const member& peer, instant now);
    /// \brief Sends records or parts as far as the window allows.
    /// \returns whether any were sent.
    bool send_due(const member& peer, progress& state, instant now);
    bool has_due_message(const progress& state) const;
    bool fills_message(log_index from) const;
    /// \returns how many records from \p from on fit into a message.
    std::size_t count_for_message(log_index from) const;
    /// \returns whether the newest snapshot takes less than the records that
    /// it replaces, from \p from on.
    bool is_image_smaller(log_index from) const;
    duration retry_delay(const progress& state) const;
    void send_records(const member& peer, progress& state);
    void send_heartbeat(const member& peer, progress& state, instant now);
    void send_part(const member& peer, progress& state);
    /// \returns an append request without records whose previous record is the
    /// one at \p previous.
    wire::AppendRequestT make_append_request(log_index previous) const;
    void append(log_record record);
    void advance_commit();
    void reply_append(const std::string& leader, std::uint64_t round,
        bool accepted, log_index match);
    void set_term(log_term term);
    void begin_term(hard_state hard);
    template <class Content>
    void send(const replica_id& to, Content content);
    std::uint64_t next_random();

    replica_options options_;
    replica_identity identity_;
    hard_state hard_;
    memory_log log_;
    role role_ = role::follower;
    replica_id leader_;
    // Invariant: applied_ <= commit_ <= log_.last_index().
    log_index commit_;
    log_index applied_;
    // All records before this index are synced.
    log_index unsaved_from_;
    bool hard_dirty_ = false;
    bool failed_ = false;
    std::optional<snapshot> installed_;
    // Parts of the leader of this term.
    incoming_snapshot incoming_;
    std::vector<outbound> outbox_;
    std::map<replica_id, progress> peers_;
    std::set<replica_id> votes_;
    // The attempt of this replica's election, and what came back.
    std::uint64_t attempt_ = 0;
    instant attempt_began_{};
    std::map<replica_id, vote_answer> answers_;
    log_term highest_answer_term_;
    // Empty unless this replica hears no leader.
    std::set<replica_id> declared_lost_;
    std::vector<replica_id> seats_given_up_;
    // The newest member list that confirm_members has dealt with.
    log_index confirmed_members_;
    std::map<replica_id, replica_identity> unadmitted_;
    std::uint64_t round_ = 0;
    // The latest \c now that the caller has passed in.
    instant latest_now_{};
    instant election_deadline_{};
    // Also set at start: before a restart this replica may have acknowledged a
    // leader, which counts it in its quorum for an election timeout.
    instant last_leader_contact_{};
    instant next_heartbeat_{};
    instant leader_since_{};
    // When the newest snapshot was saved.
    instant snapshot_saved_{};
    lead_end lead_end_ = lead_end::none;
    log_index first_own_index_;
    std::uint64_t random_state_;
};

template <class Content>
void replica::send(const replica_id& to, Content content) {
    outbox_.push_back({to, wire::make_message(std::move(content))});
}

template <log_store Store>
result<ready_actions> replica::ready(Store& store, instant now) {
    if (failed_) {
        return failure{make_error_code(errc::disk_failed), "sync log",
            options_.self.str(), "the disk failed or holds a damaged log"};
    }
    check_quorum(now);
    if (is_leader()) {
        broadcast(now, false);
    }
    result<done> status = done{};
    bool dirty = false;
    if (installed_) {
        status = store.save(*installed_);
        dirty = true;
    }
    if (status && hard_dirty_) {
        status = store.save(hard_);
        dirty = true;
    }
    if (status && unsaved_from_ <= log_.last_index()) {
        const std::vector<log_record> records =
            log_.slice(unsaved_from_, log_.size());
        status = store.append(records);
        dirty = true;
    }
    if (status && dirty) {
        status = store.sync();
    }
    if (!status) {
        fail();
        return status.error();
    }
    hard_dirty_ = false;
    unsaved_from_ = log_.last_index().next();
    if (is_leader()) {
        advance_commit();
        step_down_if_removed(now);
        confirm_members();
    }
    ready_actions actions;
    actions.messages = std::move(outbox_);
    outbox_.clear();
    actions.installed = std::move(installed_);
    installed_.reset();
    while (applied_ < commit_) {
        applied_ = applied_.next();
        actions.committed.push_back(log_.at(applied_));
    }
    return actions;
}

template <log_store Store>
result<done> replica::save_snapshot(
    Store& store, log_index index, bytes state) {
    const std::optional<log_term> term = log_.term_at(index);
    if (!term || index > applied_) {
        return failure{make_error_code(errc::unavailable), "save snapshot",
            options_.self.str(), "index is not applied"};
    }
    // The member list in a snapshot must not be newer than the snapshot.
    if (log_.members_index() > index) {
        return failure{make_error_code(errc::unavailable), "save snapshot",
            options_.self.str(), "a change of members is under way"};
    }
    snapshot image{index, *term, log_.members(), std::move(state)};
    result<done> status = store.save(image);
    if (status) {
        status = store.sync();
    }
    if (!status) {
        fail();
        return status;
    }
    log_.compact(std::move(image));
    snapshot_saved_ = latest_now_;
    return done{};
}

} // namespace dragonflymount::agreement

#endif
