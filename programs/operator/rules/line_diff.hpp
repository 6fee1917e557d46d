// Difference of two texts, line by line.
#ifndef DRAGONFLYMOUNT_OPERATOR_RULES_LINE_DIFF_HPP
#define DRAGONFLYMOUNT_OPERATOR_RULES_LINE_DIFF_HPP

#include <string>
#include <string_view>
#include <vector>

namespace dragonflymount::operator_program {

struct line_change {
    /// '+' for a line that only the new text has, '-' for the old one.
    char sign = '+';
    /// Counted from one, in the text that has the line.
    std::size_t number = 0;
    std::string line;
};

/// \returns the changes that lead from \p before to \p after, in order; they
/// are the fewest that do.
std::vector<line_change> diff_lines(
    std::string_view before, std::string_view after);

} // namespace dragonflymount::operator_program

#endif
