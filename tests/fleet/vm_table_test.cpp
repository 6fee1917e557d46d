// Tests that a VM is in exactly one pool: each rule of the table alone, and
// random interleavings of old and new coordinators, late reports and duplicate
// commands. If a rule fails, a task of the old pool runs on a VM of another.
#include "dragonflymount/zone.hpp"
#include "tests/fleet/agreed_site.hpp"

#include <gtest/gtest.h>

#include <random>

namespace dragonflymount::fleet {
namespace {

using wire::proposal_result;

class vm_table_test : public testing::Test {
protected:
    vm_table_test() { site_.apply(site_.command()); }

    wire::AssignVmT drain() const {
        wire::AssignVmT command = site_.command();
        command.draining = true;
        return command;
    }

    wire::AssignVmT move(zone_epoch coordinator) const {
        wire::AssignVmT command = site_.command();
        command.pool = "render";
        command.draining = false;
        command.zone_epoch = coordinator.value();
        return command;
    }

    agreed_site site_;
};

TEST_F(vm_table_test, pool_changes_only_while_draining) {
    EXPECT_NE(
        site_.apply(move(site_.coordinator())), proposal_result::accepted);
    EXPECT_EQ(site_.record().pool, pool_id("sync"));
    EXPECT_EQ(site_.apply(drain()), proposal_result::accepted);
    EXPECT_EQ(
        site_.apply(move(site_.coordinator())), proposal_result::accepted);
    EXPECT_EQ(site_.record().pool, pool_id("render"));
}

TEST_F(
    vm_table_test, pool_change_confirmed_by_superseded_coordinator_is_refused) {
    site_.apply(drain());
    const zone_epoch earlier = site_.coordinator();
    site_.appoint();
    EXPECT_NE(site_.apply(move(earlier)), proposal_result::accepted);
    EXPECT_NE(site_.apply(move(zone_epoch())), proposal_result::accepted);
    EXPECT_EQ(site_.record().pool, pool_id("sync"));
}

TEST_F(vm_table_test, duplicate_command_changes_nothing) {
    const wire::AssignVmT first = drain();
    site_.apply(first);
    const assignment_epoch epoch = site_.record().epoch;
    EXPECT_EQ(site_.apply(first), proposal_result::conflict);
    EXPECT_EQ(site_.record().epoch, epoch);
}

TEST_F(vm_table_test, command_naming_another_zone_is_refused) {
    wire::AssignVmT command = drain();
    command.zone = "z2";
    EXPECT_NE(site_.apply(command), proposal_result::accepted);
    EXPECT_EQ(site_.record().zone, availability_zone_id("z1"));
}

TEST_F(
    vm_table_test, maintenance_is_recorded_on_return_with_a_new_incarnation) {
    wire::AssignVmT stop = drain();
    stop.reboot = true;
    stop.incarnation = 7;
    stop.time_ms = 100;
    site_.apply(stop);
    wire::AssignVmT cancellation = site_.command();
    cancellation.draining = false;
    cancellation.reboot = false;
    cancellation.time_ms = 150;
    site_.apply(cancellation);
    EXPECT_EQ(site_.record().maintained_ms, 0U);
    stop.epoch = site_.record().epoch.value();
    site_.apply(stop);
    wire::AssignVmT back = site_.command();
    back.draining = false;
    back.reboot = false;
    back.incarnation = 8;
    back.time_ms = 200;
    site_.apply(back);
    EXPECT_EQ(site_.record().maintained_ms, 200U);
    control::state copy;
    ASSERT_TRUE(copy.load(site_.agreed().save()));
    EXPECT_EQ(copy.vms().at(vm_id("v1")).maintained_ms, 200U);
    EXPECT_EQ(copy.save(), site_.agreed().save());
}

// ---- Interleavings ---------------------------------------------------------

/// The state of an endpoint: its incarnation, the epochs and the pool that it
/// accepted, and its running tasks.
struct fake_endpoint {
    std::uint64_t incarnation = 1;
    std::uint64_t zone_epoch = 0;
    std::uint64_t epoch = 0;
    std::string pool;
    std::map<std::uint64_t, std::string> tasks;

    wire::AnnounceT announcement() const {
        wire::AnnounceT message;
        message.vm = "v1";
        message.zone = "z1";
        message.rack = "r1";
        message.slots = 2;
        message.connections = 64;
        message.incarnation = incarnation;
        message.zone_epoch = zone_epoch;
        for (const auto& [task, task_pool] : tasks) {
            auto report = std::make_unique<wire::TaskReportT>();
            report->task = task;
            report->team = "archive";
            report->id = std::to_string(task);
            report->service = task_pool;
            report->idempotent = true;
            report->phase = wire::task_phase::running;
            message.tasks.push_back(std::move(report));
        }
        return message;
    }
};

/// A coordinator with message queues that preserve order on its connection to
/// the endpoint.
struct fake_coordinator {
    fake_coordinator(zone_epoch epoch, instant now)
        : core(options(), epoch, now) {}

    static zone::coordinator_options options() {
        zone::coordinator_options options;
        options.zone = availability_zone_id("z1");
        return options;
    }

    zone::coordinator core;
    // While set, messages to the endpoint are delayed.
    bool stalled = false;
    std::deque<wire::message> to_endpoint;
    std::deque<wire::message> to_coordinator;
    std::deque<std::pair<wire::EntryLeaseT, instant>> leases;
};

/// A run of random events on one VM, one endpoint, and the coordinators that
/// succeed each other in its zone.
class interleaving {
public:
    explicit interleaving(std::uint32_t seed) : random_(seed) {
        site_.apply(site_.command());
        begin_coordinator();
    }

    void step() {
        now_ += std::chrono::milliseconds(pick(60));
        // Two events in three are for the current coordinator, the others for
        // any one, including superseded ones.
        fake_coordinator& chosen =
            *coordinators_[pick(3) != 0 ? coordinators_.size() - 1
                                        : pick(coordinators_.size())];
        switch (pick(12)) {
        case 0:
            send_lease();
            break;
        case 1:
            receive_lease(chosen);
            break;
        case 2:
            submit(chosen);
            break;
        case 3:
            announce(chosen);
            break;
        case 4:
        case 5:
            deliver_to_endpoint(chosen);
            break;
        case 6:
        case 7:
            deliver_to_coordinator(chosen);
            break;
        case 8:
            beat(chosen);
            break;
        case 9:
            propose();
            break;
        case 10:
            end_task(chosen);
            break;
        default:
            inject_random_event();
            break;
        }
        collect(chosen);
    }

    /// Returns whether all running tasks belong to the VM's agreed pool.
    bool tasks_match_agreed_pool() const {
        for (const auto& [task, pool] : endpoint_.tasks) {
            if (pool != site_.record().pool.str()) {
                return false;
            }
        }
        return true;
    }

    std::size_t moves() const { return moves_; }
    std::size_t started() const { return started_; }

private:
    std::size_t pick(std::size_t count) { return random_() % count; }

    void begin_coordinator() {
        coordinators_.push_back(
            std::make_unique<fake_coordinator>(site_.coordinator(), now_));
    }

    void send_lease() {
        wire::EntryLeaseT lease;
        lease.zone_epoch = site_.coordinator().value();
        lease.zone_lease_ms = 4900;
        auto assignment = std::make_unique<wire::AssignmentT>();
        assignment->vm = "v1";
        assignment->pool = site_.record().pool.str();
        assignment->epoch = site_.record().epoch.value();
        assignment->draining = site_.record().draining;
        // The leader renews the assignment of a restarted VM once it is
        // reported.
        assignment->incarnation = endpoint_.incarnation;
        lease.assignments.push_back(std::move(assignment));
        auto grant = std::make_unique<wire::GrantStateT>();
        grant->team = "archive";
        grant->amount = 50;
        grant->target = 50;
        grant->sequence = 1;
        lease.grants.push_back(std::move(grant));
        lease.grant_lease_ms = 4900;
        lease_sent_ = now_;
        coordinators_.back()->leases.emplace_back(std::move(lease), now_);
    }

    void receive_lease(fake_coordinator& chosen) {
        if (!chosen.leases.empty()) {
            auto [lease, sent] = std::move(chosen.leases.front());
            chosen.leases.pop_front();
            chosen.core.receive(lease, site_.agreed().rules(), sent, now_);
        }
    }

    void submit(fake_coordinator& chosen) {
        wire::SubmitT submit;
        submit.request = std::make_unique<wire::RequestT>();
        submit.request->team = "archive";
        submit.request->id = "request " + std::to_string(++next_request_);
        submit.request->service = pick(2) == 0 ? "sync" : "render";
        submit.request->idempotent = true;
        submit.request->deadline_ms = 60000;
        submit.request->body = {1};
        chosen.core.submit(zone::origin_id(1), submit, now_);
    }

    void announce(fake_coordinator& chosen) {
        chosen.to_coordinator.push_back(
            wire::make_message(endpoint_.announcement()));
    }

    void deliver_to_endpoint(fake_coordinator& chosen) {
        if (chosen.to_endpoint.empty() || chosen.stalled) {
            return;
        }
        const wire::message content = std::move(chosen.to_endpoint.front());
        chosen.to_endpoint.pop_front();
        if (const auto* reply = content.body.AsAnnounceReply()) {
            receive(*reply, chosen);
        } else if (const auto* start = content.body.AsStartTask()) {
            receive(*start, chosen);
        } else if (const auto* query = content.body.AsQueryTask()) {
            if (!endpoint_.tasks.contains(query->task)) {
                reject(query->task, chosen);
            }
        }
    }

    void receive(const wire::AnnounceReplyT& reply, fake_coordinator& chosen) {
        if (reply.zone_epoch < endpoint_.zone_epoch) {
            return;
        }
        endpoint_.pool = reply.pool;
        endpoint_.epoch = reply.assignment_epoch;
        endpoint_.zone_epoch = reply.zone_epoch;
        announce(chosen);
    }

    void receive(const wire::StartTaskT& start, fake_coordinator& chosen) {
        if (start.zone_epoch != endpoint_.zone_epoch ||
            start.incarnation != endpoint_.incarnation ||
            start.assignment_epoch != endpoint_.epoch ||
            start.pool != endpoint_.pool) {
            reject(start.task, chosen);
            return;
        }
        ++started_;
        endpoint_.tasks[start.task] = start.pool;
    }

    static void reject(std::uint64_t task, fake_coordinator& chosen) {
        wire::TaskRejectedT rejected;
        rejected.task = task;
        chosen.to_coordinator.push_back(wire::make_message(rejected));
    }

    void deliver_to_coordinator(fake_coordinator& chosen) {
        if (chosen.to_coordinator.empty()) {
            return;
        }
        const wire::message content = std::move(chosen.to_coordinator.front());
        chosen.to_coordinator.pop_front();
        const vm_id vm("v1");
        if (const auto* announcement = content.body.AsAnnounce()) {
            chosen.to_endpoint.push_back(
                wire::make_message(chosen.core.announce(*announcement, now_)));
        } else if (const auto* rejected = content.body.AsTaskRejected()) {
            chosen.core.receive(vm, *rejected, now_);
        } else if (const auto* ended = content.body.AsTaskEnded()) {
            chosen.core.receive(vm, *ended, now_);
        }
    }

    void collect(fake_coordinator& chosen) {
        chosen.core.tick(now_);
        for (auto& action : chosen.core.take_actions()) {
            if (auto* sent = std::get_if<zone::send_endpoint>(&action)) {
                chosen.to_endpoint.push_back(std::move(sent->content));
            }
        }
    }

    void beat(const fake_coordinator& chosen) {
        wire::EntryBeatT beat;
        chosen.core.report(beat);
        for (const auto& vm : beat.vms) {
            if (vm->drained) {
                drained_.emplace_back(beat.zone_epoch, vm->assignment_epoch);
            }
        }
    }

    // Commands may use any past report, and any past command may be repeated.
    void propose() {
        wire::AssignVmT command = site_.command();
        if (!site_.record().draining) {
            command.draining = pick(6) == 0;
        } else if (!drained_.empty()) {
            const auto& [coordinator, epoch] = pick(2) == 0
                ? drained_.back()
                : drained_[pick(drained_.size())];
            command.pool =
                site_.record().pool == pool_id("sync") ? "render" : "sync";
            command.draining = false;
            command.zone_epoch = coordinator;
            command.epoch = epoch;
        }
        commands_.push_back(command);
        const pool_id before = site_.record().pool;
        site_.apply(commands_.back());
        if (pick(4) == 0) {
            site_.apply(commands_[pick(commands_.size())]);
        }
        moves_ += before != site_.record().pool ? 1 : 0;
    }

    void end_task(fake_coordinator& chosen) {
        if (endpoint_.tasks.empty()) {
            return;
        }
        wire::TaskEndedT ended;
        ended.task = endpoint_.tasks.begin()->first;
        ended.ok = true;
        endpoint_.tasks.erase(endpoint_.tasks.begin());
        chosen.to_coordinator.push_back(wire::make_message(std::move(ended)));
    }

    void inject_random_event() {
        const std::size_t kind = pick(24);
        if (kind == 0) {
            // A new coordinator is appointed only after the lease of the
            // previous one has expired.
            now_ = std::max(now_, lease_sent_ + std::chrono::seconds(6));
            coordinators_.back()->stalled = pick(2) == 0;
            site_.appoint();
            begin_coordinator();
        } else if (kind < 6 && kind >= 3) {
            coordinators_[pick(coordinators_.size())]->stalled = pick(3) == 0;
        } else if (kind < 3) {
            ++endpoint_.incarnation;
            endpoint_.tasks.clear();
            endpoint_.zone_epoch = 0;
            endpoint_.epoch = 0;
            endpoint_.pool.clear();
            for (const auto& each : coordinators_) {
                each->to_endpoint.clear();
                each->to_coordinator.clear();
                each->core.disconnect(vm_id("v1"));
            }
        }
    }

    std::mt19937 random_;
    agreed_site site_;
    instant now_{std::chrono::seconds(100)};
    instant lease_sent_{};
    fake_endpoint endpoint_;
    std::vector<std::unique_ptr<fake_coordinator>> coordinators_;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> drained_;
    std::vector<wire::AssignVmT> commands_;
    std::size_t next_request_ = 0;
    std::size_t moves_ = 0;
    std::size_t started_ = 0;
};

TEST(vm_table_interleavings, no_task_runs_outside_the_agreed_pool) {
    constexpr std::uint32_t seeds = 150;
    constexpr int steps = 1500;
    std::size_t moves = 0;
    std::size_t started = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        interleaving run(seed);
        for (int k = 0; k < steps; ++k) {
            run.step();
            ASSERT_TRUE(run.tasks_match_agreed_pool())
                << "seed " << seed << ", step " << k;
        }
        moves += run.moves();
        started += run.started();
    }
    // Without pool changes and started tasks the test would check nothing.
    EXPECT_GT(moves, seeds);
    EXPECT_GT(started, seeds);
    RecordProperty("moves", static_cast<int>(moves));
    RecordProperty("started", static_cast<int>(started));
}

TEST(drained_report, requires_that_the_endpoint_accepted_the_epoch) {
    const instant now{std::chrono::seconds(100)};
    zone::coordinator core(fake_coordinator::options(), zone_epoch(9), now);
    wire::EntryLeaseT lease;
    lease.zone_epoch = 9;
    auto assignment = std::make_unique<wire::AssignmentT>();
    assignment->vm = "v1";
    assignment->pool = "sync";
    assignment->epoch = 11;
    assignment->draining = true;
    lease.assignments.push_back(std::move(assignment));
    core.receive(lease, {}, now, now);
    fake_endpoint endpoint;
    endpoint.zone_epoch = 5;
    const auto is_drained = [&] {
        core.announce(endpoint.announcement(), now);
        wire::EntryBeatT beat;
        core.report(beat);
        return beat.vms.at(0)->drained;
    };
    // An endpoint on an earlier epoch still accepts tasks from the earlier
    // coordinator.
    EXPECT_FALSE(is_drained());
    endpoint.zone_epoch = 9;
    EXPECT_TRUE(is_drained());
    endpoint.tasks[77] = "sync";
    EXPECT_FALSE(is_drained());
}

} // namespace
} // namespace dragonflymount::fleet
