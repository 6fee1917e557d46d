// Hosts of replicas that talk over loopback: joining a group that has changed.
#include "dragonflymount/hosting.hpp"

#include <gtest/gtest.h>

#include <filesystem>

namespace dragonflymount::hosting {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Counts the commands that it was given.
struct counting_state {
    std::uint64_t commands = 0;

    wire::ProposeReplyT apply(log_index, const bytes&) {
        ++commands;
        wire::ProposeReplyT reply;
        reply.result = wire::proposal_result::accepted;
        return reply;
    }
    result<done> load(const bytes& image) {
        commands = image.size();
        return done{};
    }
    bytes save() const { return bytes(commands, 1); }
};

using host_type = replica_host<counting_state>;

/// One replica with its listener and data folder.
class node {
public:
    node(asio::io_context& context, std::string name, std::string address)
        : name_(std::move(name)), address_(std::move(address)),
          folder_(std::filesystem::path(testing::TempDir()) /
              ("dfm-host-" + name_)),
          listener_(context, {}), context_(context) {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
    }
    ~node() { std::filesystem::remove_all(folder_); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    agreement::member member() const {
        return {replica_id(name_), address_, availability_zone_id("z"),
            agreement::initial_identity, true};
    }
    void start(const agreement::member_list& known, bool new_site) {
        replica_settings settings;
        settings.options.self = replica_id(name_);
        settings.options.election_timeout = milliseconds(300);
        settings.options.heartbeat_interval = milliseconds(50);
        settings.options.seed = std::hash<std::string>{}(name_);
        settings.members = known;
        settings.data = folder_.string();
        settings.snapshot_records = 4096;
        settings.new_site = new_site;
        host_ = std::make_unique<host_type>(context_, settings);
        ASSERT_TRUE(host_->start());
        ASSERT_TRUE(listener_.start(
            address_,
            [this](const auto& from, wire::message&& content) {
                host_->receive(from, content);
            },
            [](const auto&, const auto&) {}));
    }
    void stop() {
        host_->stop();
        listener_.stop();
    }
    host_type& host() { return *host_; }

private:
    std::string name_;
    std::string address_;
    std::filesystem::path folder_;
    runtime::listener listener_;
    asio::io_context& context_;
    std::unique_ptr<host_type> host_;
};

std::string free_address(asio::io_context& context) {
    const asio::ip::tcp::acceptor probe(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

template <class Predicate>
bool run_until(asio::io_context& context, Predicate holds) {
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        context.run_for(milliseconds(10));
    }
    return true;
}

// The one replica that the new one knows of doesn't lead, and the leader isn't
// among those that it knows: the site has changed since its settings were
// written.
TEST(replica_host, answers_a_leader_that_its_settings_do_not_name) {
    asio::io_context context;
    node first(context, "c1", free_address(context));
    node second(context, "c2", free_address(context));
    node joining(context, "c3", free_address(context));
    const agreement::member_list members{first.member(), second.member()};
    first.start(members, true);
    second.start(members, true);
    ASSERT_TRUE(run_until(context, [&] {
        return first.host().is_settled_leader() ||
            second.host().is_settled_leader();
    }));
    const bool first_leads = first.host().is_settled_leader();
    node& leader = first_leads ? first : second;
    node& other = first_leads ? second : first;
    std::size_t committed = 0;
    for (int k = 0; k < 20; ++k) {
        leader.host().propose(
            to_bytes("command"), [&](const auto&) { ++committed; });
    }
    ASSERT_TRUE(run_until(context, [&] { return committed == 20; }));
    joining.start({other.member()}, false);
    wire::ChangeReplicaT admit;
    admit.change = wire::replica_change::admit;
    admit.member = std::make_unique<wire::MemberT>();
    admit.member->replica = "c3";
    admit.member->address = joining.member().address;
    admit.member->identity = joining.host().replica().identity().value();
    leader.host().change(admit, [](const auto&) {});
    EXPECT_TRUE(run_until(context, [&] {
        return joining.host().agreed().commands ==
            leader.host().agreed().commands;
    }));
    EXPECT_GE(joining.host().agreed().commands, 20U);
    for (node* each : {&first, &second, &joining}) {
        each->stop();
    }
}

} // namespace
} // namespace dragonflymount::hosting
