// Tests how the leader keeps its number of voters when replicas lose their
// disks, and to whom it names the members.
#include "programs/scheduler/scheduler.hpp"
#include "tests/hosting/replica_group.hpp"

namespace dragonflymount::scheduler_program::test {
namespace {

using hosting_test::seconds;
using node = hosting_test::node<jobs::state>;

constexpr std::size_t voter_count = 3;

/// Three replicas, each with the keeper of its members.
class kept_group : public testing::Test {
protected:
    void SetUp() override {
        for (std::size_t k = 0; k < voter_count; ++k) {
            nodes_.push_back(std::make_unique<node>(context_,
                "c" + std::to_string(k), hosting_test::free_address(context_)));
            members_.push_back(nodes_.back()->member());
        }
        keepers_.resize(voter_count);
        for (std::size_t k = 0; k < voter_count; ++k) {
            start(k, members_, true);
        }
        ASSERT_TRUE(run_until([&] { return leader() < voter_count; }));
    }
    void TearDown() override {
        for (const auto& each : nodes_) {
            each->stop();
        }
    }

    void start(
        std::size_t k, const agreement::member_list& known, bool new_site) {
        nodes_[k]->start(known, new_site);
        keepers_[k] = std::make_unique<member_keeper>(
            nodes_[k]->host(), nodes_[k]->member(), voter_count);
    }
    /// Restarts the replica on an empty disk; its settings name \p known.
    void lose_disk(std::size_t k, const agreement::member_list& known) {
        keepers_[k].reset();
        nodes_[k]->stop();
        nodes_[k]->lose_disk();
        start(k, known, false);
    }
    std::size_t leader() const {
        const auto found = std::find_if(nodes_.begin(), nodes_.end(),
            [](const auto& each) { return each->host().is_settled_leader(); });
        return static_cast<std::size_t>(found - nodes_.begin());
    }
    /// \returns the member that replica \p k is to the leader under its present
    /// identity, or null.
    const agreement::member* member(std::size_t k) const {
        const std::size_t leads = leader();
        if (leads == nodes_.size()) {
            return nullptr;
        }
        const auto& members = nodes_[leads]->host().replica().members();
        const auto found =
            std::find_if(members.begin(), members.end(), [&](const auto& peer) {
                return peer.id == nodes_[k]->member().id &&
                    peer.identity == nodes_[k]->host().replica().identity();
            });
        return found == members.end() ? nullptr : &*found;
    }
    /// \returns whether the leader counts the votes of replica \p k.
    bool is_voter(std::size_t k) const {
        const agreement::member* known = member(k);
        return known != nullptr && known->voter;
    }
    /// From now on no time passes for the keepers.
    void stop_clock() { stopped_ = runtime::system_clock::now(); }
    template <class Predicate>
    bool run_until(Predicate holds) {
        return hosting_test::run_until(context_, [&] {
            for (const auto& keeper : keepers_) {
                keeper->tick(stopped_.value_or(runtime::system_clock::now()));
            }
            return holds();
        });
    }

    asio::io_context context_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<std::unique_ptr<member_keeper>> keepers_;
    agreement::member_list members_;

private:
    std::optional<instant> stopped_;
};

// Guards against a voter that is missing for good: the settings of a replica
// that lost its disk name only replicas that are gone, so nobody hears it ask.
TEST_F(kept_group, takes_back_a_replica_that_only_the_leader_reaches) {
    const std::size_t follower = (leader() + 1) % voter_count;
    lose_disk(follower, {});
    ASSERT_FALSE(is_voter(follower));
    EXPECT_TRUE(run_until([&] { return is_voter(follower); }));
}

// Guards against a voter that loses its vote to the disk that it lost before:
// that disk's request was passed on late.
TEST_F(kept_group, ignores_a_late_request_of_a_former_disk) {
    const std::size_t follower = (leader() + 1) % voter_count;
    lose_disk(follower, members_);
    ASSERT_TRUE(run_until([&] { return is_voter(follower); }));
    wire::JoinReplicaT late;
    late.member = std::make_unique<wire::MemberT>();
    late.member->replica = nodes_[follower]->member().id.str();
    late.member->address = nodes_[follower]->member().address;
    late.member->identity = agreement::initial_identity.value();
    nodes_[leader()]->host().receive(
        nullptr, wire::make_message(std::move(late)));
    const auto end = std::chrono::steady_clock::now() + seconds(1);
    EXPECT_TRUE(run_until([&] {
        return !is_voter(follower) || std::chrono::steady_clock::now() > end;
    }));
    EXPECT_TRUE(is_voter(follower));
}

// Guards against changes that wait for a fixed time: while disks are replaced,
// the group bears no further loss.
TEST_F(kept_group, proposes_a_change_as_soon_as_the_last_one_is_agreed) {
    const std::size_t follower = (leader() + 1) % voter_count;
    lose_disk(follower, members_);
    ASSERT_TRUE(run_until([&] { return member(follower) != nullptr; }));
    ASSERT_FALSE(is_voter(follower));
    stop_clock();
    EXPECT_TRUE(run_until([&] { return is_voter(follower); }));
}

// Guards against a request that is lost, as no link was open yet.
TEST_F(kept_group, is_asked_for_admission_as_soon_as_a_link_is_open) {
    nodes_.push_back(std::make_unique<node>(
        context_, "new", hosting_test::free_address(context_)));
    keepers_.resize(nodes_.size());
    start(voter_count, members_, false);
    stop_clock();
    EXPECT_TRUE(run_until([&] { return member(voter_count) != nullptr; }));
}

/// A scheduler that leads alone.
class lone_scheduler : public testing::Test {
protected:
    void SetUp() override {
        scheduler_settings settings;
        settings.listen = address_;
        settings.voters = 1;
        settings.replica.options.self = replica_id("c0");
        settings.replica.members = {{replica_id("c0"), address_,
            availability_zone_id("z"), agreement::initial_identity, true}};
        settings.replica.data = folder_.string();
        settings.replica.snapshot_records = 4096;
        settings.replica.new_site = true;
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        scheduler_.emplace(context_, settings);
        ASSERT_TRUE(scheduler_->start());
        ASSERT_TRUE(hosting_test::run_until(
            context_, [&] { return scheduler_->is_ready(); }));
    }
    void TearDown() override {
        scheduler_->stop();
        context_.poll();
        std::filesystem::remove_all(folder_);
    }
    /// \returns the members that the reply to the next call names.
    std::vector<std::string> members_named_to(runtime::link& gateway) {
        wire::JobCallT call;
        call.verb = wire::job_verb::read;
        reply_.reset();
        gateway.send(wire::make_message(std::move(call), 1));
        EXPECT_TRUE(hosting_test::run_until(
            context_, [&] { return reply_.has_value(); }));
        return reply_ ? reply_->replicas : std::vector<std::string>{};
    }
    void open(runtime::link& gateway) {
        gateway.start([](const auto&) {},
            [this](const auto&, wire::message&& content) {
                if (auto* reply = content.body.AsJobReply()) {
                    reply_ = std::move(*reply);
                }
            },
            [](const auto&, const failure&) {});
        ASSERT_TRUE(hosting_test::run_until(
            context_, [&] { return gateway.is_open(); }));
    }

    asio::io_context context_;
    std::string address_ = hosting_test::free_address(context_);
    std::filesystem::path folder_ = std::filesystem::path(testing::TempDir()) /
        ("dfm-lone-" + std::to_string(::getpid()));
    std::optional<scheduler> scheduler_;
    std::optional<wire::JobReplyT> reply_;
};

// Guards against gateways that know their seeds alone.
TEST_F(lone_scheduler, names_the_members_once_to_each_gateway) {
    runtime::link first(context_, address_, {});
    runtime::link second(context_, address_, {});
    open(first);
    open(second);
    const std::vector<std::string> members{address_};
    EXPECT_EQ(members_named_to(first), members);
    EXPECT_TRUE(members_named_to(first).empty());
    EXPECT_EQ(members_named_to(second), members);
    first.stop();
    second.stop();
}

} // namespace
} // namespace dragonflymount::scheduler_program::test
