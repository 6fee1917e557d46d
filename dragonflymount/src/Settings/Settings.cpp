// Checking of settings against a schema.
//
// Boost.PropertyTree reads the values; it keeps no line numbers, so lines are
// found by a scan of their own.
#include "dragonflymount/src/Settings/Settings.hpp"

#include "dragonflymount/src/Rules/Parser.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace dragonflymount::settings {
namespace {

using name_pair = std::pair<std::string, std::string>;

std::map<name_pair, std::size_t> find_lines(const std::string& text) {
    std::map<name_pair, std::size_t> lines;
    std::string section;
    std::size_t number = 0;
    for (const std::string& raw : split(text, '\n')) {
        ++number;
        const std::string_view line = trim(raw);
        if (line.empty() || line.front() == ';' || line.front() == '#') {
            continue;
        }
        if (line.front() == '[') {
            section = std::string(line.substr(1, line.find(']') - 1));
            lines.emplace(name_pair{section, ""}, number);
            continue;
        }
        const std::string_view name = trim(line.substr(0, line.find('=')));
        lines.emplace(name_pair{section, std::string(name)}, number);
    }
    return lines;
}

bool is_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    asio::error_code code;
    asio::ip::make_address(std::string(text.substr(0, colon)), code);
    return !code && parse_number<std::uint16_t>(text.substr(colon + 1));
}

bool are_addresses(const std::string& text, bool may_be_empty) {
    const std::vector<std::string> all = words_of(text, ", ");
    return (may_be_empty || !all.empty()) &&
        std::all_of(all.begin(), all.end(), is_address);
}

/// Permissions alone don't tell: a folder may be on a read-only file system.
bool is_writable_folder(const std::string& path) {
    std::error_code code;
    if (!std::filesystem::is_directory(path, code)) {
        return false;
    }
    std::string probe =
        absl::StrCat(path, "/", std::string(folder_probe_prefix), "XXXXXX");
    const int opened = ::mkstemp(probe.data());
    if (opened < 0) {
        return false;
    }
    ::close(opened);
    ::unlink(probe.c_str());
    return true;
}

bool sync_folder(const std::string& path) {
    const int opened = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = opened >= 0 && ::fsync(opened) == 0;
    if (opened >= 0) {
        ::close(opened);
    }
    return synced;
}

/// \returns whether the folder exists or could be made, in which case a loss of
/// power doesn't take it away again.
bool has_folder(const std::string& path) {
    std::error_code code;
    if (std::filesystem::is_directory(path, code)) {
        return true;
    }
    const std::string above = std::filesystem::path(path).parent_path();
    return std::filesystem::create_directory(path, code) &&
        sync_folder(above.empty() ? "." : above);
}

/// \returns what was expected, empty if the value fits.
std::string check_value(kind type, const std::string& value) {
    switch (type) {
    case kind::name:
        if (value.empty() || value.find(' ') != std::string::npos) {
            return "a name without spaces";
        }
        return {};
    case kind::count:
        return parse_number<std::uint32_t>(value) ? "" : "a whole number";
    case kind::number:
        return parse_number<double>(value).value_or(0) > 0 ? ""
                                                           : "a number above 0";
    case kind::time:
        return rules::parse_duration(value)
            ? ""
            : "a time such as 250ms, 20s, 10m or 2h";
    case kind::address:
        return is_address(value) ? "" : "an IP number and port, 127.0.0.1:80";
    case kind::list:
        return {};
    case kind::addresses:
        return are_addresses(value, false)
            ? ""
            : "IP numbers and ports, 127.0.0.1:80,127.0.0.1:81";
    case kind::optional_addresses:
        return are_addresses(value, true)
            ? ""
            : "IP numbers and ports, 127.0.0.1:80,127.0.0.1:81, or nothing";
    case kind::folder:
        return is_writable_folder(value)
            ? ""
            : "a folder that exists and is writable";
    case kind::made_folder:
        return has_folder(value) && is_writable_folder(value)
            ? ""
            : "a writable folder, or a path in one";
    case kind::file: {
        const std::string folder =
            std::filesystem::path(value).parent_path().string();
        return is_writable_folder(folder.empty() ? "." : folder)
            ? ""
            : "a file in a folder that exists and is writable";
    }
    }
    return {};
}

} // namespace

struct reader {
    read_result result;
    std::map<name_pair, std::size_t> lines;
    std::string path;

    void error(std::size_t line, std::string what) {
        result.errors.push_back({path, line, std::move(what)});
    }

    std::size_t line_of(const std::string& section, const std::string& name) {
        const auto found = lines.find({section, name});
        return found == lines.end() ? 0 : found->second;
    }

    void take(const boost::property_tree::ptree& tree, const schema& expected) {
        for (const auto& [section, names] : tree) {
            if (names.empty()) {
                error(line_of("", section),
                    absl::StrCat("'", section, "' stands in no section"));
            }
            for (const auto& [name, value] : names) {
                take_one(section, name, value.data(), expected);
            }
        }
    }

    void take_one(const std::string& section, const std::string& name,
        const std::string& value, const schema& expected) {
        const setting* known = expected.find(section, name);
        const std::size_t line = line_of(section, name);
        if (known == nullptr) {
            error(line,
                absl::StrCat(
                    "unknown setting '", name, "' in section [", section, "]"));
            return;
        }
        const std::string wanted = check_value(known->type, value);
        if (!wanted.empty()) {
            error(line,
                absl::StrCat(
                    "'", name, "' expects ", wanted, ", found '", value, "'"));
            return;
        }
        result.settings.texts_[{section, name}] = value;
        result.settings.lines_[{section, name}] = line;
    }

    void fill(const schema& expected) {
        for (const setting& known : expected.all()) {
            const name_pair key{known.section, known.name};
            const bool refused = lines.contains(key);
            if (result.settings.texts_.contains(key) || refused) {
                continue;
            }
            if (!known.fallback) {
                error(line_of(known.section, ""),
                    absl::StrCat("'", known.name, "' is missing in section [",
                        known.section, "]"));
                continue;
            }
            // A derived default needs the settings that it is derived from.
            if (result.ok()) {
                result.settings.texts_[key] = known.fallback(result.settings);
            }
        }
    }

    void verify(const requirement& wanted) {
        const values& read = result.settings;
        const bool has_pair = wanted.other.empty() ||
            (read.states(wanted.section, wanted.name) &&
                read.states(wanted.section, wanted.other));
        if (!has_pair || wanted.holds(read)) {
            return;
        }
        std::string what =
            absl::StrCat("'", wanted.name, "' expects ", wanted.expected,
                ", found '", read.text(wanted.section, wanted.name), "'");
        if (!wanted.other.empty()) {
            absl::StrAppend(&what, " beside '",
                read.text(wanted.section, wanted.other), "' in line ",
                line_of(wanted.section, wanted.other));
        }
        error(line_of(wanted.section, wanted.name), std::move(what));
    }
};

const setting* schema::find(
    const std::string& section, const std::string& name) const {
    const auto found = std::find_if(
        settings_.begin(), settings_.end(), [&](const setting& known) {
            return known.section == section && known.name == name;
        });
    return found == settings_.end() ? nullptr : &*found;
}

schema_builder& schema_builder::require(
    std::string section, std::string name, kind type) {
    schema_.settings_.push_back(
        {std::move(section), std::move(name), type, nullptr});
    return *this;
}

schema_builder& schema_builder::allow(
    std::string section, std::string name, kind type, std::string fallback) {
    return derive(std::move(section), std::move(name), type,
        [fallback = std::move(fallback)](const values&) { return fallback; });
}

schema_builder& schema_builder::derive(
    std::string section, std::string name, kind type, fallback_rule rule) {
    schema_.settings_.push_back(
        {std::move(section), std::move(name), type, std::move(rule)});
    return *this;
}

schema_builder& schema_builder::verify(requirement wanted) {
    schema_.requirements_.push_back(std::move(wanted));
    return *this;
}

schema_builder& schema_builder::at_least(
    const std::string& section, const std::string& name, duration least) {
    return verify({section, name, {},
        absl::StrCat("at least ", time_text(least)),
        [=](const values& read) { return read.time(section, name) >= least; }});
}

schema_builder& schema_builder::at_least(
    const std::string& section, const std::string& name, std::uint32_t least) {
    return verify({section, name, {}, absl::StrCat("at least ", least),
        [=](const values& read) {
            return read.count(section, name) >= least;
        }});
}

std::string setting_error::message() const {
    return absl::StrCat(file, ":", line, ": ", what);
}

std::string read_result::message() const {
    return absl::StrJoin(
        errors, "\n", [](std::string* out, const setting_error& error) {
            absl::StrAppend(out, error.message());
        });
}

std::string values::text(
    const std::string& section, const std::string& name) const {
    return texts_.at({section, name});
}

std::uint32_t values::count(
    const std::string& section, const std::string& name) const {
    return parse_number<std::uint32_t>(text(section, name)).value_or(0);
}

double values::number(
    const std::string& section, const std::string& name) const {
    return parse_number<double>(text(section, name)).value_or(0);
}

duration values::time(
    const std::string& section, const std::string& name) const {
    return rules::parse_duration(text(section, name)).value_or(duration(0));
}

std::vector<std::string> values::list(
    const std::string& section, const std::string& name) const {
    return words_of(text(section, name), ", ");
}

bool values::states(const std::string& section, const std::string& name) const {
    return lines_.contains({section, name});
}

std::string time_text(duration span) {
    const auto whole =
        std::chrono::duration_cast<std::chrono::milliseconds>(span);
    return absl::StrCat(whole.count(), "ms");
}

read_result read_text(
    const std::string& text, const std::string& path, const schema& expected) {
    reader state;
    state.path = path;
    state.lines = find_lines(text);
    boost::property_tree::ptree tree;
    std::istringstream input(text);
    try {
        boost::property_tree::read_ini(input, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        state.error(error.line(), error.message());
        return std::move(state.result);
    }
    state.take(tree, expected);
    state.fill(expected);
    if (state.result.ok()) {
        for (const requirement& wanted : expected.requirements()) {
            state.verify(wanted);
        }
    }
    return std::move(state.result);
}

read_result read_file(const std::string& path, const schema& expected) {
    std::ifstream input(path);
    if (!input) {
        read_result missing;
        missing.errors.push_back({path, 0, "expected a readable file"});
        return missing;
    }
    std::ostringstream text;
    text << input.rdbuf();
    return read_text(text.str(), path, expected);
}

} // namespace dragonflymount::settings
