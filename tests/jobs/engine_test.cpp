// Tests of the leader's job engine: when calls and reports are answered,
// leases and lapsed runs.
#include "tests/jobs/leading_engine.hpp"

namespace dragonflymount::jobs::test {
namespace {

class job_engine : public leading_engine {};

TEST_F(job_engine, accepts_a_job_only_once_it_is_agreed) {
    const auto& reply = send_call(call(wire::job_verb::submit, 7));
    EXPECT_FALSE(reply);
    settle();
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, wire::job_status::accepted);
    const auto& again = send_call(call(wire::job_verb::submit, 7));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->status, wire::job_status::accepted);
    EXPECT_EQ(jobs_.agreed.job_count(), 1U);
}

TEST_F(job_engine, replies_interrupted_when_leadership_is_lost) {
    const auto& reply = send_call(call(wire::job_verb::submit, 7));
    ASSERT_TRUE(engine_.take_batch(now_, jobs_.time_ms));
    engine_.resign();
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, wire::job_status::interrupted);
}

TEST_F(job_engine, checks_route_and_key) {
    auto elsewhere = call(wire::job_verb::read, 7);
    elsewhere.path = "/nowhere/1";
    EXPECT_EQ(send_call(elsewhere)->status, wire::job_status::not_found);
    EXPECT_EQ(send_call(call(wire::job_verb::submit, 7, "stolen"))->status,
        wire::job_status::unauthorized);
    EXPECT_EQ(send_call(call(wire::job_verb::read, 7))->status,
        wire::job_status::unknown_job);
    EXPECT_FALSE(engine_.take_batch(now_, jobs_.time_ms));
}

TEST_F(job_engine, sends_a_start_only_once_it_is_agreed) {
    send_call(call(wire::job_verb::submit, 7));
    settle();
    auto& sent_orders = report(make_report("e1", 1));
    ASSERT_TRUE(sent_orders);
    ASSERT_EQ(sent_orders->starts.size(), 1U);
    EXPECT_EQ(sent_orders->starts[0].run, (run_ref{task(7), 1}));
    EXPECT_EQ(sent_orders->fence, 3U);
    EXPECT_TRUE(sent_orders->lease);
    EXPECT_NE(jobs_.agreed.find_run({task(7), 1}), nullptr);
}

TEST_F(job_engine, repeats_a_start_that_was_not_received) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    auto& sent_orders = report(make_report("e1", 2));
    ASSERT_TRUE(sent_orders);
    ASSERT_EQ(sent_orders->starts.size(), 1U);
    EXPECT_EQ(sent_orders->starts[0].run.run, 1U);
}

TEST_F(job_engine, acknowledges_an_end_only_once_it_is_agreed) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    endpoint_report made = make_report("e1", 2);
    made.ended.push_back({1, {task(7), 1}, wire::run_end::done, ""});
    std::optional<endpoint_orders> sent_orders;
    engine_.report(
        made, [&](const auto& orders) { sent_orders = orders; }, now_);
    EXPECT_FALSE(sent_orders);
    settle();
    ASSERT_TRUE(sent_orders);
    EXPECT_EQ(sent_orders->acknowledged, 1U);
    EXPECT_EQ(send_call(call(wire::job_verb::read, 7))->phase,
        wire::job_phase::complete);
}

TEST_F(job_engine, stops_what_runs_of_a_cancelled_job) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    report(running(2, task(7), 10));
    const auto& reply = send_call(call(wire::job_verb::cancel, 7));
    EXPECT_FALSE(reply);
    settle();
    EXPECT_EQ(reply->status, wire::job_status::accepted);
    auto& sent_orders = report(running(3, task(7), 20));
    ASSERT_TRUE(sent_orders);
    ASSERT_EQ(sent_orders->stops.size(), 1U);
    EXPECT_EQ(sent_orders->stops[0], (run_ref{task(7), 1}));
}

TEST_F(job_engine, never_sends_the_start_of_a_job_cancelled_meanwhile) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    send_call(call(wire::job_verb::cancel, 7));
    settle();
    auto& sent_orders = report(make_report("e1", 2));
    advance(700);
    ASSERT_TRUE(sent_orders);
    EXPECT_TRUE(sent_orders->starts.empty());
    EXPECT_TRUE(jobs_.agreed.loads().empty());
}

TEST_F(job_engine, starts_again_only_after_a_silent_endpoints_lease) {
    // The leases of an earlier leader have expired by now.
    advance(20'000);
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    report(running(2, task(7), 10));
    const instant granted = now_;
    while (now_ < lease_end(granted, endpoint_options{}.lease)) {
        EXPECT_NE(jobs_.agreed.find_run({task(7), 1}), nullptr);
        advance(100);
    }
    advance(100);
    EXPECT_EQ(jobs_.agreed.find_run({task(7), 1}), nullptr);
    report(make_report("e2", 1));
    EXPECT_NE(jobs_.agreed.find_run({task(7), 2}), nullptr);
}

// Guards against report timeouts: an overloaded leader must lengthen the report
// interval, and shorten it again afterwards.
TEST_F(job_engine, asks_busy_endpoints_to_report_less_often_when_late) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    auto& sent_orders = report(running(2, task(7), 10));
    ASSERT_TRUE(sent_orders);
    EXPECT_EQ(sent_orders->retry, engine_options{}.busy_retry);
    for (int k = 0; k < 20; ++k) {
        engine_.note_lag(std::chrono::milliseconds(100));
    }
    auto& late = report(running(3, task(7), 20));
    ASSERT_TRUE(late);
    EXPECT_EQ(late->retry, engine_options{}.longest_busy_retry);
    for (int k = 0; k < 200; ++k) {
        engine_.note_lag(duration::zero());
    }
    auto& again = report(running(4, task(7), 30));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->retry, engine_options{}.busy_retry);
}

// A tick between the proposal of a start and its commit must not release the
// held report early: the reply would then lack the start.
TEST_F(job_engine, answers_with_a_start_that_took_time_to_agree) {
    auto& sent_orders = report(make_report("e1", 1));
    send_call(call(wire::job_verb::submit, 7));
    settle_until_start();
    ASSERT_FALSE(sent_orders);
    engine_.tick(now_);
    jobs_.apply(std::move(*waiting_));
    engine_.batch_done(true, now_);
    ASSERT_TRUE(sent_orders);
    EXPECT_EQ(sent_orders->starts.size(), 1U);
}

// The endpoint reports again while the batch that declares its run lapsed is in
// flight. The run will be restarted at another endpoint, so a start sent now
// would make it run twice.
TEST_F(job_engine, never_sends_a_start_whose_lapse_is_being_agreed) {
    advance(20'000);
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    now_ += std::chrono::seconds(30);
    engine_.tick(now_);
    auto batch = engine_.take_batch(now_, jobs_.time_ms);
    ASSERT_TRUE(batch);
    ASSERT_EQ(batch->ended.size(), 1U);
    std::optional<endpoint_orders> sent_orders;
    engine_.report(
        make_report("e1", 2), [&](const auto& orders) { sent_orders = orders; },
        now_);
    ASSERT_TRUE(sent_orders);
    EXPECT_TRUE(sent_orders->starts.empty());
    jobs_.apply(std::move(*batch));
    engine_.batch_done(true, now_);
    EXPECT_EQ(jobs_.agreed.find_run({task(7), 1}), nullptr);
}

TEST_F(job_engine, a_new_leader_waits_for_the_longest_lease) {
    jobs_.submit(job_builder(7).step(1).build());
    jobs_.start(task(7), 1, {"unheard", 1});
    const instant led = now_;
    report(make_report("e2", 1));
    while (now_ + std::chrono::milliseconds(100) <
        lease_end(led, endpoint_options{}.longest_lease)) {
        advance(100);
        ASSERT_NE(jobs_.agreed.find_run({task(7), 1}), nullptr);
        report(make_report(
            "e2", static_cast<std::uint64_t>(now_.time_since_epoch().count())));
    }
    advance(200);
    EXPECT_EQ(jobs_.agreed.find_run({task(7), 1}), nullptr);
}

TEST_F(job_engine, a_new_life_at_the_address_ends_the_old_one_at_once) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    endpoint_report reborn = make_report("e9", 1);
    reborn.life.number = 2;
    reborn.address = "e1:1";
    auto& sent_orders = report(reborn);
    ASSERT_TRUE(sent_orders);
    ASSERT_EQ(sent_orders->starts.size(), 1U);
    EXPECT_EQ(sent_orders->starts[0].run, (run_ref{task(7), 2}));
}

TEST_F(job_engine, a_late_report_of_an_ended_life_gets_no_lease) {
    endpoint_report reborn = make_report("e1", 1);
    reborn.life.number = 2;
    report(reborn);
    auto& sent_orders = report(make_report("e1", 99));
    ASSERT_TRUE(sent_orders);
    EXPECT_FALSE(sent_orders->lease);
    EXPECT_TRUE(sent_orders->starts.empty());
}

TEST_F(job_engine, a_reordered_older_report_changes_nothing) {
    send_call(call(wire::job_verb::submit, 7));
    report(make_report("e1", 1));
    report(running(5, task(7), 50));
    auto& sent_orders = report(make_report("e1", 4));
    ASSERT_TRUE(sent_orders);
    EXPECT_FALSE(sent_orders->lease);
    EXPECT_NE(jobs_.agreed.find_run({task(7), 1}), nullptr);
}

TEST_F(job_engine, acknowledges_an_older_catalogue_without_applying_it) {
    bool committed = false;
    engine_.put_catalogue(
        make_catalogue(9), [&](bool agreed) { committed = agreed; });
    EXPECT_FALSE(committed);
    settle();
    EXPECT_TRUE(committed);
    committed = false;
    engine_.put_catalogue(
        make_catalogue(4), [&](bool agreed) { committed = agreed; });
    EXPECT_TRUE(committed);
    EXPECT_EQ(jobs_.agreed.catalogue().version, 9U);
}

TEST_F(job_engine, begins_no_occurrence_before_its_time) {
    jobs_.submit(
        job_builder(7).step(1).repeats(2, first_time_ms + 50, 1000).build());
    settle();
    EXPECT_FALSE(jobs_.agreed.find_task(task(7)));
    jobs_.time_ms = first_time_ms + 50;
    settle();
    EXPECT_TRUE(jobs_.agreed.find_task(task(7)));
    EXPECT_FALSE(jobs_.agreed.find_task(task(7, 0, 0, 1)));
}

// A new leader begins while all capacity is in use and jobs wait. If the first
// report of each endpoint triggered a scan of all jobs and runs, the leader
// would miss its heartbeats.
TEST_F(job_engine, takes_first_reports_without_a_round_for_each) {
    constexpr std::size_t endpoint_count = 200;
    for (std::uint64_t id = 1; id <= endpoint_count; ++id) {
        const endpoint_life life{"e" + std::to_string(id), 1};
        jobs_.submit(job_builder(id).step(1, 4000).build());
        jobs_.start(task(id), 1, life);
    }
    jobs_.submit(job_builder(endpoint_count + 1).step(1, 4000).build());
    settle();
    const std::uint64_t rounds = engine_.placement_rounds();
    const std::uint64_t checks = engine_.lapse_checks();
    for (std::uint64_t id = 1; id <= endpoint_count; ++id) {
        endpoint_report report = make_report("e" + std::to_string(id), 1);
        running_task listed;
        listed.run = {task(id), 1};
        listed.percent = 10;
        report.running.push_back(listed);
        engine_.report(
            report, [](const auto&) {}, now_);
        settle();
    }
    EXPECT_LE(engine_.placement_rounds() - rounds, 2U);
    EXPECT_LE(engine_.lapse_checks() - checks, 3U);
    // Free capacity is still used at the next tick.
    endpoint_report free = make_report("new", 1);
    engine_.report(
        free, [](const auto&) {}, now_);
    advance(40);
    EXPECT_NE(jobs_.agreed.find_run({task(endpoint_count + 1), 1}), nullptr);
}

} // namespace
} // namespace dragonflymount::jobs::test
