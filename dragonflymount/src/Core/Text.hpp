// Small operations on text that parsers share.
//
// The packaged Abseil is built with its own string_view, which doesn't
// convert to the standard one; these work on the latter.
#ifndef DRAGONFLYMOUNT_CORE_TEXT_HPP
#define DRAGONFLYMOUNT_CORE_TEXT_HPP

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymount {

/// \returns \p text without the blanks around it.
inline std::string_view trim(std::string_view text) {
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

/// \returns the parts of \p text between \p separator, empty ones included.
inline std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> parts;
    while (true) {
        const std::size_t end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

/// \returns the words of \p text: what stands between any of \p separators,
/// without empty ones.
inline std::vector<std::string> words_of(
    std::string_view text, std::string_view separators = " \t\r") {
    std::vector<std::string> words;
    std::size_t begin = text.find_first_not_of(separators);
    while (begin != std::string_view::npos) {
        const std::size_t end = text.find_first_of(separators, begin);
        words.emplace_back(text.substr(begin, end - begin));
        begin = text.find_first_not_of(separators, end);
    }
    return words;
}

/// \returns the number that \p text states, if it states one and no more.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const char* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || rest != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace dragonflymount

#endif
