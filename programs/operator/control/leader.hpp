// Questions and proposals to the leading control replica.
#ifndef DRAGONFLYMOUNT_OPERATOR_CONTROL_LEADER_HPP
#define DRAGONFLYMOUNT_OPERATOR_CONTROL_LEADER_HPP

#include "dragonflymount/runtime.hpp"
#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

/// \brief Asks one replica after the other until the leader answers.
/// \param accept tells the leader's answer from that of another replica.
result<wire::message> ask_leader(const options& given,
    const wire::message& question,
    const std::function<bool(wire::message&)>& accept);

/// \returns the leader's answer to a query on \p subject.
result<nlohmann::json> query(const options& given, const std::string& subject);

/// \brief Proposes a command for the log.
result<wire::ProposeReplyT> propose(const options& given, bytes command);

/// \brief Sends a message that the leader answers by a ProposeReply.
result<wire::ProposeReplyT> request_change(
    const options& given, const wire::message& question);

/// \returns the outcome that a reply means to the operator.
outcome describe(const wire::ProposeReplyT& reply);

/// \returns the given submission's name, or a fresh one.
std::string submission_name(const options& given);

} // namespace dragonflymount::operator_program

#endif
