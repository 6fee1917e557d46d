// Checks weighted max-min shares, the choice of the next team, and the bound on
// the lag of a team.
#include "dragonflymount/policy.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::policy {
namespace {

TEST(max_min_test, divides_by_weight_when_all_want_more) {
    const std::vector<share_demand> demands{{3, 100}, {1, 100}};
    EXPECT_EQ(max_min(8, demands), (std::vector<double>{6, 2}));
}

TEST(max_min_test, gives_unused_slots_to_the_other_teams) {
    const std::vector<share_demand> demands{{2, 1}, {1, 100}, {1, 100}};
    EXPECT_EQ(max_min(9, demands), (std::vector<double>{1, 4, 4}));
}

TEST(max_min_test, gives_no_team_more_than_it_demands) {
    const std::vector<share_demand> demands{{1, 2}, {5, 3}};
    EXPECT_EQ(max_min(100, demands), (std::vector<double>{2, 3}));
}

TEST(due_share_order_test, team_behind_its_share_goes_first) {
    const std::vector<team_view> teams{
        {team_id("a"), 3, 50, 4, 0, 8, false, instant()},
        {team_id("b"), 2, 50, 4, 0, 8, false, instant()}};
    EXPECT_EQ(due_share_order().choose(teams), 1U);
}

TEST(due_share_order_test, urgent_team_goes_first_until_far_above_its_share) {
    std::vector<team_view> teams{
        {team_id("a"), 4, 50, 4, 0, 8, true, instant()},
        {team_id("b"), 3, 50, 4, 0, 8, false, instant()}};
    EXPECT_EQ(due_share_order().choose(teams), 0U);
    teams[0].lag = -20;
    EXPECT_EQ(due_share_order().choose(teams), 1U);
}

TEST(share_account_test, lag_of_an_idle_team_stays_bounded) {
    share_account shares;
    shares[team_id("a")] = {50, 8, 100, false, 0, 0};
    shares[team_id("b")] = {50, 0, 100, false, 0, 0};
    instant now = instant() + std::chrono::seconds(1);
    shares.advance(8, now);
    shares.advance(8, now + std::chrono::hours(1));
    EXPECT_LE(shares[team_id("b")].lag, 4 * 5.0);
    EXPECT_GE(shares[team_id("a")].lag, -4 * 5.0);
}

} // namespace
} // namespace dragonflymount::policy
