// How soon a busy server accepts the connections that wait.
#include "dragonflymount/src/Runtime/Http.hpp"
#include "dragonflymount/src/Runtime/Listening.hpp"

#include <gtest/gtest.h>

#include <sys/resource.h>
#include <unistd.h>

namespace dragonflymount::runtime {
namespace {

using asio::ip::tcp;

constexpr std::string_view request = "GET / HTTP/1.1\r\n\r\n";

tcp::endpoint endpoint_of(const http_server& server) {
    const std::string address = server.address();
    const auto port = std::stoi(address.substr(address.rfind(':') + 1));
    return {
        asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)};
}

/// Sends its next request as soon as the last one is answered.
class busy_caller {
public:
    busy_caller(asio::io_context& context, const tcp::endpoint& server)
        : socket_(context) {
        socket_.connect(server);
        ask();
    }

private:
    void ask() {
        asio::write(socket_, asio::buffer(request));
        socket_.async_read_some(
            asio::buffer(chunk_), [this](std::error_code code, std::size_t) {
                if (!code) {
                    ask();
                }
            });
    }

    tcp::socket socket_;
    std::array<char, 256> chunk_{};
};

// A server that accepted one connection in each pass over the ready ones found
// the callers of the others gone.
TEST(busy_http_server, accepts_waiting_callers_before_serving_others_again) {
    constexpr std::size_t callers = 60;
    asio::io_context context;
    http_server server(context, {});
    std::size_t served = 0;
    ASSERT_TRUE(server.start("127.0.0.1:0",
        [&](const http_request&, const http_server::responder& respond) {
            ++served;
            respond({200, {}, {}});
        }));
    std::vector<std::unique_ptr<busy_caller>> busy;
    for (std::size_t k = 0; k < callers; ++k) {
        busy.push_back(
            std::make_unique<busy_caller>(context, endpoint_of(server)));
    }
    while (served < 10 * callers) {
        context.run_one();
    }
    std::vector<tcp::socket> waiting;
    for (std::size_t k = 0; k < callers; ++k) {
        waiting.emplace_back(context).connect(endpoint_of(server));
    }
    const std::size_t served_before = served;
    while (server.connections() < 2 * callers) {
        context.run_one();
    }
    EXPECT_LE(served - served_before, 3 * callers);
}

// The next accept may have completed already when the server is stopped.
TEST(http_server, begins_no_session_once_it_is_stopped) {
    asio::io_context context;
    http_server server(context, {});
    ASSERT_TRUE(server.start("127.0.0.1:0",
        [](const http_request&, const http_server::responder&) {}));
    std::vector<tcp::socket> waiting;
    for (std::size_t k = 0; k < most_accepts + 2; ++k) {
        waiting.emplace_back(context).connect(endpoint_of(server));
    }
    while (server.accepted() == 0) {
        context.run_one();
    }
    server.stop();
    context.poll();
    EXPECT_EQ(server.connections(), 0U);
}

// A busy server did the work of callers that had given up, one by one.
TEST(http_server, drops_requests_whose_callers_have_gone) {
    asio::io_context context;
    http_limits limits;
    limits.drop_abandoned = true;
    http_server server(context, limits);
    std::size_t handled = 0;
    ASSERT_TRUE(server.start("127.0.0.1:0",
        [&](const http_request&, const http_server::responder& respond) {
            ++handled;
            respond({200, {}, {}});
        }));
    tcp::socket patient(context);
    patient.connect(endpoint_of(server));
    asio::write(patient, asio::buffer(request));
    for (std::size_t k = 0; k < 3; ++k) {
        tcp::socket impatient(context);
        impatient.connect(endpoint_of(server));
        asio::write(impatient, asio::buffer(request));
    }
    context.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(handled, 1U);
    EXPECT_EQ(server.connections(), 1U);
}

/// Limits the descriptors of this process to about \p count beside those that
/// are open, until the scope ends.
class descriptor_limit {
public:
    explicit descriptor_limit(int count) {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int lowest_free = ::dup(STDIN_FILENO);
        ::close(lowest_free);
        rlimit reduced = before_;
        reduced.rlim_cur =
            static_cast<rlim_t>(lowest_free) + static_cast<rlim_t>(count);
        ::setrlimit(RLIMIT_NOFILE, &reduced);
    }
    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit before_{};
};

// Each accept that failed put off the closing of idle connections, which alone
// makes descriptors free.
TEST(http_server, closes_idle_connections_while_no_descriptor_is_free) {
    constexpr std::size_t callers = 20;
    constexpr duration patience = std::chrono::seconds(10);
    asio::io_context context;
    http_limits limits;
    limits.idle_timeout = std::chrono::milliseconds(100);
    http_server server(context, limits);
    ASSERT_TRUE(server.start("127.0.0.1:0",
        [](const http_request&, const http_server::responder&) {}));
    std::vector<tcp::socket> idle;
    for (std::size_t k = 0; k < callers; ++k) {
        idle.emplace_back(context).connect(endpoint_of(server));
    }
    const descriptor_limit scarce(callers / 2);
    const auto end = std::chrono::steady_clock::now() + patience;
    while (
        server.accepted() < callers && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(server.accepted(), callers);
}

} // namespace
} // namespace dragonflymount::runtime
