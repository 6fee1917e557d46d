// Tests that a gateway answers every call before it ends, whatever becomes of
// the leader meanwhile.
#include "platform/caller_face.hpp"
#include "programs/gateway/graceful_stop.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::platform {
namespace {

using namespace std::chrono_literals;

constexpr duration grace_period = 2s;
// Shortly before calls are only refused.
constexpr duration time_of_call = 1s;

/// A gateway whose grace period begins with the test.
class graceful_stop_test : public testing::Test {
protected:
    void start(const std::string& replica) {
        gateway_program::leader_client_settings settings;
        settings.replicas = {replica};
        leader_.emplace(context_, settings);
        face_.emplace(context_,
            caller_face_settings{
                "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", {}},
            *leader_);
        ASSERT_TRUE(leader_->start());
        ASSERT_TRUE(face_->start());
        stopping_.emplace(
            context_, *face_, *leader_, grace_period, [this] { stop(); });
        begun_ = runtime::system_clock::now();
        stopping_->begin();
    }
    void stop() {
        stopped_after_ = runtime::system_clock::now() - begun_;
        face_->stop();
        leader_->stop();
    }
    void run_until(duration passed) {
        context_.run_for(begun_ + passed - runtime::system_clock::now());
    }
    void send_call() {
        runtime::http_request request;
        request.method = "GET";
        request.target = "/queue/00000000000000c1";
        callers_.send(face_->callers_address(), request, 3s,
            [this](result<runtime::http_response> reply) {
                replies_.push_back(std::move(reply));
            });
    }

    asio::io_context context_;
    runtime::http_client callers_{context_};
    std::optional<gateway_program::leader_client> leader_;
    std::optional<caller_face> face_;
    std::optional<gateway_program::graceful_stop<caller_face>> stopping_;
    instant begun_{};
    std::optional<duration> stopped_after_;
    std::vector<result<runtime::http_response>> replies_;
};

/// \returns the address of a port that refuses connections.
std::string closed_address(asio::io_context& context) {
    const asio::ip::tcp::acceptor probe(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

// LOST: the process exited 0.5 s before the end of its grace period and closed
// the connections of calls that still waited for a new leader.
TEST_F(graceful_stop_test, refuses_calls_that_wait_for_a_leader) {
    start(closed_address(context_));
    run_until(time_of_call);
    send_call();
    run_until(grace_period);
    ASSERT_EQ(replies_.size(), 1U);
    ASSERT_TRUE(replies_.front()) << replies_.front().error().message();
    EXPECT_EQ(replies_.front()->status, 503U);
    EXPECT_FALSE(replies_.front()->header("Retry-After").empty());
    ASSERT_TRUE(stopped_after_);
    EXPECT_LT(*stopped_after_, grace_period);
}

// A call that a replica has may have been executed, so it isn't refused.
TEST_F(graceful_stop_test, reports_calls_that_have_no_reply_as_unanswered) {
    runtime::listener silent(context_, runtime::connection_options{});
    ASSERT_TRUE(silent.start(
        "127.0.0.1:0", [](const auto&, wire::message&&) {},
        [](const auto&, const failure&) {}));
    start(silent.address());
    run_until(time_of_call);
    send_call();
    run_until(grace_period);
    ASSERT_EQ(replies_.size(), 1U);
    ASSERT_TRUE(replies_.front()) << replies_.front().error().message();
    EXPECT_EQ(replies_.front()->status, 504U);
    ASSERT_TRUE(stopped_after_);
    EXPECT_LT(*stopped_after_, grace_period);
    silent.stop();
    context_.run_for(50ms);
}

TEST_F(graceful_stop_test, refuses_calls_at_once_when_no_time_is_left) {
    start(closed_address(context_));
    leader_->end_calls_at(begun_);
    run_until(100ms);
    send_call();
    run_until(250ms);
    ASSERT_EQ(replies_.size(), 1U);
    ASSERT_TRUE(replies_.front()) << replies_.front().error().message();
    EXPECT_EQ(replies_.front()->status, 503U);
}

} // namespace
} // namespace dragonflymount::platform
