// Parses times of day and durations.
#include "dragonflymount/src/Rules/Times.hpp"

#include "dragonflymount/src/Rules/Parser.hpp"

#include <array>
#include <cmath>
#include <utility>

namespace dragonflymount::rules {
namespace {

/// Ten years: longer than any useful setting, and well within the range of
/// \c duration.
constexpr duration longest_duration = std::chrono::hours(24 * 365 * 10);

constexpr std::array<std::pair<std::string_view, duration>, 6> units{{
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"m", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
    {"d", std::chrono::hours(24)},
    {"w", std::chrono::hours(24 * 7)},
}};

} // namespace

std::optional<std::chrono::minutes> parse_time_of_day(std::string_view text) {
    constexpr std::uint32_t whole_day = 24 * 60;
    const std::vector<std::string> parts = split(text, ':');
    if (parts.size() != 2) {
        return std::nullopt;
    }
    const auto hours = parse_number<std::uint32_t>(parts[0]);
    const auto minutes = parse_number<std::uint32_t>(parts[1]);
    if (!hours || !minutes || *hours > 24 || *minutes > 59) {
        return std::nullopt;
    }
    const std::uint32_t total = *hours * 60 + *minutes;
    if (total > whole_day) {
        return std::nullopt;
    }
    return std::chrono::minutes(total);
}

std::optional<duration> parse_duration(std::string_view text) {
    const std::size_t digits = text.find_first_not_of("0123456789.");
    if (digits == 0 || digits == std::string_view::npos ||
        text.front() == '.' || text[digits - 1] == '.') {
        return std::nullopt;
    }
    const auto count = parse_number<double>(text.substr(0, digits));
    if (!count) {
        return std::nullopt;
    }
    for (const auto& [name, unit] : units) {
        if (text.substr(digits) != name) {
            continue;
        }
        const auto longest = static_cast<double>(longest_duration / unit);
        if (*count > longest) {
            return std::nullopt;
        }
        return duration(
            std::llround(*count * static_cast<double>(unit.count())));
    }
    return std::nullopt;
}

} // namespace dragonflymount::rules
