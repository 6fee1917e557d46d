// Tests which member is promoted or removed, and when.
#include "dragonflymount/src/Agreement/MemberPlan.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::agreement::test {
namespace {

using namespace std::chrono_literals;

member_status make_status(
    const std::string& id, bool voter, duration silent_for = 0s) {
    member_status status;
    status.subject.id = replica_id(id);
    status.subject.voter = voter;
    status.caught_up = true;
    status.answered = true;
    status.silent_for = silent_for;
    return status;
}

std::optional<member_change> plan(const std::vector<member_status>& members) {
    return plan_change(members, replica_id("a"), member_policy{});
}

TEST(member_plan, promotes_a_caught_up_replica_below_the_voter_target) {
    const auto due = plan({make_status("a", true), make_status("b", true),
        make_status("c", false)});
    ASSERT_TRUE(due);
    EXPECT_EQ(due->change, wire::replica_change::promote);
    EXPECT_EQ(due->subject.id, replica_id("c"));
}

TEST(member_plan, does_not_promote_a_lagging_or_silent_replica) {
    member_status behind = make_status("c", false);
    behind.caught_up = false;
    EXPECT_FALSE(
        plan({make_status("a", true), make_status("b", true), behind}));
    EXPECT_FALSE(plan({make_status("a", true), make_status("b", true),
        make_status("c", false, 4s)}));
}

// In the opposite order two voters of three would remain for a short time, and
// the loss of one disk would leave no quorum for good.
TEST(member_plan, promotes_a_replacement_before_it_removes_a_silent_voter) {
    std::vector<member_status> members{make_status("a", true),
        make_status("b", true), make_status("c", true, 4s),
        make_status("d", false)};
    const auto promotion = plan(members);
    ASSERT_TRUE(promotion);
    EXPECT_EQ(promotion->change, wire::replica_change::promote);
    EXPECT_EQ(promotion->subject.id, replica_id("d"));
    members[3].subject.voter = true;
    const auto removal = plan(members);
    ASSERT_TRUE(removal);
    EXPECT_EQ(removal->change, wire::replica_change::remove);
    EXPECT_EQ(removal->subject.id, replica_id("c"));
    members.erase(members.begin() + 2);
    EXPECT_FALSE(plan(members));
}

TEST(member_plan, returns_to_an_odd_number_if_the_silent_voter_is_back) {
    std::vector<member_status> members{make_status("a", true),
        make_status("b", true), make_status("c", true), make_status("d", true)};
    const auto due = plan(members);
    ASSERT_TRUE(due);
    EXPECT_EQ(due->change, wire::replica_change::admit);
    EXPECT_EQ(due->subject.id, replica_id("d"));
    members[3].subject.voter = false;
    EXPECT_FALSE(plan(members));
}

TEST(
    member_plan, replaces_a_silent_voter_while_there_are_more_than_the_target) {
    member_policy policy;
    policy.voters = 1;
    std::vector<member_status> members{make_status("a", true),
        make_status("b", true), make_status("c", true, 4s)};
    EXPECT_FALSE(plan_change(members, replica_id("a"), policy));
    members.push_back(make_status("d", false));
    const auto due = plan_change(members, replica_id("a"), policy);
    ASSERT_TRUE(due);
    EXPECT_EQ(due->change, wire::replica_change::promote);
}

TEST(member_plan, never_demotes_the_leader_itself) {
    const auto due = plan({make_status("b", true), make_status("c", true),
        make_status("d", true), make_status("a", true)});
    ASSERT_TRUE(due);
    EXPECT_EQ(due->subject.id, replica_id("d"));
}

TEST(member_plan, keeps_a_silent_voter_without_a_replacement) {
    EXPECT_FALSE(plan({make_status("a", true), make_status("b", true),
        make_status("c", true, 1h)}));
}

TEST(member_plan, never_removes_the_leader_itself) {
    EXPECT_FALSE(plan({make_status("a", true, 1h), make_status("b", true),
        make_status("c", true), make_status("d", false)}));
}

// Guards against a replacement that loses its vote because a new leader takes
// the voter that it replaces for one that is back.
TEST(member_plan, keeps_a_replacement_until_the_silent_voter_is_known) {
    std::vector<member_status> members{make_status("a", true),
        make_status("b", true), make_status("c", true), make_status("d", true)};
    members[2].answered = false;
    EXPECT_FALSE(plan(members));
    members[2].silent_for = 4s;
    const auto removal = plan(members);
    ASSERT_TRUE(removal);
    EXPECT_EQ(removal->change, wire::replica_change::remove);
    EXPECT_EQ(removal->subject.id, replica_id("c"));
}

TEST(member_plan, replaces_a_voter_that_never_answered_sooner) {
    std::vector<member_status> members{make_status("a", true),
        make_status("b", true), make_status("c", true, 2s),
        make_status("d", false)};
    EXPECT_FALSE(plan(members));
    members[2].answered = false;
    const auto due = plan(members);
    ASSERT_TRUE(due);
    EXPECT_EQ(due->change, wire::replica_change::promote);
}

TEST(member_plan, removes_a_silent_learner) {
    const auto due = plan({make_status("a", true), make_status("b", true),
        make_status("c", true), make_status("d", false, 2min)});
    ASSERT_TRUE(due);
    EXPECT_EQ(due->change, wire::replica_change::remove);
    EXPECT_EQ(due->subject.id, replica_id("d"));
}

} // namespace
} // namespace dragonflymount::agreement::test
