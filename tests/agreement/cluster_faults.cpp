// Reports the steps of the protocol, injects faults, and checks the invariants.
#include "tests/agreement/cluster.hpp"

namespace dragonflymount::agreement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration cut_length = seconds(5);
constexpr duration freeze_length = seconds(60);
constexpr duration jump_length = seconds(30);
const duration election_timeout = replica_options{}.election_timeout;
constexpr duration tick_slack = milliseconds(20);

} // namespace

result<done> cluster::signalling_store::append(
    std::span<const log_record> records) {
    owner->reach_step(step::before_append, k);
    result<done> status = owner->nodes_[k].store->append(records);
    owner->reach_step(step::after_append, k);
    for (const log_record& record : records) {
        if (record.kind == record_kind::members) {
            owner->reach_step(step::change_members, k);
        }
    }
    return status;
}

result<done> cluster::signalling_store::save(const hard_state& hard) {
    owner->reach_step(step::vote, k);
    return owner->nodes_[k].store->save(hard);
}

result<done> cluster::signalling_store::save(const agreement::snapshot& image) {
    node& at = owner->nodes_[k];
    // A snapshot beyond the applied records comes from the leader; others are
    // of the replica's own state.
    owner->reach_step(
        image.last_index > at.applied ? step::install : step::snapshot, k);
    return at.store->save(image);
}

result<done> cluster::signalling_store::sync() {
    owner->reach_step(step::before_sync, k);
    result<done> status = owner->nodes_[k].store->sync();
    owner->reach_step(step::after_sync, k);
    return status;
}

void cluster::reach_step(step at, std::size_t k) {
    node& target = nodes_[k];
    if (planned_.empty() || planned_.front().at != at ||
        target.state != condition::running ||
        target.core->is_leader() != planned_.front().on_leader) {
        return;
    }
    const planned_fault planned = planned_.front();
    planned_.erase(planned_.begin());
    ++injected_;
    inject(planned, k);
}

void cluster::inject(const planned_fault& planned, std::size_t k) {
    node& at = nodes_[k];
    add_trace_line(
        std::string(fault_names[static_cast<std::size_t>(planned.what)]) +
        " at " + step_names[static_cast<std::size_t>(planned.at)] + " of " +
        at.id.str());
    switch (planned.what) {
    case fault::crash:
    case fault::torn_tail:
    case fault::lost_disk:
        crash(k, planned.what, milliseconds(draw(3000)));
        break;
    case fault::second_loss:
        crash(k, fault::lost_disk, milliseconds(draw(500)));
        crash((k + 1) % nodes_.size(), fault::crash, seconds(5));
        stop_node((k + 1) % nodes_.size());
        break;
    case fault::full_disk:
        at.disk.set_free_bytes(draw(100));
        break;
    case fault::freeze:
        at.frozen_until = now_ + freeze_length;
        break;
    case fault::cut_outgoing:
        at.outgoing_cut_until = now_ + cut_length;
        break;
    case fault::cut_incoming:
        at.incoming_cut_until = now_ + cut_length;
        break;
    case fault::cut_both:
        at.outgoing_cut_until = now_ + cut_length;
        at.incoming_cut_until = now_ + cut_length;
        break;
    case fault::clock_jump:
        at.clock_ahead += jump_length;
        clocks_jumped_ = true;
        break;
    default:
        at.message_fault = planned.what;
        at.messages_until = now_ + cut_length;
    }
}

void cluster::crash(std::size_t k, fault cause, duration down) {
    node& at = nodes_[k];
    if (at.state != condition::running) {
        return;
    }
    at.state = condition::crashing;
    at.cause = cause;
    at.down_until = now_ + down;
    at.disk.fail_after(0);
}

// No protocol keeps the log if a majority loses its disks. A disk can be lost
// only if, in the current member list of every replica, the other voters with
// intact disks are a majority; or if in each they hold all records by the rule
// of lost seats, also in the list that was last agreed on.
bool cluster::can_lose_disk(std::size_t k) const {
    bool majorities = true;
    bool seats = voters_ != 0 && leaves_seats(agreed_members_, k);
    for (const node& at : nodes_) {
        const member_list& members =
            at.core == nullptr ? at.members_before : at.core->members();
        majorities = majorities && leaves_majority(members, k);
        seats = seats && leaves_seats(members, k);
    }
    return majorities || seats;
}

bool cluster::leaves_majority(const member_list& members, std::size_t k) const {
    std::size_t voters = 0;
    std::size_t sound = 0;
    for (const member& peer : members) {
        const bool lost = lost_.contains({peer.id, peer.identity});
        voters += peer.voter ? 1 : 0;
        sound += peer.voter && !lost && peer.id != nodes_[k].id ? 1 : 0;
    }
    return voters == 0 || sound * 2 > voters;
}

void cluster::stop_node(std::size_t k) {
    node& at = nodes_[k];
    if (at.cause == fault::lost_disk && can_lose_disk(k)) {
        replace_disk(k, at.down_until - now_);
    } else {
        at.disk.crash(
            at.cause == fault::torn_tail ? 1 + draw(longest_tear) : 0);
    }
    at.core.reset();
    at.store.reset();
    at.state = condition::down;
}

void cluster::check(std::size_t k) {
    node& at = nodes_[k];
    if (at.state != condition::running || is_frozen(at)) {
        return;
    }
    expect(at.core->commit_index() <= at.core->last_index(),
        at.id.str() + " committed beyond its log");
    if (at.core->is_leader()) {
        check_leader(k);
    }
}

void cluster::check_leader(std::size_t k) {
    node& at = nodes_[k];
    const log_term term = at.core->term();
    if (at.led_term != term) {
        at.led_term = term;
        at.leader_since = at.last_tick;
        add_trace_line(
            at.id.str() + " leads term " + std::to_string(term.value()));
        for (const member& peer : at.core->seats_given_up().empty()
                ? member_list()
                : at.core->members()) {
            admitted_.insert({peer.id, peer.identity});
        }
        const auto known = leaders_.try_emplace(term, at.id);
        expect(known.first->second == at.id,
            "two leaders of term " + std::to_string(term.value()));
        expect(committed_.empty() ||
                at.core->last_index() >= committed_.rbegin()->first,
            at.id.str() + " leads, but its log lacks a committed record");
        // The quorum of any earlier leader must have expired.
        for (const auto& [earlier, quorum] : quorums_) {
            expect(clocks_jumped_ || earlier >= term ||
                    leaders_[earlier] == at.id ||
                    now_ >= quorum + election_timeout - tick_slack,
                at.id.str() + " leads while the leader of term " +
                    std::to_string(earlier.value()) + " has a quorum");
        }
    }
    const instant quorum = at.core->quorum_instant();
    expect(quorum <= at.last_tick,
        at.id.str() + " has a quorum instant in the future");
    expect(at.last_tick - std::max(quorum, at.leader_since) <=
            election_timeout + tick_slack,
        at.id.str() + " leads without a quorum");
    quorums_[term] = std::max(quorums_[term], quorum - at.last_tick_ahead);
}

void cluster::check_message(
    std::size_t k, const replica_id& to, const wire::message& content) {
    const node& at = nodes_[k];
    if (const auto* reply = content.body.AsVoteReply()) {
        expect(!lost_.contains({at.id, replica_identity(reply->identity)}),
            at.id.str() + " answers a vote request under a lost identity");
        const bool gives_no_vote = voters_ != 0 && !reply->granted;
        expect(gives_no_vote || reply->identity == initial_identity.value() ||
                admitted_.contains({at.id, replica_identity(reply->identity)}),
            at.id.str() + " answers a vote request before it is admitted");
        if (reply->granted && !reply->pre_vote) {
            const log_term term(reply->term);
            const auto known = votes_.try_emplace({term, at.id}, to);
            expect(known.first->second == to, at.id.str() + " voted twice");
        }
    }
    if (const auto* request = content.body.AsVoteRequest()) {
        expect(!lost_.contains({at.id, replica_identity(request->identity)}),
            at.id.str() + " requests votes under a lost identity");
    }
}

} // namespace dragonflymount::agreement
