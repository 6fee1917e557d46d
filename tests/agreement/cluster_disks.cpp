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
    if (at.core != nullptr) {
        at.members_before = at.core->members();
    }
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

bool cluster::lose_disk(std::size_t k, duration down) {
    const bool can = can_lose_disk(k);
    if (can) {
        replace_disk(k, down);
    }
    return can;
}

void cluster::replace_disk(std::size_t k, duration down) {
    kill(k, down);
    node& at = nodes_[k];
    at.store.reset();
    at.members_before.clear();
    lost_.insert({at.id, at.identity});
    at.identity = replica_identity(next_identity_++);
    at.disk = memory_disk();
    store_type(at.disk).initialize(at.identity, {});
    add_trace_line(at.id.str() + " lost its disk");
}

void cluster::hold_records(std::size_t k, duration span) {
    nodes_[k].records_held_until = now_ + span;
}

void cluster::cut_off(std::size_t k, duration span) {
    nodes_[k].outgoing_cut_until = now_ + span;
    nodes_[k].incoming_cut_until = now_ + span;
    add_trace_line(nodes_[k].id.str() + " is cut off");
}

void cluster::delay_messages(std::size_t k, duration span) {
    nodes_[k].message_fault = fault::late_messages;
    nodes_[k].messages_until = now_ + span;
}

bool cluster::reform(std::size_t k, const std::set<std::size_t>& lost) {
    std::set<replica_id> names;
    for (const std::size_t other : lost) {
        names.insert(nodes_[other].id);
    }
    node& at = nodes_[k];
    const bool runs = at.state == condition::running && !is_frozen(at);
    return runs && bool(at.core->reform(names, clock_of(at)));
}

bool cluster::change(wire::replica_change what, std::size_t k) {
    node& at = nodes_[leader().value()];
    const member_list members = at.core->members();
    return std::any_of(members.begin(), members.end(), [&](const member& peer) {
        return peer.id == nodes_[k].id &&
            bool(at.core->change(what, peer, clock_of(at)));
    });
}

std::set<std::size_t> cluster::voters_of(std::size_t k) const {
    std::set<std::size_t> voters;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        for (const member& peer : nodes_[k].core == nullptr
                ? member_list()
                : nodes_[k].core->members()) {
            if (peer.voter && peer.id == nodes_[other].id) {
                voters.insert(other);
            }
        }
    }
    return voters;
}

// With a target number of voters, a record is on more disks than may be lost
// at a time, and a group goes on that has lost these. Learners count, as the
// list doesn't tell whether they are voters by now.
bool cluster::leaves_seats(const member_list& members, std::size_t k) const {
    std::size_t lost = 0;
    for (const member& peer : members) {
        lost +=
            lost_.contains({peer.id, peer.identity}) || peer.id == nodes_[k].id
            ? 1
            : 0;
    }
    return members.empty() ||
        (lost <= voters_ / 2 && lost < commit_quorum(members, voters_));
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
        for (const node& at : nodes_) {
            can = can &&
                (at.core == nullptr || leaves_majority(at.core->members(), k));
        }
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
