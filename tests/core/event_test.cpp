// The list of events, their catalogue in docs/EVENTS.md, and their use in the
// code agree with each other.
#include "dragonflymount/core.hpp"
#include "dragonflymount/src/Core/Event.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace dragonflymount {
namespace {

std::string read_all(const std::filesystem::path& path) {
    std::ifstream input(path);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

/// Reads the rows "| 101 | process_started | ...".
std::multimap<int, std::string> read_catalogue() {
    const std::filesystem::path sources(DFM_SOURCES);
    const std::string text = read_all(sources / "docs/EVENTS.md");
    const std::regex row(R"(\| (\d{3}) \| `([a-z_]+)` \|)");
    std::multimap<int, std::string> rows;
    for (std::sregex_iterator k(text.begin(), text.end(), row), end; k != end;
         ++k) {
        rows.emplace(std::stoi((*k)[1]), (*k)[2]);
    }
    return rows;
}

std::set<std::string> find_uses() {
    const std::regex use(R"(event::([a-z_]+))");
    std::set<std::string> names;
    const std::filesystem::path sources(DFM_SOURCES);
    for (const char* folder : {"dragonflymount", "programs", "platform"}) {
        for (const auto& file :
            std::filesystem::recursive_directory_iterator(sources / folder)) {
            const std::filesystem::path& path = file.path();
            const bool is_source =
                path.extension() == ".cpp" || path.extension() == ".hpp";
            if (!is_source || path.filename() == "Event.hpp") {
                continue;
            }
            const std::string text = read_all(path);
            for (std::sregex_iterator k(text.begin(), text.end(), use), end;
                 k != end; ++k) {
                names.insert((*k)[1]);
            }
        }
    }
    return names;
}

TEST(events, are_the_rows_of_the_catalogue) {
    std::multimap<int, std::string> listed;
    for (const event_name& entry : event_names) {
        listed.emplace(static_cast<int>(entry.number), entry.name);
    }
    EXPECT_EQ(read_catalogue(), listed);
}

TEST(events, have_a_number_and_a_name_each) {
    std::set<event> numbers;
    std::set<std::string_view> names;
    for (const event_name& entry : event_names) {
        EXPECT_TRUE(numbers.insert(entry.number).second) << entry.name;
        EXPECT_TRUE(names.insert(entry.name).second) << entry.name;
    }
}

TEST(events, are_all_used) {
    const std::set<std::string> uses = find_uses();
    for (const event_name& entry : event_names) {
        EXPECT_TRUE(uses.contains(std::string(entry.name)))
            << entry.name << " is listed, but nothing logs it";
    }
}

} // namespace
} // namespace dragonflymount
