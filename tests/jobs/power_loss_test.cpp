// Tests of starts that were sent to endpoints which had lost power before: such
// a task hasn't crashed anything.
#include "tests/jobs/leading_engine.hpp"

namespace dragonflymount::jobs::test {
namespace {

using wire::job_phase;

class power_loss : public leading_engine {
protected:
    /// Time for which the reply to an idle endpoint's report has been delayed
    /// when a start is due.
    static constexpr std::int64_t held_ms = 300;

    /// The VM service lists the endpoint as down.
    void lose(const std::string& endpoint) {
        engine_.endpoints().end_life({endpoint, 1});
        advance(100);
    }
    static bool has_start(const std::optional<endpoint_orders>& orders) {
        return orders && !orders->starts.empty();
    }
};

// LOST: a job was shown as failed although no endpoint had begun its task. Its
// start was sent twice in reply to reports of endpoints that had lost power
// since, and each time the endpoint's end was taken as the task's work.
TEST_F(power_loss, keeps_a_task_whose_starts_reached_no_endpoint) {
    report(make_report("e1", 1));
    advance(held_ms);
    jobs_.submit(job_builder(7).step(1).build());
    advance(10);
    std::string last = "e1";
    for (const char* next : {"e2", "e3", "e4", "e5", "e6"}) {
        report(make_report(next, 1));
        advance(held_ms);
        lose(last);
        ASSERT_EQ(jobs_.phase(7), job_phase::active) << last;
        ASSERT_NE(jobs_.agreed.load_of({next, 1}), nullptr);
        last = next;
    }
    const auto& orders = report(make_report(last, 2));
    ASSERT_TRUE(has_start(orders));
    EXPECT_EQ(orders->starts[0].run.task, task(7));
}

// LOST on a hunted day of many power losses: one endpoint lost power in the few
// milliseconds between its report and the start, one later under the task.
TEST_F(power_loss, keeps_a_task_after_one_crash_and_one_lost_start) {
    jobs_.submit(job_builder(7).step(1).build());
    for (const char* endpoint : {"e1", "e2", "e3"}) {
        EXPECT_EQ(jobs_.phase(7), job_phase::active) << endpoint;
        ASSERT_TRUE(has_start(report(make_report(endpoint, 1))));
        lose(endpoint);
    }
    EXPECT_EQ(jobs_.phase(7), job_phase::failed);
}

// Without this, a task that does crash its endpoints would be started once more
// for each start whose evidence is unclear.
TEST_F(power_loss, starts_a_suspect_only_in_reply_to_a_fresh_report) {
    const auto& first = report(make_report("e1", 1));
    advance(held_ms);
    jobs_.submit(job_builder(7).step(1).build());
    jobs_.start(task(7), 1, {"gone", 1});
    jobs_.crash(task(7), 1, wire::crash_evidence::unclear_start, {"gone", 1});
    advance(10);
    ASSERT_NE(jobs_.agreed.find_run({task(7), 2}), nullptr);
    ASSERT_TRUE(first.has_value());
    EXPECT_TRUE(first->starts.empty());
    EXPECT_LE(first->retry, engine_options{}.idle_retry);
    EXPECT_TRUE(has_start(report(make_report("e1", 2))));
}

// A busy endpoint's reports all list ends, and their replies are delayed until
// the ends are agreed.
TEST_F(power_loss, starts_a_suspect_at_once_beside_ended_runs) {
    jobs_.submit(job_builder(7).step(1).build());
    jobs_.start(task(7), 1, {"gone", 1});
    jobs_.crash(task(7), 1, wire::crash_evidence::unclear_start, {"gone", 1});
    jobs_.submit(job_builder(8).step(1).build());
    jobs_.start(task(8), 1, {"e1", 1});
    jobs_.start(task(7), 2, {"e1", 1});
    endpoint_report made = make_report("e1", 1);
    made.ended.push_back({1, {task(8), 1}, wire::run_end::done, ""});
    orders_.emplace_back();
    auto& place = orders_.back();
    engine_.report(
        made, [&place](const auto& orders) { place = orders; }, now_);
    ASSERT_TRUE(has_start(place));
    EXPECT_EQ(place->starts[0].run, (run_ref{task(7), 2}));
}

// A new leader doesn't know whether the earlier one has sent a start. The fifth
// of such crashes gives the task up, because all of them may have been its
// work.
TEST_F(power_loss, counts_a_start_of_an_earlier_leader_as_unclear) {
    jobs_.submit(job_builder(7).step(1).build());
    for (std::uint32_t run = 1; run <= 5; ++run) {
        EXPECT_EQ(jobs_.phase(7), job_phase::active) << run;
        const std::string endpoint = "gone" + std::to_string(run);
        jobs_.start(task(7), run, {endpoint, 1});
        lose(endpoint);
    }
    EXPECT_EQ(jobs_.phase(7), job_phase::failed);
}

} // namespace
} // namespace dragonflymount::jobs::test
