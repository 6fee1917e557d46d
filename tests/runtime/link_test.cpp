// How long a link waits for a peer that comes back.
#include "dragonflymount/runtime.hpp"

#include <gtest/gtest.h>

#include <list>

namespace dragonflymount::runtime {
namespace {

using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

// After which the system sends an unanswered opening packet again.
constexpr duration first_resend = std::chrono::seconds(1);

class link_test : public testing::Test {
protected:
    void open(link& opened) {
        opened.start([this](const auto&) { context_.stop(); },
            [](const auto&, wire::message&&) {},
            [](const auto&, const failure&) {});
    }
    /// \returns how long it takes until the link is open.
    duration time_to_open(const link& opened) {
        const instant begun = system_clock::now();
        context_.restart();
        context_.run_for(std::chrono::seconds(5));
        EXPECT_TRUE(opened.is_open());
        return system_clock::now() - begun;
    }

    asio::io_context context_;
    tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    std::string address_ =
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
};

// Guards against a peer that is reached seconds after its return: the attempt
// begun before it is unanswered still.
TEST_F(link_test, reaches_a_peer_at_once_that_answered_nothing_before) {
    // A full queue drops opening packets, like a machine without power.
    acceptor_.listen(0);
    std::list<tcp::socket> queued;
    for (int k = 0; k < 4; ++k) {
        queued.emplace_back(context_);
        queued.back().async_connect(
            acceptor_.local_endpoint(), [](std::error_code) {});
    }
    context_.run_for(milliseconds(100));
    link opened(context_, address_, {});
    open(opened);
    context_.restart();
    context_.run_for(milliseconds(100));
    ASSERT_FALSE(opened.is_open());
    queued.clear();
    acceptor_.non_blocking(true);
    asio::error_code empty;
    while (!empty) {
        acceptor_.accept(empty);
    }
    EXPECT_LT(time_to_open(opened), first_resend * 6 / 10);
    opened.stop();
}

// Guards against attempts that become rare for a replica that has little time
// to catch up.
TEST_F(link_test, keeps_to_the_bound_of_its_retries) {
    const tcp::endpoint endpoint = acceptor_.local_endpoint();
    acceptor_.close();
    connection_options options;
    options.longest_retry_delay = milliseconds(100);
    link opened(context_, address_, options);
    open(opened);
    context_.run_for(milliseconds(1500));
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    EXPECT_LT(time_to_open(opened), 3 * options.longest_retry_delay);
    opened.stop();
}

} // namespace
} // namespace dragonflymount::runtime
