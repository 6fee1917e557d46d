// Parses the operators' rules file.
//
// Each line holds one rule: a keyword, an optional name, name=value fields,
// and a comment after "#" that says who asked for the rule. docs/RULES.md
// lists the keywords. A text with any error is refused as a whole, and every
// error found is reported with its line number.
#ifndef DRAGONFLYMOUNT_RULES_PARSER_HPP
#define DRAGONFLYMOUNT_RULES_PARSER_HPP

#include "dragonflymount/src/Rules/Model.hpp"

#include <string_view>

namespace dragonflymount::rules {

struct rule_error {
    std::size_t line = 0;
    std::string what;
};

/// \brief The parsed rules, usable if there are no errors.
struct parse_result {
    rule_set rules;
    std::vector<rule_error> errors;

    bool ok() const { return errors.empty(); }
    /// \returns one line of text, "line N: ...", per error.
    std::string message() const;
};

/// \brief Parses and validates a rules file.
/// \param text the whole file.
/// \returns the rules, or the errors ordered by line.
parse_result parse(std::string_view text);

/// \brief Parses a duration such as "250ms", "1.5s", "10m", "2h", "3d" or
/// "6w".
/// \returns nothing if the text is malformed or the duration exceeds ten years.
std::optional<duration> parse_duration(std::string_view text);

} // namespace dragonflymount::rules

#endif
