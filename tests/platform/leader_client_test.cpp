// Tests how the gateway's client finds the leader, detects its loss and
// reconnects to it.
#include "programs/gateway/leader_client.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::gateway_program::test {
namespace {

using namespace std::chrono_literals;

/// A replica that answers every call as the leader.
class fake_leader {
public:
    explicit fake_leader(asio::io_context& context) : context_(context) {
        open("127.0.0.1:0");
        address_ = listener_->address();
    }
    void open(const std::string& address) {
        listener_ = std::make_unique<runtime::listener>(
            context_, runtime::connection_options{});
        const auto started = listener_->start(
            address,
            [this](const auto& from, wire::message&& content) {
                ++calls_;
                if (silent_) {
                    return;
                }
                wire::JobReplyT reply;
                reply.status = status_;
                reply.replicas = members_;
                reply.leader_address = named_leader_;
                from->send(
                    wire::make_message(std::move(reply), content.correlation));
            },
            [](const auto&, const failure&) {});
        EXPECT_TRUE(started);
    }
    void stop() { listener_->stop(); }
    /// Names these replicas in each reply.
    void name_members(std::vector<std::string> members) {
        members_ = std::move(members);
    }
    const std::string& address() const { return address_; }

    // What it does with calls.
    bool silent_ = false;
    wire::job_status status_ = wire::job_status::not_found;
    std::string named_leader_;
    unsigned calls_ = 0;

private:
    asio::io_context& context_;
    std::unique_ptr<runtime::listener> listener_;
    std::string address_;
    std::vector<std::string> members_;
};

class leader_client_test : public testing::Test {
protected:
    leader_client make_client() {
        leader_client_settings settings;
        settings.replicas = {leader_.address()};
        return leader_client(context_, settings);
    }
    /// Makes a call, and waits for its end.
    void call(leader_client& client) {
        bool ended = false;
        client.call(
            wire::JobCallT{}, 3s, [&](wire::JobReplyT&&) { ended = true; },
            [&](call_failure) { ended = true; });
        ASSERT_TRUE(run_until([&] { return ended; }));
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
    fake_leader leader_{context_};
};

TEST_F(leader_client_test, finds_the_leader_without_any_call) {
    leader_client client = make_client();
    EXPECT_FALSE(client.reaches_leader());
    ASSERT_TRUE(client.start());
    EXPECT_TRUE(run_until([&] { return client.reaches_leader(); }));
    client.stop();
    context_.run_for(50ms);
}

TEST_F(leader_client_test, detects_a_lost_leader_and_reconnects) {
    leader_client client = make_client();
    ASSERT_TRUE(client.start());
    ASSERT_TRUE(run_until([&] { return client.reaches_leader(); }));
    leader_.stop();
    std::optional<call_failure> failed;
    client.call(
        wire::JobCallT{}, 3s, [](wire::JobReplyT&&) {},
        [&](call_failure reason) { failed = reason; });
    ASSERT_TRUE(run_until([&] { return failed.has_value(); }));
    // The call was sent on a connection whose remote side had stopped.
    EXPECT_EQ(*failed, call_failure::unanswered);
    EXPECT_FALSE(client.reaches_leader());
    leader_.open(leader_.address());
    EXPECT_TRUE(run_until([&] { return client.reaches_leader(); }));
    client.stop();
    context_.run_for(50ms);
}

// A refused call was to run nowhere, but an earlier copy of it may.
TEST_F(
    leader_client_test, reports_a_call_refused_after_a_resend_as_unanswered) {
    leader_client client = make_client();
    ASSERT_TRUE(client.start());
    ASSERT_TRUE(run_until([&] { return client.reaches_leader(); }));
    leader_.silent_ = true;
    leader_.status_ = wire::job_status::not_accepted;
    const unsigned before = leader_.calls_;
    std::optional<call_failure> failed;
    bool refused = false;
    client.call(
        wire::JobCallT{}, 8s, [&](wire::JobReplyT&&) { refused = true; },
        [&](call_failure reason) { failed = reason; });
    ASSERT_TRUE(run_until([&] { return leader_.calls_ > before; }));
    leader_.silent_ = false;
    ASSERT_TRUE(run_until([&] { return failed || refused; }));
    EXPECT_FALSE(refused);
    EXPECT_EQ(failed, call_failure::unanswered);
    client.stop();
    context_.run_for(50ms);
}

TEST_F(leader_client_test, ignores_failures_of_calls_with_a_short_limit) {
    leader_client client = make_client();
    ASSERT_TRUE(client.start());
    ASSERT_TRUE(run_until([&] { return client.reaches_leader(); }));
    leader_.stop();
    bool failed = false;
    client.call(
        wire::JobCallT{}, 100ms, [](wire::JobReplyT&&) {},
        [&](call_failure) { failed = true; });
    ASSERT_TRUE(run_until([&] { return failed; }));
    EXPECT_TRUE(client.reaches_leader());
    client.stop();
    context_.run_for(50ms);
}

// Guards against a gateway that never finds the next leader: it met the first
// one at once, so no other replica has told it the members.
TEST_F(leader_client_test, finds_a_leader_that_only_the_last_one_named) {
    fake_leader next(context_);
    leader_.name_members({leader_.address(), next.address()});
    leader_client client = make_client();
    ASSERT_TRUE(client.start());
    ASSERT_TRUE(run_until([&] { return client.reaches_leader(); }));
    leader_.stop();
    call(client);
    EXPECT_TRUE(run_until([&] {
        return client.reaches_leader() && client.target() == next.address();
    }));
    client.stop();
    context_.run_for(50ms);
}

// Guards against a gateway that asks only members that are gone.
TEST_F(leader_client_test, returns_to_its_seeds_if_the_members_are_gone) {
    fake_leader member(context_);
    leader_.name_members({member.address()});
    leader_client client = make_client();
    ASSERT_TRUE(client.start());
    ASSERT_TRUE(run_until([&] { return client.reaches_leader(); }));
    leader_.stop();
    call(client);
    ASSERT_TRUE(run_until([&] { return client.target() == member.address(); }));
    member.stop();
    call(client);
    leader_.open(leader_.address());
    EXPECT_TRUE(run_until([&] {
        return client.reaches_leader() && client.target() == leader_.address();
    }));
    client.stop();
    context_.run_for(50ms);
}

// Guards against a gateway that goes to and fro between a replica that is gone
// and one that still takes it for the leader.
TEST_F(leader_client_test, passes_over_a_named_leader_that_does_not_answer) {
    fake_leader outdated(context_);
    fake_leader gone(context_);
    outdated.status_ = wire::job_status::not_leader;
    outdated.named_leader_ = gone.address();
    outdated.name_members(
        {gone.address(), outdated.address(), leader_.address()});
    gone.stop();
    leader_client_settings settings;
    settings.replicas = {outdated.address()};
    leader_client client(context_, settings);
    ASSERT_TRUE(client.start());
    EXPECT_TRUE(run_until([&] { return client.reaches_leader(); }));
    EXPECT_EQ(client.target(), leader_.address());
    client.stop();
    context_.run_for(50ms);
}

TEST_F(leader_client_test, waits_for_its_first_seed) {
    leader_client client(context_, {});
    ASSERT_TRUE(client.start());
    call(client);
    EXPECT_FALSE(client.reaches_leader());
    client.set_seeds({leader_.address()});
    EXPECT_TRUE(run_until([&] { return client.reaches_leader(); }));
    client.stop();
    context_.run_for(50ms);
}

} // namespace
} // namespace dragonflymount::gateway_program::test
