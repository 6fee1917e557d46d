// The HTTP server and client against each other, and against bytes that are
// no request.
#include "dragonflymount/src/Runtime/Http.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace dragonflymount::runtime {
namespace {

constexpr duration patience = std::chrono::seconds(5);

class http_exchange_test : public testing::Test {
protected:
    http_exchange_test() : server_(context_, limits()), client_(context_) {
        const auto started = server_.start("127.0.0.1:0",
            [this](http_request&& request, http_server::responder respond) {
                requests_.push_back(request);
                if (request.target == "/silent") {
                    kept_ = std::move(respond);
                    return;
                }
                respond({200, {{"X-Seen", request.target}}, request.body});
            });
        EXPECT_TRUE(started);
    }
    static http_limits limits() {
        http_limits limits;
        limits.body_bytes = 1000;
        return limits;
    }
    result<http_response> ask(
        const http_request& request, duration limit = patience) {
        std::optional<result<http_response>> outcome;
        client_.send(server_.address(), request, limit,
            [&](result<http_response> reply) {
                outcome.emplace(std::move(reply));
            });
        while (!outcome) {
            context_.run_one();
        }
        return std::move(*outcome);
    }
    /// Sends bytes as they are; returns what came back until the end.
    std::string send_raw(const std::string& text) {
        asio::ip::tcp::socket socket(context_);
        const std::string address = server_.address();
        const auto port = static_cast<std::uint16_t>(
            std::stoi(address.substr(address.rfind(':') + 1)));
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(socket, asio::buffer(text));
        std::string reply;
        bool ended = false;
        std::array<char, 256> chunk{};
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(chunk),
                [&](std::error_code code, std::size_t count) {
                    reply.append(chunk.data(), count);
                    ended = static_cast<bool>(code);
                    if (!ended) {
                        read();
                    }
                });
        };
        read();
        while (!ended) {
            context_.run_one();
        }
        return reply;
    }

    asio::io_context context_;
    http_server server_;
    http_client client_;
    std::vector<http_request> requests_;
    http_server::responder kept_;
};

TEST_F(http_exchange_test, carries_method_target_headers_and_body) {
    http_request request{"PUT", "/a?b=c", {{"X-Name", "value"}}, "body"};
    const auto reply = ask(request);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 200U);
    EXPECT_EQ(reply->body, "body");
    EXPECT_EQ(reply->header("x-seen"), "/a?b=c");
    ASSERT_EQ(requests_.size(), 1U);
    EXPECT_EQ(requests_[0].method, "PUT");
    EXPECT_EQ(requests_[0].header("x-name"), "value");
}

TEST_F(http_exchange_test, keeps_connections_for_further_requests) {
    for (int k = 0; k < 3; ++k) {
        ASSERT_TRUE(ask({"GET", "/", {}, ""}));
        EXPECT_EQ(server_.connections(), 1U);
    }
}

TEST_F(http_exchange_test, gives_up_on_a_silent_server) {
    const auto reply =
        ask({"GET", "/silent", {}, ""}, std::chrono::milliseconds(50));
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().code, make_error_code(errc::timeout));
    EXPECT_EQ(reply.error().peer, server_.address());
}

TEST_F(http_exchange_test, a_reply_to_a_closed_connection_is_dropped) {
    ASSERT_FALSE(
        ask({"GET", "/silent", {}, ""}, std::chrono::milliseconds(50)));
    while (server_.open_requests() == 0) {
        context_.run_one();
    }
    kept_({200, {}, "late"});
    EXPECT_TRUE(ask({"GET", "/", {}, ""}));
}

// A server that accepts and never answers; tells how the connection ended.
class silent_peer {
public:
    explicit silent_peer(asio::io_context& context)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
          socket_(context) {
        acceptor_.async_accept(socket_, [this](std::error_code) { read(); });
    }
    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    std::error_code ended() const { return ended_; }

private:
    void read() {
        socket_.async_read_some(
            asio::buffer(chunk_), [this](std::error_code code, std::size_t) {
                if (code) {
                    ended_ = code;
                } else {
                    read();
                }
            });
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    std::array<char, 512> chunk_{};
    std::error_code ended_;
};

TEST(http_client, resets_the_connection_of_a_request_that_timed_out) {
    asio::io_context context;
    silent_peer peer(context);
    http_client client(context);
    bool failed = false;
    client.send(peer.address(), {"GET", "/", {}, ""},
        std::chrono::milliseconds(50), [&](const auto&) { failed = true; });
    context.run_for(std::chrono::milliseconds(300));
    EXPECT_TRUE(failed);
    EXPECT_EQ(peer.ended(), asio::error::connection_reset);
}

TEST(http_client, resets_connections_and_fails_requests_when_aborted) {
    asio::io_context context;
    silent_peer peer(context);
    http_client client(context);
    std::optional<failure> error;
    client.send(peer.address(), {"GET", "/", {}, ""}, std::chrono::seconds(10),
        [&](const auto& reply) { error = reply.error(); });
    context.run_for(std::chrono::milliseconds(50));
    ASSERT_FALSE(error);
    client.abort();
    ASSERT_TRUE(error);
    EXPECT_EQ(error->code, make_error_code(errc::unavailable));
    context.run_for(std::chrono::milliseconds(100));
    EXPECT_EQ(peer.ended(), asio::error::connection_reset);
}

TEST_F(http_exchange_test, closes_connections_while_draining) {
    server_.drain();
    const auto reply = ask({"GET", "/", {}, ""});
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->header("Connection"), "close");
}

TEST_F(http_exchange_test, refuses_what_is_no_request) {
    EXPECT_TRUE(
        send_raw("\x01\x02 no request\r\n\r\n").starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(requests_.empty());
}

TEST_F(http_exchange_test, refuses_bodies_over_the_limit) {
    const std::string reply =
        send_raw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\nx");
    EXPECT_TRUE(reply.starts_with("HTTP/1.1 413 ")) << reply;
    EXPECT_TRUE(requests_.empty());
}

TEST_F(http_exchange_test, refuses_heads_over_the_limit) {
    const std::string reply = send_raw("GET / HTTP/1.1\r\nX-Long: " +
        std::string(limits().header_bytes, 'x') + "\r\n\r\n");
    EXPECT_TRUE(reply.starts_with("HTTP/1.1 400 ")) << reply;
    EXPECT_TRUE(requests_.empty());
}

TEST_F(http_exchange_test, answers_requests_sent_at_once_in_order) {
    const std::string reply =
        send_raw("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                 "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::size_t first = reply.find("X-Seen: /1");
    const std::size_t second = reply.find("X-Seen: /2");
    ASSERT_NE(first, std::string::npos);
    ASSERT_NE(second, std::string::npos);
    EXPECT_LT(first, second);
}

} // namespace
} // namespace dragonflymount::runtime
