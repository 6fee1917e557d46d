// Search for the leader, and the forms of its answers.
#include "programs/operator/control/leader.hpp"

#include <random>
#include <thread>

namespace dragonflymount::operator_program {
namespace {

constexpr duration search_limit = std::chrono::seconds(10);
constexpr auto search_pause = std::chrono::milliseconds(100);

result<nlohmann::json> parse_json(const std::string& text) {
    auto content = nlohmann::json::parse(text, nullptr, false);
    if (content.is_discarded()) {
        return failure{make_error_code(errc::malformed_message), "read answer",
            {}, "not JSON"};
    }
    return content;
}

bool is_leaders_answer(const wire::QueryReplyT& answer) {
    const auto content = parse_json(answer.json);
    return content && content->value("leads", false);
}

bool is_final(wire::proposal_result result) {
    return result != wire::proposal_result::not_leader &&
        result != wire::proposal_result::unavailable;
}

} // namespace

result<wire::message> ask_leader(const options& given,
    const wire::message& question,
    const std::function<bool(wire::message&)>& accept) {
    const instant deadline = runtime::system_clock::now() + search_limit;
    failure last{make_error_code(errc::unavailable), "find leader", {}, {}};
    while (runtime::system_clock::now() < deadline) {
        for (const std::string& replica : given.replicas) {
            auto reply = runtime::ask(replica, question);
            if (reply && accept(*reply)) {
                return reply;
            }
            if (!reply) {
                last = reply.error();
            }
        }
        std::this_thread::sleep_for(search_pause);
    }
    return last;
}

result<nlohmann::json> query(const options& given, const std::string& subject) {
    wire::QueryT question;
    question.subject = subject;
    const auto reply = ask_leader(
        given, wire::make_message(question), [](wire::message& content) {
            const auto* answer = content.body.AsQueryReply();
            return answer != nullptr && is_leaders_answer(*answer);
        });
    if (!reply) {
        return reply.error();
    }
    const wire::QueryReplyT& answer = *reply->body.AsQueryReply();
    auto content = parse_json(answer.json);
    if (content && !answer.ok) {
        return failure{make_error_code(errc::unavailable), "query " + subject,
            {}, content->value("error", "refused")};
    }
    return content;
}

result<wire::ProposeReplyT> request_change(
    const options& given, const wire::message& question) {
    const auto reply = ask_leader(given, question, [](wire::message& content) {
        const auto* answer = content.body.AsProposeReply();
        return answer != nullptr && is_final(answer->result);
    });
    if (!reply) {
        return reply.error();
    }
    return wire::ProposeReplyT(*reply->body.AsProposeReply());
}

result<wire::ProposeReplyT> propose(const options& given, bytes command) {
    wire::ProposeT proposal;
    proposal.command = std::move(command);
    return request_change(given, wire::make_message(std::move(proposal)));
}

outcome describe(const wire::ProposeReplyT& reply) {
    const std::string name = wire::EnumNameproposal_result(reply.result);
    outcome said;
    said.content = {{"result", name}, {"version", reply.version}};
    if (reply.result == wire::proposal_result::accepted) {
        said.text = reply.version == 0
            ? "accepted"
            : "accepted as version " + std::to_string(reply.version);
        return said;
    }
    said.status = runtime::status_failed;
    said.content["detail"] = reply.detail;
    said.text = name + ": " + reply.detail;
    return said;
}

std::string submission_name(const options& given) {
    if (!given.submission.empty()) {
        return given.submission;
    }
    std::random_device source;
    return std::to_string(source()) + "-" + std::to_string(source());
}

} // namespace dragonflymount::operator_program
