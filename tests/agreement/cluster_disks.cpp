// Fills disks, kills and powers off replicas, changes members as a leader's
// process does, and measures how long no record is committed.
#include "tests/agreement/cluster.hpp"

#include <algorithm>

namespace dragonflymount::agreement {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t longest_start_ms = 1000;

} // namespace

void cluster::fill_disk(std::size_t k, duration span, refusal how) {
    node& at = nodes_[k];
    at.full_until = now_ + span;
    at.refused = how;
    at.reopens = true;
    refuse_writes(at, draw(longest_tear));
    add_trace_line("the disk of " + at.id.str() + " is full");
}

void cluster::refuse_writes(node& at, std::uint64_t room) {
    if (at.refused == refusal::of_bytes) {
        at.disk.set_free_bytes(room);
    } else {
        at.disk.fail_after(room % most_calls);
    }
}

void cluster::end_full_disks() {
    for (node& at : nodes_) {
        if (at.full_until != instant{} && now_ >= at.full_until) {
            at.full_until = instant{};
            at.disk.repair();
            add_trace_line("the disk of " + at.id.str() + " has room");
        }
    }
}

void cluster::kill(std::size_t k, duration down) {
    node& at = nodes_[k];
    at.state = condition::down;
    at.down_until = now_ + down;
    at.core.reset();
    add_trace_line(at.id.str() + " is killed");
}

void cluster::lose_power() {
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        kill(k, milliseconds(draw(longest_start_ms)));
        node& at = nodes_[k];
        at.reopens = true;
        at.disk.lose_power([this](std::size_t bound) { return draw(bound); });
        if (at.full_until != instant{}) {
            refuse_writes(at, 0);
        }
    }
    queued_messages_.clear();
}

// A replica asks to join while it knows no leader: one that was removed while
// it was silent doesn't know that.
const cluster::node* cluster::find_applicant(const node& leader) const {
    const auto found =
        std::find_if(nodes_.begin(), nodes_.end(), [&](const node& at) {
            return at.state == condition::running && !is_frozen(at) &&
                at.core->leader().empty() &&
                std::none_of(leader.core->members().begin(),
                    leader.core->members().end(), [&](const member& peer) {
                        return peer.id == at.id &&
                            peer.identity == at.core->identity();
                    });
        });
    return found == nodes_.end() ? nullptr : &*found;
}

void cluster::change_members(node& at) {
    if (const node* applicant = find_applicant(at)) {
        const member subject{applicant->id, "", availability_zone_id("z"),
            applicant->core->identity(), false};
        if (at.core->change(
                wire::replica_change::admit, subject, clock_of(at))) {
            admitted_.insert({subject.id, subject.identity});
            add_trace_line("admit " + subject.id.str());
        }
        return;
    }
    std::vector<member_status> members;
    for (const member& peer : at.core->members()) {
        members.push_back({peer, at.core->has_caught_up(peer.id),
            at.core->has_answered(peer.id),
            clock_of(at) - at.core->acknowledged(peer.id)});
    }
    member_policy policy;
    policy.voters = voters_;
    const auto due = plan_change(members, at.id, policy);
    if (due && at.core->change(due->change, due->subject, clock_of(at))) {
        add_trace_line(std::string(wire::EnumNamereplica_change(due->change)) +
            " " + due->subject.id.str());
    }
}

bool cluster::has_all_voters(const member_list& members) const {
    const auto voting = std::count_if(members.begin(), members.end(),
        [](const member& peer) { return peer.voter; });
    return static_cast<std::size_t>(voting) ==
        (voters_ == 0 ? members.size() : voters_);
}

bool cluster::can_lose_any_disk() const {
    bool can = lost_.empty();
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        can = can && can_lose_disk(k);
    }
    return can;
}

bool cluster::do_all_voters_run() const {
    const auto leads = leader();
    return leads &&
        std::all_of(nodes_.begin(), nodes_.end(), [&](const node& at) {
            const member_list& members = nodes_[*leads].core->members();
            return at.state == condition::running ||
                std::none_of(
                    members.begin(), members.end(), [&](const member& peer) {
                        return peer.voter && peer.id == at.id;
                    });
        });
}

void cluster::note_progress() {
    if (committed_.size() > progress_) {
        progress_ = committed_.size();
        last_progress_ = now_;
    }
    longest_pause_ = std::max(longest_pause_, now_ - last_progress_);
}

duration cluster::take_longest_pause() {
    return std::exchange(longest_pause_, duration::zero());
}

} // namespace dragonflymount::agreement
