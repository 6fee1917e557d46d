// Tests of the placement round: room, limits of teams, labels, gangs and order
// of service.
#include "tests/jobs/job_builder.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::jobs::test {
namespace {

class placement_round : public testing::Test {
protected:
    placement_round() : endpoints_(endpoint_options{}) {
        endpoints_.reset(at_ms(0));
    }
    void add(const std::string& endpoint,
        const std::vector<std::string>& labels = {"kind", "rack"}) {
        endpoint_report report = make_report(endpoint, 1);
        report.labels = labels;
        endpoints_.apply_report(report, at_ms(10));
    }
    std::vector<placed_run> plan(instant now = at_ms(20)) {
        return placement(
            jobs_.agreed, endpoints_, avoided_, reserved_, waits_, now)
            .plan(1000);
    }
    void limit_cpu(std::uint64_t limit) {
        wire::JobBatchT batch;
        batch.catalogue =
            std::make_unique<wire::CatalogueT>(make_catalogue(2, limit));
        jobs_.apply(std::move(batch));
    }

    agreed_jobs jobs_;
    endpoint_table endpoints_;
    avoided_endpoints avoided_;
    std::set<vm_id> reserved_;
    place_waits waits_;
};

TEST_F(placement_round, never_exceeds_a_vm) {
    add("e1");
    add("e2");
    jobs_.submit(job_builder(7).step(20, 1500).build());
    std::map<std::string, int> count;
    for (const placed_run& placed : plan()) {
        ++count[placed.life.endpoint];
    }
    EXPECT_EQ(count, (std::map<std::string, int>{{"e1", 2}, {"e2", 2}}));
}

TEST_F(placement_round, counts_runs_whose_end_is_unknown) {
    add("e1");
    jobs_.submit(job_builder(7).step(1, 3000).build());
    jobs_.start(task(7), 1);
    jobs_.cancel(7);
    jobs_.submit(job_builder(8).step(1, 2000).build());
    EXPECT_TRUE(plan().empty());
    jobs_.end(task(7), 1, wire::run_end::stopped);
    EXPECT_EQ(plan().size(), 1U);
}

TEST_F(placement_round, enforces_a_team_limit) {
    add("e1");
    add("e2");
    limit_cpu(3000);
    jobs_.submit(job_builder(7).step(8, 1000).build());
    EXPECT_EQ(plan().size(), 3U);
}

TEST_F(placement_round, places_a_gang_whole_or_not_at_all) {
    add("e1");
    jobs_.submit(job_builder(7).step(3, 2000).gang().build());
    EXPECT_TRUE(plan().empty());
    add("e2");
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 3U);
    for (const placed_run& member : placed) {
        EXPECT_EQ(member.run.run, 1U);
    }
}

// Each of the two gangs fits alone. If members of both were placed, neither
// gang would be complete.
TEST_F(placement_round, never_places_two_gangs_by_halves) {
    add("e1");
    add("e2");
    jobs_.submit(job_builder(7).step(3, 2000).gang().build());
    jobs_.submit(job_builder(8).step(3, 2000).gang().build());
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 3U);
    EXPECT_EQ(placed[0].run.task.job, placed[2].run.task.job);
}

TEST_F(placement_round, keeps_steps_in_order) {
    add("e1");
    jobs_.submit(job_builder(7).step(1).step(1).after(0).build());
    ASSERT_EQ(plan().size(), 1U);
    EXPECT_EQ(plan()[0].run.task.step, 0U);
    jobs_.start(task(7), 1);
    EXPECT_TRUE(plan().empty());
    jobs_.end(task(7), 1, wire::run_end::done);
    ASSERT_EQ(plan().size(), 1U);
    EXPECT_EQ(plan()[0].run.task.step, 1U);
}

TEST_F(placement_round, requires_labels_and_spreads_by_anti_affinity) {
    add("e1");
    add("e2", {"kind", "gold", "rack"});
    jobs_.submit(
        job_builder(7).step(3, 100).label("gold").anti_affinity(2).build());
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 2U);
    EXPECT_EQ(placed[0].life.endpoint, "e2");
    EXPECT_EQ(placed[1].life.endpoint, "e2");
}

TEST_F(placement_round, uses_no_silent_draining_reserved_or_foreign_endpoint) {
    add("silent");
    endpoint_report draining = make_report("draining", 1);
    draining.draining = true;
    endpoints_.apply_report(draining, at_ms(9000));
    endpoint_report foreign = make_report("foreign", 1);
    foreign.pool = pool_id("other");
    endpoints_.apply_report(foreign, at_ms(9000));
    endpoints_.apply_report(make_report("reserved", 1), at_ms(9000));
    reserved_.insert(vm_id("vm-reserved"));
    jobs_.submit(job_builder(7).step(4).build());
    EXPECT_TRUE(plan(at_ms(9000)).empty());
}

TEST_F(placement_round, retries_a_failed_task_elsewhere) {
    add("e1");
    jobs_.submit(job_builder(7).step(1).build());
    avoided_[task(7)]["e1"] = at_ms(15);
    EXPECT_TRUE(plan().empty());
    add("e2");
    ASSERT_EQ(plan().size(), 1U);
    EXPECT_EQ(plan()[0].life.endpoint, "e2");
}

TEST_F(placement_round, retries_a_failed_endpoint_if_there_is_no_other) {
    add("e1");
    jobs_.submit(job_builder(7).step(1).build());
    avoided_[task(7)]["e1"] = at_ms(15);
    endpoints_.apply_report(make_report("e1", 2), at_ms(1000));
    EXPECT_TRUE(plan(at_ms(1500)).empty());
    EXPECT_EQ(plan(at_ms(1520)).size(), 1U);
    endpoints_.apply_report(make_report("e2", 1), at_ms(1500));
    ASSERT_EQ(plan(at_ms(1520)).size(), 1U);
    EXPECT_EQ(plan(at_ms(1520))[0].life.endpoint, "e2");
}

// A burst twice as large as the pool. If late jobs were served first, the jobs
// that can still be on time would become late as well.
TEST_F(placement_round, puts_work_that_can_be_in_time_before_late_work) {
    add("e1");
    jobs_.submit(job_builder(7).step(1, 3000).build());
    // The queue's objective is 2 x 1000 ms + 1000 ms.
    jobs_.time_ms += 2500;
    jobs_.submit(job_builder(8).step(1, 3000).build());
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].run.task.job, job_id(8));
}

TEST_F(placement_round, puts_late_work_before_useless_work) {
    add("e1");
    jobs_.submit(job_builder(7).step(1, 3000).build());
    jobs_.time_ms += 6000;
    jobs_.submit(job_builder(8).step(1, 3000).build());
    jobs_.time_ms += 2500;
    jobs_.submit(job_builder(9).step(1, 100).build());
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 2U);
    EXPECT_EQ(placed[0].run.task.job, job_id(9));
    EXPECT_EQ(placed[1].run.task.job, job_id(8));
}

// The next four tests guard against a backlog that blocks a task that can
// start. The backlog belongs to a team at its limit, fits on no endpoint, or
// avoids the only endpoint.
TEST_F(placement_round, starts_a_task_behind_many_of_a_team_at_its_limit) {
    add("e1");
    limit_cpu(1000);
    for (std::uint64_t id = 1; id <= 200; ++id) {
        jobs_.submit(job_builder(id).step(1, 2000).build());
    }
    jobs_.submit(job_builder(900).team("other").step(1, 1000).build());
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].run.task.job, job_id(900));
}

TEST_F(placement_round, starts_a_task_behind_many_that_fit_nowhere) {
    add("e1");
    for (std::uint64_t id = 1; id <= 200; ++id) {
        jobs_.submit(job_builder(id).step(1, 5000).build());
        jobs_.submit(job_builder(id + 200).step(3, 2000).gang().build());
        jobs_.submit(job_builder(id + 400).step(1).label("gold").build());
    }
    jobs_.submit(job_builder(900).step(1, 1000).build());
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].run.task.job, job_id(900));
}

TEST_F(placement_round, starts_a_task_behind_many_that_avoid_the_endpoint) {
    add("e1");
    for (std::uint64_t id = 1; id <= 200; ++id) {
        jobs_.submit(job_builder(id).step(1, 1000).build());
        avoided_[task(id)]["e1"] = at_ms(15);
    }
    jobs_.submit(job_builder(900).step(1, 1000).build());
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].run.task.job, job_id(900));
}

TEST_F(placement_round, starts_a_task_whose_sibling_avoids_the_endpoint) {
    add("e1");
    jobs_.submit(job_builder(7).step(2, 1000).build());
    avoided_[task(7)]["e1"] = at_ms(15);
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].run.task, task(7, 0, 1));
}

// After a gang or a large task found no room, smaller needs must still be
// tried.
TEST_F(placement_round, starts_tasks_smaller_than_those_that_found_no_room) {
    add("e1");
    add("e2", {"kind", "gold", "rack"});
    jobs_.submit(job_builder(1).step(1, 3000).label("gold").build());
    jobs_.submit(job_builder(2).step(1, 3000).label("gold").build());
    jobs_.submit(job_builder(3).step(3, 2000).gang().build());
    jobs_.submit(job_builder(4).step(2, 2000).gang().build());
    jobs_.submit(job_builder(5).step(1, 1000).label("gold").build());
    std::set<std::uint64_t> started;
    for (const placed_run& placed : plan()) {
        started.insert(placed.run.task.job.value());
    }
    EXPECT_EQ(started, (std::set<std::uint64_t>{1, 4, 5}));
}

TEST_F(placement_round, keeps_long_running_tasks_on_few_endpoints) {
    for (const char* endpoint : {"e1", "e2", "e3", "e4", "e5"}) {
        add(endpoint);
    }
    jobs_.submit(
        job_builder(7).step(5, 100).long_running(1).anti_affinity(0).build());
    std::map<std::string, int> count;
    for (const placed_run& placed : plan()) {
        ++count[placed.life.endpoint];
    }
    EXPECT_EQ(count.size(), 3U);
}

// In a wave, long-running tasks leave one VM after the other. Those that went
// to a VM of the same wave had to leave it again, and the last VM was late.
TEST_F(placement_round, keeps_long_running_tasks_off_vms_to_be_maintained) {
    for (const char* endpoint : {"e1", "e2", "e3", "e4"}) {
        add(endpoint);
    }
    wire::JobBatchT batch;
    auto wave = std::make_unique<wire::MaintenanceWaveT>();
    wave->number = 1;
    wave->vms = {"vm-e1", "vm-e2", "vm-e3"};
    batch.waves.push_back(std::move(wave));
    auto step = std::make_unique<wire::MaintenanceStepT>();
    step->wave = 1;
    step->vm = "vm-e3";
    step->phase = wire::maintenance_phase::returned;
    batch.maintained.push_back(std::move(step));
    jobs_.apply(std::move(batch));
    jobs_.submit(
        job_builder(7).step(4, 100).long_running(1).anti_affinity(2).build());
    std::set<std::string> used;
    for (const placed_run& placed : plan()) {
        used.insert(placed.life.endpoint);
    }
    EXPECT_EQ(used, (std::set<std::string>{"e3", "e4"}));
}

TEST_F(placement_round, serves_long_running_tasks_first) {
    add("e1");
    jobs_.submit(job_builder(7).step(1, 3000).build());
    jobs_.submit(job_builder(8).step(1, 3000).long_running(0).build());
    const auto placed = plan();
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].run.task.job, job_id(8));
}

} // namespace
} // namespace dragonflymount::jobs::test
