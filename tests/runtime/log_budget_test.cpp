// The bound on log lines.
#include "dragonflymount/src/Runtime/LogBudget.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::runtime {
namespace {

TEST(log_budget, bounds_a_second_and_counts_the_rest) {
    log_budget budget(3);
    const instant begin{std::chrono::seconds(100)};
    int written = 0;
    for (int k = 0; k < 10; ++k) {
        written += budget.spend(begin + std::chrono::milliseconds(k)) ? 1 : 0;
    }
    EXPECT_EQ(written, 3);
    EXPECT_EQ(budget.take_left_out(), 7U);
    EXPECT_EQ(budget.take_left_out(), 0U);
    EXPECT_TRUE(budget.spend(begin + std::chrono::seconds(1)));
}

} // namespace
} // namespace dragonflymount::runtime
