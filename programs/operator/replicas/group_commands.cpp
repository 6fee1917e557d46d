// Asks the schedulers themselves, since a group without a quorum has no leader.
#include "programs/operator/replicas/group_commands.hpp"

#include "programs/operator/control/leader.hpp"
#include "programs/operator/replicas/group_status.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <set>

namespace dragonflymount::operator_program {
namespace {

// A machine that is gone doesn't answer at all.
constexpr duration answer_limit = std::chrono::milliseconds(1500);

bool has_answer(const std::vector<replica_answer>& answers) {
    return std::any_of(answers.begin(), answers.end(),
        [](const replica_answer& one) { return one.content.is_object(); });
}

replica_answer ask_members(const std::string& address) {
    wire::QueryT question;
    question.subject = "members";
    const auto reply =
        runtime::ask(address, wire::make_message(question), answer_limit);
    if (!reply) {
        return {address, nullptr, reply.error().message()};
    }
    const auto* answer = reply->body.AsQueryReply();
    auto content = answer == nullptr
        ? nlohmann::json()
        : nlohmann::json::parse(answer->json, nullptr, false);
    if (answer == nullptr || !answer->ok || !content.is_object()) {
        return {address, nullptr, address + " isn't a scheduler's peer-port"};
    }
    return {address, std::move(content), {}};
}

std::vector<replica_answer> ask_group(const options& given) {
    std::vector<std::string> addresses(given.replicas);
    std::set<std::string> asked;
    std::vector<replica_answer> answers;
    for (std::size_t k = 0; k < addresses.size(); ++k) {
        if (!asked.insert(addresses[k]).second) {
            continue;
        }
        answers.push_back(ask_members(addresses[k]));
        const auto& content = answers.back().content;
        if (!content.is_object()) {
            continue;
        }
        for (const auto& peer :
            content.value("members", nlohmann::json::array())) {
            addresses.push_back(peer.value("address", ""));
        }
    }
    return answers;
}

outcome no_answer(const std::vector<replica_answer>& answers) {
    std::string text = "no replica answered";
    for (const replica_answer& one : answers) {
        absl::StrAppend(&text, "\n", one.error);
    }
    return {
        runtime::status_failed, text, {{"result", "failed"}, {"error", text}}};
}

outcome refused(const std::string& why) {
    return {runtime::status_failed, "refused: " + why,
        {{"result", "refused"}, {"detail", why}}};
}

std::string describe_reform(const group_status& group, const options& given) {
    const replica_row& newest = group.rows[group.newest];
    std::string text = absl::StrCat(newest.name,
        " stands for election without ", absl::StrJoin(given.without, ", "),
        ", as if their disks were lost.\nIt holds record ", newest.last_index,
        " of term ", newest.term, "; what only ",
        absl::StrJoin(given.without, ", "),
        " hold is lost, also if it was acknowledged.\nThey may return only on "
        "empty disks.");
    for (const replica_row& row : group.rows) {
        if (row.voter && row.state == replica_state::silent &&
            std::find(given.without.begin(), given.without.end(), row.name) ==
                given.without.end()) {
            absl::StrAppend(&text, "\n", row.name,
                " is silent as well and isn't named: it must answer, or no "
                "leader may be had.");
        }
    }
    return text;
}

} // namespace

outcome show_group(const options& given) {
    const auto answers = ask_group(given);
    if (!has_answer(answers)) {
        return no_answer(answers);
    }
    const group_status group = assess(answers);
    return {group.has_leader() ? runtime::status_ok : runtime::status_failed,
        table_of(group), to_json(group)};
}

outcome reform_group(const options& given) {
    if (given.without.empty()) {
        return misused(
            "expected --without NAME,..., the members that are gone");
    }
    if (given.author.empty()) {
        return misused("expected --author WHO, who asks for the change");
    }
    const auto answers = ask_group(given);
    if (!has_answer(answers)) {
        return no_answer(answers);
    }
    const group_status group = assess(answers);
    const std::string objection = find_objection(group, given.without);
    if (!objection.empty()) {
        return refused(objection);
    }
    if (!given.yes) {
        return preview(describe_reform(group, given), to_json(group));
    }
    wire::ReformGroupT order;
    order.lost = given.without;
    order.author = given.author;
    const std::string& address = group.rows[group.newest].address;
    const auto reply =
        runtime::ask(address, wire::make_message(std::move(order)));
    if (!reply) {
        return failed(reply.error());
    }
    const auto* answer = reply->body.AsProposeReply();
    if (answer == nullptr) {
        return failed({make_error_code(errc::malformed_message), "reform group",
            address, {}});
    }
    outcome said = describe(*answer);
    if (said.status == runtime::status_ok) {
        absl::StrAppend(&said.text, ": ", group.rows[group.newest].name,
            " stands for election; see dfm replica status");
    }
    return said;
}

} // namespace dragonflymount::operator_program
