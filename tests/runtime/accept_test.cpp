// How soon a busy server accepts the connections that wait.
#include "dragonflymount/src/Runtime/Http.hpp"

#include <gtest/gtest.h>

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

} // namespace
} // namespace dragonflymount::runtime
