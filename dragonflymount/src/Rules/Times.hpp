// Parses the times of day of the rules file.
#ifndef DRAGONFLYMOUNT_RULES_TIMES_HPP
#define DRAGONFLYMOUNT_RULES_TIMES_HPP

#include "dragonflymount/core.hpp"

#include <optional>
#include <string_view>

namespace dragonflymount::rules {

/// \brief Parses a time such as "20:30"; "24:00" is the end of the day.
/// \returns the minutes since midnight, or nothing if the text is malformed.
std::optional<std::chrono::minutes> parse_time_of_day(std::string_view text);

} // namespace dragonflymount::rules

#endif
