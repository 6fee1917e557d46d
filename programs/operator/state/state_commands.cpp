// The state of the site, and of one process.
#include "programs/operator/state/state_commands.hpp"

#include "programs/operator/control/leader.hpp"

namespace dragonflymount::operator_program {
namespace {

using words = std::vector<std::string>;

std::string entry_lines(const nlohmann::json& entries) {
    std::string text;
    for (const auto& entry : entries["entries"]) {
        text += "\nentry " + entry.value("entry", "") + " zone " +
            entry.value("zone", "") + " at " + entry.value("address", "") +
            " version " + entry["version"].dump() + " heard " +
            entry["age_ms"].dump() + " ms ago";
    }
    return text;
}

outcome show_entries(const words&, const options& given) {
    const auto found = query(given, "entries");
    if (!found) {
        return failed(found.error());
    }
    return {runtime::status_ok,
        "version " + (*found)["version"].dump() + entry_lines(*found), *found};
}

/// One replica's own word on itself, or why there is none.
nlohmann::json describe_replica(const std::string& address) {
    wire::QueryT question;
    question.subject = "dump";
    const auto reply = runtime::ask(address, wire::make_message(question));
    const auto* answer = reply ? reply->body.AsQueryReply() : nullptr;
    if (answer == nullptr) {
        return {{"address", address}, {"role", "unreachable"}};
    }
    const auto content = nlohmann::json::parse(answer->json, nullptr, false);
    if (!content.is_object()) {
        return {{"address", address}, {"role", "unreadable"}};
    }
    return {{"address", address}, {"replica", content.value("replica", "")},
        {"role", content.value("role", "")},
        {"term", content.value("term", std::uint64_t{0})},
        {"commit", content.value("commit", std::uint64_t{0})}};
}

outcome show_status(const words&, const options& given) {
    outcome said;
    said.content["replicas"] = nlohmann::json::array();
    for (const std::string& address : given.replicas) {
        const nlohmann::json one = describe_replica(address);
        said.text += "replica " + one.value("replica", "?") + " at " + address +
            " " + one.value("role", "") + " commit " +
            std::to_string(one.value("commit", std::uint64_t{0})) + "\n";
        said.content["replicas"].push_back(one);
    }
    const outcome entries = show_entries({}, given);
    said.status = entries.status;
    said.text += entries.text;
    said.content["version"] = entries.content.value("version", 0);
    said.content["entries"] =
        entries.content.value("entries", nlohmann::json::array());
    return said;
}

outcome dump(const words& arguments, const options&) {
    wire::QueryT question;
    question.subject = "dump";
    const auto reply = runtime::ask(arguments[0], wire::make_message(question));
    if (!reply) {
        return failed(reply.error());
    }
    const auto* answer = reply->body.AsQueryReply();
    const auto content = answer == nullptr
        ? nlohmann::json()
        : nlohmann::json::parse(answer->json, nullptr, false);
    if (!content.is_object()) {
        return failed({make_error_code(errc::malformed_message), "read dump",
            arguments[0], {}});
    }
    return {runtime::status_ok, content.dump(2), content};
}

} // namespace

std::vector<command> state_commands() {
    return {{"status", "", 0, 0, "the replicas and the entries", {}, false,
                true, show_status},
        {"entries", "", 0, 0, "the entries and the versions they have", {},
            false, true, show_entries},
        {"dump", "IP:port", 1, 1, "the state of one process", {}, false, false,
            dump}};
}

} // namespace dragonflymount::operator_program
