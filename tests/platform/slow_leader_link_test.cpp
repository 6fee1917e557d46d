// Tests the gateway's client on a link that carries little.
#include "programs/gateway/leader_client.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::gateway_program::test {
namespace {

using namespace std::chrono_literals;
using tcp = asio::ip::tcp;

constexpr duration answer_timeout = 300ms;
// Of the link, for each piece of piece_bytes.
constexpr duration piece_time = 20ms;
constexpr std::size_t piece_bytes = 8U << 10U;

/// A leader behind a link that carries one piece at a time, 400 KB/s.
class slow_leader {
public:
    explicit slow_leader(asio::io_context& context)
        : context_(context), acceptor_(context), timer_(context) {
        acceptor_.open(tcp::v4());
        // Small, so that the sender sees how slow the link is.
        acceptor_.set_option(asio::socket_base::receive_buffer_size(32 << 10));
        acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor_.listen();
        accept();
    }
    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    unsigned connections() const { return connections_; }
    /// Carries nothing more.
    void freeze() { timer_.cancel(); }

private:
    void accept() {
        acceptor_.async_accept([this](std::error_code code, tcp::socket made) {
            if (!code) {
                ++connections_;
                came_.clear();
                socket_ = std::move(made);
                carry();
                accept();
            }
        });
    }
    void carry() {
        timer_.expires_after(piece_time);
        timer_.async_wait([this](std::error_code code) {
            if (code) {
                return;
            }
            asio::error_code ignored;
            socket_.non_blocking(true, ignored);
            const std::size_t size =
                socket_.read_some(asio::buffer(piece_), ignored);
            came_.insert(came_.end(), piece_.begin(), piece_.begin() + size);
            answer();
            carry();
        });
    }
    /// Answers all calls that are whole.
    void answer() {
        while (const auto header = wire::decode_header(came_)) {
            const std::size_t size = wire::frame_header_bytes + header->length;
            if (came_.size() < size) {
                return;
            }
            const auto content = wire::decode_payload(*header,
                std::span(came_).subspan(
                    wire::frame_header_bytes, header->length));
            if (content->body.AsJobCall() != nullptr) {
                asio::error_code ignored;
                asio::write(socket_,
                    asio::buffer(wire::encode_frame(wire::make_message(
                        wire::JobReplyT(), content->correlation))),
                    ignored);
            }
            came_.erase(came_.begin(), came_.begin() + size);
        }
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    tcp::socket socket_{context_};
    asio::steady_timer timer_;
    std::array<std::uint8_t, piece_bytes> piece_{};
    bytes came_;
    unsigned connections_ = 0;
};

class slow_leader_link : public testing::Test {
protected:
    slow_leader_link() {
        leader_client_settings settings;
        settings.replicas = {leader_.address()};
        settings.answer_timeout = answer_timeout;
        client_.emplace(context_, settings);
    }
    void SetUp() override {
        ASSERT_TRUE(client_->start());
        ASSERT_TRUE(run_until([&] { return client_->reaches_leader(); }));
    }
    void TearDown() override {
        client_->stop();
        context_.run_for(50ms);
    }
    /// Begins a call of \p size bytes.
    void call(std::size_t size) {
        wire::JobCallT made;
        made.path.assign(size, 'x');
        client_->call(
            std::move(made), 8s, [this](auto&&) { answered_ = true; },
            [this](call_failure) { failed_ = true; });
    }
    template <class Predicate>
    bool run_until(Predicate holds) {
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (!holds() && std::chrono::steady_clock::now() < limit) {
            context_.run_for(20ms);
        }
        return holds();
    }

    asio::io_context context_;
    slow_leader leader_{context_};
    std::optional<leader_client> client_;
    bool answered_ = false;
    bool failed_ = false;
};

// Guards against a gateway that sends a large call again and again: its link
// carries it for longer than an answer may take.
TEST_F(slow_leader_link, carries_a_large_call_once) {
    const unsigned before = leader_.connections();
    call(512U << 10U);
    EXPECT_TRUE(run_until([&] { return answered_ || failed_; }));
    EXPECT_TRUE(answered_);
    EXPECT_EQ(leader_.connections(), before);
}

// Guards against calls that wait for a link that carries nothing any more.
TEST_F(slow_leader_link, is_left_if_it_stands_still) {
    const unsigned before = leader_.connections();
    call(512U << 10U);
    context_.run_for(2 * answer_timeout);
    EXPECT_EQ(leader_.connections(), before);
    leader_.freeze();
    const auto frozen = std::chrono::steady_clock::now();
    ASSERT_TRUE(run_until([&] { return leader_.connections() > before; }));
    EXPECT_LT(std::chrono::steady_clock::now() - frozen, 3 * answer_timeout);
}

} // namespace
} // namespace dragonflymount::gateway_program::test
