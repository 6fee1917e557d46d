// Tests of the VM manager: moves of VMs between pools and standby.
#include "tests/jobs/vm_orders.hpp"

namespace dragonflymount::jobs::test {
namespace {

// An availability zone is cut off with the leader in it while a burst arrives.
// The next leader has heard no endpoint of that zone, but VMs on standby can
// already move to the pool that the burst needs.
TEST_F(vm_orders, lets_a_new_leader_move_standby_vms_before_it_hears_all) {
    list_vms({"e1", "e2", "e3", "e4"}, {"s1", "s2", "s3"});
    jobs_.submit(job_builder(7).step(64, 1000).build());
    const auto given = run_for(200, {"e1", "e2"});
    ASSERT_FALSE(given.empty());
    EXPECT_EQ(given[0].vm, vm_id("s1"));
    EXPECT_EQ(given[0].pool, pool_id("pool"));
}

TEST_F(vm_orders, moves_standby_vms_before_any_endpoint_has_reported) {
    list_vms({"e1", "e2", "e3", "e4"}, {"s1", "s2", "s3"});
    jobs_.submit(job_builder(7).step(64, 1000).build());
    EXPECT_FALSE(run_for(100, {}).empty());
}

// VMs that a new leader hasn't heard yet work on in their pool. Moving others
// there in their place would leave the pool with twice the VMs.
TEST_F(vm_orders, counts_listed_vms_as_held_until_they_had_time_to_report) {
    list_vms(names("e", 6), names("s", 6));
    const auto heard = names("e", 2);
    EXPECT_TRUE(run_for(2400, heard).empty());
    // One more than the two that report is kept in every pool.
    EXPECT_EQ(run_for(500, heard).size(), 1U);
}

// The list of an earlier lead says nothing about the VMs of the present one.
TEST_F(vm_orders, moves_no_vm_before_the_list_of_this_lead) {
    list_vms({"e1", "e2", "e3", "e4"}, {"s1", "s2", "s3"});
    jobs_.submit(job_builder(7).step(64, 1000).build());
    engine_.lead(log_term(2), now_);
    manager_.reset(now_);
    EXPECT_TRUE(run_for(1000, {"e1", "e2", "e3", "e4"}).empty());
    list_vms({"e1", "e2", "e3", "e4"}, {"s1", "s2", "s3"});
    EXPECT_FALSE(run_for(100, {"e1", "e2", "e3", "e4"}).empty());
}

// A queue's turn of demand: ten jobs a second, each one VM wide for two steps
// of one second. VMs arrive after the move time, so the orders have to reach
// what the work needs, 20 VMs, within the first second.
TEST_F(vm_orders, orders_what_a_turn_of_demand_needs_in_its_first_second) {
    const auto endpoints = names("e", 3);
    list_vms(endpoints, names("s", 40));
    run_for(3000, endpoints);
    std::size_t ordered = 0;
    for (std::uint64_t job = 1; job <= 10; ++job) {
        jobs_.submit(
            job_builder(job).step(4, 1000).step(4, 1000).after(0).build());
        ordered += run_for(100, endpoints).size();
    }
    EXPECT_GE(endpoints.size() + ordered, 20U);
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
    jobs_.submit(job_builder(7).step(64, 1000).build());
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
    // 16 VM seconds of work, of which three VMs do six before others can help.
    jobs_.submit(job_builder(7).step(64, 1000).build());
    const auto given = run_for(300, {"e1", "e2", "e3"});
    ASSERT_EQ(given.size(), 4U);
    EXPECT_EQ(given[0].what, vm_order::kind::move);
    EXPECT_EQ(given[0].pool, pool_id("pool"));
}

// Three VMs finish four VM seconds of work before a fourth VM could take any.
TEST_F(vm_orders, moves_no_vm_for_work_that_is_done_before_it_would_help) {
    const auto endpoints = names("e", 3);
    list_vms(endpoints, names("s", 4));
    run_for(3000, endpoints);
    jobs_.submit(job_builder(7).step(16, 1000).build());
    EXPECT_TRUE(run_for(300, endpoints).empty());
}

// The VM service is slow: a VM has arrived in its pool and is to go back to
// standby before the reply to its first move is there. That reply counted for
// the second move, and the endpoint was taken for ended while it still served.
TEST_F(vm_orders, ignores_a_late_reply_to_an_earlier_move) {
    auto endpoints = names("e", 3);
    list_vms(endpoints, {"vm-a1"});
    run_for(3000, endpoints);
    jobs_.submit(job_builder(7).step(64, 1000).build());
    const auto first = run_for(300, endpoints);
    ASSERT_EQ(first.size(), 1U);
    endpoints.emplace_back("a1");
    run_for(200, endpoints);
    jobs_.cancel(7);
    const auto loads = jobs_.agreed.loads();
    for (const auto& [life, load] : loads) {
        for (const run_ref& run : load.runs) {
            jobs_.end(run.task, run.run, wire::run_end::stopped, 0, life);
        }
    }
    const auto second = run_for(4000, endpoints);
    ASSERT_EQ(second.size(), 1U);
    ASSERT_EQ(second[0].vm, first[0].vm);
    ASSERT_EQ(second[0].pool, pool_id("standby"));
    manager_.order_done(first[0], vm_verdict::done, now_);
    EXPECT_NE(engine_.endpoints().find("a1"), nullptr);
    manager_.order_done(second[0], vm_verdict::done, now_);
    EXPECT_EQ(engine_.endpoints().find("a1"), nullptr);
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

} // namespace
} // namespace dragonflymount::jobs::test
