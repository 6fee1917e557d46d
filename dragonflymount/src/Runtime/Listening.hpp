// A TCP port that accepts connections.
#ifndef DRAGONFLYMOUNT_RUNTIME_LISTENING_HPP
#define DRAGONFLYMOUNT_RUNTIME_LISTENING_HPP

#include "dragonflymount/core.hpp"

#include <asio.hpp>

namespace dragonflymount::runtime {

/// How long to wait after an accept that failed, for want of descriptors for
/// example.
inline constexpr duration accept_retry = std::chrono::milliseconds(100);

/// \brief Opens \p acceptor at \p address, "IP:port".
result<done> open_acceptor(
    asio::ip::tcp::acceptor& acceptor, const std::string& address);

/// \returns where \p acceptor listens, "IP:port".
std::string address_of(const asio::ip::tcp::acceptor& acceptor);

} // namespace dragonflymount::runtime

#endif
