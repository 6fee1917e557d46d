// Tests how grants, the shares of the teams' upper limits, move between zones,
// and that the sum of running tasks stays within the limit.
#include "tests/zone/site.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::testing_site {
namespace {

using namespace std::chrono_literals;

class limits_test : public testing::Test {
protected:
    void SetUp() override { site_.run_for(5s); }
    void TearDown() override {
        for (const std::string& broken : site_.violations()) {
            ADD_FAILURE() << broken;
        }
    }

    void submit(const process_name& entry, int count, duration run) {
        for (int k = 0; k < count; ++k) {
            site_.submit(entry, "r" + std::to_string(next_++), true, run, 300s);
        }
    }

    site site_{site_options{}};
    int next_ = 0;
};

// Guards against grants that stay in a zone whose tasks have ended, while
// another zone has queued requests.
TEST_F(limits_test, grants_move_to_zones_with_demand) {
    submit("z2e1", 3, 60s);
    EXPECT_TRUE(site_.run_until([&] { return site_.running() == 3; }, 10s));
    site_.run_for(70s);
    submit("z1e1", 3, 60s);
    EXPECT_TRUE(site_.run_until([&] { return site_.running() == 3; }, 10s));
}

TEST_F(limits_test, grants_move_only_for_unmet_demand) {
    submit("z1e1", 2, 5s);
    submit("z2e1", 1, 5s);
    site_.run_for(3s);
    const auto before = site_.control_state().grants().begin()->second.sequence;
    site_.run_for(20s);
    EXPECT_EQ(site_.control_state().grants().begin()->second.sequence, before);
}

TEST_F(limits_test, no_task_starts_above_a_lowered_limit) {
    submit("z1e1", 2, 10s);
    submit("z2e1", 1, 10s);
    site_.run_for(3s);
    EXPECT_EQ(site_.running(), 3U);
    site_.set_limit(1);
    submit("z1e1", 3, 5s);
    submit("z2e1", 3, 5s);
    site_.run_for(5s);
    EXPECT_EQ(site_.running(), 3U);
    EXPECT_FALSE(site_.control_state().granted(team_id("archive")) <= 1U);
    site_.run_for(6s);
    for (int k = 0; k < 20; ++k) {
        site_.run_for(1s);
        EXPECT_LE(site_.running(), 1U);
    }
    EXPECT_EQ(site_.control_state().granted(team_id("archive")), 1U);
}

// Guards against reassigning the grants of a lost zone while its tasks may
// still run. The rules of the test site hold such grants for 40 s.
TEST_F(limits_test, grants_of_a_lost_zone_are_reassigned_after_hold) {
    submit("z1e1", 2, 200s);
    site_.run_for(2s);
    site_.crash("z1e1");
    site_.crash("z1e2");
    submit("z2e1", 3, 200s);
    site_.run_for(35s);
    EXPECT_LE(site_.running(), 1U);
    EXPECT_TRUE(site_.run_until([&] { return site_.running() == 3; }, 20s));
}

// Guards against a coordinator that lowers its grants before it has counted the
// tasks of its predecessor: the new coordinator reaches no endpoint, while two
// tasks still run. TearDown checks the team's limit.
TEST_F(limits_test, unrecovered_coordinator_keeps_its_grants) {
    submit("z1e1", 2, 100s);
    site_.run_for(2s);
    for (const char* vm : {"z1w1", "z1w2"}) {
        site_.cut_both("z1e2", vm);
    }
    site_.crash("z1e1");
    submit("z2e1", 3, 100s);
    site_.run_for(60s);
}

} // namespace
} // namespace dragonflymount::testing_site
