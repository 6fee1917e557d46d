// One replica of the agreed log: a deterministic state machine.
//
// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", USENIX ATC 2014) with the pre-vote,
// check-quorum and single-member change of Ongaro's dissertation. Messages
// and time go in, messages and committed records come out; the disk is the
// store given to \c ready, which syncs before it releases anything that
// depends on what was written.
#ifndef DRAGONFLYMOUNT_AGREEMENT_REPLICA_HPP
#define DRAGONFLYMOUNT_AGREEMENT_REPLICA_HPP

#include "dragonflymount/src/Agreement/Log.hpp"

#include <functional>
#include <map>
#include <set>

namespace dragonflymount::agreement {

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

std::string_view name_of(role value);

/// \brief Why a replica ceased to lead.
enum class lead_end : std::uint8_t {
    none,
    /// No majority had answered for an election timeout.
    silent_quorum,
    /// Another replica told a higher term.
    higher_term,
    /// It is no longer a voter.
    removed,
    disk_failed,
};

std::string_view name_of(lead_end value);

struct replica_options {
    replica_id self;
    /// A follower that hears nothing for this long, and up to twice as long,
    /// asks for votes. A leader that has heard no majority for this long
    /// steps down.
    duration election_timeout = std::chrono::milliseconds(1000);
    duration heartbeat_interval = std::chrono::milliseconds(150);
    /// Records sent in one message.
    std::size_t batch_records = 256;
    /// Records sent in one message, in bytes of payload.
    std::size_t batch_bytes = 1U << 20U;
    std::uint64_t seed = 1;
};

struct outbound {
    replica_id to;
    wire::message content;
};

/// \brief What the driver has to do after \c replica::ready.
struct ready_actions {
    std::vector<outbound> messages;
    /// Set if a snapshot replaced the state; apply it before \c committed.
    std::optional<snapshot> installed;
    std::vector<log_record> committed;
};

/// \brief The replica's protocol state; see the file's head comment.
class replica {
public:
    replica(replica_options options, recovered_state recovered, instant now);

    /// \brief Advances time: elections, heartbeats, loss of the quorum.
    void tick(instant now);
    /// \brief Takes a message of another replica.
    void receive(const wire::message& content, instant now);

    /// \brief Appends a command, if this replica leads.
    /// \returns the index at which it will be committed, if it ever is.
    std::optional<log_index> propose(bytes command, instant now);
    /// \brief Admits a learner, promotes it, or removes a member.
    ///
    /// Only one change may be under way: a second one before the first is
    /// committed could leave two majorities without a common member.
    result<log_index> change(
        wire::replica_change change, const member& subject, instant now);

    /// \brief Writes and syncs what has changed, then releases the messages
    /// and records that depend on it.
    /// \returns nothing to send if the disk failed; the replica then stays
    /// silent for good.
    template <log_store Store>
    result<ready_actions> ready(Store& store, instant now);

    /// \brief Replaces the log up to \p index by the state after it.
    template <log_store Store>
    result<done> save_snapshot(Store& store, log_index index, bytes state);

    /// \brief Ends all promises: the replica neither votes nor leads again
    /// before a restart.
    void fail();

    bool is_leader() const { return role_ == role::leader; }
    /// \brief Whether this leader has committed a record of its own term, so
    /// that its state holds all that was ever accepted.
    bool has_committed_in_term() const;
    /// \returns the index of the first record of this leader's term; a state
    /// that holds it holds all that was accepted before.
    log_index first_own_index() const { return first_own_index_; }
    /// \returns the latest instant at which a majority is known to have
    /// followed this leader; the epoch's start if it doesn't lead.
    instant quorum_instant() const;
    /// \returns why this replica's last lead ended, \c none if it never led.
    lead_end last_lead_end() const { return lead_end_; }

    role current_role() const { return role_; }
    log_term term() const { return hard_.term; }
    log_index commit_index() const { return commit_; }
    log_index last_index() const { return log_.last_index(); }
    const replica_id& leader() const { return leader_; }
    const replica_id& self() const { return options_.self; }
    replica_identity identity() const { return identity_; }
    const member_list& members() const { return log_.members(); }
    /// \returns the index of the newest change of members in the log.
    log_index members_index() const { return log_.members_index(); }
    std::size_t log_size() const { return log_.size(); }
    bool is_failed() const { return failed_; }
    /// \returns identities under which unadmitted replicas have answered.
    const std::map<replica_id, replica_identity>& unadmitted() const {
        return unadmitted_;
    }
    /// \returns how far \p peer's log is known to match the leader's.
    log_index match_index(const replica_id& peer) const;
    /// \returns when the newest round that \p peer has answered was sent; the
    /// instant at which this replica began to lead if it has answered none.
    instant acknowledged(const replica_id& peer) const;

private:
    struct progress {
        log_index next;
        log_index match;
        // The newest round that this peer has answered, by sending time.
        instant acknowledged{};
        // Sending times of recent rounds, to date acknowledgements by. They
        // are kept per peer: a fast peer's rounds must not displace those
        // that a slow one has yet to answer.
        std::map<std::uint64_t, instant> rounds;
        // A batch or an image is on its way; the next one waits for its answer.
        // Messages arrive in the order in which they were sent, so an answer
        // to this round or to a later one tells that it has arrived or is lost.
        bool in_flight = false;
        std::uint64_t in_flight_round = 0;
        // Without any answer by then it is sent again.
        instant retry_at{};
    };

    void receive(const wire::VoteRequestT& request, instant now);
    void receive(const wire::VoteReplyT& reply, instant now);
    void receive(const wire::AppendRequestT& request, instant now);
    void receive(const wire::AppendReplyT& reply, instant now);
    void receive(const wire::InstallSnapshotT& request, instant now);

    const member* find_member(const replica_id& id) const;
    bool is_voter(const replica_id& id, replica_identity identity) const;
    bool can_vote() const;
    /// \returns whether it is a member under its identity, voter or not.
    bool is_admitted() const;
    bool is_up_to_date(log_index index, log_term term) const;
    bool is_same_log(const wire::VoteRequestT& request) const;
    std::size_t voter_count() const;
    bool is_majority(std::size_t count) const;

    void become_follower(log_term term, const replica_id& leader, instant now);
    void end_lead(lead_end reason);
    void start_election(bool pre_vote, instant now);
    void become_leader(instant now);
    void reset_election_timer(instant now);
    /// Steps down if no majority has followed for an election timeout.
    void check_quorum(instant now);
    void begin_round(progress& state, instant now);
    void step_down_if_removed(instant now);
    void broadcast(instant now, bool heartbeat);
    void send_records(const member& peer, progress& state, instant now);
    void send_heartbeat(const member& peer, progress& state, instant now);
    void send_snapshot(const member& peer, progress& state, instant now);
    /// \returns an append without records that continues after \p previous.
    wire::AppendRequestT make_append_request(log_index previous) const;
    void mark_in_flight(
        progress& state, duration retry_delay, instant now) const;
    void append(log_record record);
    void advance_commit();
    void reply_append(const std::string& leader, std::uint64_t round,
        bool accepted, log_index match);
    void set_term(log_term term);
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
    // The records before this index are on the disk.
    log_index unsaved_from_;
    bool hard_dirty_ = false;
    bool failed_ = false;
    std::optional<snapshot> installed_;
    std::vector<outbound> outbox_;
    std::map<replica_id, progress> peers_;
    std::set<replica_id> votes_;
    std::map<replica_id, replica_identity> unadmitted_;
    std::uint64_t round_ = 0;
    // The latest instant that this replica was told.
    instant latest_now_{};
    instant election_deadline_{};
    // Set at start as well: before a restart this replica may have followed a
    // leader that counts on it for an election timeout.
    instant last_leader_contact_{};
    instant next_heartbeat_{};
    instant leader_since_{};
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
    // The member list that goes with a snapshot must not be newer than it.
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
    return done{};
}

} // namespace dragonflymount::agreement

#endif
