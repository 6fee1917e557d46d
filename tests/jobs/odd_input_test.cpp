// Tests what one odd entry among those of the endpoints, VMs and jobs does to
// the others: numbers too large, and names of nothing that exists.
#include "tests/jobs/vm_orders.hpp"

namespace dragonflymount::jobs::test {
namespace {

constexpr std::uint32_t most_32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t most_64 = std::numeric_limits<std::uint64_t>::max();

std::size_t stored_tasks(const wire::JobT& job) {
    std::size_t tasks = 0;
    for (const auto& occurrence : job.occurrences) {
        for (const auto& group : occurrence->steps) {
            tasks += group->tasks.size();
        }
    }
    return tasks;
}

class odd_input : public vm_orders {
protected:
    void commit(std::size_t batches) {
        for (std::size_t k = 0; k < batches; ++k) {
            auto batch = engine_.take_batch(now_, jobs_.time_ms);
            if (batch) {
                jobs_.apply(std::move(*batch));
                engine_.batch_done(true, now_);
            }
        }
    }
    void start_job_on_e1() {
        vm_orders::report("e1");
        jobs_.submit(job_builder(7).step(1).build());
        engine_.tick(now_);
        commit_batches();
        ASSERT_NE(jobs_.agreed.find_run({task(7), 1}), nullptr);
    }
};

// Four billion occurrences that are due at once; the memory of a leader holds
// the tasks of some thousands.
TEST_F(odd_input, schedule_without_interval_is_stored_in_part) {
    jobs_.submit(
        job_builder(7).step(5000, 1000).repeats(most_32, 0, 0).build());
    commit(50);
    const wire::JobT& job = *jobs_.agreed.find_job(job_id(7));
    EXPECT_GT(stored_tasks(job), 0U);
    EXPECT_LE(stored_tasks(job), 20'000U);
}

TEST_F(odd_input, occurrences_of_one_job_are_bounded) {
    jobs_.submit(job_builder(7).step(1, 1000).repeats(most_32, 0, 0).build());
    commit(1500);
    EXPECT_EQ(jobs_.agreed.find_job(job_id(7))->occurrences.size(), 1000U);
}

TEST_F(odd_input, occurrence_beyond_all_times_never_begins) {
    const std::uint64_t begin = first_time_ms;
    jobs_.submit(
        job_builder(7).step(1, 1000).repeats(3, begin, most_64).build());
    jobs_.submit(job_builder(8).step(1, 1000).repeats(3, most_64, 1).build());
    commit(10);
    EXPECT_EQ(jobs_.agreed.find_job(job_id(7))->occurrences.size(), 1U);
    EXPECT_EQ(jobs_.agreed.find_job(job_id(8))->occurrences.size(), 0U);
}

// One report under the name of a sound endpoint, with a number too large.
TEST_F(odd_input, report_far_ahead_leaves_the_sound_endpoint_in_use) {
    vm_orders::report("e1");
    engine_.report(
        make_report("e1", most_64), [](const auto&) {}, now_);
    now_ += std::chrono::seconds(1);
    std::optional<endpoint_orders> orders;
    engine_.report(
        make_report("e1", 7), [&](const auto& sent) { orders = sent; }, now_);
    now_ += std::chrono::seconds(1);
    engine_.tick(now_);
    ASSERT_TRUE(orders);
    EXPECT_TRUE(orders->lease);
}

// The life may be the one on the VM whose entry can't be read.
TEST_F(odd_input, list_with_an_unknown_condition_ends_no_life) {
    start_job_on_e1();
    run_for(4000, {});
    manager_.update_list(
        {{vm_id("vm-e1"), pool_id(""), vm_condition::unknown, "", {}}}, now_,
        now_);
    commit_batches();
    EXPECT_NE(jobs_.agreed.find_run({task(7), 1}), nullptr);
}

TEST_F(odd_input, listed_pool_that_is_unknown_gets_no_vm) {
    std::vector<vm_record> list = {{vm_id("x"), pool_id("nowhere"),
        vm_condition::up, "i-x", {4000, 4000, 0}}};
    for (const std::string& vm : names("s", 9)) {
        list.push_back({vm_id(vm), pool_id("standby"), vm_condition::up, "",
            {4000, 4000, 0}});
    }
    manager_.update_list(std::move(list), now_, now_);
    for (const vm_order& order : run_for(2000, names("e", 4))) {
        EXPECT_NE(order.pool, pool_id("nowhere"));
    }
}

TEST_F(odd_input, demand_of_a_job_without_bounds_is_bounded) {
    list_vms(names("e", 4), names("s", 4));
    auto job = job_builder(7).step(20'000, most_32).build();
    job->spec->steps[0]->memory_mb = most_32;
    job->spec->steps[0]->gpus = most_32;
    job->spec->steps[0]->estimate_ms = most_32;
    job->spec->steps[0]->anti_affinity = most_32;
    jobs_.submit(std::move(job));
    run_for(1000, names("e", 4));
    ASSERT_FALSE(manager_.pools().empty());
    for (const pool_summary& pool : manager_.pools()) {
        EXPECT_LE(pool.wanted, 8U) << pool.pool;
        EXPECT_LE(pool.demand.all, 1'000'000U) << pool.pool;
    }
}

TEST(divide_vms, gives_no_more_than_there_are_for_any_demand) {
    constexpr std::size_t most = std::numeric_limits<std::size_t>::max();
    using counts = std::vector<std::size_t>;
    EXPECT_EQ(divide_vms({{3, most, most}}, 100), counts{100});
    EXPECT_EQ(
        divide_vms({{3, most, most}, {3, most, most}}, 100), (counts{50, 50}));
    EXPECT_EQ(
        divide_vms({{3, most / 2, most}, {3, 3, 3}}, 100), (counts{97, 3}));
}

} // namespace
} // namespace dragonflymount::jobs::test
