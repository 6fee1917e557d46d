// HTTP/1.1 messages, server and client on the event loop.
//
// Heads and bodies are parsed by Boost.Beast; connections are standalone
// Asio's. Everything runs on the thread of the io_context, and nothing polls:
// one timer a server and one a client look after overdue connections.
#ifndef DRAGONFLYMOUNT_RUNTIME_HTTP_HPP
#define DRAGONFLYMOUNT_RUNTIME_HTTP_HPP

#include "dragonflymount/src/Runtime/Clock.hpp"
#include "dragonflymount/src/Runtime/RequestBudget.hpp"

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflymount::runtime {

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;

    /// \returns the first value of a header, whose name is compared without
    /// regard to case; empty if it isn't there.
    std::string_view header(std::string_view name) const;
};

struct http_response {
    unsigned status = 0;
    http_headers headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

struct http_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 256U << 10U;
    /// Bytes of all requests that are being read or whose reply is owed. Beyond
    /// it the largest request that is being read is refused.
    std::uint64_t request_memory = 16U << 20U;
    /// Open connections. Beyond it the one that has waited the longest for a
    /// request, or for the rest of one, is closed.
    std::size_t connections = 1024;
    /// From the first byte of a request to its last.
    duration request_timeout = std::chrono::seconds(5);
    /// Drop a request whose caller has closed the connection before it is
    /// handled. Only for callers that don't close their sending side alone.
    bool drop_abandoned = false;
    /// Between two requests of a connection, and until a caller has taken a
    /// reply.
    duration idle_timeout = std::chrono::seconds(20);
};

/// \brief Limits of servers for checks of readiness and for metrics, whose
/// requests have no body.
inline constexpr http_limits probe_limits{
    .body_bytes = 4U << 10U, .request_memory = 1U << 20U, .connections = 64};

/// \brief How many clients a server has turned away for their use of memory or
/// connections.
struct http_refusals {
    std::uint64_t requests_over_memory = 0;
    std::uint64_t closed_connections = 0;

    friend bool operator==(
        const http_refusals&, const http_refusals&) = default;
};

class http_session;

/// \brief Accepts connections and hands each whole request to the handler.
///
/// Requests of one connection are handled one after the other. The reply may
/// come at any time; if the connection is gone by then, it is dropped.
class http_server {
public:
    using responder = std::function<void(const http_response&)>;
    using handler = std::function<void(http_request&&, responder)>;

    http_server(asio::io_context& context, http_limits limits);
    ~http_server();

    /// \param address "IP:port"; port 0 lets the system choose.
    result<done> start(const std::string& address, handler on_request);
    /// \brief Closes all connections.
    void stop();
    /// \brief Asks callers to go elsewhere: replies from now on close their
    /// connections.
    void drain() { draining_ = true; }
    /// \returns requests whose reply is still owed.
    std::size_t open_requests() const { return open_requests_; }
    std::size_t connections() const { return sessions_.size(); }
    /// \returns the number of connections accepted since the start.
    std::uint64_t accepted() const { return accepted_; }
    /// \returns the number of replies since the start that were dropped
    /// because their connection was gone.
    std::uint64_t undelivered() const { return undelivered_; }
    /// \returns the clients turned away since the start.
    const http_refusals& refusals() const { return refusals_; }
    std::string address() const;

private:
    friend class http_session;

    void accept();
    void accept_later();
    void begin_session(asio::ip::tcp::socket socket);
    void make_room();
    void hold(http_session* session, std::uint64_t bytes);
    void close(const std::shared_ptr<http_session>& session);
    void sweep();
    void log_refusals();

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer sweep_timer_;
    asio::steady_timer accept_timer_;
    http_limits limits_;
    handler on_request_;
    std::set<std::shared_ptr<http_session>> sessions_;
    std::size_t open_requests_ = 0;
    std::uint64_t accepted_ = 0;
    std::uint64_t undelivered_ = 0;
    request_budget<http_session*> budget_;
    http_refusals refusals_;
    http_refusals logged_refusals_;
    bool draining_ = false;
};

class http_exchange;

/// \brief Sends requests, over connections that are kept open.
class http_client {
public:
    using handler = std::function<void(result<http_response>)>;

    explicit http_client(asio::io_context& context);
    ~http_client();

    /// \brief Sends one request.
    /// \param address "IP:port".
    /// \param on_reply called once, with errc::timeout after \p limit. The
    /// connection of a failed request is reset, so that what a partition holds
    /// up of it doesn't arrive when the partition ends.
    void send(const std::string& address, const http_request& request,
        duration limit, handler on_reply);
    /// \brief Fails every request that has no reply yet with
    /// errc::unavailable, and resets its connection.
    void abort();
    void stop();

private:
    friend class http_exchange;

    asio::io_context& context_;
    std::set<std::shared_ptr<http_exchange>> exchanges_;
    std::multimap<std::string, asio::ip::tcp::socket> idle_;
};

} // namespace dragonflymount::runtime

#endif
