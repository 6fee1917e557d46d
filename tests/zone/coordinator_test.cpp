// Tests the coordinator under single faults: outcomes of requests, number of
// starts, and the invariants of the test site.
#include "tests/zone/site.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::testing_site {
namespace {

using namespace std::chrono_literals;

class coordinator_test : public testing::Test {
protected:
    void SetUp() override { site_.run_for(5s); }
    void TearDown() override {
        for (const std::string& broken : site_.violations()) {
            ADD_FAILURE() << broken;
        }
    }

    wire::outcome outcome_of(std::size_t caller) {
        site_.run_until(
            [&] { return site_.caller(caller).answer.has_value(); }, 60s);
        const auto& answer = site_.caller(caller).answer;
        return answer ? answer->outcome : wire::outcome::none;
    }
    std::string reason_of(std::size_t caller) {
        const auto& answer = site_.caller(caller).answer;
        return answer ? answer->reason : "no answer";
    }
    /// Crashes the process that \p victim selects when \p step first occurs.
    template <class Victim>
    void crash_at(const std::string& step, Victim victim) {
        site_.on_step = [this, step, victim](const std::string& seen,
                            const process_name& from, const process_name& to) {
            if (seen == step && !done_) {
                done_ = true;
                site_.crash(victim(from, to));
            }
        };
    }

    site site_{site_options{}};
    bool done_ = false;
};

const auto sender = [](const process_name& from, const process_name&) {
    return from;
};
const auto receiver = [](const process_name&, const process_name& to) {
    return to;
};

TEST_F(coordinator_test, answers_both_kinds_of_request) {
    const auto first = site_.submit("z1e1", "r1", false);
    const auto second = site_.submit("z1e2", "r2", true);
    EXPECT_EQ(outcome_of(first), wire::outcome::answered) << reason_of(first);
    EXPECT_EQ(outcome_of(second), wire::outcome::answered);
}

TEST_F(coordinator_test, claim_of_a_lost_coordinator_is_superseded) {
    crash_at("claim committed", receiver);
    const auto caller = site_.submit("z1e2", "r1", false);
    EXPECT_EQ(outcome_of(caller), wire::outcome::answered) << reason_of(caller);
    EXPECT_EQ(site_.starts("r1"), 1);
}

TEST_F(coordinator_test, claim_is_kept_if_an_endpoint_restarted) {
    crash_at("task running", sender);
    const auto caller = site_.submit("z1e2", "r1", false, 10s);
    site_.run_until([&] { return done_; }, 10s);
    site_.restart("z1w1");
    site_.restart("z1w2");
    EXPECT_EQ(outcome_of(caller), wire::outcome::unknown) << reason_of(caller);
    site_.run_for(30s);
    EXPECT_EQ(site_.starts("r1"), 1);
}

TEST_F(coordinator_test, same_id_in_another_zone_gets_the_first_answer) {
    const auto first = site_.submit("z1e1", "r1", false, 3s);
    site_.run_for(1s);
    const auto second = site_.submit("z2e1", "r1", false, 3s);
    EXPECT_EQ(outcome_of(first), wire::outcome::answered);
    EXPECT_EQ(outcome_of(second), wire::outcome::answered) << reason_of(second);
    EXPECT_EQ(site_.starts("r1"), 1);
}

// Guards against a lost answer when the coordinator fails. The first start
// order is lost, so the request runs under a later task id than its claim's.
// The coordinator then loses its connection to the control replicas, so the end
// of the claim isn't logged, and the next coordinator can get the answer only
// from the endpoint.
TEST_F(coordinator_test, later_attempt_is_kept_until_its_end_is_logged) {
    const process_name before = site_.coordinator_of("z1");
    const process_name after = before == "z1e1" ? "z1e2" : "z1e1";
    site_.on_step = [this](const std::string& seen, const process_name& from,
                        const process_name& to) {
        if (seen == "start sent" && !done_) {
            done_ = true;
            site_.cut(from, to);
        }
    };
    const auto caller = site_.submit(after, "r1", false, 2s);
    ASSERT_TRUE(site_.run_until([&] { return done_; }, 5s));
    site_.run_for(500ms);
    site_.heal();
    ASSERT_TRUE(site_.run_until([&] { return site_.starts("r1") == 1; }, 10s));
    site_.cut_both(before, "control");
    site_.cut(before, after);
    EXPECT_EQ(outcome_of(caller), wire::outcome::answered) << reason_of(caller);
    EXPECT_EQ(site_.starts("r1"), 1);
    EXPECT_EQ(site_.coordinator_of("z1"), after);
}

TEST_F(coordinator_test, endpoint_restart_makes_the_outcome_unknown) {
    const auto caller = site_.submit("z1e1", "r1", false, 10s);
    site_.run_until([&] { return site_.starts("r1") == 1; }, 5s);
    site_.restart("z1w1");
    site_.restart("z1w2");
    EXPECT_EQ(outcome_of(caller), wire::outcome::unknown) << reason_of(caller);
    site_.run_for(30s);
    EXPECT_EQ(site_.starts("r1"), 1);
}

TEST_F(coordinator_test, endpoint_restart_reruns_idempotent_tasks) {
    const auto caller = site_.submit("z1e1", "r1", true, 3s);
    site_.run_until([&] { return site_.starts("r1") == 1; }, 5s);
    site_.restart("z1w1");
    site_.restart("z1w2");
    EXPECT_EQ(outcome_of(caller), wire::outcome::answered) << reason_of(caller);
}

TEST_F(coordinator_test, lost_attempt_is_not_reported_as_not_run) {
    const auto caller = site_.submit("z1e1", "r1", true, 10s, 30s);
    site_.run_until([&] { return site_.starts("r1") == 1; }, 5s);
    site_.crash("z1w1");
    site_.crash("z1w2");
    EXPECT_EQ(outcome_of(caller), wire::outcome::unknown) << reason_of(caller);
}

// Guards against exceeding the team's limit: the old coordinator still reaches
// one endpoint that the new coordinator doesn't reach, so it must stop renewing
// task leases there.
TEST_F(coordinator_test, partitioned_coordinator_stops_renewing_leases) {
    site_.cut_both("z1e1", "z1w2");
    site_.cut_both("z1e2", "z1w1");
    site_.run_for(4s);
    for (int k = 0; k < 3; ++k) {
        site_.submit("z1e1", "r" + std::to_string(k), true, 90s, 120s);
    }
    site_.run_for(2s);
    EXPECT_EQ(site_.running(), site::team_limit);
    site_.cut_both("z1e1", "control");
    site_.cut_both("z1e1", "z1e2");
    site_.run_for(10s);
    for (int k = 3; k < 6; ++k) {
        site_.submit("z1e2", "r" + std::to_string(k), true, 90s, 120s);
    }
    site_.run_for(60s);
    EXPECT_EQ(site_.running(), site::team_limit);
}

} // namespace
} // namespace dragonflymount::testing_site
