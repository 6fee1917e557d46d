// Simulates a group of replicas: time, message delivery, clients and operators.
#include "tests/agreement/cluster.hpp"

#include <sstream>

namespace dragonflymount::agreement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick_length = milliseconds(20);
constexpr std::uint64_t ticks_per_command = 3;
constexpr std::uint64_t ticks_per_readmission = 10;
constexpr std::uint64_t records_per_snapshot = 20;
// A state takes up to 20 bytes, so a snapshot is sent in several parts.
constexpr std::size_t image_part_bytes = 8;
// Few, so that replicas that were cut off are sent snapshots.
constexpr std::size_t kept_records_count = 3;

bytes to_state(std::uint64_t digest) {
    return to_bytes(std::to_string(digest));
}

std::uint64_t chain_digest(std::uint64_t digest, const log_record& record) {
    const std::string text = std::to_string(digest) + "/" +
        std::to_string(record.term.value()) + "/" + to_text(record.payload);
    return std::hash<std::string>{}(text);
}

bool carries_records(const wire::message& content) {
    const auto* request = content.body.AsAppendRequest();
    return content.body.AsInstallSnapshot() != nullptr ||
        (request != nullptr &&
            !(request->entries.empty() && request->packed.empty()));
}

} // namespace

cluster::cluster(std::size_t count, std::uint64_t seed)
    : cluster(count, seed, count) {
    voters_ = 0;
    tail_ = tail_policy::refuse_damage;
}

cluster::cluster(std::size_t count, std::uint64_t seed, std::size_t voters)
    : random_(seed), voters_(voters), tail_(tail_policy::cut_torn_writes),
      last_progress_(now_) {
    for (std::size_t k = 0; k < count; ++k) {
        members_.push_back({replica_id("c" + std::to_string(k)), "",
            availability_zone_id("z"), initial_identity, k < voters});
    }
    agreed_members_ = members_;
    nodes_.resize(count);
    for (std::size_t k = 0; k < count; ++k) {
        nodes_[k].id = members_[k].id;
        store_type(nodes_[k].disk).initialize(initial_identity, members_);
        start(k);
    }
}

void cluster::start(std::size_t k) {
    node& at = nodes_[k];
    if (at.state == condition::refused && !probe_disk(at.disk)) {
        at.down_until = now_ + reopen_interval;
        return;
    }
    at.core.reset();
    at.store = std::make_unique<store_type>(at.disk, tail_);
    auto opened = at.store->open();
    if (!opened) {
        const bool later = at.reopens &&
            opened.error().code != make_error_code(errc::damaged_log);
        expect(later, "open " + at.id.str() + ": " + opened.error().message());
        at.state = condition::refused;
        at.down_until = now_ + reopen_interval;
        return;
    }
    replica_options options;
    options.self = at.id;
    options.seed = random_();
    options.part_bytes = image_part_bytes;
    options.voters = voters_;
    options.kept.count = kept_records_count;
    at.core = std::make_unique<replica>(
        options, std::move(opened->state), clock_of(at));
    at.state = condition::running;
    at.applied = log_index(0);
    at.snapshot = log_index(0);
    at.digest = 0;
}

void cluster::run(duration span) {
    const instant end = now_ + span;
    while (now_ < end && violation_.empty()) {
        now_ += tick_length;
        ++ticks_;
        end_full_disks();
        restart_due();
        deliver_due();
        if (ticks_ % ticks_per_command == 0) {
            propose();
        }
        if (ticks_ % ticks_per_readmission == 0) {
            readmit_replicas();
        }
        for (std::size_t k = 0; k < nodes_.size(); ++k) {
            advance(k);
        }
        note_progress();
    }
}

void cluster::restart_due() {
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        const node& at = nodes_[k];
        const bool stopped =
            at.state == condition::down || at.state == condition::refused;
        if (stopped && now_ >= at.down_until) {
            add_trace_line(
                (at.state == condition::down ? "restart " : "reopen ") +
                at.id.str());
            start(k);
        }
    }
}

void cluster::advance(std::size_t k) {
    node& at = nodes_[k];
    if (at.state != condition::running || is_frozen(at)) {
        return;
    }
    at.last_tick = clock_of(at);
    at.last_tick_ahead = at.clock_ahead;
    at.core->tick(at.last_tick);
    signalling_store store{this, k};
    auto actions = at.core->ready(store, at.last_tick);
    if (at.state != condition::crashing && actions) {
        if (!actions->messages.empty()) {
            reach_step(step::before_send, k);
        }
        if (at.state == condition::running) {
            for (outbound& message : actions->messages) {
                send(k, std::move(message));
            }
            reach_step(step::after_send, k);
        }
        if (at.state == condition::running) {
            apply(k, *actions);
        }
        check(k);
    } else if (!actions && at.state == condition::running) {
        if (at.reopens) {
            add_trace_line(at.id.str() + " failed to write");
            at.state = condition::refused;
            at.down_until = now_ + reopen_interval;
        } else {
            crash(k, fault::crash, seconds(1));
        }
    }
    if (at.state == condition::crashing) {
        stop_node(k);
    }
}

void cluster::apply(std::size_t k, const ready_actions& actions) {
    node& at = nodes_[k];
    if (actions.installed) {
        const agreement::snapshot& image = *actions.installed;
        at.applied = image.last_index;
        at.snapshot = image.last_index;
        at.digest = std::stoull("0" + to_text(image.state));
        expect(digests_[at.applied] == at.digest,
            "the snapshot of " + at.id.str() + " differs from the log");
    }
    for (const log_record& record : actions.committed) {
        expect(record.index == at.applied.next(),
            at.id.str() + " skipped a record");
        at.applied = record.index;
        at.digest = chain_digest(at.digest, record);
        const auto known =
            committed_.try_emplace(record.index, record.term, record.payload);
        expect(known.first->second == std::pair(record.term, record.payload),
            at.id.str() + " changed committed record " +
                std::to_string(record.index.value()));
        digests_[record.index] = at.digest;
        note_members(record);
    }
    if (!actions.committed.empty()) {
        reach_step(step::after_commit, k);
    }
    if (at.state == condition::running &&
        at.applied.value() >= at.snapshot.value() + records_per_snapshot) {
        save_snapshot(k);
    }
}

// A list counts as agreed once it is repeated: before, only its leader may know
// that it is committed.
void cluster::note_members(const log_record& record) {
    if (record.kind == record_kind::members && record.index > newest_list_) {
        newest_list_ = record.index;
        const member_list members = *decode_members(record.payload);
        if (std::exchange(newest_members_, members) == members) {
            agreed_members_ = members;
        }
    }
}

void cluster::save_snapshot(std::size_t k) {
    node& at = nodes_[k];
    signalling_store store{this, k};
    const auto status =
        at.core->save_snapshot(store, at.applied, to_state(at.digest));
    if (status) {
        at.snapshot = at.applied;
    }
}

// ---- Messages --------------------------------------------------------------

void cluster::send(std::size_t k, outbound message) {
    node& at = nodes_[k];
    check_message(k, message.to, message.content);
    std::size_t to = 0;
    while (to < nodes_.size() && nodes_[to].id != message.to) {
        ++to;
    }
    if (to == nodes_.size() || now_ < at.outgoing_cut_until ||
        now_ < nodes_[to].incoming_cut_until ||
        (now_ < nodes_[to].records_held_until &&
            carries_records(message.content))) {
        return;
    }
    const bool disturbed =
        now_ < at.messages_until || now_ < nodes_[to].messages_until;
    const fault kind =
        now_ < at.messages_until ? at.message_fault : nodes_[to].message_fault;
    duration delay = milliseconds(1 + draw(20));
    if (disturbed && kind == fault::lost_messages && draw(2) == 0) {
        return;
    }
    if (disturbed && kind == fault::late_messages && draw(3) == 0) {
        delay += milliseconds(draw(3000));
    }
    if (disturbed && kind == fault::reordered_messages) {
        delay += milliseconds(draw(200));
    }
    if (disturbed && kind == fault::doubled_messages) {
        queued_messages_.emplace(now_ + delay + milliseconds(draw(2000)),
            queued_message{k, to, message.content});
    }
    queued_messages_.emplace(
        now_ + delay, queued_message{k, to, std::move(message.content)});
}

void cluster::deliver_due() {
    while (
        !queued_messages_.empty() && queued_messages_.begin()->first <= now_) {
        queued_message queued = std::move(queued_messages_.begin()->second);
        queued_messages_.erase(queued_messages_.begin());
        receive(std::move(queued));
    }
}

void cluster::receive(queued_message&& queued) {
    node& at = nodes_[queued.to];
    if (at.state != condition::running) {
        return;
    }
    if (is_frozen(at)) {
        // The kernel buffers messages until the process resumes.
        queued_messages_.emplace(at.frozen_until, std::move(queued));
        return;
    }
    const auto* request = queued.content.body.AsAppendRequest();
    const bool commits = queued.content.body.AsAppendReply() != nullptr ||
        (request != nullptr &&
            log_index(request->commit) > at.core->commit_index());
    if (commits) {
        reach_step(step::before_commit, queued.to);
    }
    if (at.state == condition::crashing) {
        stop_node(queued.to);
        return;
    }
    if (!is_frozen(at)) {
        at.core->receive(queued.content, clock_of(at));
    }
}

// ---- Operators and clients -------------------------------------------------

std::optional<std::size_t> cluster::leader() const {
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        const node& at = nodes_[k];
        if (at.state == condition::running && !is_frozen(at) &&
            at.core->has_committed_in_term()) {
            return k;
        }
    }
    return std::nullopt;
}

void cluster::propose() {
    for (node& at : nodes_) {
        if (at.state == condition::running && !is_frozen(at)) {
            at.core->propose(
                to_bytes(std::to_string(next_command_++)), clock_of(at));
        }
    }
}

// Admits replicas that lost their disks or were removed, and promotes learners
// that caught up.
void cluster::readmit_replicas() {
    const auto found =
        std::find_if(nodes_.begin(), nodes_.end(), [&](const node& at) {
            return at.state == condition::running && !is_frozen(at) &&
                at.core->may_change_members();
        });
    if (found == nodes_.end()) {
        return;
    }
    node& at = *found;
    admit_replicas(at);
    if (voters_ != 0) {
        change_members(at);
        return;
    }
    const member_list members = at.core->members();
    for (const member& peer : members) {
        if (!peer.voter &&
            at.core->change(
                wire::replica_change::promote, peer, clock_of(at))) {
            add_trace_line("promote " + peer.id.str());
        }
    }
}

void cluster::admit_replicas(node& at) {
    const auto unadmitted_replicas = at.core->unadmitted();
    for (const auto& [id, identity] : unadmitted_replicas) {
        if (!lost_.contains({id, identity})) {
            const member subject{
                id, "", availability_zone_id("z"), identity, false};
            if (at.core->change(
                    wire::replica_change::admit, subject, clock_of(at))) {
                admitted_.insert({id, identity});
                add_trace_line("admit " + id.str());
            }
        }
    }
}

bool cluster::converge(duration limit) {
    planned_.clear();
    for (node& at : nodes_) {
        at.frozen_until = std::min(at.frozen_until, now_);
        at.outgoing_cut_until = instant{};
        at.incoming_cut_until = instant{};
        at.records_held_until = instant{};
        at.messages_until = instant{};
    }
    const instant end = now_ + limit;
    while (now_ < end && violation_.empty()) {
        const log_index before =
            committed_.empty() ? log_index(0) : committed_.rbegin()->first;
        run(seconds(2));
        const bool all =
            std::all_of(nodes_.begin(), nodes_.end(), [&](const node& at) {
                return at.state == condition::running &&
                    at.core->is_failed() == false && at.applied > before;
            });
        const auto leads = leader();
        if (all && leads && has_all_voters(nodes_[*leads].core->members())) {
            return violation_.empty();
        }
    }
    return false;
}

void cluster::trigger_step() {
    const auto found = leader();
    if (planned_.empty() || !found) {
        return;
    }
    const std::size_t other = (*found + 1) % nodes_.size();
    switch (planned_.front().at) {
    case step::vote:
        nodes_[*found].outgoing_cut_until = now_ + seconds(3);
        break;
    case step::install:
        nodes_[other].incoming_cut_until = now_ + seconds(4);
        break;
    case step::change_members: {
        node& at = nodes_[*found];
        const member_list members = at.core->members();
        for (const member& peer : members) {
            if (peer.id == nodes_[other].id) {
                at.core->change(
                    wire::replica_change::admit, peer, clock_of(at));
            }
        }
        break;
    }
    default:
        break;
    }
}

std::string cluster::trace() const {
    std::ostringstream text;
    for (const std::string& line : trace_) {
        text << "  " << line << '\n';
    }
    for (const node& at : nodes_) {
        if (at.core == nullptr) {
            continue;
        }
        text << "  " << at.id << " " << name_of(at.core->current_role())
             << " term " << at.core->term() << ", committed "
             << at.core->commit_index() << " of " << at.core->last_index()
             << ", list of " << at.core->members_index() << ":";
        for (const member& peer : at.core->members()) {
            text << ' ' << peer.id << '/' << peer.identity
                 << (peer.voter ? " votes" : "")
                 << (lost_.contains({peer.id, peer.identity}) ? " lost," : ",");
        }
        text << '\n';
    }
    return text.str();
}

void cluster::add_trace_line(const std::string& what) {
    const auto since =
        std::chrono::duration_cast<milliseconds>(now_ - instant(seconds(100)));
    trace_.push_back(std::to_string(since.count()) + " ms: " + what);
}

void cluster::expect(bool holds, const std::string& what) {
    if (!holds && violation_.empty()) {
        violation_ = what;
        add_trace_line("violation: " + what);
    }
}

} // namespace dragonflymount::agreement
