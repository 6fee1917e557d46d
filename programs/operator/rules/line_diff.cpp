// Longest common subsequence of lines, by dynamic programming.
#include "programs/operator/rules/line_diff.hpp"

#include "dragonflymount/core.hpp"

#include <algorithm>

namespace dragonflymount::operator_program {
namespace {

std::vector<std::string> lines_of(std::string_view text) {
    std::vector<std::string> lines = split(text, '\n');
    if (lines.back().empty()) {
        lines.pop_back();
    }
    return lines;
}

using length_table = std::vector<std::vector<std::size_t>>;

/// Entry [k][m] is the longest common part of what follows line k of
/// \p before and line m of \p after.
length_table common_lengths(const std::vector<std::string>& before,
    const std::vector<std::string>& after) {
    length_table lengths(
        before.size() + 1, std::vector<std::size_t>(after.size() + 1));
    for (std::size_t k = before.size(); k-- > 0;) {
        for (std::size_t m = after.size(); m-- > 0;) {
            lengths[k][m] = before[k] == after[m]
                ? lengths[k + 1][m + 1] + 1
                : std::max(lengths[k + 1][m], lengths[k][m + 1]);
        }
    }
    return lengths;
}

} // namespace

std::vector<line_change> diff_lines(
    std::string_view before, std::string_view after) {
    const std::vector<std::string> left = lines_of(before);
    const std::vector<std::string> right = lines_of(after);
    const length_table lengths = common_lengths(left, right);
    std::vector<line_change> changes;
    std::size_t k = 0;
    std::size_t m = 0;
    while (k < left.size() || m < right.size()) {
        if (k < left.size() && m < right.size() && left[k] == right[m]) {
            ++k;
            ++m;
        } else if (m == right.size() ||
            (k < left.size() && lengths[k + 1][m] >= lengths[k][m + 1])) {
            changes.push_back({'-', k + 1, left[k]});
            ++k;
        } else {
            changes.push_back({'+', m + 1, right[m]});
            ++m;
        }
    }
    return changes;
}

} // namespace dragonflymount::operator_program
