// One question and its reply, for command-line tools.
#ifndef DRAGONFLYMOUNT_RUNTIME_CLIENT_HPP
#define DRAGONFLYMOUNT_RUNTIME_CLIENT_HPP

#include "dragonflymount/src/Runtime/Connection.hpp"

namespace dragonflymount::runtime {

/// \brief Sends \p question and waits for the message that answers it.
/// \returns a failure if nothing arrived within \p limit.
result<wire::message> ask(const std::string& address, wire::message question,
    duration limit = std::chrono::seconds(3));

} // namespace dragonflymount::runtime

#endif
