// Checking, comparing and applying of rules files.
#include "programs/operator/rules/rules_commands.hpp"

#include "dragonflymount/rules.hpp"
#include "programs/operator/control/leader.hpp"
#include "programs/operator/rules/line_diff.hpp"
#include "programs/operator/rules/rollout.hpp"

#include <fstream>
#include <sstream>

namespace dragonflymount::operator_program {
namespace {

using words = std::vector<std::string>;

result<std::string> read_text(const std::string& path) {
    std::ifstream input(path);
    std::ostringstream text;
    if (!input || !(text << input.rdbuf())) {
        return failure{
            std::make_error_code(std::errc::no_such_file_or_directory),
            "read rules", path, "expected a readable file that isn't empty"};
    }
    return text.str();
}

outcome check_text(const std::string& path, const std::string& text) {
    const rules::parse_result parsed = rules::parse(text);
    if (parsed.ok()) {
        return {runtime::status_ok, path + ": ok", {{"result", "ok"}}};
    }
    outcome refused{runtime::status_failed, parsed.message(), {}};
    refused.content = {{"result", "refused"}, {"file", path},
        {"errors", nlohmann::json::array()}};
    for (const rules::rule_error& error : parsed.errors) {
        refused.content["errors"].push_back(
            {{"line", error.line}, {"what", error.what}});
    }
    return refused;
}

outcome check(const words& arguments, const options&) {
    const auto text = read_text(arguments[0]);
    return text ? check_text(arguments[0], *text) : failed(text.error());
}

outcome diff(const words& arguments, const options& given) {
    const auto text = read_text(arguments[0]);
    if (!text) {
        return failed(text.error());
    }
    const auto current = query(given, "rules");
    if (!current) {
        return failed(current.error());
    }
    outcome found;
    found.content = {{"version", (*current)["version"]},
        {"changes", nlohmann::json::array()}};
    found.text = "against version " + (*current)["version"].dump();
    for (const line_change& change :
        diff_lines(current->value("text", ""), *text)) {
        found.text += "\n" + std::string(1, change.sign) +
            std::to_string(change.number) + ": " + change.line;
        found.content["changes"].push_back(
            {{"sign", std::string(1, change.sign)}, {"line", change.number},
                {"text", change.line}});
    }
    return found;
}

/// Adds to a conflict what stands: the version, its author, and how the file
/// differs from it.
outcome describe_conflict(
    outcome said, const words& arguments, const options& given) {
    const auto changes = query(given, "history");
    if (changes && !(*changes)["changes"].empty()) {
        const auto& last = (*changes)["changes"].back();
        said.content["stands"] = last;
        said.text += "\nversion " + last["version"].dump() +
            " stands: " + last.value("what", "") + " by " +
            last.value("author", "");
    }
    const outcome difference = diff(arguments, given);
    said.text += "\nyour file " + difference.text;
    said.content["difference"] = difference.content;
    return said;
}

outcome apply(const words& arguments, const options& given) {
    const auto text = read_text(arguments[0]);
    if (!text) {
        return failed(text.error());
    }
    outcome said = check_text(arguments[0], *text);
    if (said.status != runtime::status_ok) {
        return said;
    }
    std::int64_t base = given.base;
    if (base < 0) {
        const auto current = query(given, "rules");
        if (!current) {
            return failed(current.error());
        }
        base = (*current)["version"];
    }
    wire::ApplyRulesT content;
    content.base_version = static_cast<std::uint64_t>(base);
    content.text = *text;
    content.author = given.author;
    content.submission = submission_name(given);
    content.time_ms = runtime::wall_time_ms();
    const auto reply = propose(given, wire::encode_command(std::move(content)));
    if (!reply) {
        return failed(reply.error());
    }
    said = describe(*reply);
    if (reply->result == wire::proposal_result::conflict) {
        return describe_conflict(std::move(said), arguments, given);
    }
    if (said.status != runtime::status_ok || !given.wait) {
        return said;
    }
    return wait_until_in_force(given, rules_version(reply->version));
}

outcome show_rules(const words&, const options& given) {
    const auto current = query(given, "rules");
    if (!current) {
        return failed(current.error());
    }
    return {runtime::status_ok,
        "# version " + (*current)["version"].dump() + "\n" +
            current->value("text", ""),
        *current};
}

outcome show_history(const words&, const options& given) {
    const auto current = query(given, "history");
    if (!current) {
        return failed(current.error());
    }
    outcome found{
        runtime::status_ok, "version  time_ms  author  what", *current};
    for (const auto& change : (*current)["changes"]) {
        found.text += "\n" + change["version"].dump() + "  " +
            change["time_ms"].dump() + "  " + change.value("author", "") +
            "  " + change.value("what", "");
    }
    return found;
}

command make_check() {
    command made{
        "check", "FILE", 1, 1, "check a rules file", {}, false, false, check};
    made.details = "  Every error is told with its line; exit status 1.\n";
    return made;
}

command make_diff() {
    command made{"diff", "FILE", 1, 1,
        "compare a rules file with the rules in force", {}, false, true, diff};
    made.details = "  -N: a line in force, +N: a line of the file.\n";
    return made;
}

command make_apply() {
    command made{"apply", "FILE", 1, 1, "put a rules file in force", {}, true,
        true, apply};
    made.details =
        "  --author WHO       kept in the history; needed\n"
        "  --base N           version that the file was made from; default\n"
        "                     the one in force now\n"
        "  --submission NAME  the same name gets the same answer, so that a\n"
        "                     call whose answer was lost can be repeated\n"
        "  --wait             return when the version is in force everywhere\n"
        "  --wait_limit TIME  then give up, naming who is not; default 60s\n"
        "  A base that is not in force is a conflict: status 1, and what\n"
        "  stands is shown.\n";
    return made;
}

} // namespace

std::vector<command> rules_commands() {
    return {make_check(), make_diff(), make_apply(),
        {"rules", "", 0, 0, "print the rules in force", {}, false, true,
            show_rules},
        {"history", "", 0, 0, "print who asked for what", {}, false, true,
            show_history}};
}

} // namespace dragonflymount::operator_program
