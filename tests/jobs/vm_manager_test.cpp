// Tests of the VM manager: maintenance waves under availability budgets, and
// moves of VMs between pools and standby.
#include "tests/jobs/job_builder.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::jobs::test {
namespace {

class vm_orders : public testing::Test {
protected:
    vm_orders()
        : engine_(jobs_.agreed, engine_options{}),
          manager_(engine_, vm_manager_options{}) {
        engine_.lead(log_term(1), now_);
        manager_.reset(now_);
    }
    void commit_batches() {
        for (int k = 0; k < 10; ++k) {
            auto batch = engine_.take_batch(now_, jobs_.time_ms);
            if (!batch) {
                return;
            }
            jobs_.apply(std::move(*batch));
            engine_.batch_done(true, now_);
        }
    }
    void report(const std::string& endpoint, std::uint64_t life = 1,
        const std::set<run_ref>& unbegun = {}) {
        endpoint_report built = make_report(endpoint, ++sequence_);
        built.life = {endpoint, life};
        if (endpoint.starts_with('i')) {
            built.pool = pool_id("idle pool");
        }
        const endpoint_load* load = jobs_.agreed.load_of(built.life);
        if (load != nullptr) {
            for (const run_ref& run : load->runs) {
                running_task listed;
                listed.run = run;
                listed.percent = unbegun.contains(run) ? 0 : 100;
                built.running.push_back(listed);
            }
        }
        engine_.report(
            built, [](const auto&) {}, now_);
        commit_batches();
    }
    void start_wave(const std::vector<std::string>& vms, std::uint32_t most) {
        wire::MaintenanceWaveT wave;
        wave.number = 1;
        wave.vms = vms;
        wave.duration_ms = 20'000;
        wave.most_down = most;
        engine_.start_wave(std::move(wave), [](bool) {});
        commit_batches();
    }
    /// Advances the time in steps of 100 ms. In each step every one of
    /// \p endpoints reports. Returns the orders given.
    std::vector<vm_order> run_for(
        std::int64_t ms, const std::vector<std::string>& endpoints) {
        std::vector<vm_order> given;
        for (std::int64_t passed = 0; passed < ms; passed += 100) {
            now_ += std::chrono::milliseconds(100);
            jobs_.time_ms += 100;
            for (const std::string& endpoint : endpoints) {
                report(endpoint);
            }
            for (vm_order& order : manager_.decide(now_)) {
                given.push_back(std::move(order));
            }
            commit_batches();
        }
        return given;
    }

    agreed_jobs jobs_;
    instant now_ = at_ms(100'000);
    engine engine_;
    vm_manager manager_;
    std::uint64_t sequence_ = 0;
};

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

TEST_F(vm_orders, moves_vms_that_a_pool_can_spare_to_one_that_lacks_room) {
    wire::CatalogueT catalogue = make_catalogue(2);
    auto pool = std::make_unique<wire::JobPoolT>();
    pool->name = "idle pool";
    catalogue.pools.push_back(std::move(pool));
    engine_.put_catalogue(std::move(catalogue), [](bool) {});
    commit_batches();
    std::vector<std::string> endpoints;
    std::vector<vm_record> list;
    for (int k = 0; k < 5; ++k) {
        endpoints.push_back("i" + std::to_string(k));
        list.push_back({vm_id("vm-" + endpoints.back()), pool_id("idle pool"),
            vm_condition::up, endpoints.back(), {}});
    }
    endpoints.emplace_back("e1");
    endpoints.emplace_back("e2");
    endpoints.emplace_back("e3");
    manager_.update_list(std::move(list), now_, now_);
    EXPECT_TRUE(run_for(300, endpoints).empty());
    jobs_.submit(job_builder(7).step(16, 1000).build());
    const auto given = run_for(900, endpoints);
    // Three VMs, the smallest size of a pool, remain in the idle pool.
    ASSERT_EQ(given.size(), 2U);
    for (const vm_order& order : given) {
        EXPECT_EQ(order.what, vm_order::kind::move);
        EXPECT_EQ(order.pool, pool_id("pool"));
        EXPECT_TRUE(order.vm.str().starts_with("vm-i"));
    }
}

TEST_F(vm_orders, moves_unneeded_vms_to_standby) {
    std::vector<std::string> endpoints;
    std::vector<vm_record> list;
    for (int k = 0; k < 5; ++k) {
        endpoints.push_back("e" + std::to_string(k));
        list.push_back({vm_id("vm-" + endpoints.back()), pool_id("pool"),
            vm_condition::up, endpoints.back(), {}});
    }
    manager_.update_list(std::move(list), now_, now_);
    const auto kept_ms = static_cast<std::int64_t>(
        to_wire_ms(vm_manager_options{}.surplus_time));
    EXPECT_TRUE(run_for(kept_ms, endpoints).empty());
    const auto given = run_for(4000, endpoints);
    ASSERT_EQ(given.size(), 2U);
    EXPECT_EQ(given[0].pool, pool_id("standby"));
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

TEST_F(vm_orders, moves_no_vm_for_tasks_beyond_their_teams_limit) {
    engine_.put_catalogue(make_catalogue(2, 4000), [](bool) {});
    commit_batches();
    const std::vector<std::string> endpoints{"e1", "e2", "e3"};
    std::vector<vm_record> list;
    for (const char* vm : {"s1", "s2", "s3", "s4"}) {
        list.push_back(
            {vm_id(vm), pool_id("standby"), vm_condition::up, "", {}});
    }
    manager_.update_list(std::move(list), now_, now_);
    jobs_.submit(job_builder(7).step(16, 1000).build());
    EXPECT_TRUE(run_for(4000, endpoints).empty());
}

TEST_F(vm_orders, moves_vms_once_every_listed_endpoint_has_reported) {
    const std::vector<std::string> endpoints{"e1", "e2", "e3"};
    std::vector<vm_record> list;
    list.reserve(endpoints.size() + 1);
    for (const std::string& endpoint : endpoints) {
        list.push_back({vm_id("vm-" + endpoint), pool_id("pool"),
            vm_condition::up, endpoint, {}});
    }
    list.push_back({vm_id("s1"), pool_id("standby"), vm_condition::up, "", {}});
    jobs_.submit(job_builder(7).step(16, 1000).build());
    manager_.update_list(std::move(list), now_, now_);
    EXPECT_TRUE(run_for(300, {"e1", "e2"}).empty());
    EXPECT_EQ(run_for(300, endpoints).size(), 1U);
}

// Anti-affinity allows two tasks of the step on a VM, so the five long-running
// tasks need three VMs. Once one of the three is chosen for maintenance, its
// tasks fit nowhere unless a further VM moves into the pool.
TEST_F(vm_orders, replaces_the_capacity_of_a_vm_chosen_for_maintenance) {
    const std::vector<std::string> endpoints{"e1", "e2", "e3"};
    std::vector<vm_record> list;
    for (const std::string& endpoint : endpoints) {
        report(endpoint);
        list.push_back({vm_id("vm-" + endpoint), pool_id("pool"),
            vm_condition::up, endpoint, {}});
    }
    list.push_back({vm_id("s1"), pool_id("standby"), vm_condition::up, "", {}});
    jobs_.submit(
        job_builder(7).step(5, 100).long_running(1).anti_affinity(2).build());
    engine_.tick(now_);
    commit_batches();
    ASSERT_EQ(jobs_.agreed.loads().size(), 3U);
    manager_.update_list(std::move(list), now_, now_);
    EXPECT_TRUE(run_for(2000, endpoints).empty());
    start_wave({"vm-e1"}, 1);
    std::vector<vm_order> moves;
    for (const vm_order& order : run_for(2000, endpoints)) {
        if (order.what == vm_order::kind::move) {
            moves.push_back(order);
        }
    }
    ASSERT_EQ(moves.size(), 1U);
    EXPECT_EQ(moves[0].vm, vm_id("s1"));
    EXPECT_EQ(moves[0].pool, pool_id("pool"));
}

TEST_F(vm_orders, moves_standby_vms_to_a_pool_that_lacks_room) {
    for (const char* endpoint : {"e1", "e2", "e3"}) {
        report(endpoint);
    }
    std::vector<vm_record> list;
    for (const char* vm : {"s1", "s2", "s3", "s4"}) {
        list.push_back(
            {vm_id(vm), pool_id("standby"), vm_condition::up, "", {}});
    }
    manager_.update_list(std::move(list), now_, now_);
    EXPECT_TRUE(run_for(3000, {"e1", "e2", "e3"}).empty());
    jobs_.submit(job_builder(7).step(16, 1000).build());
    const auto given = run_for(300, {"e1", "e2", "e3"});
    ASSERT_EQ(given.size(), 2U);
    EXPECT_EQ(given[0].what, vm_order::kind::move);
    EXPECT_EQ(given[0].pool, pool_id("pool"));
}

// A burst has left one long task on each VM of a pool that then wants few VMs.
// If all surplus VMs drained at the same time, they would accept no tasks until
// their last one ends, and late work would wait beside mostly idle VMs.
TEST_F(vm_orders, drains_few_vms_at_once_while_tasks_find_no_room) {
    jobs_.submit(job_builder(7).step(8, 100).anti_affinity(1).build());
    engine_.tick(now_);
    std::vector<std::string> endpoints;
    std::vector<vm_record> list;
    for (int k = 1; k <= 8; ++k) {
        endpoints.push_back("e" + std::to_string(k));
        report(endpoints.back());
        list.push_back({vm_id("vm-" + endpoints.back()), pool_id("pool"),
            vm_condition::up, endpoints.back(), {}});
    }
    ASSERT_EQ(jobs_.agreed.loads().size(), 8U);
    manager_.update_list(std::move(list), now_, now_);
    jobs_.time_ms += 10'000;
    run_for(2000, endpoints);
    auto late = job_builder(8).step(40).build();
    late->spec->steps[0]->estimate_ms = 100;
    jobs_.submit(std::move(late));
    jobs_.time_ms += 10'000;
    for (int k = 0; k < 10; ++k) {
        engine_.tick(now_);
        run_for(100, endpoints);
    }
    const auto& loads = jobs_.agreed.loads();
    EXPECT_EQ(loads.size(), 8U);
    const auto full = std::count_if(loads.begin(), loads.end(),
        [](const auto& entry) { return entry.second.used.cpu_milli > 3000; });
    EXPECT_GE(full, 6);
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
