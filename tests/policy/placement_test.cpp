// Checks the choice of a VM for a task, the quarantine of VMs that fail every
// task, and the limit on retries.
#include "dragonflymount/policy.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::policy {
namespace {

using std::chrono::seconds;

vm_view make_vm_view(const std::string& vm, const std::string& rack,
    std::uint32_t running, std::uint32_t connections = 64) {
    return {vm_id(vm), rack_id(rack), 8, connections, running, true};
}

TEST(vm_index_test, least_loaded_vm_goes_first) {
    vm_index vms;
    vms.update(make_vm_view("a", "r1", 2));
    vms.update(make_vm_view("b", "r2", 1));
    EXPECT_EQ(vms.choose(service_id("s"), {}), vm_id("b"));
}

TEST(vm_index_test, least_loaded_rack_goes_first_among_equals) {
    vm_index vms;
    vms.update(make_vm_view("a", "r1", 0));
    vms.update(make_vm_view("b", "r1", 3));
    vms.update(make_vm_view("c", "r2", 0));
    EXPECT_EQ(vms.choose(service_id("s"), {}), vm_id("c"));
}

TEST(vm_index_test, warm_vm_goes_first_among_equals) {
    vm_index vms;
    vms.update(make_vm_view("a", "r1", 0));
    vms.update(make_vm_view("b", "r2", 0));
    vms.mark_warm(vm_id("b"), service_id("s"));
    EXPECT_EQ(vms.choose(service_id("s"), {}), vm_id("b"));
    EXPECT_EQ(vms.choose(service_id("other"), {}), vm_id("a"));
}

TEST(vm_index_test, connections_limit_tasks_like_slots) {
    vm_index vms;
    vms.update(make_vm_view("a", "r1", 2, 2));
    EXPECT_FALSE(vms.choose(service_id("s"), {}));
}

TEST(vm_index_test, vm_that_failed_the_request_is_avoided) {
    vm_index vms;
    vms.update(make_vm_view("a", "r1", 0));
    vms.update(make_vm_view("b", "r2", 5));
    const std::vector<vm_id> failed{vm_id("a")};
    EXPECT_EQ(vms.choose(service_id("s"), failed), vm_id("b"));
    vms.remove(vm_id("b"));
    EXPECT_EQ(vms.choose(service_id("s"), failed), vm_id("a"));
}

class worker_evidence_test : public testing::Test {
protected:
    bool end(const std::string& vm, bool ok) {
        return evidence_.record(
            vm_id(vm), {team_id("t"), std::to_string(next_id_++)}, ok, 8, now_);
    }

    worker_evidence evidence_;
    int next_id_ = 0;
    instant now_ = instant() + seconds(1);
};

TEST_F(worker_evidence_test, worker_that_fails_everything_is_quarantined) {
    for (int k = 0; k < 3; ++k) {
        EXPECT_FALSE(end("bad", false));
        end("good", true);
    }
    EXPECT_TRUE(end("bad", false));
    EXPECT_TRUE(evidence_.is_quarantined(vm_id("bad")));
    EXPECT_EQ(evidence_.release(now_ + seconds(30)).size(), 1U);
    EXPECT_TRUE(end("bad", false));
}

TEST_F(worker_evidence_test, worker_of_a_small_pool_is_quarantined) {
    bool quarantined = false;
    for (int k = 0; k < 4; ++k) {
        quarantined = evidence_.record(
            vm_id("bad"), {team_id("t"), std::to_string(k)}, false, 3, now_);
        evidence_.record(vm_id("good"), {team_id("t"), "good"}, true, 3, now_);
    }
    EXPECT_TRUE(quarantined);
}

TEST_F(worker_evidence_test, no_vm_is_quarantined_when_all_fail) {
    for (int k = 0; k < 100; ++k) {
        EXPECT_FALSE(end("vm" + std::to_string(k % 8), false));
    }
}

TEST_F(worker_evidence_test, quarantine_is_limited_to_a_part_of_the_pool) {
    for (int k = 0; k < 200; ++k) {
        end("good", true);
        end("vm" + std::to_string(k % 7), false);
    }
    EXPECT_EQ(evidence_.quarantined(), 2U);
}

TEST(retry_budget_test, retries_are_limited_to_a_part_of_the_starts) {
    retry_budget budget;
    int retries = 0;
    for (int k = 0; k < 1000; ++k) {
        budget.earn();
        retries += budget.spend() ? 1 : 0;
    }
    EXPECT_LE(retries, 110);
}

} // namespace
} // namespace dragonflymount::policy
