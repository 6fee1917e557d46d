// Construction of a replica, its clock, message dispatch and queries.
#include "dragonflymount/src/Agreement/Replica.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

std::string_view name_of(role value) {
    switch (value) {
    case role::follower:
        return "follower";
    case role::pre_candidate:
        return "pre_candidate";
    case role::candidate:
        return "candidate";
    case role::leader:
        return "leader";
    }
    return "unknown";
}

std::string_view name_of(lead_end value) {
    switch (value) {
    case lead_end::none:
        return "none";
    case lead_end::silent_quorum:
        return "silent_quorum";
    case lead_end::higher_term:
        return "higher_term";
    case lead_end::removed:
        return "removed";
    case lead_end::disk_failed:
        return "disk_failed";
    }
    return "unknown";
}

replica::replica(
    replica_options options, recovered_state recovered, instant now)
    : options_(std::move(options)), identity_(recovered.identity),
      hard_(std::move(recovered.hard)),
      log_(std::move(recovered.base), std::move(recovered.records),
          options_.kept),
      commit_(log_.base().last_index), applied_(log_.base().last_index),
      unsaved_from_(log_.last_index().next()), failed_(recovered.damaged),
      latest_now_(now), last_leader_contact_(now),
      random_state_(options_.seed) {
    if (log_.base().last_index > log_index(0)) {
        installed_ = log_.base();
    }
    reset_election_timer(now);
}

void replica::tick(instant now) {
    if (failed_) {
        return;
    }
    check_quorum(now);
    if (is_leader()) {
        if (now >= next_heartbeat_) {
            broadcast(now, true);
        }
        return;
    }
    if (now >= election_deadline_ && can_vote()) {
        start_election(true, now);
    } else if (!declared_lost_.empty()) {
        count_votes(now);
    }
}

void replica::fail() {
    failed_ = true;
    end_lead(lead_end::disk_failed);
    role_ = role::follower;
    leader_ = replica_id();
    outbox_.clear();
}

void replica::check_quorum(instant now) {
    latest_now_ = std::max(latest_now_, now);
    if (!is_leader()) {
        return;
    }
    if (now - std::max(quorum_instant(), leader_since_) >
        options_.election_timeout) {
        end_lead(lead_end::silent_quorum);
        become_follower(hard_.term, replica_id(), now);
    }
}

instant replica::quorum_instant() const {
    if (!is_leader()) {
        return instant{};
    }
    std::vector<instant> acknowledged_at;
    for (const member& peer : log_.members()) {
        if (!peer.voter) {
            continue;
        }
        if (peer.id == options_.self) {
            acknowledged_at.push_back(latest_now_);
            continue;
        }
        const auto found = peers_.find(peer.id);
        acknowledged_at.push_back(
            found == peers_.end() ? instant{} : found->second.acknowledged);
    }
    if (acknowledged_at.empty()) {
        return instant{};
    }
    std::sort(acknowledged_at.begin(), acknowledged_at.end(), std::greater<>());
    return acknowledged_at[acknowledged_at.size() / 2];
}

void replica::reset_election_timer(instant now) {
    const auto base = options_.election_timeout.count();
    const auto extra = static_cast<std::int64_t>(
        next_random() % static_cast<std::uint64_t>(base));
    election_deadline_ = now + duration(base + extra);
}

std::uint64_t replica::next_random() {
    // SplitMix64 (Steele, Lea and Flood, OOPSLA 2014). The seeded generator
    // keeps the replica deterministic.
    random_state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = random_state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

void replica::receive(const wire::message& content, instant now) {
    if (failed_) {
        return;
    }
    check_quorum(now);
    if (const auto* vote = content.body.AsVoteRequest()) {
        receive(*vote, now);
    } else if (const auto* vote_reply = content.body.AsVoteReply()) {
        receive(*vote_reply, now);
    } else if (const auto* append_request = content.body.AsAppendRequest()) {
        receive(*append_request, now);
    } else if (const auto* append_reply = content.body.AsAppendReply()) {
        receive(*append_reply, now);
    } else if (const auto* install = content.body.AsInstallSnapshot()) {
        receive(*install, now);
    }
}

const member* replica::find_member(const replica_id& id) const {
    for (const member& peer : log_.members()) {
        if (peer.id == id) {
            return &peer;
        }
    }
    return nullptr;
}

bool replica::is_voter(const replica_id& id, replica_identity identity) const {
    const member* peer = find_member(id);
    return peer != nullptr && peer->voter && peer->identity == identity;
}

bool replica::can_vote() const {
    return !failed_ && is_voter(options_.self, identity_);
}

bool replica::is_admitted() const {
    const member* own = find_member(options_.self);
    return !failed_ && own != nullptr && own->identity == identity_;
}

bool replica::is_majority(std::size_t count) const {
    return count * 2 > voter_count(log_.members());
}

log_index replica::match_index(const replica_id& peer) const {
    const auto found = peers_.find(peer);
    return found == peers_.end() ? log_index(0) : found->second.match;
}

bool replica::has_caught_up(const replica_id& peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() &&
        (found->second.caught_up || found->second.match >= commit_);
}

bool replica::hears_leader(instant now) const {
    constexpr int timeouts_of_silence = 4;
    return is_leader() ||
        (!leader_.empty() &&
            now - last_leader_contact_ <
                options_.election_timeout * timeouts_of_silence);
}

bool replica::has_answered(const replica_id& peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && found->second.acknowledged != instant{};
}

instant replica::acknowledged(const replica_id& peer) const {
    const auto found = peers_.find(peer);
    return found == peers_.end()
        ? leader_since_
        : std::max(found->second.begun, found->second.acknowledged);
}

} // namespace dragonflymount::agreement
