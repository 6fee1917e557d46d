// Settings of one process, read from an INI file and checked at start.
//
// A program states what it takes as a schema; a file that has anything else,
// lacks something, or holds a value of the wrong kind is refused with the
// file, the line and what was expected.
#ifndef DRAGONFLYMOUNT_SETTINGS_SETTINGS_HPP
#define DRAGONFLYMOUNT_SETTINGS_SETTINGS_HPP

#include "dragonflymount/core.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymount::settings {

/// Begins the names of files that the check of a folder makes and removes; a
/// power loss may leave one.
inline constexpr std::string_view folder_probe_prefix = ".writable-";

enum class kind : std::uint8_t {
    /// Any text without spaces.
    name,
    /// A whole number.
    count,
    /// A number above 0.
    number,
    /// 250ms, 20s, 10m, 2h.
    time,
    /// IP number and port; port 0 lets the system choose.
    address,
    /// Names, separated by commas.
    list,
    /// IP numbers and ports, separated by commas; at least one.
    addresses,
    /// IP numbers and ports, separated by commas; there may be none.
    optional_addresses,
    /// A folder that must exist and be writable.
    folder,
    /// A folder that must be writable. It is made if it is missing and the
    /// folder above it is there.
    made_folder,
    /// A path whose folder must exist and be writable.
    file,
};

class values;

/// \brief Computes the value of a setting that the file leaves out, from what
/// it states and from the settings declared earlier.
using fallback_rule = std::function<std::string(const values&)>;

struct setting {
    std::string section;
    std::string name;
    kind type = kind::name;
    /// Empty means that the setting must be given.
    fallback_rule fallback;
};

/// \brief What must hold of a setting beside its kind, often together with
/// another one. A pair is checked only if the file states both: what it leaves
/// out is derived from what it states.
struct requirement {
    std::string section;
    std::string name;
    /// The setting that it is compared with, if there is one.
    std::string other;
    /// For people: "'NAME' expects EXPECTED".
    std::string expected;
    std::function<bool(const values&)> holds;
};

/// \brief Collects a program's settings.
///
/// \code
/// const schema entry = schema_builder()
///     .require("entry", "name", kind::name)
///     .allow("entry", "threads", kind::count, "64")
///     .build();
/// \endcode
class schema {
public:
    const std::vector<setting>& all() const { return settings_; }
    const setting* find(
        const std::string& section, const std::string& name) const;

    const std::vector<requirement>& requirements() const {
        return requirements_;
    }

private:
    friend class schema_builder;
    std::vector<setting> settings_;
    std::vector<requirement> requirements_;
};

class schema_builder {
public:
    schema_builder& require(std::string section, std::string name, kind type);
    schema_builder& allow(
        std::string section, std::string name, kind type, std::string fallback);
    /// \brief A setting whose fallback depends on others; see \c values::states
    /// and \c time_text.
    schema_builder& derive(
        std::string section, std::string name, kind type, fallback_rule rule);
    /// \brief Checked once every setting is of its kind.
    schema_builder& verify(requirement wanted);
    /// \brief Requires a time of at least \p least.
    schema_builder& at_least(
        const std::string& section, const std::string& name, duration least);
    /// \brief Requires a count of at least \p least.
    schema_builder& at_least(const std::string& section,
        const std::string& name, std::uint32_t least);
    schema build() { return std::move(schema_); }

private:
    schema schema_;
};

/// \returns \p span as a setting's text.
std::string time_text(duration span);

struct setting_error {
    std::string file;
    std::size_t line = 0;
    std::string what;

    std::string message() const;
};

/// \brief Checked settings.
class values {
public:
    std::string text(const std::string& section, const std::string& name) const;
    std::uint32_t count(
        const std::string& section, const std::string& name) const;
    double number(const std::string& section, const std::string& name) const;
    duration time(const std::string& section, const std::string& name) const;
    std::vector<std::string> list(
        const std::string& section, const std::string& name) const;
    /// \brief Whether the file states the setting.
    bool states(const std::string& section, const std::string& name) const;

private:
    friend struct reader;
    std::map<std::pair<std::string, std::string>, std::string> texts_;
    std::map<std::pair<std::string, std::string>, std::size_t> lines_;
};

struct read_result {
    values settings;
    std::vector<setting_error> errors;

    bool ok() const { return errors.empty(); }
    std::string message() const;
};

/// \brief Reads and checks a file.
read_result read_file(const std::string& path, const schema& expected);

/// \brief Reads and checks a text that came from \p path.
read_result read_text(
    const std::string& text, const std::string& path, const schema& expected);

} // namespace dragonflymount::settings

#endif
