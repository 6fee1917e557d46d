// Tests of the replicated job state: submissions, starts, ends, failures,
// cancellations, occurrences, catalogues and images.
#include "tests/jobs/job_builder.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::jobs::test {
namespace {

using wire::job_phase;
using wire::run_end;

TEST(job_state, completes_when_every_task_has_ended_done) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(2).step(1).after(0).build());
    jobs.start(task(7, 0, 0), 1);
    jobs.start(task(7, 0, 1), 1);
    jobs.end(task(7, 0, 0), 1, run_end::done);
    jobs.end(task(7, 0, 1), 1, run_end::done);
    EXPECT_EQ(jobs.phase(7), job_phase::active);
    jobs.start(task(7, 1, 0), 1);
    jobs.end(task(7, 1, 0), 1, run_end::done);
    EXPECT_EQ(jobs.phase(7), job_phase::complete);
    EXPECT_TRUE(jobs.agreed.loads().empty());
}

TEST(job_state, a_second_submission_of_an_id_changes_nothing) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(1).build());
    jobs.start(task(7), 1);
    jobs.submit(job_builder(7).step(3).build());
    EXPECT_EQ(jobs.agreed.find_job(job_id(7))->spec->steps[0]->count, 1U);
    EXPECT_NE(jobs.agreed.find_run({task(7), 1}), nullptr);
}

TEST(job_state, only_failed_ends_count_as_attempts) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(1).build());
    std::uint32_t run = 0;
    for (const run_end how : {run_end::lost, run_end::stopped, run_end::refused,
             run_end::lapsed, run_end::broken, run_end::alone}) {
        jobs.start(task(7), ++run);
        jobs.end(task(7), run, how);
    }
    EXPECT_EQ(jobs.phase(7), job_phase::active);
    for (int k = 0; k < 2; ++k) {
        jobs.start(task(7), ++run);
        jobs.end(task(7), run, run_end::failed);
        EXPECT_EQ(jobs.phase(7), job_phase::active);
    }
    jobs.start(task(7), ++run);
    jobs.end(task(7), run, run_end::failed);
    EXPECT_EQ(jobs.phase(7), job_phase::failed);
}

TEST(job_state, gives_up_a_task_after_crashes_soon_after_its_starts) {
    using wire::crash_evidence;
    const auto crashes_until_failed = [](crash_evidence evidence) {
        agreed_jobs jobs;
        jobs.submit(job_builder(7).step(2).step(1).after(0).build());
        std::uint32_t run = 0;
        while (jobs.phase(7) == job_phase::active && run < 100) {
            jobs.start(task(7), ++run);
            jobs.crash(task(7), run, evidence);
        }
        EXPECT_TRUE(jobs.agreed.suspects().empty() || run == 100);
        return run;
    };
    EXPECT_EQ(crashes_until_failed(crash_evidence::alone_at_start), 3U);
    EXPECT_EQ(crashes_until_failed(crash_evidence::at_start), 4U);
    EXPECT_EQ(crashes_until_failed(crash_evidence::unclear_start), 5U);
    EXPECT_EQ(crashes_until_failed(crash_evidence::at_work), 5U);
    EXPECT_EQ(crashes_until_failed(crash_evidence::worked_long), 100U);
    EXPECT_EQ(crashes_until_failed(crash_evidence::none), 100U);
}

TEST(job_state, an_image_holds_the_crashes_of_a_task) {
    using wire::crash_evidence;
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(2).build());
    for (std::uint32_t run = 1; run <= 3; ++run) {
        jobs.start(task(7), run);
        jobs.crash(task(7), run, crash_evidence::at_start);
    }
    const std::set<task_name> expected{task(7)};
    EXPECT_EQ(jobs.agreed.suspects(), expected);
    ASSERT_TRUE(jobs.agreed.load(jobs.agreed.save()));
    EXPECT_EQ(jobs.agreed.suspects(), expected);
    jobs.start(task(7), 4);
    jobs.crash(task(7), 4, crash_evidence::at_start);
    EXPECT_EQ(jobs.phase(7), job_phase::failed);
    EXPECT_TRUE(jobs.agreed.suspects().empty());
}

TEST(job_state, long_work_or_the_end_done_clears_a_suspect) {
    using wire::crash_evidence;
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(2).build());
    for (std::uint32_t run = 1; run <= 3; ++run) {
        jobs.start(task(7), run);
        jobs.crash(task(7), run, crash_evidence::at_start);
    }
    jobs.start(task(7), 4);
    jobs.crash(task(7), 4, crash_evidence::worked_long);
    EXPECT_TRUE(jobs.agreed.suspects().empty());
    jobs.start(task(7), 5);
    jobs.crash(task(7), 5, crash_evidence::at_start);
    EXPECT_EQ(jobs.phase(7), job_phase::active);
    EXPECT_EQ(jobs.agreed.suspects().size(), 1U);
    jobs.start(task(7), 6);
    jobs.end(task(7), 6, run_end::done);
    EXPECT_TRUE(jobs.agreed.suspects().empty());
}

TEST(job_state, a_repeated_end_counts_once) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(1).build());
    jobs.start(task(7), 1);
    for (int k = 0; k < 5; ++k) {
        jobs.end(task(7), 1, run_end::failed, 1);
    }
    EXPECT_EQ(jobs.agreed.find_task(task(7)).task->failures, 1U);
    EXPECT_EQ(jobs.agreed.acknowledged({"e1", 1}), 1U);
}

TEST(job_state, ignores_an_end_from_another_life_of_the_endpoint) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(1).build());
    jobs.start(task(7), 1, {"e1", 2});
    jobs.end(task(7), 1, run_end::done, 1, {"e1", 1});
    EXPECT_EQ(jobs.phase(7), job_phase::active);
    EXPECT_NE(jobs.agreed.find_run({task(7), 1}), nullptr);
}

TEST(job_state, refuses_starts_that_could_run_a_task_twice) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(1).step(1).build());
    jobs.start(task(7), 3);
    jobs.start(task(7), 3);
    jobs.start(task(7), 2);
    EXPECT_EQ(jobs.agreed.find_task(task(7)).task->runs.size(), 1U);
    jobs.end(task(7), 3, run_end::done);
    jobs.start(task(7), 4);
    EXPECT_TRUE(jobs.agreed.find_task(task(7)).task->runs.empty());
}

TEST(job_state, a_start_after_the_cancel_is_refused) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(2).build());
    jobs.start(task(7, 0, 0), 1);
    jobs.cancel(7);
    EXPECT_EQ(jobs.phase(7), job_phase::cancelled);
    // A run that may still be executing keeps its capacity until its end is
    // known.
    EXPECT_EQ(jobs.agreed.load_of({"e1", 1})->used.cpu_milli, 1000);
    EXPECT_FALSE(jobs.agreed.is_wanted({task(7, 0, 0), 1}));
    jobs.start(task(7, 0, 1), 1);
    EXPECT_EQ(jobs.agreed.load_of({"e1", 1})->runs.size(), 1U);
    jobs.end(task(7, 0, 0), 1, run_end::stopped);
    EXPECT_TRUE(jobs.agreed.loads().empty());
    EXPECT_EQ(jobs.agreed.usage_of_team("team"), resources{});
}

TEST(job_state, one_end_completes_a_gang_and_one_failure_counts_once) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(3).gang().build());
    for (std::uint32_t k = 0; k < 3; ++k) {
        jobs.start(task(7, 0, k), 1);
    }
    jobs.end(task(7, 0, 0), 1, run_end::failed);
    jobs.end(task(7, 0, 1), 1, run_end::failed);
    jobs.end(task(7, 0, 2), 1, run_end::broken);
    EXPECT_EQ(jobs.agreed.find_task(task(7)).group->gang_failures, 1U);
    for (std::uint32_t k = 0; k < 3; ++k) {
        jobs.start(task(7, 0, k), 2);
    }
    jobs.end(task(7, 0, 1), 2, run_end::done);
    EXPECT_EQ(jobs.phase(7), job_phase::complete);
}

TEST(job_state, a_long_running_task_never_ends_its_job) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(1).long_running(1).build());
    for (std::uint32_t run = 1; run < 9; ++run) {
        jobs.start(task(7), run);
        jobs.end(task(7), run, run % 2 == 0 ? run_end::done : run_end::failed);
        EXPECT_EQ(jobs.phase(7), job_phase::active);
    }
}

TEST(job_state, occurrences_overlap_and_complete_together) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(1).repeats(2, first_time_ms, 10).build());
    EXPECT_FALSE(jobs.agreed.find_task(task(7)));
    for (std::uint32_t number = 0; number < 2; ++number) {
        wire::JobBatchT batch;
        auto due = std::make_unique<wire::OccurrenceDueT>();
        due->job = 7;
        due->number = number;
        batch.due.push_back(std::move(due));
        jobs.apply(std::move(batch));
    }
    jobs.start(task(7, 0, 0, 1), 1);
    jobs.end(task(7, 0, 0, 1), 1, run_end::done);
    EXPECT_EQ(jobs.phase(7), job_phase::active);
    jobs.start(task(7, 0, 0, 0), 1);
    jobs.end(task(7, 0, 0, 0), 1, run_end::done);
    EXPECT_EQ(jobs.phase(7), job_phase::complete);
}

TEST(job_state, only_a_higher_version_changes_the_catalogue) {
    agreed_jobs jobs;
    for (const std::uint64_t version : {5U, 3U, 5U}) {
        wire::JobBatchT batch;
        batch.catalogue = std::make_unique<wire::CatalogueT>(
            make_catalogue(version, version * 10));
        jobs.apply(std::move(batch));
    }
    EXPECT_EQ(jobs.agreed.catalogue().version, 5U);
    EXPECT_EQ(jobs.agreed.find_team("team")->cpu_limit, 50U);
}

TEST(job_state, an_image_holds_all_that_was_agreed) {
    agreed_jobs jobs;
    jobs.submit(job_builder(7).step(2).build());
    jobs.submit(job_builder(8).step(1).build());
    jobs.start(task(7, 0, 0), 4);
    jobs.start(task(8), 1);
    jobs.end(task(8), 1, run_end::done, 9);
    state loaded;
    ASSERT_TRUE(loaded.load(jobs.agreed.save()));
    EXPECT_EQ(loaded.catalogue().version, 1U);
    EXPECT_EQ(loaded.find_job(job_id(8))->phase, job_phase::complete);
    EXPECT_EQ(loaded.active_jobs().size(), 1U);
    EXPECT_EQ(loaded.find_task(task(7)).task->last_run, 4U);
    EXPECT_EQ(loaded.load_of({"e1", 1})->used.cpu_milli, 1000);
    EXPECT_EQ(loaded.usage_of_team("team").cpu_milli, 1000);
    EXPECT_EQ(loaded.acknowledged({"e1", 1}), 9U);
}

TEST(job_state, a_damaged_image_is_refused) {
    state loaded;
    EXPECT_FALSE(loaded.load(bytes{1, 2, 3, 4, 5, 6, 7, 8}));
    EXPECT_FALSE(loaded.has_catalogue());
}

} // namespace
} // namespace dragonflymount::jobs::test
