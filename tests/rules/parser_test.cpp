// Tests which rules files are accepted, and the line and text of each error.
#include "dragonflymount/rules.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::rules {
namespace {

const std::string digest(64, 'a');

std::string valid_text() {
    return "pool sync size=4 min-available=2 # Mette\n"
           "service timing pool=sync # Mette\n"
           "team archive share=100% limit=8 # Mette\n"
           "key archive sha256=" +
        digest + " # Mette\n";
}

TEST(parser, accepts_a_valid_text) {
    const parse_result parsed = parse(valid_text());
    ASSERT_TRUE(parsed.ok()) << parsed.message();
    EXPECT_EQ(parsed.rules.pools.at(pool_id("sync")).size, 4U);
    EXPECT_EQ(parsed.rules.teams.at(team_id("archive")).limit, 8U);
    EXPECT_EQ(parsed.rules.keys.at(digest), team_id("archive"));
}

struct bad_rule {
    std::string name;
    std::string text;
    std::size_t line;
    std::string expected;
};

class refused_rules : public testing::TestWithParam<bad_rule> {};

TEST_P(refused_rules, reports_the_line_and_the_cause) {
    const parse_result parsed = parse(valid_text() + GetParam().text);
    ASSERT_FALSE(parsed.ok());
    EXPECT_EQ(parsed.errors.front().line, GetParam().line);
    EXPECT_NE(
        parsed.errors.front().what.find(GetParam().expected), std::string::npos)
        << parsed.message();
}

INSTANTIATE_TEST_SUITE_P(parser, refused_rules,
    testing::Values(bad_rule{"no_comment", "pool b size=1\n", 5, "who asked"},
        bad_rule{"unknown_keyword", "pond b size=1 # M\n", 5, "pond"},
        bad_rule{"unknown_field", "pool b size=1 depth=2 # M\n", 5, "depth"},
        bad_rule{"duplicate", "pool sync size=1 # M\n", 5, "line 1"},
        bad_rule{"duplicate_field", "pool b size=1 size=2 # M\n", 5, "twice"},
        bad_rule{"missing_field", "pool b # M\n", 5, "size"},
        bad_rule{"bad_number", "pool b size=many # M\n", 5, "whole number"},
        bad_rule{"shares", "team b share=1% limit=1 # M\n", 5, "101%"},
        bad_rule{"cycle",
            "pool b size=1 borrows-from=c # M\n"
            "pool c size=1 borrows-from=b # M\n",
            5, "leads back"},
        bad_rule{"second_owner", "vm v1 pool=sync # M\nvm v1 pool=sync # M\n",
            6, "already"},
        bad_rule{
            "serve_stale", "cutoff serve-stale=10m # M\n", 5, "not supported"},
        bad_rule{"unknown_pool", "service s pool=nowhere # M\n", 5, "nowhere"},
        bad_rule{"short_digest", "key archive sha256=abc # M\n", 5, "64"},
        bad_rule{"unknown_team",
            "key nobody sha256=" + std::string(64, 'b') + " # M\n", 5,
            "nobody"}),
    [](const auto& info) { return info.param.name; });

TEST(parse_duration, reads_units) {
    EXPECT_EQ(parse_duration("250ms"), std::chrono::milliseconds(250));
    EXPECT_EQ(parse_duration("6w"), std::chrono::hours(6 * 7 * 24));
    EXPECT_EQ(parse_duration("1.5s"), std::chrono::milliseconds(1500));
    EXPECT_EQ(parse_duration("0.2s"), std::chrono::milliseconds(200));
    EXPECT_FALSE(parse_duration("1.s"));
    EXPECT_FALSE(parse_duration(".5s"));
    EXPECT_FALSE(parse_duration("1.2.3s"));
    EXPECT_FALSE(parse_duration("10"));
    EXPECT_FALSE(parse_duration("ms"));
    EXPECT_FALSE(parse_duration("10 s"));
}

TEST(parse_duration, refuses_values_above_the_maximum) {
    EXPECT_EQ(parse_duration("6w"), std::chrono::hours(6 * 7 * 24));
    EXPECT_FALSE(parse_duration("4294967295w"));
    EXPECT_FALSE(parse_duration("99999999999999999999s"));
}

} // namespace
} // namespace dragonflymount::rules
