// What accepted jobs count, and the refusal of jobs that there is no memory
// for.
#include "tests/jobs/leading_engine.hpp"

#include <rapidcheck/gtest.h>

namespace dragonflymount::jobs::test {
namespace {

constexpr std::uint64_t limit = 1'000'000;

// Largest number of tasks in a step of which a job is accepted.
constexpr std::uint32_t many_tasks = 1500;

// Jobs of many tasks in small requests took up a scheduler's memory without
// bound.
class job_memory : public leading_engine {
protected:
    job_memory() {
        engine_options options;
        options.job_memory = limit;
        bounded_.emplace(jobs_.agreed, options);
        bounded_->lead(log_term(3), now_);
    }
    wire::JobReplyT submit(std::uint64_t id, std::uint32_t tasks) {
        wire::JobCallT made = call(wire::job_verb::submit, id);
        made.spec = std::make_unique<wire::JobSpecT>(
            *job_builder(id).step(tasks).build()->spec);
        std::optional<wire::JobReplyT> reply;
        bounded_->call(
            made, [&reply](wire::JobReplyT sent) { reply = std::move(sent); });
        if (!reply) {
            commit();
        }
        return reply.value_or(wire::JobReplyT());
    }
    void commit() {
        if (auto batch = bounded_->take_batch(now_, jobs_.time_ms)) {
            jobs_.apply(std::move(*batch));
            bounded_->batch_done(true, now_);
        }
    }
    std::optional<engine> bounded_;
};

TEST_F(job_memory, refuses_jobs_beyond_it_and_never_stores_them) {
    std::uint64_t id = 1;
    while (submit(id, many_tasks).status == wire::job_status::accepted) {
        ASSERT_LT(++id, 100U);
    }
    EXPECT_GT(id, 1U);
    EXPECT_LE(jobs_.agreed.job_memory(), limit);
    const wire::JobReplyT refused = submit(id, many_tasks);
    EXPECT_EQ(refused.status, wire::job_status::not_accepted);
    EXPECT_GT(refused.retry_after_ms, 0U);
    commit();
    EXPECT_EQ(jobs_.agreed.find_job(job_id(id)), nullptr);
    EXPECT_EQ(bounded_->jobs_refused(), 2U);
    // An ordinary job is accepted meanwhile.
    EXPECT_EQ(submit(200, 1).status, wire::job_status::accepted);
    // And a large one once there is room again.
    for (std::uint64_t ended = 1; ended < id; ++ended) {
        jobs_.cancel(ended);
    }
    EXPECT_EQ(submit(id, many_tasks).status, wire::job_status::accepted);
}

// Jobs that arrive before the next batch is agreed count as well.
TEST_F(job_memory, counts_jobs_that_are_not_agreed_yet) {
    wire::JobCallT made = call(wire::job_verb::submit, 1);
    made.spec = std::make_unique<wire::JobSpecT>(
        *job_builder(1).step(many_tasks).build()->spec);
    unsigned refused = 0;
    for (std::uint64_t id = 1; id < 100; ++id) {
        made.path = "/q/" + to_string(job_id(id));
        bounded_->call(made, [&refused](const wire::JobReplyT& reply) {
            refused += reply.status == wire::job_status::not_accepted ? 1 : 0;
        });
    }
    EXPECT_GT(refused, 0U);
    commit();
    EXPECT_LE(jobs_.agreed.job_memory(), limit);
}

TEST_F(job_memory, accepts_a_job_that_it_has_when_it_is_full) {
    std::uint64_t id = 1;
    while (submit(id, many_tasks).status == wire::job_status::accepted) {
        ASSERT_LT(++id, 100U);
    }
    EXPECT_EQ(submit(1, many_tasks).status, wire::job_status::accepted);
}

// The sum that each change updates is that of the jobs, counted anew by load().
RC_GTEST_PROP(job_memory_count, equals_that_of_a_loaded_image, ()) {
    agreed_jobs jobs;
    const auto repeats = *rc::gen::inRange<std::uint32_t>(0, 3);
    jobs.submit(job_builder(1)
                    .step(3)
                    .step(1)
                    .repeats(repeats, first_time_ms, 10)
                    .build());
    jobs.submit(job_builder(2).step(2).build());
    for (unsigned k = *rc::gen::inRange(0U, 30U); k > 0; --k) {
        const auto id = *rc::gen::inRange<std::uint64_t>(1, 3);
        const task_name name = task(id, *rc::gen::inRange(0U, 2U),
            *rc::gen::inRange(0U, 3U), *rc::gen::inRange(0U, 3U));
        const auto run = *rc::gen::inRange(1U, 4U);
        wire::JobBatchT batch;
        auto due = std::make_unique<wire::OccurrenceDueT>();
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            jobs.cancel(id);
            break;
        case 1:
            due->job = id;
            due->number = *rc::gen::inRange(0U, 3U);
            batch.due.push_back(std::move(due));
            jobs.apply(std::move(batch));
            break;
        case 2:
            jobs.end(name, run, wire::run_end::done);
            break;
        case 3:
            jobs.time_ms += state::retention_ms / 2;
            jobs.apply({});
            break;
        default:
            jobs.start(name, run);
        }
    }
    state loaded;
    RC_ASSERT(bool(loaded.load(jobs.agreed.save())));
    RC_ASSERT(loaded.job_memory() == jobs.agreed.job_memory());
}

} // namespace
} // namespace dragonflymount::jobs::test
