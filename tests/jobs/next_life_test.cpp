// Tests of endpoints that are back under their old name within a moment and get
// messages that were meant for their former life.
#include "tests/jobs/leading_engine.hpp"

namespace dragonflymount::jobs::test {
namespace {

using std::chrono::milliseconds;
using wire::job_phase;
using wire::run_end;

const run_ref first_run{task(7), 1};
const run_ref second_run{task(7), 2};

class next_life : public leading_engine {
protected:
    /// Time from the start's reply until the next life reports.
    static constexpr std::int64_t restart_ms = 300;

    /// Job 7 has one task, whose start is in the reply to e1's first report.
    void start_task_on_e1() {
        jobs_.submit(job_builder(7).step(1).build());
        const auto& orders = report(make_report("e1", 1));
        ASSERT_TRUE(orders);
        ASSERT_EQ(orders->starts.size(), 1U);
        ASSERT_EQ(orders->starts[0].run, first_run);
    }
    endpoint_report next_report() {
        endpoint_report made = make_report("e1", ++sequence_);
        made.life = {"e1", 2};
        made.sent = now_ - born_;
        return made;
    }
    endpoint_report next_report_running(const run_ref& run) {
        endpoint_report made = next_report();
        running_task listed;
        listed.run = run;
        made.running.push_back(listed);
        return made;
    }
    endpoint_report next_report_ended(const run_ref& run, run_end how) {
        endpoint_report made = next_report();
        made.ended.push_back({1, run, how, ""});
        return made;
    }
    void restart_e1() {
        advance(restart_ms);
        born_ = now_ - milliseconds(10);
    }
    bool has_run(const run_ref& run) const {
        return jobs_.agreed.find_run(run) != nullptr;
    }
    /// The other endpoint reports, the next life of e1 doesn't.
    void pass_beside_e2(std::int64_t ms) {
        for (std::int64_t passed = 0; passed < ms; passed += 500) {
            advance(500);
            report(make_report("e2", ++other_sequence_));
        }
    }

    instant born_{};
    std::uint64_t sequence_ = 0;
    std::uint64_t other_sequence_ = 0;
};

// TWICE: the next life had taken the start and was cut off; the task was
// started again at once, on another endpoint.
TEST_F(next_life, keeps_a_start_that_it_may_have_taken_until_its_lease_ends) {
    start_task_on_e1();
    restart_e1();
    report(next_report());
    pass_beside_e2(8500);
    EXPECT_TRUE(has_run(first_run));
    EXPECT_FALSE(has_run(second_run));
    pass_beside_e2(4000);
    EXPECT_TRUE(has_run(second_run));
}

// TWICE, as above, with a change of leader in between.
TEST_F(next_life, keeps_a_start_of_an_earlier_leader) {
    start_task_on_e1();
    engine_.lead(log_term(4), now_);
    restart_e1();
    report(next_report());
    pass_beside_e2(8500);
    EXPECT_FALSE(has_run(second_run));
    pass_beside_e2(4000);
    EXPECT_TRUE(has_run(second_run));
}

TEST_F(next_life, ends_a_run_of_its_former_life_before_it_starts_again) {
    start_task_on_e1();
    restart_e1();
    report(next_report());
    advance(100);
    const auto& orders = report(next_report_running(first_run));
    ASSERT_TRUE(orders);
    EXPECT_EQ(orders->stops, std::vector<run_ref>{first_run});
    advance(2000);
    EXPECT_FALSE(has_run(second_run));
    report(next_report_ended(first_run, run_end::stopped));
    advance(100);
    EXPECT_FALSE(has_run(first_run));
    EXPECT_TRUE(has_run(second_run));
}

// TWICE: the end belongs to no run of that life, so the task was run again.
TEST_F(next_life, counts_the_end_of_a_run_of_its_former_life) {
    start_task_on_e1();
    restart_e1();
    report(next_report_ended(first_run, run_end::done));
    advance(100);
    EXPECT_EQ(jobs_.phase(7), job_phase::complete);
    EXPECT_EQ(jobs_.agreed.acknowledged({"e1", 2}), 1U);
}

// LOST, if the task waited for the lease although the start has expired.
TEST_F(next_life, starts_a_task_again_once_the_reply_has_expired) {
    start_task_on_e1();
    restart_e1();
    report(next_report());
    advance(900);
    report(next_report());
    advance(200);
    EXPECT_TRUE(has_run(first_run));
    report(next_report());
    advance(200);
    EXPECT_FALSE(has_run(first_run));
    EXPECT_TRUE(has_run(second_run));
}

TEST_F(next_life, starts_a_task_at_once_that_its_former_life_had_listed) {
    start_task_on_e1();
    advance(200);
    report(running(2, task(7), 10));
    restart_e1();
    report(next_report());
    advance(200);
    EXPECT_FALSE(has_run(first_run));
    EXPECT_TRUE(has_run(second_run));
}

// TWICE: the announcement names no life, and ended the one that had just begun.
TEST_F(next_life, is_not_ended_by_a_late_exit_of_its_former_life) {
    endpoint_report draining = make_report("e1", 1);
    draining.draining = true;
    report(draining);
    restart_e1();
    report(next_report());
    jobs_.submit(job_builder(7).step(1).build());
    advance(100);
    ASSERT_TRUE(has_run(first_run));
    EXPECT_FALSE(engine_.leave("e1"));
    advance(100);
    EXPECT_TRUE(has_run(first_run));
}

TEST_F(next_life, is_over_once_it_has_drained_and_exits) {
    report(make_report("e1", 1));
    endpoint_report draining = make_report("e1", 2);
    draining.draining = true;
    report(draining);
    EXPECT_TRUE(engine_.leave("e1"));
    EXPECT_EQ(engine_.endpoints().find("e1"), nullptr);
}

} // namespace
} // namespace dragonflymount::jobs::test
