// Tests of the log lines for agreed decisions.
#include "tests/jobs/job_builder.hpp"
#include "tests/runtime/log_recorder.hpp"

#include "programs/scheduler/decision_log.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::scheduler_program {
namespace {

using jobs::test::job_builder;
using jobs::test::task;

wire::JobBatchT crash_of(
    std::uint64_t job, std::uint32_t run, wire::crash_evidence evidence) {
    wire::JobBatchT batch;
    batch.time_ms = jobs::test::first_time_ms;
    auto ended = std::make_unique<wire::RunEndT>();
    ended->task = std::make_unique<wire::TaskNameT>(to_wire(task(job)));
    ended->run = run;
    ended->how = wire::run_end::lapsed;
    ended->endpoint = "e1";
    ended->life = 1;
    ended->crash = evidence;
    batch.ended.push_back(std::move(ended));
    return batch;
}

class decision_lines : public testing::Test {
protected:
    void decide(const wire::JobBatchT& batch) {
        log_.note_proposed(batch);
        jobs_.apply(batch);
        log_.write(batch, log_term(1), duration::zero(), now_);
    }

    jobs::test::agreed_jobs jobs_;
    decision_log log_{jobs_.agreed};
    instant now_ = jobs::test::at_ms(100'000);
    runtime::log_recorder lines_;
};

// The line of the crash that gave a job up showed counts of 0, because the
// job's records are removed with its last run.
TEST_F(decision_lines, tell_the_counts_by_which_a_job_was_given_up) {
    jobs_.submit(job_builder(7).step(1).build());
    for (std::uint32_t run = 1; run <= 3; ++run) {
        jobs_.start(task(7), run);
        decide(crash_of(7, run, wire::crash_evidence::alone_at_start));
    }
    ASSERT_EQ(jobs_.phase(7), wire::job_phase::failed);
    EXPECT_TRUE(lines_.contains("run=1 endpoint=e1 life=1 "
                                "evidence=alone_at_start crashes=1 "
                                "start_crashes=1 job_phase=active"));
    EXPECT_TRUE(lines_.contains("run=3 endpoint=e1 life=1 "
                                "evidence=alone_at_start crashes=3 "
                                "start_crashes=3 job_phase=failed"));
}

// A day on which many endpoints crashed at once had the ends of their runs in
// the log, and not the crash that was counted against a task.
TEST_F(decision_lines, hold_a_crash_beside_many_other_decisions) {
    wire::JobBatchT starts;
    starts.time_ms = jobs::test::first_time_ms;
    for (std::uint32_t k = 0; k < 400; ++k) {
        auto order = std::make_unique<wire::RunStartT>();
        order->task = std::make_unique<wire::TaskNameT>(to_wire(task(8, 0, k)));
        order->run = 1;
        starts.started.push_back(std::move(order));
    }
    decide(starts);
    jobs_.submit(job_builder(7).step(1).build());
    jobs_.start(task(7), 1);
    decide(crash_of(7, 1, wire::crash_evidence::at_start));
    EXPECT_TRUE(lines_.has(event::task_suspected));
}

} // namespace
} // namespace dragonflymount::scheduler_program
