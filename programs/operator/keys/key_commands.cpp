// Withdrawal of a key: at every entry that can be reached, and in the log.
//
// The entries come first: a withdrawal only ever takes away, so it may be in
// force before the log has it, and in a zone that the leader can't reach.
#include "programs/operator/keys/key_commands.hpp"

#include "dragonflymount/rules.hpp"
#include "programs/operator/control/leader.hpp"

#include <future>
#include <iostream>
#include <set>

namespace dragonflymount::operator_program {
namespace {

constexpr duration entry_limit = std::chrono::seconds(2);

struct entry_reply {
    std::string address;
    /// The entry's name, empty if it wasn't reached.
    std::string entry;
    std::string error;
};

/// "-" reads the key from the standard input, which keeps it out of the list
/// of processes and the shell's history.
std::string digest_of(std::string key) {
    if (key == "-") {
        std::getline(std::cin, key);
    }
    return is_key_digest(key) ? key : key_digest(key);
}

std::set<std::string> find_entries(const options& given) {
    std::set<std::string> addresses(given.entries.begin(), given.entries.end());
    const auto known = query(given, "entries");
    if (known) {
        for (const auto& entry : (*known)["entries"]) {
            addresses.insert(entry.value("address", ""));
        }
    }
    return addresses;
}

entry_reply withdraw_at(const std::string& address, wire::WithdrawT content) {
    const auto reply = runtime::ask(
        address, wire::make_message(std::move(content)), entry_limit);
    if (!reply) {
        return {address, {}, reply.error().message()};
    }
    const auto* answer = reply->body.AsProposeReply();
    if (answer == nullptr ||
        answer->result != wire::proposal_result::accepted) {
        return {address, {}, "the entry refused it"};
    }
    return {address, answer->detail, {}};
}

std::vector<entry_reply> withdraw_at_entries(
    const std::set<std::string>& addresses, const wire::WithdrawT& content) {
    std::vector<std::future<entry_reply>> asked;
    asked.reserve(addresses.size());
    for (const std::string& address : addresses) {
        asked.push_back(
            std::async(std::launch::async, withdraw_at, address, content));
    }
    std::vector<entry_reply> replies;
    replies.reserve(asked.size());
    for (auto& pending : asked) {
        replies.push_back(pending.get());
    }
    return replies;
}

outcome preview_withdrawal(const std::string& digest, const options& given) {
    std::string team = "no team that is known here";
    if (const auto current = query(given, "rules")) {
        const auto parsed = rules::parse(current->value("text", ""));
        const auto found = parsed.rules.keys.find(digest);
        if (found != parsed.rules.keys.end()) {
            team = "team " + found->second.str();
        }
    }
    return preview("key " + digest + " admits " + team +
            "; withdrawn, it can never be granted again",
        {{"digest", digest}, {"admits", team}});
}

void add_replies(outcome& said, const std::vector<entry_reply>& replies) {
    said.content["entries"] = nlohmann::json::array();
    for (const entry_reply& reply : replies) {
        const bool reached = !reply.entry.empty();
        said.text += reached
            ? "\nin force at " + reply.entry + " (" + reply.address + ")"
            : "\nnot reached: " + reply.address + ": " + reply.error;
        said.content["entries"].push_back(
            {{"address", reply.address}, {"entry", reply.entry},
                {"in_force", reached}, {"error", reply.error}});
    }
}

outcome withdraw(
    const std::vector<std::string>& arguments, const options& given) {
    const std::string digest = digest_of(arguments[0]);
    if (!given.yes) {
        return preview_withdrawal(digest, given);
    }
    wire::WithdrawT at_entry;
    at_entry.digest = digest;
    at_entry.author = given.author;
    const auto replies = withdraw_at_entries(find_entries(given), at_entry);
    wire::WithdrawKeyT content;
    content.digest = digest;
    content.author = given.author;
    content.submission = submission_name(given);
    content.time_ms = runtime::wall_time_ms();
    const auto reply = propose(given, wire::encode_command(std::move(content)));
    outcome said = reply ? describe(*reply) : failed(reply.error());
    add_replies(said, replies);
    return said;
}

} // namespace

std::vector<command> key_commands() {
    command made{"withdraw", "KEY|DIGEST|-", 1, 1, "withdraw a key", {}, true,
        true, withdraw};
    made.details =
        "  - reads the key from the standard input.\n"
        "  --author WHO       kept in the history; needed\n"
        "  --yes              do it; without it the effect is shown, status 1\n"
        "  --entries IP:port  further entries to tell, as in a zone that the\n"
        "                     leader can't reach\n"
        "  Status 0 only if the log has it; each entry that was told or not\n"
        "  reached is listed in either case.\n";
    return {made};
}

} // namespace dragonflymount::operator_program
