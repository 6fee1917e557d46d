// Errors: a std::error_code with the step and the peer at which it arose.
#ifndef DRAGONFLYMOUNT_CORE_ERROR_HPP
#define DRAGONFLYMOUNT_CORE_ERROR_HPP

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace dragonflymount {

/// \brief Conditions that the project itself reports.
enum class errc {
    malformed_frame = 1,
    frame_too_large,
    malformed_message,
    digest_mismatch,
    connection_silent,
    connection_closed,
    queue_full,
    not_leader,
    conflict,
    unavailable,
    invalid_rule,
    invalid_setting,
    damaged_log,
    disk_failed,
    unknown_key,
    restart_budget_spent,
    timeout,
};

const std::error_category& error_category() noexcept;
std::error_code make_error_code(errc code) noexcept;

/// \brief What failed, at which step, and with whom.
struct failure {
    std::error_code code;
    /// What was being done, for example "read frame".
    std::string step;
    /// The other side: an address, a file, or a line of one.
    std::string peer;
    std::string detail;

    /// \returns one line for people: step, peer, condition, detail.
    std::string message() const;
};

/// \brief A value, or why there is none.
///
/// \code
/// result<rule_set> rules = parse_rules(text);
/// if (!rules) { print(rules.error().message()); }
/// \endcode
template <class Value>
class result {
public:
    result(Value value) : content_(std::move(value)) {}
    result(failure error) : content_(std::move(error)) {}

    explicit operator bool() const { return content_.index() == 0; }
    Value& operator*() { return std::get<0>(content_); }
    const Value& operator*() const { return std::get<0>(content_); }
    Value* operator->() { return &std::get<0>(content_); }
    const Value* operator->() const { return &std::get<0>(content_); }
    const failure& error() const { return std::get<1>(content_); }

private:
    std::variant<Value, failure> content_;
};

/// \brief Success without a value.
struct done {};

} // namespace dragonflymount

template <>
struct std::is_error_code_enum<dragonflymount::errc> : std::true_type {};

#endif
