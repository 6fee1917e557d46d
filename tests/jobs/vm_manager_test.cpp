// Tests of the VM manager: maintenance waves under availability budgets, and
// the list of VMs.
#include "tests/jobs/vm_orders.hpp"

namespace dragonflymount::jobs::test {
namespace {

TEST_F(vm_orders, agrees_on_maintenance_before_ordering_it) {
    report("e1");
    start_wave({"vm-e1"}, 1);
    const auto given = run_for(1000, {"e1"});
    ASSERT_EQ(given.size(), 1U);
    EXPECT_EQ(given[0].vm, vm_id("vm-e1"));
    ASSERT_EQ(jobs_.agreed.waves().at(1).steps.size(), 1U);
    EXPECT_EQ(jobs_.agreed.waves().at(1).steps[0]->phase,
        wire::maintenance_phase::ordered);
}

TEST_F(vm_orders, takes_no_more_down_than_the_wave_allows) {
    for (const char* endpoint : {"e1", "e2", "e3"}) {
        report(endpoint);
    }
    start_wave({"vm-e1", "vm-e2", "vm-e3"}, 2);
    const auto given = run_for(3000, {"e1", "e2", "e3"});
    EXPECT_EQ(given.size(), 2U);
}

// LIMIT on a day whose core was cut while a wave began: batches took longer
// than a decision round, and each round counted only committed orders.
TEST_F(vm_orders, counts_orders_that_are_not_committed_yet) {
    std::vector<vm_record> list;
    std::vector<std::string> vms;
    for (int k = 0; k < 6; ++k) {
        vms.push_back("s" + std::to_string(k));
        list.push_back(
            {vm_id(vms.back()), pool_id("standby"), vm_condition::up, "", {}});
    }
    start_wave(vms, 2);
    manager_.update_list(std::move(list), now_, now_);
    for (int k = 0; k < 5; ++k) {
        now_ += std::chrono::milliseconds(150);
        manager_.decide(now_);
    }
    commit_batches();
    EXPECT_EQ(jobs_.agreed.waves().at(1).steps.size(), 2U);
}

// The VMs with long-running tasks take the longest, since their tasks move one
// after the other. On a day with 168 VMs in a wave, those on standby used up
// the limit for 8 s, and the last VM was late.
TEST_F(vm_orders, prepares_long_running_vms_beside_those_on_standby) {
    const auto endpoints = names("e", 3);
    for (const std::string& endpoint : endpoints) {
        report(endpoint);
    }
    jobs_.submit(job_builder(7).step(3).long_running(1).build());
    engine_.tick(now_);
    commit_batches();
    const auto standby = names("s", 12);
    list_vms(endpoints, standby);
    std::vector<std::string> vms = standby;
    for (const std::string& endpoint : endpoints) {
        vms.push_back("vm-" + endpoint);
    }
    start_wave(vms, 4);
    std::set<std::string> maintained;
    for (const vm_order& order : run_for(1200, endpoints)) {
        if (order.what == vm_order::kind::maintain) {
            maintained.insert(order.vm.str().substr(0, 1));
        }
    }
    EXPECT_EQ(maintained, (std::set<std::string>{"s", "v"}));
}

TEST_F(vm_orders, is_complete_only_when_the_order_was_carried_out) {
    report("e1");
    start_wave({"vm-e1"}, 1);
    auto given = run_for(1000, {"e1"});
    ASSERT_EQ(given.size(), 1U);
    // A crash also leads to a new life, but isn't maintenance.
    report("e1", 2);
    run_for(3000, {});
    EXPECT_FALSE(is_complete(jobs_.agreed.waves().at(1)));
    manager_.order_done(given[0], vm_verdict::done, now_);
    run_for(3000, {});
    EXPECT_FALSE(is_complete(jobs_.agreed.waves().at(1)));
    report("e1", 3);
    run_for(300, {});
    EXPECT_TRUE(is_complete(jobs_.agreed.waves().at(1)));
}

TEST_F(vm_orders, waits_for_finite_tasks) {
    report("e1");
    jobs_.submit(job_builder(7).step(1).build());
    engine_.tick(now_);
    commit_batches();
    start_wave({"vm-e1"}, 1);
    EXPECT_TRUE(run_for(3000, {"e1"}).empty());
    jobs_.end(task(7), 1, wire::run_end::done);
    EXPECT_EQ(run_for(1500, {"e1"}).size(), 1U);
}

TEST_F(vm_orders, keeps_the_availability_budget_of_a_step) {
    for (const char* endpoint : {"e1", "e2", "e3"}) {
        report(endpoint);
    }
    jobs_.submit(job_builder(7).step(3).long_running(1).build());
    engine_.tick(now_);
    commit_batches();
    ASSERT_EQ(jobs_.agreed.loads().size(), 3U);
    start_wave({"vm-e1", "vm-e2", "vm-e3"}, 3);
    // All three tasks work and one may be unavailable, so only one VM may be
    // maintained.
    EXPECT_EQ(run_for(3000, {"e1", "e2", "e3"}).size(), 1U);
}

TEST_F(vm_orders, ends_nothing_while_a_task_of_the_step_is_unavailable) {
    for (const char* endpoint : {"e1", "e2"}) {
        report(endpoint);
    }
    jobs_.submit(job_builder(7).step(3).long_running(1).build());
    engine_.tick(now_);
    commit_batches();
    start_wave({"vm-e1", "vm-e2"}, 2);
    EXPECT_TRUE(run_for(5000, {"e1", "e2"}).empty());
}

TEST_F(vm_orders, stops_the_tasks_of_a_step_on_one_vm_one_at_a_time) {
    report("e1");
    jobs_.submit(
        job_builder(7).step(2).long_running(1).anti_affinity(0).build());
    engine_.tick(now_);
    commit_batches();
    ASSERT_EQ(jobs_.agreed.load_of({"e1", 1})->runs.size(), 2U);
    report("e2");
    start_wave({"vm-e1"}, 1);
    EXPECT_TRUE(run_for(2000, {"e1", "e2"}).empty());
    const int stops = (engine_.is_stop_requested({task(7, 0, 0), 1}) ? 1 : 0) +
        (engine_.is_stop_requested({task(7, 0, 1), 1}) ? 1 : 0);
    EXPECT_EQ(stops, 1);
}

// The long-running tasks of a VM can only move one after the other. If that VM
// were chosen after all others, its tasks would not have moved when the wave
// ends.
TEST_F(vm_orders, begins_a_wave_with_vms_that_have_long_running_tasks) {
    std::vector<std::string> endpoints{"e0"};
    report("e0");
    jobs_.submit(
        job_builder(7).step(2).long_running(1).anti_affinity(0).build());
    engine_.tick(now_);
    commit_batches();
    ASSERT_EQ(jobs_.agreed.load_of({"e0", 1})->runs.size(), 2U);
    std::vector<std::string> vms{"vm-e0"};
    for (int k = 1; k < 9; ++k) {
        endpoints.push_back("e" + std::to_string(k));
        vms.push_back("vm-" + endpoints.back());
        report(endpoints.back());
    }
    start_wave(vms, 2);
    run_for(1000, endpoints);
    EXPECT_TRUE(engine_.is_stop_requested({task(7, 0, 0), 1}) ||
        engine_.is_stop_requested({task(7, 0, 1), 1}));
}

TEST_F(vm_orders, stops_no_task_while_another_of_its_step_has_not_begun) {
    report("e1");
    jobs_.submit(
        job_builder(7).step(3).long_running(1).anti_affinity(0).build());
    engine_.tick(now_);
    commit_batches();
    ASSERT_EQ(jobs_.agreed.load_of({"e1", 1})->runs.size(), 3U);
    start_wave({"vm-e1"}, 1);
    for (int k = 0; k < 20; ++k) {
        now_ += std::chrono::milliseconds(100);
        report("e1", 1, {{task(7, 0, 2), 1}});
        EXPECT_TRUE(manager_.decide(now_).empty());
        commit_batches();
    }
    EXPECT_FALSE(engine_.is_stop_requested({task(7, 0, 0), 1}));
    EXPECT_FALSE(engine_.is_stop_requested({task(7, 0, 1), 1}));
    run_for(1000, {"e1"});
    EXPECT_TRUE(engine_.is_stop_requested({task(7, 0, 0), 1}));
}

// The VMs of a wave move between pools as demand changes. One that has reached
// standby must be maintained before it moves again; otherwise it takes tasks
// again and the wave has to wait for them.
TEST_F(vm_orders, maintains_a_standby_vm_before_moving_it_to_a_pool) {
    std::vector<std::string> endpoints;
    std::vector<vm_record> list;
    for (int k = 0; k < 4; ++k) {
        endpoints.push_back("e" + std::to_string(k));
        list.push_back({vm_id("vm-" + endpoints.back()), pool_id("pool"),
            vm_condition::up, endpoints.back(), {}});
    }
    manager_.update_list(std::move(list), now_, now_);
    const auto moved = run_for(3000, endpoints);
    ASSERT_EQ(moved.size(), 1U);
    ASSERT_EQ(moved[0].pool, pool_id("standby"));
    manager_.order_done(moved[0], vm_verdict::done, now_);
    const std::string gone = moved[0].vm.str().substr(3);
    engine_.remove_endpoint(gone);
    std::erase(endpoints, gone);
    start_wave({moved[0].vm.str()}, 1);
    jobs_.submit(job_builder(7).step(40, 1000).build());
    const auto given = run_for(2500, endpoints);
    ASSERT_FALSE(given.empty());
    EXPECT_EQ(given[0].vm, moved[0].vm);
    EXPECT_EQ(given[0].what, vm_order::kind::maintain);
}

TEST_F(vm_orders, ends_runs_of_a_silent_endpoint_that_the_list_lacks) {
    report("e1");
    jobs_.submit(job_builder(7).step(1).build());
    engine_.tick(now_);
    commit_batches();
    const auto list = [](vm_condition condition, const std::string& endpoint) {
        return std::vector<vm_record>{
            {vm_id("vm-e1"), pool_id("pool"), condition, endpoint, {}}};
    };
    manager_.update_list(list(vm_condition::down, ""), now_, now_);
    commit_batches();
    EXPECT_NE(jobs_.agreed.find_run({task(7), 1}), nullptr);
    run_for(4000, {});
    EXPECT_TRUE(manager_.wants_list(now_));
    manager_.update_list(list(vm_condition::up, "e1"), now_, now_);
    commit_batches();
    EXPECT_NE(jobs_.agreed.find_run({task(7), 1}), nullptr);
    manager_.update_list(list(vm_condition::down, ""), now_, now_);
    commit_batches();
    EXPECT_EQ(jobs_.agreed.find_run({task(7), 1}), nullptr);
}

TEST_F(vm_orders, ignores_lists_requested_before_the_last_report) {
    report("e1");
    jobs_.submit(job_builder(7).step(1).build());
    engine_.tick(now_);
    commit_batches();
    const instant requested = now_ - std::chrono::milliseconds(100);
    // The list arrives late, and the endpoint has been silent meanwhile.
    run_for(4000, {});
    manager_.update_list(
        {{vm_id("vm-e1"), pool_id("pool"), vm_condition::moving, "", {}}},
        requested, now_);
    commit_batches();
    EXPECT_NE(jobs_.agreed.find_run({task(7), 1}), nullptr);
}

// MIXED: a list that was requested before VMs joined and became part of a wave
// counted them as gone, and the wave was complete before their maintenance.
TEST_F(vm_orders, counts_no_vm_as_gone_by_a_list_requested_before_its_wave) {
    const instant requested = now_;
    run_for(300, {"e1", "e2"});
    start_wave({"vm-e1", "vm-s"}, 1);
    run_for(300, {"e2"});
    list_vms({"e2"}, {}, requested);
    commit_batches();
    EXPECT_FALSE(is_complete(jobs_.agreed.waves().at(1)));
    list_vms({"e2"}, {});
    commit_batches();
    EXPECT_TRUE(is_complete(jobs_.agreed.waves().at(1)));
}

// A list may be read page by page while VMs join and leave.
TEST_F(vm_orders, counts_no_vm_as_gone_whose_endpoint_still_reports) {
    report("e1");
    start_wave({"vm-e1"}, 1);
    run_for(300, {"e1"});
    const instant requested = now_;
    run_for(300, {"e1"});
    list_vms({"e2"}, {}, requested);
    commit_batches();
    EXPECT_FALSE(is_complete(jobs_.agreed.waves().at(1)));
}

TEST_F(vm_orders, gives_no_second_order_while_one_is_in_flight) {
    report("e1");
    start_wave({"vm-e1"}, 1);
    const auto given = run_for(5000, {"e1"});
    EXPECT_EQ(given.size(), 1U);
    manager_.order_done(given[0], vm_verdict::unclear, now_);
    EXPECT_EQ(run_for(1000, {"e1"}).size(), 1U);
}

TEST_F(vm_orders, gives_no_further_order_once_fenced) {
    report("e1");
    start_wave({"vm-e1"}, 1);
    const auto given = run_for(1000, {"e1"});
    ASSERT_EQ(given.size(), 1U);
    manager_.order_done(given[0], vm_verdict::fenced, now_);
    EXPECT_TRUE(run_for(5000, {"e1"}).empty());
}

} // namespace
} // namespace dragonflymount::jobs::test
