// Checks the limits, the order and the expiry of the request queue of a pool.
#include "dragonflymount/policy.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::policy {
namespace {

using std::chrono::seconds;

queued_request make_request(const std::string& team, const std::string& id,
    seconds deadline, std::size_t size = 1) {
    queued_request request;
    request.key = {team_id(team), id};
    request.deadline = instant() + deadline;
    request.rank = request.deadline;
    request.size_bytes = size;
    request.expected = seconds(1);
    return request;
}

TEST(fair_queue_test, earliest_deadline_of_a_team_goes_first) {
    fair_queue queue;
    queue.push(make_request("a", "late", seconds(20)));
    queue.push(make_request("a", "early", seconds(10)));
    EXPECT_EQ(queue.pop(team_id("a"))->key.id, "early");
}

TEST(fair_queue_test, one_team_cannot_use_capacity_reserved_for_others) {
    fair_queue queue({100, 1000, 50});
    queue.reserve(team_id("a"), 50);
    queue.reserve(team_id("b"), 50);
    std::size_t taken = 0;
    while (queue.push(make_request("a", std::to_string(taken), seconds(10)))) {
        ++taken;
    }
    EXPECT_EQ(taken, 75U);
    for (int k = 0; k < 25; ++k) {
        EXPECT_TRUE(
            queue.push(make_request("b", std::to_string(k), seconds(10))));
    }
    EXPECT_FALSE(queue.push(make_request("b", "more", seconds(10))));
}

TEST(fair_queue_test, bytes_are_limited_like_requests) {
    fair_queue queue({100, 1000, 50});
    queue.reserve(team_id("a"), 50);
    queue.reserve(team_id("b"), 50);
    EXPECT_TRUE(queue.push(make_request("a", "1", seconds(10), 750)));
    EXPECT_FALSE(queue.push(make_request("a", "2", seconds(10), 1)));
    EXPECT_TRUE(queue.push(make_request("b", "1", seconds(10), 250)));
    EXPECT_EQ(queue.size(), 2U);
    EXPECT_EQ(queue.bytes_held(), 1000U);
}

TEST(fair_queue_test, expire_removes_only_requests_past_their_deadline) {
    fair_queue queue;
    queue.push(make_request("a", "1", seconds(10)));
    queue.push(make_request("b", "2", seconds(20)));
    const auto expired = queue.expire(instant() + seconds(10));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].key.id, "1");
    EXPECT_EQ(queue.size(), 1U);
}

TEST(fair_queue_test, work_before_counts_earlier_ranks) {
    fair_queue queue;
    queue.push(make_request("a", "1", seconds(10)));
    queue.push(make_request("a", "2", seconds(20)));
    EXPECT_EQ(
        queue.work_before(team_id("a"), instant() + seconds(15)), seconds(1));
    queue.remove({team_id("a"), "1"});
    EXPECT_EQ(
        queue.work_before(team_id("a"), instant() + seconds(15)), seconds(0));
}

} // namespace
} // namespace dragonflymount::policy
