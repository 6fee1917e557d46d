// Admission, promotion and removal of control replicas, one at a time, and the
// verbs for a group of schedulers.
#include "programs/operator/replicas/replica_commands.hpp"

#include "programs/operator/control/leader.hpp"
#include "programs/operator/replicas/group_commands.hpp"

#include <optional>

namespace dragonflymount::operator_program {
namespace {

std::optional<wire::replica_change> change_of(const std::string& verb) {
    if (verb == "admit") {
        return wire::replica_change::admit;
    }
    if (verb == "promote") {
        return wire::replica_change::promote;
    }
    if (verb == "remove") {
        return wire::replica_change::remove;
    }
    return std::nullopt;
}

/// Asks the replica itself which data folder it has.
result<std::uint64_t> find_identity(const std::string& address) {
    wire::QueryT question;
    question.subject = "dump";
    const auto reply = runtime::ask(address, wire::make_message(question));
    if (!reply) {
        return reply.error();
    }
    const auto* answer = reply->body.AsQueryReply();
    const auto content = answer == nullptr
        ? nlohmann::json()
        : nlohmann::json::parse(answer->json, nullptr, false);
    if (!content.is_object() || !content.contains("identity")) {
        return failure{make_error_code(errc::malformed_message),
            "find identity", address, "expected --identity N"};
    }
    return content["identity"].get<std::uint64_t>();
}

result<std::unique_ptr<wire::MemberT>> make_member(wire::replica_change change,
    const std::string& text, const options& given) {
    const std::vector<std::string> parts = split(text, '@');
    auto made = std::make_unique<wire::MemberT>();
    made->replica = parts[0];
    made->identity = given.identity;
    if (change != wire::replica_change::admit) {
        return made;
    }
    made->zone = parts[1];
    made->address = parts[2];
    if (made->identity == 0) {
        const auto found = find_identity(made->address);
        if (!found) {
            return found.error();
        }
        made->identity = *found;
    }
    return made;
}

outcome change_members(
    const std::vector<std::string>& arguments, const options& given);

outcome replica(
    const std::vector<std::string>& arguments, const options& given) {
    const std::string& verb = arguments[0];
    const bool asks_group = verb == "status" || verb == "reform";
    if (!asks_group && !change_of(verb)) {
        return misused(
            "expected replica status|reform|admit|promote|remove, found '" +
            verb + "'");
    }
    if (asks_group) {
        if (arguments.size() > 1) {
            return misused("expected no name after replica " + verb);
        }
        return verb == "status" ? show_group(given) : reform_group(given);
    }
    if (given.author.empty()) {
        return misused("expected --author WHO, who asks for the change");
    }
    if (arguments.size() < 2) {
        return misused("expected replica " + verb + " NAME");
    }
    return change_members(arguments, given);
}

outcome change_members(
    const std::vector<std::string>& arguments, const options& given) {
    const auto change = change_of(arguments[0]);
    const std::size_t parts = split(arguments[1], '@').size();
    if (*change == wire::replica_change::admit && parts != 3) {
        return misused(
            "expected NAME@ZONE@IP:port, found '" + arguments[1] + "'");
    }
    if (*change != wire::replica_change::admit && parts != 1) {
        return misused("expected NAME, found '" + arguments[1] + "'");
    }
    if (*change == wire::replica_change::remove && !given.yes) {
        return preview("replica " + arguments[1] +
                " leaves the agreement and never votes again under its "
                "present identity",
            {{"replica", arguments[1]}});
    }
    auto member = make_member(*change, arguments[1], given);
    if (!member) {
        return failed(member.error());
    }
    wire::ChangeReplicaT content;
    content.change = *change;
    content.member = std::move(*member);
    content.author = given.author;
    const auto reply =
        request_change(given, wire::make_message(std::move(content)));
    return reply ? describe(*reply) : failed(reply.error());
}

} // namespace

std::vector<command> replica_commands() {
    command made{"replica",
        "status|reform|admit|promote|remove [NAME[@ZONE@IP:port]]", 1, 2,
        "the schedulers' group; change the control replicas, one at a time", {},
        false, true, replica};
    made.details =
        "  status                   the schedulers: who leads, who is behind,\n"
        "                           what to do without a quorum; --replicas\n"
        "                           names schedulers, with 'peer-port'\n"
        "  reform --without A,B     the scheduler with the newest log goes on\n"
        "                           without members that are gone for good\n"
        "  admit NAME@ZONE@IP:port  as a learner, which doesn't vote\n"
        "  promote NAME             a learner that has caught up votes\n"
        "  remove NAME              it neither votes nor learns\n"
        "  --author WHO             needed, but for status\n"
        "  --identity N             of its data folder; admit asks the\n"
        "                           replica for it by default\n"
        "  --yes                    remove it, or reform; without it the\n"
        "                           effect is shown, status 1\n";
    return {made};
}

} // namespace dragonflymount::operator_program
