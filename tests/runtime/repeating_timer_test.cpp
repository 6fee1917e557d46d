// Tests the timer that calls an action again and again.
#include "dragonflymount/src/Runtime/Process.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::runtime::test {
namespace {

using namespace std::chrono_literals;

// Guards against a second stop of a process: the action that stopped its timer
// was called again.
TEST(repeating_timer, stays_stopped_if_its_action_stops_it) {
    asio::io_context context;
    int calls = 0;
    std::optional<repeating_timer> timer;
    timer.emplace(context, 1ms, [&] {
        ++calls;
        timer->stop();
    });
    timer->start();
    context.run_for(200ms);
    EXPECT_EQ(calls, 1);
}

TEST(repeating_timer, runs_again_after_a_stop) {
    asio::io_context context;
    int calls = 0;
    repeating_timer timer(context, 1ms, [&] { ++calls; });
    timer.start();
    timer.stop();
    timer.start();
    const auto limit = std::chrono::steady_clock::now() + 30s;
    while (calls < 3 && std::chrono::steady_clock::now() < limit) {
        context.run_for(1ms);
    }
    EXPECT_GE(calls, 3);
    timer.stop();
    context.poll();
}

} // namespace
} // namespace dragonflymount::runtime::test
