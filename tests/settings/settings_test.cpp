// Settings: each error names the file, the line and what was expected.
#include "dragonflymount/settings.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::settings {
namespace {

schema sample() {
    return schema_builder()
        .require("entry", "name", kind::name)
        .require("entry", "listen", kind::address)
        .allow("entry", "lease", kind::time, "3s")
        .build();
}

TEST(settings, reads_values_and_fallbacks) {
    const auto read = read_text(
        "[entry]\nname = e1\nlisten = 127.0.0.1:80\n", "e.ini", sample());
    ASSERT_TRUE(read.ok()) << read.message();
    EXPECT_EQ(read.settings.text("entry", "name"), "e1");
    EXPECT_EQ(read.settings.time("entry", "lease"), std::chrono::seconds(3));
}

schema pair_of_times() {
    return schema_builder()
        .derive("a", "limit", kind::time,
            [](const values& read) {
                return read.states("a", "interval")
                    ? time_text(read.time("a", "interval") * 4)
                    : std::string("2s");
            })
        .derive("a", "interval", kind::time,
            [](const values& read) {
                return time_text(read.time("a", "limit") / 4);
            })
        .verify({"a", "interval", "limit", "at most 'limit'",
            [](const values& read) {
                return read.time("a", "interval") <= read.time("a", "limit");
            }})
        .build();
}

TEST(settings, derives_what_the_file_leaves_out) {
    using std::chrono::milliseconds;
    auto read = read_text("[a]\n", "a.ini", pair_of_times());
    ASSERT_TRUE(read.ok()) << read.message();
    EXPECT_EQ(read.settings.time("a", "limit"), milliseconds(2000));
    EXPECT_EQ(read.settings.time("a", "interval"), milliseconds(500));
    read = read_text("[a]\nlimit = 100ms\n", "a.ini", pair_of_times());
    ASSERT_TRUE(read.ok()) << read.message();
    EXPECT_EQ(read.settings.time("a", "interval"), milliseconds(25));
    read = read_text("[a]\ninterval = 1m\n", "a.ini", pair_of_times());
    ASSERT_TRUE(read.ok()) << read.message();
    EXPECT_EQ(read.settings.time("a", "limit"), std::chrono::minutes(4));
}

TEST(settings, names_both_lines_of_a_pair_that_does_not_fit) {
    const auto read =
        read_text("[a]\ninterval = 3s\nlimit = 1s\n", "a.ini", pair_of_times());
    ASSERT_FALSE(read.ok());
    EXPECT_EQ(read.errors.front().message(),
        "a.ini:2: 'interval' expects at most 'limit', found '3s' beside '1s' "
        "in line 3");
}

struct bad_setting {
    std::string name;
    std::string text;
    std::string expected;
};

class refused_settings : public testing::TestWithParam<bad_setting> {};

TEST_P(refused_settings, names_file_and_line) {
    const auto read = read_text(GetParam().text, "e.ini", sample());
    ASSERT_FALSE(read.ok());
    EXPECT_EQ(read.errors.front().message(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(settings, refused_settings,
    testing::Values(
        bad_setting{"unknown_name",
            "[entry]\nname = e1\nlisten = 127.0.0.1:80\nnaem = e2\n",
            "e.ini:4: unknown setting 'naem' in section [entry]"},
        bad_setting{"unknown_section",
            "[entry]\nname = e1\nlisten = 127.0.0.1:80\n[exit]\na = b\n",
            "e.ini:5: unknown setting 'a' in section [exit]"},
        bad_setting{"wrong_unit",
            "[entry]\nname = e1\nlisten = 127.0.0.1:80\nlease = 3 sec\n",
            "e.ini:4: 'lease' expects a time such as 250ms, 20s, 10m or 2h, "
            "found '3 sec'"},
        bad_setting{"host_name", "[entry]\nname = e1\nlisten = localhost:80\n",
            "e.ini:3: 'listen' expects an IP number and port, 127.0.0.1:80, "
            "found 'localhost:80'"},
        bad_setting{"missing", "[entry]\nname = e1\n",
            "e.ini:1: 'listen' is missing in section [entry]"}),
    [](const auto& info) { return info.param.name; });

} // namespace
} // namespace dragonflymount::settings
