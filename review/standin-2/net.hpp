// Small blocking HTTP/1.1 client and server for the stand-ins of a case.
#ifndef DRAGONFLYMOUNT_REVIEW_NET_HPP
#define DRAGONFLYMOUNT_REVIEW_NET_HPP

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct http_call {
    std::string method;
    std::string target;
    std::string host;
    std::string body;
    /// API key; sent as a bearer token unless empty.
    std::string key;
};

/// \brief A reply; status 0 means that none came.
struct http_reply {
    int status = 0;
    std::string body;
    std::string location;
    /// The peer closed or reset the connection before the reply was complete.
    bool cut = false;
};

/// \brief One client connection.
class http_connection {
public:
    http_connection() = default;
    ~http_connection() { close(); }
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    bool open(const std::string& address, milliseconds limit);
    bool is_open() const { return socket_ >= 0; }
    /// \brief Writes the whole request without waiting for its reply.
    bool send(const http_call& call, bool keep_alive = true);
    http_reply receive(milliseconds limit);
    http_reply exchange(const http_call& call, milliseconds limit);
    void close();

private:
    int socket_ = -1;
};

/// \brief Sends one request on a connection of its own.
http_reply exchange(
    const std::string& address, const http_call& call, milliseconds limit);

/// \brief Sends a request to one control node and follows two redirections.
http_reply call_control(
    std::string address, http_call call, milliseconds limit);

/// \returns whether the address can be bound.
bool is_free(const std::string& address);

/// \brief Serves requests, one thread for each connection.
class http_server {
public:
    using handler = std::function<http_reply(const http_call&)>;

    ~http_server() { stop(); }
    bool start(const std::string& address, handler on_request);
    void stop();

private:
    void serve(int socket);

    handler on_request_;
    std::atomic<bool> stopped_{false};
    int listener_ = -1;
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> sockets_;
    std::vector<std::thread> sessions_;
};

} // namespace review

#endif
