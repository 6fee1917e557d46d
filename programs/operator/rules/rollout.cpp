// Polling of the query "entries".
//
// An entry that the leader has not heard of for longer than the freshness
// lease takes no work under any rules, so it need not be waited for.
#include "programs/operator/rules/rollout.hpp"

#include "dragonflymount/control.hpp"
#include "programs/operator/control/leader.hpp"

#include <thread>

namespace dragonflymount::operator_program {
namespace {

constexpr auto poll_interval = std::chrono::milliseconds(200);

std::string join(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

duration longest_lease() {
    return grantor_span(control::planner_options().freshness_lease);
}

} // namespace

std::vector<std::string> entries_behind(
    const nlohmann::json& entries, rules_version version) {
    std::vector<std::string> behind;
    for (const auto& entry : entries.value("entries", nlohmann::json())) {
        const auto age =
            std::chrono::milliseconds(entry.value("age_ms", std::int64_t{0}));
        const rules_version held(entry.value("version", std::uint64_t{0}));
        if (age <= longest_lease() && held < version) {
            behind.push_back(entry.value("entry", ""));
        }
    }
    return behind;
}

outcome wait_until_in_force(const options& given, rules_version version) {
    const instant begin = runtime::system_clock::now();
    const instant deadline = begin + given.wait_limit;
    const std::string name = "version " + std::to_string(version.value());
    std::vector<std::string> behind;
    while (true) {
        const auto entries = query(given, "entries");
        if (!entries) {
            return failed(entries.error());
        }
        behind = entries_behind(*entries, version);
        const instant now = runtime::system_clock::now();
        // A leader that has just begun has heard of no entry yet.
        const bool known =
            !(*entries)["entries"].empty() || now - begin > longest_lease();
        if (behind.empty() && known) {
            return {runtime::status_ok,
                "accepted as " + name + ", in force everywhere",
                {{"result", "accepted"}, {"version", version.value()},
                    {"in_force", true}}};
        }
        if (now >= deadline) {
            break;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return {runtime::status_failed,
        "accepted as " + name + ", not yet in force at: " + join(behind),
        {{"result", "accepted"}, {"version", version.value()},
            {"in_force", false}, {"behind", behind}}};
}

} // namespace dragonflymount::operator_program
