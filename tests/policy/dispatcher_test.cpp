// Checks that the dispatcher uses all slots, sheds late requests, limits
// retries, and gives each team its share.
#include "dragonflymount/policy.hpp"

#include <gtest/gtest.h>

#include <random>

namespace dragonflymount::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const pool_id pool("p");

class dispatcher_test : public testing::Test {
protected:
    void SetUp() override {
        const auto parsed = rules::parse("pool p size=4 # M\n"
                                         "service s pool=p expected=1s # M\n"
                                         "team a share=50% limit=64 # M\n"
                                         "team b share=50% limit=64 # M\n");
        ASSERT_TRUE(parsed.ok()) << parsed.message();
        dispatcher_.configure(parsed.rules);
        for (int k = 0; k < 4; ++k) {
            add_vm("vm" + std::to_string(k));
        }
    }

    void add_vm(const std::string& name, bool available = true) {
        dispatcher_.update_vm(
            pool, {vm_id(name), rack_id("r"), 2, 64, 0, available});
    }

    admission push(const std::string& team, const std::string& id,
        duration deadline = seconds(600)) {
        return dispatcher_
            .push({{team_id(team), id}, service_id("s"), now_ + deadline, false,
                      10},
                now_)
            .verdict;
    }

    std::optional<placement> next() {
        return dispatcher_.next(
            pool, [](const team_id&) { return true; }, now_);
    }

    end_verdict end(const request_key& key, task_end::kind kind,
        duration run = seconds(1)) {
        return dispatcher_.end(key, {kind, run, true}, now_);
    }

    dispatcher dispatcher_;
    instant now_ = instant() + seconds(1);
};

TEST_F(dispatcher_test, no_slot_is_idle_while_requests_are_queued) {
    std::mt19937 random(7);
    std::vector<placement> running;
    for (int step = 0; step < 5000; ++step) {
        now_ += milliseconds(random() % 50);
        const std::string team = random() % 3 == 0 ? "a" : "b";
        switch (random() % 4) {
        case 0:
        case 1:
            push(team, std::to_string(step));
            break;
        case 2:
            add_vm("vm" + std::to_string(random() % 4), random() % 4 != 0);
            break;
        default:
            if (!running.empty()) {
                const std::size_t k = random() % running.size();
                end(running[k].key, task_end::kind::answered);
                running.erase(running.begin() + static_cast<long>(k));
            }
        }
        while (const auto started = next()) {
            running.push_back(*started);
        }
        const bool full = running.size() == dispatcher_.slots(pool);
        ASSERT_TRUE(full || dispatcher_.queued() == 0) << "step " << step;
    }
}

TEST_F(dispatcher_test, idle_team_gets_its_share_back_within_a_task_length) {
    std::vector<request_key> running;
    for (int k = 0; k < 100; ++k) {
        push("a", std::to_string(k));
    }
    while (const auto started = next()) {
        running.push_back(started->key);
    }
    EXPECT_EQ(dispatcher_.running(pool, team_id("a")), 8U);
    now_ += seconds(1);
    for (int k = 0; k < 10; ++k) {
        push("b", std::to_string(k));
    }
    for (int k = 0; k < 4; ++k) {
        end(running[static_cast<std::size_t>(k)], task_end::kind::answered);
        ASSERT_TRUE(next());
    }
    EXPECT_EQ(dispatcher_.running(pool, team_id("b")), 4U);
}

TEST_F(dispatcher_test, cancelled_requests_are_not_started) {
    for (int k = 0; k < 500; ++k) {
        push("a", std::to_string(k));
    }
    for (int k = 0; k < 500; ++k) {
        EXPECT_TRUE(dispatcher_.remove({team_id("a"), std::to_string(k)}));
    }
    push("b", "1");
    EXPECT_EQ(next()->key.team, team_id("b"));
    EXPECT_EQ(dispatcher_.queued(), 0U);
}

TEST_F(dispatcher_test, sheds_requests_late_by_learned_run_times) {
    for (int k = 0; k < 30; ++k) {
        const std::string id = "first" + std::to_string(k);
        push("a", id);
        next();
        end({team_id("a"), id}, task_end::kind::answered, seconds(10));
    }
    EXPECT_EQ(push("a", "too late", seconds(2)), admission::late);
    EXPECT_EQ(push("a", "in time", seconds(30)), admission::queued);
}

TEST_F(dispatcher_test, request_that_fails_on_several_vms_is_not_retried) {
    push("a", "1");
    std::set<vm_id> vms;
    end_verdict verdict;
    do {
        const auto started = next();
        ASSERT_TRUE(started);
        vms.insert(started->vm);
        verdict = end(started->key, task_end::kind::failed);
    } while (verdict.retried);
    EXPECT_EQ(vms.size(), 3U);
    EXPECT_EQ(verdict.reason, "failed on 3 VMs");
}

TEST_F(dispatcher_test, task_frees_its_slot_after_the_vm_changed_pools) {
    push("a", "1");
    const auto started = next();
    ASSERT_TRUE(started);
    dispatcher_.update_vm(
        pool_id("other"), {started->vm, rack_id("r"), 2, 64, 0, true});
    EXPECT_EQ(dispatcher_.slots(pool), 6U);
    end(started->key, task_end::kind::answered);
    EXPECT_EQ(dispatcher_.running(pool, team_id("a")), 0U);
    EXPECT_EQ(dispatcher_.slots(pool_id("other")), 2U);
}

} // namespace
} // namespace dragonflymount::policy
