// Runs that stall, are too slow or fail, and what they show of their endpoints.
#include "tests/jobs/leading_engine.hpp"

namespace dragonflymount::jobs::test {
namespace {

class bad_run : public leading_engine {};

TEST_F(bad_run, moves_a_stalled_run) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    std::uint64_t sequence = 2;
    report(running(sequence++, task(7), 10));
    for (int k = 0; k < 30; ++k) {
        advance(100);
        report(running(sequence++, task(7), 10));
    }
    auto& sent_orders = report(running(sequence++, task(7), 10));
    ASSERT_TRUE(sent_orders);
    ASSERT_EQ(sent_orders->stops.size(), 1U);
    endpoint_report made = make_report("e1", sequence);
    made.ended.push_back({1, {task(7), 1}, wire::run_end::stopped, ""});
    report(made);
    report(make_report("e2", 1));
    ASSERT_NE(jobs_.agreed.find_run({task(7), 2}), nullptr);
    EXPECT_EQ(jobs_.agreed.find_run({task(7), 2})->endpoint, "e2");
}

TEST_F(bad_run, moves_a_slow_run_only_once) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    report(make_report("e2", 1));
    const auto run_at = [&](const std::string& endpoint, std::uint32_t run,
                            std::uint64_t sequence, std::uint32_t percent) {
        endpoint_report made = running(sequence, task(7), percent);
        made.life = {endpoint, 1};
        made.vm = vm_id("vm-" + endpoint);
        made.address = endpoint + ":1";
        made.running[0].run.run = run;
        return made;
    };
    // A tenth of the declared rate of progress.
    bool stopped = false;
    std::uint64_t sequence = 2;
    for (std::uint32_t percent = 1; percent < 20 && !stopped; ++percent) {
        auto& sent_orders = report(run_at("e1", 1, sequence++, percent));
        advance(100);
        stopped = sent_orders && !sent_orders->stops.empty();
    }
    ASSERT_TRUE(stopped);
    endpoint_report made = make_report("e1", sequence);
    made.ended.push_back({1, {task(7), 1}, wire::run_end::stopped, ""});
    report(made);
    ASSERT_NE(jobs_.agreed.find_run({task(7), 2}), nullptr);
    EXPECT_EQ(jobs_.agreed.find_run({task(7), 2})->endpoint, "e2");
    for (std::uint32_t percent = 1; percent < 40; ++percent) {
        auto& sent_orders = report(run_at("e2", 2, 1 + percent, percent));
        advance(100);
        EXPECT_TRUE(!sent_orders || sent_orders->stops.empty());
    }
}

TEST_F(bad_run, does_not_count_silence_as_a_stall) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    report(running(2, task(7), 10));
    for (int k = 0; k < 25; ++k) {
        advance(100);
    }
    EXPECT_FALSE(engine_.is_stop_requested({task(7), 1}));
}

// The leader pauses for longer than the stall limit. The reports that it then
// processes were sent at the usual interval, so they don't show a stall.
TEST_F(bad_run, does_not_count_a_leader_pause_as_a_stall) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    report(running(2, task(7), 10));
    now_ += std::chrono::milliseconds(2000);
    report(running(3, task(7), 10));
    EXPECT_FALSE(engine_.is_stop_requested({task(7), 1}));
}

TEST_F(bad_run, does_not_count_a_leader_pause_as_a_slow_run) {
    auto made = call(wire::job_verb::submit, 7);
    made.spec->steps[0]->estimate_ms = 10'000;
    send_call(made);
    report(make_report("e1", 1));
    report(running(2, task(7), 0));
    advance(200);
    report(running(3, task(7), 2));
    now_ += std::chrono::milliseconds(2000);
    report(running(4, task(7), 4));
    EXPECT_FALSE(engine_.is_stop_requested({task(7), 1}));
}

TEST_F(bad_run, quarantines_an_endpoint_whose_runs_stall) {
    send_call(call(wire::job_verb::submit, 7));
    send_call(call(wire::job_verb::submit, 8));
    report(make_report("e1", 1));
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence) {
        endpoint_report made = running(sequence, task(7), 10);
        made.running.push_back(running(0, task(8), 10).running[0]);
        report(made);
        advance(100);
    }
    EXPECT_FALSE(engine_.endpoints().can_take_tasks(
        *engine_.endpoints().find("e1"), now_));
}

// A resource shared by all VMs of a pool hangs for a short time, so that all
// runs of the pool stall. Quarantining every endpoint would stop the pool.
TEST_F(bad_run, uses_a_pool_in_which_all_runs_stalled) {
    for (const char* endpoint : {"e1", "e2", "e3"}) {
        report(make_report(endpoint, 1));
    }
    for (std::uint64_t id = 7; id < 13; ++id) {
        send_call(call(wire::job_verb::submit, id));
    }
    settle();
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence) {
        for (const char* endpoint : {"e1", "e2", "e3"}) {
            endpoint_report made = make_report(endpoint, sequence);
            for (const run_ref& run :
                jobs_.agreed.load_of({endpoint, 1})->runs) {
                made.running.push_back({run, "", 10, 0});
            }
            ASSERT_EQ(made.running.size(), 2U);
            report(made);
        }
        advance(100);
    }
    EXPECT_TRUE(engine_.is_stop_requested({task(7), 1}));
    for (const auto& [endpoint, view] : engine_.endpoints().views()) {
        EXPECT_TRUE(engine_.endpoints().can_take_tasks(view, now_)) << endpoint;
    }
}

TEST_F(bad_run, quarantines_an_endpoint_that_fails_several_jobs) {
    std::uint64_t sequence = 1;
    std::uint64_t number = 1;
    report(make_report("e1", sequence++));
    for (std::uint64_t id = 7; id < 9; ++id) {
        send_call(call(wire::job_verb::submit, id));
        settle();
        endpoint_report made = make_report("e1", sequence++);
        made.ended.push_back(
            {number++, {task(id), 1}, wire::run_end::failed, ""});
        report(made);
    }
    EXPECT_FALSE(engine_.endpoints().can_take_tasks(
        *engine_.endpoints().find("e1"), now_));
}

} // namespace
} // namespace dragonflymount::jobs::test
