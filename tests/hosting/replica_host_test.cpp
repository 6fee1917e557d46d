// Tests replica hosts that communicate over loopback: joining a group whose
// members have changed, and leadership while long logs and large images are
// processed.
#include "tests/hosting/replica_group.hpp"

namespace dragonflymount::hosting_test {
namespace {

/// A replicated state that counts the applied commands.
struct counting_state {
    // The time that each state takes to apply one command and to pack one.
    static inline duration time_to_apply{};
    static inline duration time_to_pack{};

    std::uint64_t commands = 0;

    wire::ProposeReplyT apply(log_index, const bytes&) {
        ++commands;
        busy_wait(time_to_apply);
        wire::ProposeReplyT reply;
        reply.result = wire::proposal_result::accepted;
        return reply;
    }
    result<done> load(const bytes& image) {
        commands = image.size();
        return done{};
    }
    bytes save() const {
        busy_wait(time_to_pack * static_cast<std::int64_t>(commands));
        return bytes(commands, 1);
    }

    /// An image with one part for each command; packing a part takes
    /// \c time_to_pack.
    class image {
    public:
        explicit image(const counting_state& packed) : packed_(&packed) {}
        bool advance(std::size_t) {
            busy_wait(time_to_pack);
            return ++parts_ >= packed_->commands;
        }
        bytes finish() { return bytes(packed_->commands, 1); }

    private:
        const counting_state* packed_;
        std::uint64_t parts_ = 0;
    };
    image begin_image() const { return image(*this); }

    static void busy_wait(duration span) {
        const instant end = runtime::system_clock::now() + span;
        while (runtime::system_clock::now() < end) {
        }
    }
};

/// A group whose states take no time until a test says so.
class counting_group : public replica_group<counting_state> {
public:
    counting_group() = default;
    ~counting_group() {
        counting_state::time_to_apply = duration::zero();
        counting_state::time_to_pack = duration::zero();
    }
    counting_group(const counting_group&) = delete;
    counting_group& operator=(const counting_group&) = delete;
};

using counting_node = node<counting_state>;

// Guards against a joining replica that can't answer the leader. Its settings
// name one member, which isn't the leader, because the members have changed
// since the settings were written.
TEST(replica_host, answers_a_leader_that_its_settings_do_not_name) {
    asio::io_context context;
    counting_node first(context, "c1", free_address(context));
    counting_node second(context, "c2", free_address(context));
    counting_node joining(context, "c3", free_address(context));
    const agreement::member_list members{first.member(), second.member()};
    first.start(members, true);
    second.start(members, true);
    ASSERT_TRUE(run_until(context, [&] {
        return first.host().is_settled_leader() ||
            second.host().is_settled_leader();
    }));
    const bool first_leads = first.host().is_settled_leader();
    counting_node& leader = first_leads ? first : second;
    counting_node& other = first_leads ? second : first;
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
    for (counting_node* each : {&first, &second, &joining}) {
        each->stop();
    }
}

// Guards against a join request that is dropped: a replica without members
// reaches the leader over the leader's own connection alone.
TEST(replica_host, hears_a_join_request_over_its_own_link) {
    asio::io_context context;
    counting_node member(context, "c1", free_address(context));
    counting_node joining(context, "c2", free_address(context));
    member.start({member.member(), joining.member()}, true);
    joining.start({}, false);
    bool heard = false;
    member.host().on_join([&](const wire::JoinReplicaT&) { heard = true; });
    EXPECT_TRUE(run_until(context, [&] {
        joining.host().send(
            replica_id("c1"), wire::make_message(wire::JoinReplicaT()));
        return heard;
    }));
    for (counting_node* each : {&member, &joining}) {
        each->stop();
    }
}

// Guards against a lost leadership after a restart: applying the log takes
// several election timeouts, and heartbeats must still be sent meanwhile.
TEST(replica_host, applies_a_long_log_without_losing_leadership) {
    constexpr std::size_t command_count = 1500;
    constexpr duration time_for_each = election_timeout * 5 / 2 / command_count;
    counting_group group;
    group.start();
    ASSERT_TRUE(group.has_leader());
    ASSERT_TRUE(group.commit(command_count));
    counting_state::time_to_apply = time_for_each;
    group.restart();
    EXPECT_TRUE(group.all_applied(command_count));
    EXPECT_TRUE(group.has_leader());
    EXPECT_EQ(group.leaderships_lost(), 0U);
}

// Guards against a lost leadership during a snapshot: all replicas pack an
// image at the same record, which takes several election timeouts.
TEST(replica_host, packs_a_large_image_without_losing_leadership) {
    constexpr std::size_t command_count = 1500;
    constexpr duration time_for_each = election_timeout * 5 / 2 / command_count;
    counting_group group;
    group.save_snapshots_every(command_count);
    group.start();
    ASSERT_TRUE(group.has_leader());
    counting_state::time_to_pack = time_for_each;
    ASSERT_TRUE(group.commit(command_count));
    group.run(election_timeout * 9);
    EXPECT_TRUE(group.has_leader());
    EXPECT_EQ(group.leaderships_lost(), 0U);
    // Records committed while images were packed are applied afterwards.
    EXPECT_TRUE(group.commit(command_count + 10));
}

// Guards against a proposal that is never answered: the leader loses its quorum
// while it still applies records of earlier terms, so it never was settled.
TEST(replica_host, answers_a_proposal_to_a_leader_that_never_caught_up) {
    constexpr std::size_t command_count = 2000;
    counting_group group;
    group.start();
    ASSERT_TRUE(group.has_leader());
    ASSERT_TRUE(group.commit(command_count));
    counting_state::time_to_apply = milliseconds(1);
    group.restart();
    counting_node* lagging = group.find_elected();
    ASSERT_NE(lagging, nullptr);
    ASSERT_FALSE(lagging->host().is_settled_leader());
    group.disconnect_all_but(*lagging);
    bool answered = false;
    lagging->host().propose(
        to_bytes("late"), [&](const auto&) { answered = true; });
    EXPECT_TRUE(group.run_until(
        [&] { return !lagging->host().replica().is_leader(); }));
    EXPECT_TRUE(group.run_until([&] { return answered; }));
}

} // namespace
} // namespace dragonflymount::hosting_test
