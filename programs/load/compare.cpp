// Policy and baselines side by side.
#include "programs/load/compare.hpp"

#include "programs/load/virtual/site.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>

namespace dragonflymount::load_program {
namespace {

std::string read_file(const std::filesystem::path& path) {
    std::ifstream input(path);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

std::vector<std::filesystem::path> list(const std::filesystem::path& folder) {
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        paths.push_back(entry.path());
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

void print_table(
    const std::map<std::string, virtual_report>& reports, std::ostream& out) {
    out << std::left << std::setw(26) << "figure" << std::right;
    std::set<std::string> names;
    for (const std::string& policy : policy_names()) {
        out << std::setw(12) << policy;
        for (const auto& [name, value] : reports.at(policy).figures) {
            names.insert(name);
        }
    }
    out << '\n';
    for (const std::string& name : names) {
        out << std::left << std::setw(26) << name << std::right;
        for (const std::string& policy : policy_names()) {
            out << std::setw(12) << std::setprecision(4)
                << reports.at(policy).figure(name).value_or(-1);
        }
        out << '\n';
    }
}

bool compare_trace(const std::filesystem::path& path,
    const rules::rule_set& rules, std::ostream& out) {
    const auto recorded = parse_trace(read_file(path), path.string());
    if (!recorded) {
        out << recorded.error().message() << '\n';
        return false;
    }
    out << "\n== " << path.string() << '\n';
    std::map<std::string, virtual_report> reports;
    for (const std::string& policy : policy_names()) {
        reports[policy] = replay_named(policy, *recorded, rules);
    }
    print_table(reports, out);
    bool all_hold = true;
    for (const expectation& stated : recorded->expectations) {
        const auto value = reports.at("policy").figure(stated.figure);
        const bool good = value && holds(stated, *value);
        all_hold = all_hold && good;
        out << (good ? "holds  " : "FAILS  ") << stated.figure
            << stated.comparison << stated.bound << '\n';
    }
    return all_hold;
}

} // namespace

bool compare(const std::string& folder, std::ostream& out) {
    bool all_hold = true;
    for (const auto& deployment : list(folder)) {
        if (!std::filesystem::exists(deployment / "rules.txt")) {
            continue;
        }
        const auto parsed = rules::parse(read_file(deployment / "rules.txt"));
        if (!parsed.ok()) {
            out << deployment.string() << ": " << parsed.message() << '\n';
            all_hold = false;
            continue;
        }
        for (const auto& path : list(deployment)) {
            if (path.extension() == ".trace") {
                all_hold = compare_trace(path, parsed.rules, out) && all_hold;
            }
        }
    }
    return all_hold;
}

} // namespace dragonflymount::load_program
