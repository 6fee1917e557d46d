// Replicas in virtual time whose links carry a given number of bytes a second,
// in order, and whose disks take a given time to sync.
#ifndef DRAGONFLYMOUNT_TESTS_PACED_GROUP_HPP
#define DRAGONFLYMOUNT_TESTS_PACED_GROUP_HPP

#include "dragonflymount/agreement.hpp"
#include "dragonflymount/src/Hosting/SnapshotDue.hpp"

#include <deque>
#include <map>

namespace dragonflymount::agreement {

class paced_group {
public:
    static constexpr duration step = std::chrono::milliseconds(5);
    static constexpr std::size_t image_bytes = 700U << 10U;
    static constexpr std::size_t record_bytes = 4000;

    explicit paced_group(std::size_t count) : nodes_(count) {
        for (std::size_t k = 0; k < count; ++k) {
            members_.push_back({replica_id("c" + std::to_string(k)), "",
                availability_zone_id("z"), initial_identity, true});
        }
        for (std::size_t k = 0; k < count; ++k) {
            start(k, initial_identity, members_);
        }
    }

    /// Bytes a second that each link carries from now on.
    void set_rate(double rate) { rate_ = rate; }
    void set_sync_time(duration time) { sync_time_ = time; }
    /// The leader gets a command every \p interval.
    void set_load(duration interval) { load_interval_ = interval; }

    void run(duration span) {
        const instant end = now_ + span;
        while (now_ < end) {
            now_ += step;
            propose_due();
            deliver_due();
            for (std::size_t k = 0; k < nodes_.size(); ++k) {
                advance(k);
            }
        }
    }
    template <class Condition>
    bool run_until(Condition condition, duration limit) {
        const instant end = now_ + limit;
        while (now_ < end && !condition()) {
            run(step);
        }
        return condition();
    }

    replica& core(std::size_t k) { return *nodes_[k].core; }
    replica& leader() { return core(leads()); }
    std::size_t leads() const {
        for (std::size_t k = 0; k < nodes_.size(); ++k) {
            if (nodes_[k].core->has_committed_in_term()) {
                return k;
            }
        }
        return 0;
    }
    std::size_t follower() const { return (leads() + 1) % nodes_.size(); }
    instant now() const { return now_; }
    const replica_id& id(std::size_t k) const { return members_[k].id; }
    std::optional<transfer> transfer_to(std::size_t k) {
        return leader().transfer_to(id(k));
    }
    bool is_voter(std::size_t k) {
        const member_list& list = leader().members();
        return std::any_of(list.begin(), list.end(), [&](const member& peer) {
            return peer.id == id(k) && peer.voter &&
                peer.identity == core(k).identity();
        });
    }
    /// \returns whether both hold the same state, as far as both have applied.
    bool agree(std::size_t a, std::size_t b) {
        const auto both = std::min(nodes_[a].applied, nodes_[b].applied);
        return nodes_[a].digests[both] == nodes_[b].digests[both];
    }
    std::size_t snapshots(std::size_t k) const { return nodes_[k].snapshots; }
    /// \returns the bytes that all links to \p k have taken since the start.
    std::size_t bytes_to(std::size_t k) const { return nodes_[k].bytes_to; }
    /// \returns the longest time that a message without records has taken.
    duration take_latest_heartbeat() {
        return std::exchange(latest_heartbeat_, duration::zero());
    }

    /// Replica \p k starts again with an empty disk.
    void empty(std::size_t k) {
        close_links(k);
        start(k, replica_identity(++next_identity_), {});
    }
    /// All that is on its way to and from \p k is lost.
    void close_links(std::size_t k) {
        for (auto& [ends, link] : links_) {
            if (ends.first == k || ends.second == k) {
                link = {};
            }
        }
    }
    /// Admits replicas that answer under a new identity and promotes those that
    /// have caught up, as an operator would.
    void settle_members() {
        replica& leads = leader();
        const auto strangers = leads.unadmitted();
        for (const auto& [id, identity] : strangers) {
            leads.change(wire::replica_change::admit,
                {id, "", availability_zone_id("z"), identity, false}, now_);
        }
        const member_list list = leads.members();
        for (const member& peer : list) {
            if (!peer.voter) {
                leads.change(wire::replica_change::promote, peer, now_);
            }
        }
    }

private:
    struct queued {
        instant sent;
        instant arrives;
        wire::message content;
    };
    struct link {
        instant free_at{};
        std::deque<queued> messages;
    };
    struct node {
        memory_store store;
        std::unique_ptr<replica> core;
        instant busy_until{};
        log_index applied;
        log_index snapshot;
        std::size_t snapshots = 0;
        std::uint64_t digest = 0;
        std::map<log_index, std::uint64_t> digests;
        std::size_t bytes_to = 0;
    };
    /// Counts the syncs of a store.
    struct counting_store {
        memory_store* store;
        std::size_t syncs = 0;
        result<done> append(std::span<const log_record> records) {
            return store->append(records);
        }
        result<done> save(const hard_state& hard) { return store->save(hard); }
        result<done> save(const snapshot& image) { return store->save(image); }
        result<done> sync() {
            ++syncs;
            return done{};
        }
    };

    static constexpr duration latency = std::chrono::milliseconds(5);
    static constexpr std::uint64_t snapshot_records = 4096;

    void start(std::size_t k, replica_identity identity, member_list members) {
        recovered_state fresh;
        fresh.identity = identity;
        fresh.base.members = std::move(members);
        node made;
        made.store = memory_store(fresh);
        replica_options options;
        options.self = id(k);
        options.election_timeout = std::chrono::milliseconds(700);
        options.heartbeat_interval = std::chrono::milliseconds(100);
        options.seed = k + 1;
        made.core = std::make_unique<replica>(options, fresh, now_);
        nodes_[k] = std::move(made);
    }

    // A quarter of the bytes can't be deflated.
    static bytes text(std::uint64_t seed, std::size_t size) {
        bytes made(size, 'x');
        for (std::size_t k = 0; k < size; k += 4) {
            seed = seed * 6364136223846793005U + 1442695040888963407U;
            made[k] = static_cast<std::uint8_t>(seed >> 56U);
        }
        return made;
    }

    void propose_due() {
        while (load_interval_ > duration::zero() && now_ >= next_command_) {
            next_command_ =
                std::max(next_command_, now_ - step) + load_interval_;
            leader().propose(text(++commands_, record_bytes), now_);
        }
    }

    void deliver_due() {
        for (auto& [ends, link] : links_) {
            node& to = nodes_[ends.second];
            while (!link.messages.empty() && to.busy_until <= now_ &&
                link.messages.front().arrives <= now_) {
                to.core->receive(link.messages.front().content, now_);
                link.messages.pop_front();
            }
        }
    }

    void advance(std::size_t k) {
        node& at = nodes_[k];
        if (at.busy_until > now_) {
            return;
        }
        at.core->tick(now_);
        counting_store store{&at.store};
        auto actions = at.core->ready(store, now_);
        if (!actions) {
            return;
        }
        apply(at, *actions);
        if (hosting::is_snapshot_due(
                *at.core, at.applied, at.snapshot, snapshot_records, now_)) {
            bytes image = text(7, image_bytes);
            const std::string digest = std::to_string(at.digest) + ' ';
            std::copy(digest.begin(), digest.end(), image.begin());
            if (at.core->save_snapshot(store, at.applied, std::move(image))) {
                at.snapshot = at.applied;
                ++at.snapshots;
            }
        }
        at.busy_until = now_ + sync_time_ * store.syncs;
        for (outbound& message : actions->messages) {
            send(k, std::move(message), at.busy_until);
        }
    }

    static void apply(node& at, const ready_actions& actions) {
        if (actions.installed && !actions.installed->state.empty()) {
            at.applied = actions.installed->last_index;
            at.snapshot = at.applied;
            at.digest = std::stoull(to_text(actions.installed->state));
            at.digests[at.applied] = at.digest;
        }
        for (const log_record& record : actions.committed) {
            at.applied = record.index;
            at.digest = at.digest * 31 + wire::checksum(record.payload);
            at.digests[at.applied] = at.digest;
        }
    }

    void send(std::size_t from, outbound message, instant at) {
        std::size_t to = 0;
        while (id(to) != message.to) {
            ++to;
        }
        const std::size_t size = wire::encode_frame(message.content).size();
        link& over = links_[{from, to}];
        over.free_at = std::max(over.free_at, at) +
            std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(size / rate_));
        nodes_[to].bytes_to += size;
        const auto* append = message.content.body.AsAppendRequest();
        if (append != nullptr && append->entries.empty() &&
            append->packed.empty()) {
            latest_heartbeat_ =
                std::max(latest_heartbeat_, over.free_at + latency - at);
        }
        over.messages.push_back(
            {at, over.free_at + latency, std::move(message.content)});
    }

    instant now_{std::chrono::seconds(100)};
    double rate_ = 1e9;
    duration sync_time_{};
    duration load_interval_{};
    instant next_command_{};
    std::uint64_t commands_ = 0;
    std::uint64_t next_identity_ = 100;
    duration latest_heartbeat_{};
    member_list members_;
    std::vector<node> nodes_;
    std::map<std::pair<std::size_t, std::size_t>, link> links_;
};

} // namespace dragonflymount::agreement

#endif
