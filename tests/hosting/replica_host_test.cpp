// Tests replica hosts that communicate over loopback: joining a group whose
// members have changed, and leadership while long logs and large images are
// processed.
#include "dragonflymount/hosting.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>

namespace dragonflymount::hosting {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Long enough for a busy machine: all replicas of a test share one thread,
// which other processes may delay.
constexpr duration election_timeout = seconds(1);

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

using host_type = replica_host<counting_state>;

/// One replica with its listener and data folder.
class node {
public:
    node(asio::io_context& context, std::string name, std::string address)
        : name_(std::move(name)), address_(std::move(address)),
          folder_(std::filesystem::path(testing::TempDir()) /
              ("dfm-host-" + std::to_string(::getpid()) + "-" + name_)),
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
        settings.options.election_timeout = election_timeout;
        settings.options.heartbeat_interval = election_timeout / 6;
        settings.options.seed = std::hash<std::string>{}(name_);
        settings.members = known;
        settings.data = folder_.string();
        settings.snapshot_records = snapshot_records_;
        settings.new_site = new_site;
        host_ = std::make_unique<host_type>(context_, settings);
        host_->on_leadership(
            [this](bool leads) { leaderships_lost_ += leads ? 0 : 1; });
        const auto started = host_->start();
        ASSERT_TRUE(started) << started.error().message();
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
        // Runs the handlers that the host has posted, because they refer to it.
        context_.poll();
        context_.restart();
        host_.reset();
    }
    /// Stops the listener, which closes the incoming connections.
    void close_connections() { listener_.stop(); }
    /// Moves the data to a new folder for the next start, because the lock on
    /// the old folder lasts until the process ends.
    void move_data() {
        const std::filesystem::path copy(folder_.string() + "-again");
        std::filesystem::remove_all(copy);
        std::filesystem::copy(folder_, copy);
        std::filesystem::remove_all(folder_);
        folder_ = copy;
    }
    void save_snapshots_every(std::uint32_t records) {
        snapshot_records_ = records;
    }
    host_type& host() { return *host_; }
    std::size_t leaderships_lost() const { return leaderships_lost_; }

private:
    std::string name_;
    std::string address_;
    std::filesystem::path folder_;
    runtime::listener listener_;
    asio::io_context& context_;
    std::unique_ptr<host_type> host_;
    std::uint32_t snapshot_records_ = 4096;
    std::size_t leaderships_lost_ = 0;
};

std::string free_address(asio::io_context& context) {
    const asio::ip::tcp::acceptor probe(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

template <class Predicate>
bool run_until(asio::io_context& context, Predicate holds) {
    const auto end = std::chrono::steady_clock::now() + seconds(30);
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        context.run_for(milliseconds(10));
    }
    return true;
}

// Guards against a joining replica that can't answer the leader. Its settings
// name one member, which isn't the leader, because the members have changed
// since the settings were written.
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

/// A group of three replicas that run on one thread.
class replica_group {
public:
    replica_group() {
        for (const node& each : nodes_) {
            members_.push_back(each.member());
        }
    }
    ~replica_group() {
        for (node& each : nodes_) {
            each.stop();
        }
        counting_state::time_to_apply = duration::zero();
        counting_state::time_to_pack = duration::zero();
    }
    replica_group(const replica_group&) = delete;
    replica_group& operator=(const replica_group&) = delete;

    void start() {
        for (node& each : nodes_) {
            each.start(members_, true);
        }
    }
    void restart() {
        for (node& each : nodes_) {
            each.stop();
            each.move_data();
        }
        start();
    }
    void save_snapshots_every(std::uint32_t records) {
        for (node& each : nodes_) {
            each.save_snapshots_every(records);
        }
    }
    bool has_leader() {
        return run_until([&] { return leader() != nullptr; });
    }
    /// \returns whether each replica has applied at least \p count commands
    /// after \p count commands were proposed.
    bool commit(std::size_t count) {
        for (std::size_t k = 0; k < count; ++k) {
            leader()->host().propose(to_bytes("command"), [](const auto&) {});
        }
        return all_applied(count);
    }
    bool all_applied(std::size_t count) {
        return run_until([&] {
            return std::all_of(nodes_.begin(), nodes_.end(), [&](node& each) {
                return each.host().agreed().commands >= count;
            });
        });
    }
    void run(duration span) { context_.run_for(span); }
    template <class Predicate>
    bool run_until(Predicate holds) {
        return hosting::run_until(context_, holds);
    }
    /// \returns the elected leader, which may not have applied all committed
    /// records yet.
    node* find_elected() {
        node* found = nullptr;
        run_until([&] {
            for (node& each : nodes_) {
                if (each.host().replica().has_committed_in_term()) {
                    found = &each;
                }
            }
            return found != nullptr;
        });
        return found;
    }
    void disconnect_all_but(const node& connected) {
        for (node& each : nodes_) {
            if (&each != &connected) {
                each.host().stop();
                each.close_connections();
            }
        }
    }
    std::size_t leaderships_lost() const {
        std::size_t lost = 0;
        for (const node& each : nodes_) {
            lost += each.leaderships_lost();
        }
        return lost;
    }

private:
    node* leader() {
        const auto found = std::find_if(nodes_.begin(), nodes_.end(),
            [](node& each) { return each.host().is_settled_leader(); });
        return found == nodes_.end() ? nullptr : &*found;
    }

    asio::io_context context_;
    std::array<node, 3> nodes_{node(context_, "c1", free_address(context_)),
        node(context_, "c2", free_address(context_)),
        node(context_, "c3", free_address(context_))};
    agreement::member_list members_;
};

// Guards against a lost leadership after a restart: applying the log takes
// several election timeouts, and heartbeats must still be sent meanwhile.
TEST(replica_host, applies_a_long_log_without_losing_leadership) {
    constexpr std::size_t command_count = 1500;
    constexpr duration time_for_each = election_timeout * 5 / 2 / command_count;
    replica_group group;
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
    replica_group group;
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
    replica_group group;
    group.start();
    ASSERT_TRUE(group.has_leader());
    ASSERT_TRUE(group.commit(command_count));
    counting_state::time_to_apply = milliseconds(1);
    group.restart();
    node* lagging = group.find_elected();
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
} // namespace dragonflymount::hosting
