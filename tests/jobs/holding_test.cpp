// Tests of how long the job engine holds the reports of endpoints that run
// nothing but long-running tasks.
#include "tests/jobs/job_builder.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::jobs::test {
namespace {

class held_reports : public testing::Test {
protected:
    held_reports() : engine_(jobs_.agreed, engine_options{}) {
        engine_.lead(log_term(1), now_);
        jobs_.submit(job_builder(7).step(1).long_running(1).build());
        report({});
        tick(40);
        run_ = {task(7), 1};
    }
    void commit() {
        while (auto batch = engine_.take_batch(now_, jobs_.time_ms)) {
            jobs_.apply(std::move(*batch));
            engine_.batch_done(true, now_);
        }
    }
    void tick(std::int64_t ms) {
        now_ += std::chrono::milliseconds(ms);
        engine_.tick(now_);
        commit();
    }
    void report(const std::vector<running_task>& running) {
        endpoint_report made = make_report("e1", ++sequence_);
        made.running = running;
        is_answered_ = false;
        engine_.report(
            made, [this](const auto&) { is_answered_ = true; }, now_);
        commit();
    }
    void report_percent(std::uint32_t percent) {
        running_task listed;
        listed.run = run_;
        listed.percent = percent;
        report({listed});
    }

    agreed_jobs jobs_;
    instant now_ = at_ms(100'000);
    engine engine_;
    std::uint64_t sequence_ = 0;
    bool is_answered_ = false;
    run_ref run_;
};

// In a wave the tasks of a step move one after the other. A report that told
// 0.6 s later than it could that a task works again delayed each of them.
TEST_F(held_reports, of_a_task_that_begins_are_answered_soon) {
    report_percent(0);
    EXPECT_FALSE(is_answered_);
    tick(200);
    EXPECT_TRUE(is_answered_);
}

TEST_F(held_reports, of_a_task_at_work_are_held_on) {
    report_percent(100);
    tick(500);
    EXPECT_FALSE(is_answered_);
    tick(200);
    EXPECT_TRUE(is_answered_);
}

} // namespace
} // namespace dragonflymount::jobs::test
