// A TCP port that accepts connections.
#ifndef DRAGONFLYMOUNT_RUNTIME_LISTENING_HPP
#define DRAGONFLYMOUNT_RUNTIME_LISTENING_HPP

#include "dragonflymount/core.hpp"

#include <asio.hpp>

namespace dragonflymount::runtime {

/// How long to wait after an accept that failed, for want of descriptors for
/// example.
inline constexpr duration accept_retry = std::chrono::milliseconds(100);

/// Connections that are accepted at once at most, so that connections that are
/// open already get their turn.
inline constexpr std::size_t most_accepts = 256;

/// \brief Opens \p acceptor, which then never waits for a connection, at \p
/// address, "IP:port".
result<done> open_acceptor(
    asio::ip::tcp::acceptor& acceptor, const std::string& address);

/// \brief Accepts the connections that wait, \p first among them.
///
/// An asynchronous accept completes once in a pass over all connections that
/// are ready. With one connection a pass, a busy process would accept fewer
/// than arrive, and find their callers gone when it gets to them. \param add
/// called with the socket of each connection.
template <class Handler>
void accept_waiting(asio::ip::tcp::acceptor& acceptor,
    asio::ip::tcp::socket first, Handler add) {
    add(std::move(first));
    for (std::size_t count = 1; count < most_accepts; ++count) {
        // An error shows again in the next asynchronous accept.
        asio::error_code code;
        asio::ip::tcp::socket next(acceptor.get_executor());
        acceptor.accept(next, code);
        if (code) {
            return;
        }
        add(std::move(next));
    }
}

/// \returns where \p acceptor listens, "IP:port".
std::string address_of(const asio::ip::tcp::acceptor& acceptor);

} // namespace dragonflymount::runtime

#endif
