// Tests one replica's reactions to single messages and to the time.
#include "dragonflymount/agreement.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::agreement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant start{seconds(100)};

member voter(const std::string& name) {
    return {replica_id(name), "", availability_zone_id("z"), initial_identity,
        true};
}

member_list voters(std::size_t count) {
    member_list members;
    for (std::size_t k = 0; k < count; ++k) {
        members.push_back(voter("c" + std::to_string(k)));
    }
    return members;
}

/// Replica c0; the test sends and answers the messages of its peers.
class single_replica {
public:
    explicit single_replica(member_list members, hard_state hard = {})
        : store_([&] {
              recovered_state fresh;
              fresh.identity = initial_identity;
              fresh.base.members = std::move(members);
              fresh.hard = std::move(hard);
              return fresh;
          }()),
          node_(options(), store_.recover(), start) {}

    /// No record that a snapshot covers is kept, so that a peer that lacks it
    /// needs the image.
    static replica_options options() {
        replica_options options;
        options.self = replica_id("c0");
        options.kept.count = 0;
        return options;
    }

    /// Ticks until c0 is the leader and has committed in its term. All peers
    /// grant their votes and accept appends.
    void elect() {
        while (!node_.has_committed_in_term() && now_ < start + seconds(10)) {
            now_ += milliseconds(10);
            node_.tick(now_);
            for (const outbound& sent : ready()) {
                answer(sent);
            }
        }
        ready();
    }

    std::vector<outbound> ready() {
        auto actions = node_.ready(store_, now_);
        return actions ? std::move(actions->messages) : std::vector<outbound>{};
    }

    void answer(const outbound& sent) {
        if (const auto* vote = sent.content.body.AsVoteRequest()) {
            wire::VoteReplyT reply;
            reply.term = vote->term;
            reply.voter = sent.to.str();
            reply.identity = initial_identity.value();
            reply.granted = true;
            reply.pre_vote = vote->pre_vote;
            node_.receive(wire::make_message(std::move(reply)), now_);
        }
        if (const auto* append = sent.content.body.AsAppendRequest()) {
            wire::AppendReplyT reply;
            reply.term = append->term;
            reply.follower = sent.to.str();
            reply.identity = initial_identity.value();
            reply.accepted = true;
            reply.match_index = append->previous_index + append->entries.size();
            reply.round = append->round;
            node_.receive(wire::make_message(std::move(reply)), now_);
        }
    }

    std::vector<wire::VoteReplyT> request_vote(
        std::uint64_t term, bool pre_vote, std::uint64_t last_index = 0) {
        wire::VoteRequestT request;
        request.term = term;
        request.candidate = "c1";
        request.identity = initial_identity.value();
        request.last_index = last_index;
        request.pre_vote = pre_vote;
        node_.receive(wire::make_message(std::move(request)), now_);
        std::vector<wire::VoteReplyT> replies;
        for (const outbound& sent : ready()) {
            if (const auto* reply = sent.content.body.AsVoteReply()) {
                replies.push_back(*reply);
            }
        }
        return replies;
    }

    /// Commits a record that \p silent neither receives nor answers.
    void commit_without(const std::string& silent) {
        node_.propose(bytes(1), now_);
        heartbeat_without(silent);
        ready();
    }
    /// Lets a heartbeat interval pass, in which all peers but \p silent answer.
    /// \returns the messages to \p silent.
    std::vector<outbound> heartbeat_without(const std::string& silent) {
        advance_time(replica_options{}.heartbeat_interval);
        node_.tick(now_);
        std::vector<outbound> unanswered;
        for (const outbound& sent : ready()) {
            if (sent.to == replica_id(silent)) {
                unanswered.push_back(sent);
            } else {
                answer(sent);
            }
        }
        return unanswered;
    }
    /// Answers \p sent as a replica without a log that holds all parts up to
    /// this one. \returns whether the snapshot is complete.
    bool hold_part(const outbound& sent) {
        const auto* install = sent.content.body.AsInstallSnapshot();
        wire::AppendReplyT reply;
        reply.term = node_.term().value();
        reply.follower = sent.to.str();
        reply.identity = initial_identity.value();
        if (install == nullptr) {
            reply.round = sent.content.body.AsAppendRequest()->round;
        } else {
            const wire::SnapshotPartT& part = *install->part;
            reply.round = install->round;
            reply.part_index = part.last_index;
            reply.part_bytes = part.offset + part.data.size();
            reply.accepted = reply.part_bytes == part.state_bytes;
            reply.match_index = reply.accepted ? part.last_index : 0;
        }
        const bool whole = reply.accepted;
        node_.receive(wire::make_message(std::move(reply)), now_);
        return whole;
    }

    void advance_time(duration span) { now_ += span; }
    instant now() const { return now_; }
    replica& node() { return node_; }
    memory_store& store() { return store_; }

private:
    memory_store store_;
    replica node_;
    instant now_ = start;
};

TEST(replica_step, denied_pre_vote_carries_the_newer_term) {
    single_replica group(voters(3), {log_term(5), replica_id()});
    group.advance_time(seconds(5));
    const auto replies = group.request_vote(4, true);
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_FALSE(replies[0].granted);
    EXPECT_EQ(replies[0].term, 5U);
    // The candidate must adopt the term; otherwise every later request is
    // denied.
    single_replica candidate(voters(3), {log_term(3), replica_id()});
    candidate.advance_time(seconds(5));
    candidate.node().tick(candidate.now());
    ASSERT_EQ(candidate.node().current_role(), role::pre_candidate);
    wire::VoteReplyT denial = replies[0];
    denial.voter = "c1";
    candidate.node().receive(wire::make_message(denial), candidate.now());
    EXPECT_EQ(candidate.node().term(), log_term(5));
}

TEST(replica_step, restarted_replica_does_not_vote_for_an_election_timeout) {
    // It may have acknowledged a leader just before the restart, and that
    // leader counts it in its quorum for an election timeout.
    single_replica group(voters(3));
    group.advance_time(milliseconds(500));
    EXPECT_TRUE(group.request_vote(1, false).empty());
    group.advance_time(milliseconds(600));
    const auto replies = group.request_vote(1, false);
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_TRUE(replies[0].granted);
}

TEST(replica_step, ignores_vote_requests_after_recent_leader_contact) {
    single_replica group(voters(3));
    group.advance_time(seconds(5));
    wire::AppendRequestT append;
    append.term = 1;
    append.leader = "c2";
    group.node().receive(wire::make_message(append), group.now());
    group.ready();
    group.advance_time(milliseconds(500));
    EXPECT_TRUE(group.request_vote(2, false).empty());
}

TEST(replica_step, leader_with_a_failed_disk_steps_down) {
    single_replica group(voters(3));
    group.elect();
    ASSERT_TRUE(group.node().has_committed_in_term());
    group.store().set_broken(true);
    ASSERT_TRUE(group.node().propose(to_bytes("a"), group.now()));
    group.ready();
    EXPECT_TRUE(group.node().is_failed());
    EXPECT_FALSE(group.node().is_leader());
    EXPECT_FALSE(group.node().has_committed_in_term());
    EXPECT_EQ(group.node().quorum_instant(), instant{});
}

TEST(replica_step, quorum_instant_of_a_single_voter_is_current) {
    single_replica group(voters(1));
    group.elect();
    ASSERT_TRUE(group.node().has_committed_in_term());
    EXPECT_LE(group.node().quorum_instant(), group.now());
    EXPECT_GT(group.node().quorum_instant(), group.now() - seconds(1));
}

TEST(replica_step, leader_that_removed_itself_steps_down) {
    single_replica group(voters(3));
    group.elect();
    ASSERT_TRUE(group.node().change(
        wire::replica_change::remove, voter("c0"), group.now()));
    for (int round = 0; round < 3; ++round) {
        for (const outbound& sent : group.ready()) {
            group.answer(sent);
        }
    }
    EXPECT_EQ(group.node().commit_index(), group.node().last_index());
    EXPECT_FALSE(group.node().is_leader());
    EXPECT_EQ(group.node().last_lead_end(), lead_end::removed);
}

TEST(replica_step, reports_why_its_leadership_ended) {
    single_replica silent(voters(3));
    silent.elect();
    EXPECT_EQ(silent.node().last_lead_end(), lead_end::none);
    silent.advance_time(seconds(2));
    silent.node().tick(silent.now());
    EXPECT_EQ(silent.node().last_lead_end(), lead_end::silent_quorum);

    single_replica overtaken(voters(3));
    overtaken.elect();
    wire::AppendRequestT append;
    append.term = overtaken.node().term().next().value();
    append.leader = "c2";
    overtaken.node().receive(wire::make_message(append), overtaken.now());
    EXPECT_EQ(overtaken.node().last_lead_end(), lead_end::higher_term);

    single_replica broken(voters(3));
    broken.elect();
    broken.store().set_broken(true);
    ASSERT_TRUE(broken.node().propose(to_bytes("a"), broken.now()));
    broken.ready();
    EXPECT_EQ(broken.node().last_lead_end(), lead_end::disk_failed);
}

// A replica that can't read its folder has no identity to be admitted under.
// The request must not remove its vote.
TEST(replica_step, rejects_admission_without_an_identity) {
    single_replica group(voters(3));
    group.elect();
    member unreadable = voter("c2");
    unreadable.identity = replica_identity();
    EXPECT_FALSE(group.node().change(
        wire::replica_change::admit, unreadable, group.now()));
    EXPECT_EQ(group.node().members(), voters(3));
}

TEST(replica_step, frozen_leader_rejects_member_changes) {
    single_replica group(voters(3));
    group.elect();
    group.advance_time(seconds(60));
    EXPECT_FALSE(group.node().change(
        wire::replica_change::remove, voter("c2"), group.now()));
}

TEST(replica_step, frozen_leader_steps_down_without_sending) {
    single_replica group(voters(3));
    group.elect();
    ASSERT_TRUE(group.node().propose(to_bytes("a"), group.now()));
    group.advance_time(seconds(60));
    EXPECT_TRUE(group.ready().empty());
    EXPECT_FALSE(group.node().is_leader());
}

TEST(replica_step, late_acknowledgement_of_a_slow_peer_counts) {
    single_replica group(voters(3));
    group.elect();
    group.advance_time(milliseconds(200));
    ASSERT_TRUE(group.node().propose(to_bytes("a"), group.now()));
    const instant sent_at = group.now();
    std::optional<outbound> late;
    for (int round = 0; round < 400; ++round) {
        for (const outbound& sent : group.ready()) {
            if (sent.to == replica_id("c1")) {
                late = late ? late : std::optional(sent);
            } else {
                group.answer(sent);
            }
        }
        group.advance_time(milliseconds(1));
        ASSERT_TRUE(group.node().propose(to_bytes("a"), group.now()));
    }
    ASSERT_TRUE(late);
    member gone = voter("c2");
    group.answer(*late);
    // Without c2, a majority of the two voters needs c1.
    ASSERT_TRUE(
        group.node().change(wire::replica_change::remove, gone, group.now()));
    EXPECT_EQ(group.node().quorum_instant(), sent_at);
}

TEST(replica_step, late_rejection_does_not_lower_the_match_index) {
    single_replica group(voters(3));
    group.elect();
    const log_index match = group.node().match_index(replica_id("c1"));
    ASSERT_GT(match, log_index(0));
    wire::AppendReplyT late;
    late.term = group.node().term().value();
    late.follower = "c1";
    late.identity = initial_identity.value();
    group.node().receive(wire::make_message(late), group.now());
    group.advance_time(milliseconds(200));
    group.node().tick(group.now());
    for (const outbound& sent : group.ready()) {
        if (sent.to == replica_id("c1")) {
            EXPECT_EQ(sent.content.body.AsAppendRequest()->previous_index,
                match.value());
        }
    }
}

TEST(replica_step, replica_with_a_damaged_log_does_not_campaign) {
    recovered_state damaged;
    damaged.identity = initial_identity;
    damaged.base.members = voters(3);
    damaged.damaged = true;
    memory_store store(damaged);
    replica node(replica_options{replica_id("c0")}, damaged, start);
    node.tick(start + seconds(10));
    EXPECT_EQ(node.current_role(), role::follower);
    EXPECT_TRUE(node.is_failed());
    EXPECT_FALSE(node.ready(store, start + seconds(10)));
}

bytes payload_of(std::size_t size) {
    return bytes(size, 7);
}

std::size_t entries_to(
    const std::vector<outbound>& sent, const std::string& peer) {
    std::size_t entries = 0;
    for (const outbound& message : sent) {
        const auto* append = message.content.body.AsAppendRequest();
        if (append != nullptr && message.to == replica_id(peer)) {
            entries += append->entries.size();
        }
    }
    return entries;
}

// Guards against resending a batch with every heartbeat while a follower takes
// longer than a heartbeat interval to sync it.
TEST(replica_step, heartbeats_do_not_resend_records_in_flight) {
    single_replica group(voters(3));
    group.elect();
    ASSERT_TRUE(group.node().has_committed_in_term());
    ASSERT_TRUE(group.node().propose(payload_of(100), group.now()));
    EXPECT_EQ(entries_to(group.ready(), "c1"), 1U);
    std::size_t heartbeats = 0;
    for (int k = 0; k < 4; ++k) {
        group.advance_time(replica_options{}.heartbeat_interval);
        group.node().tick(group.now());
        const auto sent = group.ready();
        EXPECT_EQ(entries_to(sent, "c1"), 0U);
        heartbeats += sent.size();
    }
    EXPECT_GE(heartbeats, 8U);
}

TEST(replica_step, resends_lost_records_once_a_later_round_is_answered) {
    single_replica group(voters(3));
    group.elect();
    ASSERT_TRUE(group.node().propose(payload_of(100), group.now()));
    // The records are lost; the heartbeat after them arrives.
    group.ready();
    group.advance_time(replica_options{}.heartbeat_interval);
    group.node().tick(group.now());
    for (const outbound& heartbeat : group.ready()) {
        group.answer(heartbeat);
    }
    EXPECT_EQ(entries_to(group.ready(), "c1"), 1U);
}

TEST(replica_step, resends_unanswered_records) {
    single_replica group(voters(5));
    group.elect();
    ASSERT_TRUE(group.node().propose(payload_of(100), group.now()));
    group.ready();
    std::size_t resent = 0;
    for (int k = 0; k < 8; ++k) {
        group.advance_time(replica_options{}.heartbeat_interval);
        group.node().tick(group.now());
        for (const outbound& sent : group.ready()) {
            if (sent.to == replica_id("c1")) {
                resent += entries_to({sent}, "c1");
            } else {
                group.answer(sent);
            }
        }
    }
    EXPECT_GE(resent, 1U);
}

// Guards against a replica that gets no vote while records are committed all
// the time, because the others are faster: the next lost disk may then take the
// quorum.
TEST(replica_step, promotes_a_learner_that_is_slower_than_the_quorum) {
    member_list members = voters(3);
    members.back().voter = false;
    single_replica group(members);
    group.elect();
    std::vector<outbound> late;
    bool promoted = false;
    for (int k = 0; k < 20 && !promoted; ++k) {
        ASSERT_TRUE(group.node().propose(payload_of(10), group.now()));
        // The voter answers, and the record is committed in the second turn.
        for (int turn = 0; turn < 2; ++turn) {
            for (const outbound& sent : group.ready()) {
                if (sent.to == replica_id("c2")) {
                    late.push_back(sent);
                } else {
                    group.answer(sent);
                }
            }
        }
        promoted = static_cast<bool>(group.node().change(
            wire::replica_change::promote, members.back(), group.now()));
        for (const outbound& sent : std::exchange(late, {})) {
            group.answer(sent);
        }
    }
    EXPECT_TRUE(promoted);
}

// Guards against resending a large snapshot with every heartbeat to a replica
// that lacks the records before it.
// Guards against a former life that takes the place of the newer one: its
// answer was held up, and arrives after the newer one was admitted.
TEST(replica_step, does_not_take_a_late_answer_for_a_new_identity) {
    single_replica group(voters(3));
    group.elect();
    group.advance_time(replica_options{}.heartbeat_interval);
    group.node().tick(group.now());
    const std::vector<outbound> sent = group.ready();
    const auto answer_under = [&](std::uint64_t identity) {
        for (const outbound& each : sent) {
            const auto* append = each.content.body.AsAppendRequest();
            if (append == nullptr || each.to != replica_id("c1")) {
                continue;
            }
            wire::AppendReplyT reply;
            reply.term = append->term;
            reply.follower = "c1";
            reply.identity = identity;
            reply.round = append->round;
            group.node().receive(
                wire::make_message(std::move(reply)), group.now());
        }
    };
    answer_under(7);
    ASSERT_EQ(group.node().unadmitted().count(replica_id("c1")), 1U);
    member renewed = voter("c1");
    renewed.identity = replica_identity(7);
    ASSERT_TRUE(
        group.node().change(wire::replica_change::admit, renewed, group.now()));
    answer_under(initial_identity.value());
    EXPECT_TRUE(group.node().unadmitted().empty());
}

TEST(replica_step, does_not_resend_a_snapshot_in_flight) {
    constexpr std::size_t image_bytes = 8U << 20U;
    single_replica group(voters(3));
    group.elect();
    ASSERT_TRUE(group.node().propose(payload_of(100), group.now()));
    for (const outbound& sent : group.ready()) {
        if (sent.to == replica_id("c2")) {
            group.answer(sent);
        }
    }
    group.ready();
    ASSERT_TRUE(group.node().save_snapshot(
        group.store(), group.node().commit_index(), payload_of(image_bytes)));
    std::size_t images = 0;
    std::size_t heartbeats = 0;
    for (int k = 0; k < 20; ++k) {
        group.advance_time(replica_options{}.heartbeat_interval);
        group.node().tick(group.now());
        for (const outbound& sent : group.ready()) {
            if (sent.to == replica_id("c2")) {
                group.answer(sent);
            } else if (sent.content.body.AsInstallSnapshot() != nullptr) {
                ++images;
            } else {
                ++heartbeats;
            }
        }
    }
    EXPECT_EQ(images, 1U);
    EXPECT_GE(heartbeats, 10U);
}

// Guards against a replica that never catches up under load: once it held the
// image, the leader saved a newer one and dropped the records in between.
TEST(replica_step, keeps_its_log_until_the_receiver_of_a_snapshot_holds_it) {
    constexpr std::size_t image_bytes = 8U << 20U;
    single_replica group(voters(3));
    group.elect();
    group.commit_without("c2");
    ASSERT_TRUE(group.node().save_snapshot(
        group.store(), group.node().commit_index(), payload_of(image_bytes)));
    group.commit_without("c2");
    std::vector<outbound> late;
    bool whole = false;
    for (int k = 0; k < 100 && !whole; ++k) {
        late = group.heartbeat_without("c2");
        ASSERT_FALSE(late.empty());
        whole = group.hold_part(late.back());
    }
    ASSERT_TRUE(whole);
    EXPECT_TRUE(group.node().is_sending_snapshot(group.now()));
    // The replica syncs and loads the image meanwhile.
    for (int k = 0; k < 10; ++k) {
        late = group.heartbeat_without("c2");
    }
    EXPECT_TRUE(group.node().is_sending_snapshot(group.now()));
    for (int k = 0; k < 10; ++k) {
        for (const outbound& sent : group.heartbeat_without("c2")) {
            group.answer(sent);
        }
    }
    EXPECT_FALSE(group.node().is_sending_snapshot(group.now()));
}

} // namespace
} // namespace dragonflymount::agreement
