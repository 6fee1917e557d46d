// Blocking sockets with time limits.
#include "net.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

constexpr int backlog = 128;
constexpr milliseconds poll_interval{100};

sockaddr_in parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(
        std::strtoul(text.c_str() + colon + 1, nullptr, 10)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

bool wait_for(int socket, short events, steady::time_point limit) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(limit - steady::now());
    pollfd watched{socket, events, 0};
    return left.count() > 0 &&
        ::poll(&watched, 1, static_cast<int>(left.count())) > 0;
}

bool send_all(int socket, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(
            socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string header_of(const std::string& head, const std::string& name) {
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
        [](unsigned char symbol) { return std::tolower(symbol); });
    const std::size_t found = lower.find("\r\n" + name + ":");
    if (found == std::string::npos) {
        return {};
    }
    std::size_t begin = found + name.size() + 3;
    begin = head.find_first_not_of(' ', begin);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

struct raw_message {
    std::string head;
    std::string body;
};

// Reads one message with a Content-Length.
std::optional<raw_message> read_message(
    int socket, std::string& buffer, steady::time_point limit, bool& cut) {
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::string head = buffer.substr(0, end + 2);
            const std::size_t length = std::strtoul(
                header_of(head, "content-length").c_str(), nullptr, 10);
            if (buffer.size() >= end + 4 + length) {
                raw_message message{head, buffer.substr(end + 4, length)};
                buffer.erase(0, end + 4 + length);
                return message;
            }
        }
        if (!wait_for(socket, POLLIN, limit)) {
            return std::nullopt;
        }
        char part[16384];
        const ssize_t count = ::recv(socket, part, sizeof part, 0);
        if (count <= 0) {
            cut = true;
            return std::nullopt;
        }
        buffer.append(part, static_cast<std::size_t>(count));
    }
}

} // namespace

bool http_connection::open(const std::string& address, milliseconds limit) {
    close();
    const sockaddr_in peer = parse_address(address);
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const int flags = ::fcntl(socket_, F_GETFL);
    ::fcntl(socket_, F_SETFL, flags | O_NONBLOCK);
    const int status = ::connect(
        socket_, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
    int error = status == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        socklen_t size = sizeof error;
        const bool ready = wait_for(socket_, POLLOUT, steady::now() + limit);
        ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
        error = ready ? error : ETIMEDOUT;
    }
    ::fcntl(socket_, F_SETFL, flags);
    if (error != 0) {
        close();
    }
    return is_open();
}

bool http_connection::send(const http_call& call, bool keep_alive) {
    std::string text = call.method + " " + call.target +
        " HTTP/1.1\r\nHost: " + (call.host.empty() ? "control" : call.host) +
        "\r\n";
    if (!call.key.empty()) {
        text += "Authorization: Bearer " + call.key + "\r\n";
    }
    if (!call.body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    text += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    return is_open() && send_all(socket_, text + call.body);
}

http_reply http_connection::receive(milliseconds limit) {
    http_reply reply;
    std::string buffer;
    const auto message =
        read_message(socket_, buffer, steady::now() + limit, reply.cut);
    if (!message) {
        close();
        return reply;
    }
    reply.status = std::atoi(message->head.substr(9, 3).c_str());
    reply.body = message->body;
    reply.location = header_of(message->head, "location");
    if (header_of(message->head, "connection") == "close") {
        close();
    }
    return reply;
}

http_reply http_connection::exchange(
    const http_call& call, milliseconds limit) {
    if (!send(call)) {
        close();
        http_reply reply;
        reply.cut = true;
        return reply;
    }
    return receive(limit);
}

void http_connection::close() {
    if (socket_ >= 0) {
        ::close(socket_);
    }
    socket_ = -1;
}

http_reply exchange(
    const std::string& address, const http_call& call, milliseconds limit) {
    http_connection connection;
    if (!connection.open(address, limit)) {
        return {};
    }
    return connection.exchange(call, limit);
}

http_reply call_control(
    std::string address, http_call call, milliseconds limit) {
    constexpr int most_redirections = 2;
    constexpr std::size_t scheme_length = 7;
    http_reply reply;
    for (int k = 0; k <= most_redirections; ++k) {
        reply = exchange(address, call, limit);
        if (reply.status != 307 || reply.location.size() < scheme_length) {
            return reply;
        }
        const std::string rest = reply.location.substr(scheme_length);
        address = rest.substr(0, rest.find('/'));
        call.target = rest.substr(rest.find('/'));
    }
    return reply;
}

bool is_free(const std::string& address) {
    const sockaddr_in own = parse_address(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&own),
                           sizeof own) == 0;
    ::close(socket);
    return bound;
}

bool http_server::start(const std::string& address, handler on_request) {
    on_request_ = std::move(on_request);
    const sockaddr_in own = parse_address(address);
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&own),
            sizeof own) != 0 ||
        ::listen(listener_, backlog) != 0) {
        return false;
    }
    acceptor_ = std::thread([this] {
        while (!stopped_) {
            if (!wait_for(listener_, POLLIN, steady::now() + poll_interval)) {
                continue;
            }
            const int socket =
                ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0) {
                const std::lock_guard lock(mutex_);
                sockets_.insert(socket);
                sessions_.emplace_back([this, socket] { serve(socket); });
            }
        }
    });
    return true;
}

void http_server::serve(int socket) {
    std::string buffer;
    bool cut = false;
    while (!stopped_ && !cut) {
        const auto message =
            read_message(socket, buffer, steady::now() + poll_interval, cut);
        if (!message) {
            continue;
        }
        const std::size_t blank = message->head.find(' ');
        http_call call;
        call.method = message->head.substr(0, blank);
        call.target = message->head.substr(
            blank + 1, message->head.find(' ', blank + 1) - blank - 1);
        call.body = message->body;
        const http_reply reply = on_request_(call);
        cut = !send_all(socket,
            "HTTP/1.1 " + std::to_string(reply.status) +
                " Reply\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body);
    }
    const std::lock_guard lock(mutex_);
    sockets_.erase(socket);
    ::close(socket);
}

void http_server::stop() {
    if (stopped_.exchange(true) || listener_ < 0) {
        return;
    }
    acceptor_.join();
    ::close(listener_);
    for (std::thread& session : sessions_) {
        session.join();
    }
}

} // namespace review
