// Which request is refused when requests hold too much memory.
#include "dragonflymount/src/Runtime/RequestBudget.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::runtime {
namespace {

TEST(request_budget, refuses_nothing_within_its_limit) {
    request_budget<int> budget(100);
    budget.hold(1, 60);
    budget.hold(2, 40);
    EXPECT_FALSE(budget.surplus());
}

// A crowd holds large bodies open; an ordinary caller sends a small request.
TEST(request_budget, refuses_the_largest_request) {
    request_budget<int> budget(100);
    for (int crowd = 1; crowd <= 10; ++crowd) {
        budget.hold(crowd, 9);
    }
    budget.hold(11, 3);
    budget.hold(4, 20);
    EXPECT_EQ(budget.surplus(), 4);
    budget.release(4);
    EXPECT_FALSE(budget.surplus());
    EXPECT_EQ(budget.total(), 9U * 9U + 3U);
}

TEST(request_budget, counts_a_request_once_as_it_grows) {
    request_budget<int> budget(100);
    for (std::uint64_t bytes = 1; bytes <= 100; ++bytes) {
        budget.hold(1, bytes);
    }
    EXPECT_EQ(budget.total(), 100U);
    EXPECT_FALSE(budget.surplus());
    budget.hold(1, 101);
    EXPECT_EQ(budget.surplus(), 1);
}

TEST(request_budget, refuses_no_request_that_was_read) {
    request_budget<int> budget(100);
    budget.hold(1, 90);
    budget.settle(1);
    budget.hold(2, 20);
    EXPECT_EQ(budget.surplus(), 2);
    budget.release(2);
    budget.hold(1, 150);
    budget.settle(1);
    EXPECT_FALSE(budget.surplus());
    budget.release(1);
    budget.release(1);
    EXPECT_EQ(budget.total(), 0U);
}

} // namespace
} // namespace dragonflymount::runtime
