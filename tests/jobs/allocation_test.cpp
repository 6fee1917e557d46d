// Tests of the division of a fleet's VMs among its pools.
#include "dragonflymount/jobs.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace dragonflymount::jobs::test {
namespace {

TEST(divide_vms, meets_every_demand_that_it_can) {
    EXPECT_EQ(divide_vms({{3, 40, 60}, {3, 3, 3}}, 100),
        (std::vector<std::size_t>{60, 3}));
}

TEST(divide_vms, gives_nothing_beyond_the_demand) {
    EXPECT_EQ(divide_vms({{3, 5, 8}}, 100), (std::vector<std::size_t>{8}));
}

// The backlog of one burst must not take VMs from the next burst, whose jobs
// can still be on time.
TEST(divide_vms, puts_work_in_time_before_a_backlog) {
    EXPECT_EQ(divide_vms({{3, 10, 100}, {3, 70, 70}}, 100),
        (std::vector<std::size_t>{30, 70}));
}

// Two simultaneous bursts need more VMs than the fleet has. Serving one pool in
// full would leave the other one without VMs.
TEST(divide_vms, leaves_no_pool_empty) {
    EXPECT_EQ(divide_vms({{2, 92, 92}, {2, 47, 47}, {2, 2, 2}}, 51),
        (std::vector<std::size_t>{32, 17, 2}));
}

TEST(divide_vms, shares_what_is_too_little_for_the_least) {
    EXPECT_EQ(divide_vms({{3, 9, 9}, {3, 3, 3}, {3, 3, 3}}, 5),
        (std::vector<std::size_t>{2, 2, 1}));
}

constexpr vm_supply no_vms_at_once{0, 0};

TEST(vms_in_time, are_none_without_work) {
    EXPECT_EQ(vms_in_time({}, {3, 2000}), 0.0);
}

TEST(vms_in_time, follow_the_most_urgent_work) {
    EXPECT_DOUBLE_EQ(
        vms_in_time({{{1000, 5000}, {10'000, 5000}}, 0, 0}, no_vms_at_once),
        5.0);
    EXPECT_DOUBLE_EQ(
        vms_in_time({{{10'000, 95'000}, {1000, 5000}}, 0, 0}, no_vms_at_once),
        10.0);
}

// A burst of 5 s would occupy 100 VMs if all jobs ran at once. If the jobs may
// take 5 s each, 50 VMs suffice in order of urgency; 100 would be too many.
TEST(vms_in_time, spread_a_burst_over_the_time_that_its_jobs_have) {
    work_outlook burst;
    for (std::uint64_t ms = 0; ms < 5000; ms += 100) {
        burst.present.push_back({5000 + ms, 100.0 * 100.0});
    }
    EXPECT_NEAR(vms_in_time(burst, no_vms_at_once), 50.0, 2.0);
}

TEST(vms_in_time, are_none_for_what_is_done_before_another_vm_can_help) {
    EXPECT_EQ(vms_in_time({{{1000, 5900}}, 0, 1000}, {3, 2000}), 0.0);
}

// A queue's turn: work for 16 VMs begins to arrive while three are there.
// After half a second 8 VM seconds wait, and by the time that another VM can
// help 32 more have arrived. The pool must have at least 16 VMs then, or the
// backlog would grow on.
TEST(vms_in_time, foresee_a_turn_of_demand) {
    EXPECT_GE(vms_in_time({{{1300, 8000}}, 16, 1300}, {3, 2000}), 16.0);
}

// The turn has ended and the VMs suffice for the rest: others can go.
TEST(vms_in_time, fall_with_the_rate_of_arrivals) {
    EXPECT_LT(vms_in_time({{{1300, 8000}}, 1, 1300}, {16, 2000}), 3.0);
}

RC_GTEST_PROP(divide_vms, never_gives_more_than_there_is, ()) {
    const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, 400));
    std::vector<pool_demand> demands;
    std::size_t wanted = 0;
    for (std::size_t k = 0; k + 2 < sizes.size(); k += 3) {
        pool_demand made{sizes[k], 0, 0};
        made.timely = made.least + sizes[k + 1];
        made.all = made.timely + sizes[k + 2];
        wanted += made.all;
        demands.push_back(made);
    }
    const auto vms = *rc::gen::inRange<std::size_t>(0, 1200);
    const auto given = divide_vms(demands, vms);
    const auto total =
        std::accumulate(given.begin(), given.end(), std::size_t{0});
    RC_ASSERT(total == std::min(vms, wanted));
    for (std::size_t k = 0; k < demands.size(); ++k) {
        RC_ASSERT(given[k] <= demands[k].all);
    }
}

} // namespace
} // namespace dragonflymount::jobs::test
