// Runs this process's replica: connects it to the other replicas, writes its
// log to disk, and applies committed commands to its state.
#ifndef DRAGONFLYMOUNT_HOSTING_REPLICA_HOST_HPP
#define DRAGONFLYMOUNT_HOSTING_REPLICA_HOST_HPP

#include "dragonflymount/agreement.hpp"
#include "dragonflymount/runtime.hpp"
#include "dragonflymount/src/Hosting/AppliedState.hpp"
#include "dragonflymount/src/Hosting/DataFolder.hpp"
#include "dragonflymount/src/Hosting/MemberSubject.hpp"
#include "dragonflymount/src/Hosting/Sender.hpp"
#include "dragonflymount/src/Hosting/SnapshotDue.hpp"
#include "dragonflymount/src/Hosting/TurnLog.hpp"

#include <algorithm>

namespace dragonflymount::hosting {

struct replica_settings {
    agreement::replica_options options;
    /// The replicas that the settings name: the members that a new site starts
    /// with, and at any later start the replicas that are asked for admission.
    agreement::member_list members;
    runtime::connection_options connections;
    std::string data;
    /// Number of applied records after which a new snapshot replaces the log.
    std::uint32_t snapshot_records = 0;
    agreement::tail_policy tail = agreement::tail_policy::refuse_damage;
    /// Time between attempts to reopen a failed disk; zero disables them.
    duration reopen_interval{};
    /// The site starts for the first time: an initial member with an empty
    /// folder gets the initial identity.
    bool new_site = false;
};

/// \returns the reply to a proposal that this replica can't confirm as
/// committed; \p leader is the address of the leader, if known.
inline wire::ProposeReplyT refusal(
    wire::proposal_result result, const std::string& leader) {
    wire::ProposeReplyT reply;
    reply.result = result;
    reply.leader_address = leader;
    return reply;
}

/// \brief A replica with its links, data folder and applied state.
template <replicated_state State>
class replica_host {
public:
    using reply_handler = std::function<void(const wire::ProposeReplyT&)>;
    using leadership_handler = std::function<void(bool)>;
    using join_handler = std::function<void(const wire::JoinReplicaT&)>;

    replica_host(asio::io_context& context, replica_settings settings);

    std::string name() const { return "agreement"; }
    result<done> start();
    void stop();

    /// \brief Handles a message from another replica.
    /// \param from used for answers while no link to the sender is open: a
    /// replica that joins doesn't know all members yet.
    void receive(
        const runtime::connection::pointer& from, const wire::message& content);
    /// \brief Proposes a command; \p on_reply is called when it is applied, at
    /// once with \c not_leader if this replica isn't the leader, or with
    /// \c unavailable if leadership, the disk or the host fails meanwhile.
    void propose(bytes command, reply_handler on_reply);
    /// \brief Admits, promotes or removes a replica; \p on_reply is called when
    /// the change is applied, at once if it is refused, or as in \c propose.
    void change(const wire::ChangeReplicaT& request, reply_handler on_reply);
    /// \brief Asks this replica to stand for election without the members
    /// \p lost; see \c replica::reform.
    result<done> reform(const std::set<replica_id>& lost) {
        auto reformed = replica_->reform(lost, runtime::system_clock::now());
        schedule_flush();
        return reformed;
    }
    /// \brief Steps down if the quorum has been lost by now. Call before reads:
    /// a process that was suspended may still regard itself as the leader.
    void refresh() {
        replica_->tick(runtime::system_clock::now());
        watch_leadership();
    }

    /// \brief Sends a message to one replica over the link to it, or else over
    /// the last connection from it. Drops the message if neither is open.
    void send(const replica_id& to, const wire::message& content);
    /// \brief Replaces the replicas that the settings name; their members count
    /// only if the site starts for the first time.
    void set_seeds(agreement::member_list seeds);
    /// \brief Sends a message over all links.
    void send_to_all(const wire::message& content);

    /// \brief Whether this replica is the leader and has applied all commands
    /// committed in earlier terms.
    bool is_settled_leader() const {
        return replica_->has_committed_in_term() &&
            applied_.index() >= replica_->first_own_index();
    }
    /// \brief Whether this settled leader heard from a quorum so recently that
    /// no other replica can have been elected; its state is then current.
    bool is_current_leader() const;
    const agreement::replica& replica() const { return *replica_; }
    /// \returns the state after the commands applied so far.
    const State& agreed() const { return applied_.state(); }
    const data_folder& data() const { return data_; }
    const turn_log& turns() const { return turn_; }
    /// \returns the address of the leader, empty if none is known.
    std::string leader_address() const;
    /// \brief Sets the handler that is called with true when this replica
    /// becomes a settled leader, and with false when it no longer is one.
    void on_leadership(leadership_handler handler) {
        on_leadership_ = std::move(handler);
    }
    /// \brief Sets the handler of requests to be admitted, which arrive from
    /// replicas over either kind of connection.
    void on_join(join_handler handler) { on_join_ = std::move(handler); }

private:
    struct waiting_reply {
        log_term term;
        reply_handler handler;
    };
    struct peer_link {
        std::string address;
        std::unique_ptr<runtime::link> link;
    };

    // Limits the time that one turn spends on applying records, and also that
    // on packing an image. Far less than a heartbeat interval.
    static constexpr duration max_slice = std::chrono::milliseconds(5);

    // How long a leader may rely on its last contact with a quorum, in percent
    // of the election timeout. The remainder covers clock drift between hosts.
    static constexpr std::int64_t quorum_validity_percent = 90;

    void begin(agreement::recovered_state recovered);
    void tick();
    void try_reopen();
    void schedule_flush();
    void flush();
    std::size_t apply_slice();
    void note_applied(
        const agreement::log_record& record, wire::ProposeReplyT reply);
    void fail_waiting();
    void connect_members();
    void connect(const agreement::member& peer);
    void save_due_snapshot();
    void save_snapshot(const bytes& image);
    void install(const agreement::snapshot& image);
    void watch_leadership();

    asio::io_context& context_;
    replica_settings settings_;
    runtime::repeating_timer timer_;
    std::unique_ptr<agreement::replica> replica_;
    data_folder data_;
    applied_state<State> applied_;
    // The index of the last record in the newest snapshot.
    log_index snapshot_;
    std::map<replica_id, peer_link> links_;
    // The connection on which each replica sent its last message.
    std::map<replica_id, std::weak_ptr<runtime::connection>> last_connections_;
    // Proposals that aren't applied yet.
    std::map<log_index, waiting_reply> waiting_;
    leadership_handler on_leadership_;
    join_handler on_join_;
    bool was_leader_ = false;
    // Set while a flush is posted: one flush handles all messages and proposals
    // that arrive in the same turn of the event loop.
    bool flush_pending_ = false;
    instant next_reopen_{};
    turn_log turn_;
};

inline constexpr duration replica_tick_interval = std::chrono::milliseconds(20);

template <replicated_state State>
replica_host<State>::replica_host(
    asio::io_context& context, replica_settings settings)
    : context_(context), settings_(std::move(settings)),
      timer_(context, replica_tick_interval, [this] { tick(); }),
      data_(settings_.data, settings_.tail) {}

template <replicated_state State>
result<done> replica_host<State>::start() {
    const auto& members = settings_.members;
    const bool initial = settings_.new_site &&
        std::any_of(members.begin(), members.end(), [&](const auto& peer) {
            return peer.id == settings_.options.self;
        });
    auto recovered = data_.open(initial ? members : agreement::member_list{});
    if (!recovered) {
        return recovered.error();
    }
    begin(std::move(*recovered));
    timer_.start();
    return done{};
}

template <replicated_state State>
void replica_host<State>::begin(agreement::recovered_state recovered) {
    snapshot_ = recovered.base.last_index;
    applied_.reset(snapshot_);
    replica_ = std::make_unique<agreement::replica>(
        settings_.options, std::move(recovered), runtime::system_clock::now());
    connect_members();
}

template <replicated_state State>
void replica_host<State>::stop() {
    timer_.stop();
    links_.clear();
    fail_waiting();
}

template <replicated_state State>
bool replica_host<State>::is_current_leader() const {
    const duration trusted =
        settings_.options.election_timeout * quorum_validity_percent / 100;
    return is_settled_leader() &&
        runtime::system_clock::now() - replica_->quorum_instant() < trusted;
}

template <replicated_state State>
void replica_host<State>::connect_members() {
    for (const agreement::member& peer : replica_->members()) {
        connect(peer);
    }
    // A replica without a member list must still be able to answer the leader.
    for (const agreement::member& peer : settings_.members) {
        if (!links_.contains(peer.id)) {
            connect(peer);
        }
    }
}

template <replicated_state State>
void replica_host<State>::set_seeds(agreement::member_list seeds) {
    settings_.members = std::move(seeds);
    connect_members();
}

template <replicated_state State>
void replica_host<State>::connect(const agreement::member& peer) {
    const auto known = links_.find(peer.id);
    if (peer.id == replica_->self() ||
        (known != links_.end() && known->second.address == peer.address)) {
        return;
    }
    auto opened = std::make_unique<runtime::link>(
        context_, peer.address, settings_.connections);
    opened->start([](const auto&) {},
        [this](
            const auto& from, const auto& content) { receive(from, content); },
        [](const auto&, const auto&) {});
    links_[peer.id] = {peer.address, std::move(opened)};
}

template <replicated_state State>
void replica_host<State>::receive(
    const runtime::connection::pointer& from, const wire::message& content) {
    if (const auto* request = content.body.AsJoinReplica()) {
        if (on_join_) {
            on_join_(*request);
        }
        return;
    }
    const replica_id sender = sender_of(content);
    if (!sender.empty()) {
        last_connections_[sender] = from;
    }
    replica_->receive(content, runtime::system_clock::now());
    schedule_flush();
}

template <replicated_state State>
void replica_host<State>::send(
    const replica_id& to, const wire::message& content) {
    const auto found = links_.find(to);
    if (found != links_.end() && found->second.link->send(content)) {
        return;
    }
    const auto last = last_connections_.find(to);
    if (last == last_connections_.end()) {
        return;
    }
    const auto last_connection = last->second.lock();
    if (last_connection && last_connection->is_open()) {
        last_connection->send(content);
    }
}

template <replicated_state State>
void replica_host<State>::send_to_all(const wire::message& content) {
    for (const auto& [id, peer] : links_) {
        peer.link->send(content);
    }
}

template <replicated_state State>
void replica_host<State>::propose(bytes command, reply_handler on_reply) {
    const auto index =
        replica_->propose(std::move(command), runtime::system_clock::now());
    if (!index) {
        on_reply(refusal(wire::proposal_result::not_leader, leader_address()));
        return;
    }
    waiting_[*index] = {replica_->term(), std::move(on_reply)};
    schedule_flush();
}

template <replicated_state State>
void replica_host<State>::change(
    const wire::ChangeReplicaT& request, reply_handler on_reply) {
    const auto subject = resolve_subject(request, *replica_);
    result<log_index> index = subject
        ? replica_->change(
              request.change, *subject, runtime::system_clock::now())
        : result<log_index>(subject.error());
    if (!index) {
        const bool leads = index.error().code != errc::not_leader;
        auto reply = refusal(leads ? wire::proposal_result::refused
                                   : wire::proposal_result::not_leader,
            leader_address());
        reply.detail = index.error().message();
        on_reply(reply);
        return;
    }
    connect_members();
    waiting_[*index] = {replica_->term(), std::move(on_reply)};
    schedule_flush();
}

template <replicated_state State>
std::string replica_host<State>::leader_address() const {
    for (const agreement::member& peer : replica_->members()) {
        if (peer.id == replica_->leader()) {
            return peer.address;
        }
    }
    return {};
}

template <replicated_state State>
void replica_host<State>::tick() {
    if (replica_->is_failed()) {
        try_reopen();
    }
    replica_->tick(runtime::system_clock::now());
    flush();
}

template <replicated_state State>
void replica_host<State>::try_reopen() {
    const instant now = runtime::system_clock::now();
    if (settings_.reopen_interval == duration::zero() || now < next_reopen_ ||
        data_.state() != disk_state::failed) {
        return;
    }
    next_reopen_ = now + settings_.reopen_interval;
    auto recovered = data_.reopen();
    if (!recovered || recovered->damaged) {
        return;
    }
    LOG(INFO) << event::disk_regained << "replica=" << settings_.options.self;
    begin(std::move(*recovered));
}

template <replicated_state State>
void replica_host<State>::schedule_flush() {
    if (flush_pending_) {
        return;
    }
    flush_pending_ = true;
    asio::post(context_, [this] {
        flush_pending_ = false;
        flush();
    });
}

template <replicated_state State>
void replica_host<State>::flush() {
    turn_.begin();
    auto actions = replica_->ready(data_.store(), runtime::system_clock::now());
    if (!actions) {
        data_.note_failure(actions.error());
        watch_leadership();
        fail_waiting();
        return;
    }
    for (const agreement::outbound& message : actions->messages) {
        send(message.to, message.content);
    }
    if (actions->installed) {
        install(*actions->installed);
    }
    if (replica_->is_failed()) {
        return;
    }
    applied_.add(std::move(actions->committed));
    turn_.note_written();
    turn_.note_applied(apply_slice());
    watch_leadership();
    save_due_snapshot();
    turn_.end(applied_.index(), settings_.options.heartbeat_interval);
}

template <replicated_state State>
void replica_host<State>::install(const agreement::snapshot& image) {
    const auto status = applied_.load(image);
    if (!status) {
        replica_->fail();
        data_.note_failure(status.error());
        return;
    }
    snapshot_ = image.last_index;
    connect_members();
    LOG(INFO) << event::snapshot_installed << "index=" << image.last_index
              << " bytes=" << image.state.size();
}

template <replicated_state State>
void replica_host<State>::save_due_snapshot() {
    if (!applied_.is_packing() && !applied_.has_pending() &&
        is_snapshot_due(*replica_, applied_.index(), snapshot_,
            settings_.snapshot_records, runtime::system_clock::now())) {
        applied_.begin_packing();
    }
    if (!applied_.is_packing()) {
        return;
    }
    if (const auto image = applied_.pack(max_slice)) {
        save_snapshot(*image);
    }
    schedule_flush();
}

template <replicated_state State>
void replica_host<State>::save_snapshot(const bytes& image) {
    const log_index index = applied_.index();
    const auto status = replica_->save_snapshot(data_.store(), index, image);
    if (status) {
        snapshot_ = index;
        LOG(INFO) << event::snapshot_saved << "index=" << index
                  << " bytes=" << image.size();
    } else if (replica_->is_failed()) {
        data_.note_failure(status.error());
    }
}

template <replicated_state State>
std::size_t replica_host<State>::apply_slice() {
    const std::size_t count = applied_.apply(max_slice,
        [this](const agreement::log_record& record, wire::ProposeReplyT reply) {
            note_applied(record, std::move(reply));
        });
    if (applied_.has_pending()) {
        schedule_flush();
    }
    return count;
}

template <replicated_state State>
void replica_host<State>::note_applied(
    const agreement::log_record& record, wire::ProposeReplyT reply) {
    if (record.kind == agreement::record_kind::members) {
        connect_members();
    }
    const auto found = waiting_.find(record.index);
    if (found == waiting_.end()) {
        return;
    }
    waiting_reply waiting = std::move(found->second);
    waiting_.erase(found);
    if (waiting.term != record.term) {
        reply = refusal(wire::proposal_result::unavailable, leader_address());
    }
    waiting.handler(reply);
}

template <replicated_state State>
void replica_host<State>::watch_leadership() {
    const bool leads = is_settled_leader();
    if (!replica_->is_leader()) {
        fail_waiting();
    }
    if (leads == was_leader_) {
        return;
    }
    was_leader_ = leads;
    if (leads) {
        LOG(INFO) << event::leader_elected << "replica=" << replica_->self()
                  << " term=" << replica_->term();
    } else {
        LOG(WARNING) << event::leader_lost << "replica=" << replica_->self()
                     << " term=" << replica_->term() << " reason="
                     << agreement::name_of(replica_->last_lead_end())
                     << " longest_turn_us=" << turn_.longest().count();
        fail_waiting();
    }
    if (on_leadership_) {
        on_leadership_(leads);
    }
}

// Replies \c unavailable to all waiting proposals: this replica can't know
// whether they will be committed.
template <replicated_state State>
void replica_host<State>::fail_waiting() {
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto& [index, entry] : waiting) {
        entry.handler(
            refusal(wire::proposal_result::unavailable, leader_address()));
    }
}

} // namespace dragonflymount::hosting

#endif
