// Tests groups of replicas: elections, commits, isolation and lost disks.
#include "dragonflymount/agreement.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace dragonflymount::agreement {
namespace {

/// Replicas in one process. Messages are delivered in order, except to and from
/// isolated replicas.
class replica_group {
public:
    explicit replica_group(std::size_t count) {
        for (std::size_t k = 0; k < count; ++k) {
            members_.push_back({replica_id("c" + std::to_string(k)), "",
                availability_zone_id("z"), initial_identity, true});
        }
        for (std::size_t k = 0; k < count; ++k) {
            recovered_state fresh;
            fresh.identity = initial_identity;
            fresh.base.members = members_;
            stores_.emplace_back(fresh);
            nodes_.push_back(make(k));
        }
        isolated_.resize(count, false);
        applied_.resize(count);
    }

    void run(duration span) {
        const instant end = now_ + span;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(10);
            for (auto& node : nodes_) {
                node->tick(now_);
            }
            deliver();
        }
    }

    void deliver() {
        for (int round = 0; round < 4; ++round) {
            std::vector<std::pair<std::size_t, wire::message>> deliveries;
            for (std::size_t k = 0; k < nodes_.size(); ++k) {
                auto actions = nodes_[k]->ready(stores_[k], now_);
                if (!actions) {
                    continue;
                }
                for (auto& record : actions->committed) {
                    applied_[k].push_back(record);
                }
                for (auto& message : actions->messages) {
                    const std::size_t to = index_of(message.to);
                    if (!isolated_[k] && !isolated_[to]) {
                        deliveries.emplace_back(to, std::move(message.content));
                    }
                }
            }
            for (auto& [to, content] : deliveries) {
                nodes_[to]->receive(content, now_);
            }
        }
    }

    std::optional<std::size_t> leader() const {
        for (std::size_t k = 0; k < nodes_.size(); ++k) {
            if (nodes_[k]->has_committed_in_term()) {
                return k;
            }
        }
        return std::nullopt;
    }

    void restart(std::size_t k) {
        stores_[k].crash();
        applied_[k].clear();
        nodes_[k] = make(k);
    }

    void restart_without_disk(std::size_t k) {
        recovered_state empty;
        empty.identity = replica_identity(77);
        stores_[k] = memory_store(empty);
        applied_[k].clear();
        nodes_[k] = make(k);
    }

    replica& node(std::size_t k) { return *nodes_[k]; }
    memory_store& store(std::size_t k) { return stores_[k]; }
    const std::vector<log_record>& applied(std::size_t k) const {
        return applied_[k];
    }
    void isolate(std::size_t k, bool is_isolated) {
        isolated_[k] = is_isolated;
    }
    instant now() const { return now_; }

private:
    std::unique_ptr<replica> make(std::size_t k) {
        replica_options options;
        options.self = members_[k].id;
        options.seed = k + 1;
        return std::make_unique<replica>(options, stores_[k].recover(), now_);
    }

    std::size_t index_of(const replica_id& id) const {
        for (std::size_t k = 0; k < members_.size(); ++k) {
            if (members_[k].id == id) {
                return k;
            }
        }
        return 0;
    }

    instant now_{std::chrono::seconds(100)};
    member_list members_;
    std::vector<memory_store> stores_;
    std::vector<std::unique_ptr<replica>> nodes_;
    std::vector<bool> isolated_;
    std::vector<std::vector<log_record>> applied_;
};

bytes command(const std::string& text) {
    return to_bytes(text);
}

TEST(replica, elects_one_leader) {
    replica_group group(3);
    group.run(std::chrono::seconds(5));
    std::size_t leaders = 0;
    for (std::size_t k = 0; k < 3; ++k) {
        leaders += group.node(k).is_leader() ? 1 : 0;
    }
    EXPECT_EQ(leaders, 1U);
}

TEST(replica, commits_on_all_replicas) {
    replica_group group(3);
    group.run(std::chrono::seconds(5));
    const std::size_t leader = group.leader().value();
    ASSERT_TRUE(group.node(leader).propose(command("a"), group.now()));
    group.run(std::chrono::seconds(1));
    for (std::size_t k = 0; k < 3; ++k) {
        ASSERT_FALSE(group.applied(k).empty());
        EXPECT_EQ(group.applied(k).back().payload, command("a"));
    }
}

TEST(replica, replaces_an_isolated_leader) {
    replica_group group(3);
    group.run(std::chrono::seconds(5));
    const std::size_t first = group.leader().value();
    ASSERT_TRUE(group.node(first).propose(command("a"), group.now()));
    group.run(std::chrono::seconds(1));
    group.isolate(first, true);
    group.run(std::chrono::seconds(6));
    EXPECT_FALSE(group.node(first).is_leader());
    const std::size_t second = group.leader().value();
    EXPECT_NE(first, second);
    ASSERT_TRUE(group.node(second).propose(command("b"), group.now()));
    group.run(std::chrono::seconds(1));
    group.isolate(first, false);
    group.run(std::chrono::seconds(3));
    EXPECT_EQ(group.applied(first).back().payload, command("b"));
}

TEST(replica, isolated_replica_does_not_raise_the_term) {
    replica_group group(3);
    group.run(std::chrono::seconds(5));
    const std::size_t leader = group.leader().value();
    const std::size_t other = (leader + 1) % 3;
    const log_term term = group.node(leader).term();
    group.isolate(other, true);
    group.run(std::chrono::seconds(20));
    group.isolate(other, false);
    group.run(std::chrono::seconds(5));
    EXPECT_EQ(group.node(leader).term(), term);
    EXPECT_TRUE(group.node(leader).is_leader());
}

TEST(replica, keeps_accepted_commands_over_restarts) {
    replica_group group(3);
    group.run(std::chrono::seconds(5));
    const std::size_t leader = group.leader().value();
    ASSERT_TRUE(group.node(leader).propose(command("a"), group.now()));
    group.run(std::chrono::seconds(1));
    for (std::size_t k = 0; k < 3; ++k) {
        group.restart(k);
    }
    group.run(std::chrono::seconds(6));
    ASSERT_TRUE(group.leader());
    for (std::size_t k = 0; k < 3; ++k) {
        const auto& applied = group.applied(k);
        EXPECT_TRUE(std::any_of(
            applied.begin(), applied.end(), [](const log_record& record) {
                return record.payload == command("a");
            }));
    }
}

TEST(replica, replica_with_a_failed_disk_loses_leadership) {
    replica_group group(3);
    group.run(std::chrono::seconds(5));
    const std::size_t leader = group.leader().value();
    group.store(leader).set_broken(true);
    group.node(leader).propose(command("a"), group.now());
    group.run(std::chrono::seconds(6));
    EXPECT_TRUE(group.node(leader).is_failed());
    ASSERT_TRUE(group.leader());
    EXPECT_NE(group.leader().value(), leader);
}

TEST(replica, replica_with_a_lost_disk_does_not_vote) {
    replica_group group(3);
    group.run(std::chrono::seconds(5));
    const std::size_t leader = group.leader().value();
    const std::size_t lost = (leader + 1) % 3;
    const std::size_t third = (leader + 2) % 3;
    group.restart_without_disk(lost);
    group.isolate(leader, true);
    group.run(std::chrono::seconds(10));
    // One voter of three is left. It must not become leader by the vote of the
    // replica whose disk was lost.
    EXPECT_FALSE(group.node(third).is_leader());
    EXPECT_FALSE(group.node(lost).is_leader());
}

TEST(replica, replica_with_a_lost_disk_can_be_readmitted) {
    replica_group group(3);
    group.run(std::chrono::seconds(5));
    const std::size_t leader = group.leader().value();
    const std::size_t lost = (leader + 1) % 3;
    group.restart_without_disk(lost);
    group.run(std::chrono::seconds(1));
    const replica_id id = group.node(lost).self();
    ASSERT_TRUE(group.node(leader).unadmitted().contains(id));
    member subject{id, "", availability_zone_id("z"),
        group.node(leader).unadmitted().at(id), false};
    ASSERT_TRUE(group.node(leader).change(
        wire::replica_change::admit, subject, group.now()));
    group.run(std::chrono::seconds(2));
    ASSERT_TRUE(group.node(leader).change(
        wire::replica_change::promote, subject, group.now()));
    group.run(std::chrono::seconds(2));
    group.isolate(leader, true);
    group.run(std::chrono::seconds(10));
    EXPECT_TRUE(group.leader());
}

/// Three replicas, one of which lost its disk and was admitted again. It is
/// promoted while one other than the leader is isolated; then the leader's disk
/// is lost too.
class promotion_with_an_isolated_replica : public testing::Test {
protected:
    promotion_with_an_isolated_replica() {
        group_.run(std::chrono::seconds(5));
        leader_ = group_.leader().value();
        promoted_ = (leader_ + 1) % 3;
        third_ = (leader_ + 2) % 3;
        group_.restart_without_disk(promoted_);
        group_.run(std::chrono::seconds(1));
        change(wire::replica_change::admit);
        group_.run(std::chrono::seconds(2));
    }

    void promote_while_isolated(std::size_t isolated) {
        group_.isolate(isolated, true);
        change(wire::replica_change::promote);
        group_.run(std::chrono::milliseconds(500));
        group_.node(leader_).propose(command("accepted"), group_.now());
        group_.run(std::chrono::milliseconds(500));
        ASSERT_EQ(group_.applied(leader_).back().payload, command("accepted"));
        group_.restart_without_disk(leader_);
        group_.isolate(isolated, false);
        group_.run(std::chrono::seconds(15));
    }

    void expect_accepted_command() {
        ASSERT_TRUE(group_.leader());
        for (const std::size_t k : {promoted_, third_}) {
            const auto& applied = group_.applied(k);
            EXPECT_TRUE(std::any_of(
                applied.begin(), applied.end(), [](const log_record& record) {
                    return record.payload == command("accepted");
                }));
        }
    }

    void change(wire::replica_change kind) {
        const member subject{group_.node(promoted_).self(), "",
            availability_zone_id("z"), group_.node(promoted_).identity(),
            false};
        ASSERT_TRUE(group_.node(leader_).change(kind, subject, group_.now()));
    }

    replica_group group_{3};
    std::size_t leader_ = 0;
    std::size_t promoted_ = 0;
    std::size_t third_ = 0;
};

TEST_F(promotion_with_an_isolated_replica, is_missed_by_the_third_replica) {
    promote_while_isolated(third_);
    expect_accepted_command();
}

TEST_F(promotion_with_an_isolated_replica, is_missed_by_the_promoted_replica) {
    promote_while_isolated(promoted_);
    expect_accepted_command();
}

// Guards against the removal of a replica at once after its admission, and of a
// voter at once after its promotion: its silence must not count from the
// beginning of the leader's term.
TEST(replica, silence_of_a_changed_member_begins_with_the_change) {
    replica_group group(3);
    group.run(std::chrono::seconds(70));
    const std::size_t leader = group.leader().value();
    const std::size_t changed = (leader + 1) % 3;
    const replica_id id = group.node(changed).self();
    const member subject{id, "", availability_zone_id("z"),
        group.node(changed).identity(), false};
    group.isolate(changed, true);
    ASSERT_TRUE(group.node(leader).change(
        wire::replica_change::admit, subject, group.now()));
    const instant admitted = group.now();
    EXPECT_EQ(group.node(leader).acknowledged(id), admitted);
    group.run(std::chrono::milliseconds(500));
    EXPECT_EQ(group.node(leader).acknowledged(id), admitted);
    group.isolate(changed, false);
    group.run(std::chrono::seconds(2));
    const instant answered = group.node(leader).acknowledged(id);
    EXPECT_GT(answered, admitted + std::chrono::seconds(1));
    group.isolate(changed, true);
    ASSERT_TRUE(group.node(leader).change(
        wire::replica_change::promote, subject, group.now()));
    EXPECT_EQ(group.node(leader).acknowledged(id), answered);
}

TEST(replica, frozen_leader_steps_down_when_it_resumes) {
    replica_group group(3);
    group.run(std::chrono::seconds(5));
    const std::size_t leader = group.leader().value();
    const instant woken = group.now() + std::chrono::seconds(60);
    EXPECT_FALSE(group.node(leader).propose(command("a"), woken));
    EXPECT_FALSE(group.node(leader).is_leader());
}

} // namespace
} // namespace dragonflymount::agreement
