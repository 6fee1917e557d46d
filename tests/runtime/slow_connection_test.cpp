// Connections on links that carry little: how long a message may take.
#include "dragonflymount/runtime.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace dragonflymount::runtime {
namespace {

using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

constexpr duration silence_limit = milliseconds(200);
constexpr duration pause = milliseconds(20);
constexpr auto test_limit = std::chrono::seconds(5);

/// A listener, and a raw peer that sends one frame in pieces with pauses.
class slow_link : public testing::Test {
protected:
    void SetUp() override {
        connection_options options;
        options.silence_limit = silence_limit;
        options.ping_interval = pause;
        listener_.emplace(context_, options);
        ASSERT_TRUE(listener_->start(
            "127.0.0.1:0",
            [this](const auto&, wire::message&&) {
                came_ = system_clock::now();
                context_.stop();
            },
            [this](const auto&, const failure& error) {
                closed_ = error.code;
                context_.stop();
            }));
        peer_.connect(*parse_address(listener_->address()));
        wire::JobCallT call;
        call.path.assign(64U << 10U, 'x');
        frame_ = wire::encode_frame(wire::make_message(std::move(call)));
    }

    /// Sends the frame in pieces of \p size bytes until it has come, or the
    /// connection is closed.
    void send_pieces(std::size_t size) {
        begun_ = system_clock::now();
        send_piece(size);
        context_.run_for(test_limit);
    }

    asio::io_context context_;
    std::optional<listener> listener_;
    std::optional<std::error_code> closed_;
    instant begun_{};
    std::optional<instant> came_;

private:
    void send_piece(std::size_t size) {
        const std::size_t now = std::min(size, frame_.size() - sent_);
        asio::error_code ignored;
        asio::write(peer_, asio::buffer(frame_.data() + sent_, now), ignored);
        sent_ += now;
        timer_.expires_after(pause);
        timer_.async_wait([this, size](std::error_code code) {
            if (!code && sent_ < frame_.size()) {
                send_piece(size);
            }
        });
    }

    tcp::socket peer_{context_};
    asio::steady_timer timer_{context_};
    bytes frame_;
    std::size_t sent_ = 0;
};

// Guards against a message that is never whole: its connection is closed in the
// middle of it, and it is sent again from the start.
TEST_F(slow_link, carries_a_message_for_longer_than_the_silence_limit) {
    send_pieces(2048);
    EXPECT_FALSE(closed_) << closed_->message();
    ASSERT_TRUE(came_);
    EXPECT_GT(*came_ - begun_, 2 * silence_limit);
}

// Guards against peers that hold a message's memory for good.
TEST_F(slow_link, is_closed_if_a_message_comes_by_single_bytes) {
    send_pieces(8);
    EXPECT_FALSE(came_);
    EXPECT_EQ(closed_, make_error_code(errc::connection_silent));
}

} // namespace
} // namespace dragonflymount::runtime
