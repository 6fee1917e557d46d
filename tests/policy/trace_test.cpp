// Replays the recorded traces in virtual time and checks the outcomes that they
// state.
#include "programs/load/virtual/site.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace dragonflymount::load_program {
namespace {

std::string read_file(const std::string& path) {
    std::ifstream input(path);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

class trace_test : public testing::TestWithParam<const char*> {};

TEST_P(trace_test, stated_outcomes_hold) {
    const std::string path =
        std::string(TRACE_FOLDER "/") + GetParam() + ".trace";
    const auto rules =
        rules::parse(read_file(path.substr(0, path.rfind('/')) + "/rules.txt"));
    ASSERT_TRUE(rules.ok()) << rules.message();
    const auto recorded = parse_trace(read_file(path), path);
    ASSERT_TRUE(recorded) << recorded.error().message();
    ASSERT_FALSE(recorded->expectations.empty());
    const auto report = replay_named("policy", *recorded, rules.rules);
    for (const expectation& stated : recorded->expectations) {
        const auto value = report.figure(stated.figure);
        ASSERT_TRUE(value) << stated.figure;
        EXPECT_TRUE(holds(stated, *value))
            << stated.figure << stated.comparison << stated.bound << ", seen "
            << *value;
    }
}

INSTANTIATE_TEST_SUITE_P(deployments, trace_test,
    testing::Values("lindqvist/full", "lindqvist/bursts", "lindqvist/faults",
        "haneul/full", "haneul/bursts", "haneul/faults"));

} // namespace
} // namespace dragonflymount::load_program
