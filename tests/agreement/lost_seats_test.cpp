// Tests groups that lose disks while earlier losses are still being made good:
// nothing committed may be lost, and the group must have a leader again and all
// its voters later.
//
// CI runs fixed seeds. DFM_SEATS_RUNS=N adds N runs with fresh seeds, and
// DFM_SEATS_SEED=S repeats the run of a printed seed.
#include "tests/agreement/cluster.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

namespace dragonflymount::agreement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t fixed_seed = 20261207;
constexpr std::uint64_t fixed_runs = 40;
// The users' bound on an election (recover_s).
constexpr duration recovery_bound = seconds(15);
constexpr duration restart = milliseconds(500);

/// Five replicas of which two may lose their disks at a time, or seven and
/// three.
class seats : public testing::Test {
protected:
    void begin(std::uint64_t seed, std::size_t size = 5) {
        seed_ = seed;
        size_ = size;
        random_.seed(seed);
        group_ = std::make_unique<cluster>(size, seed, size);
        group_->run(seconds(4));
    }

    /// Runs until \p holds. \returns whether that was within \p limit.
    template <class Condition>
    bool run_until(duration limit, Condition holds) {
        for (duration ran{}; ran < limit; ran += milliseconds(100)) {
            if (holds()) {
                return true;
            }
            group_->run(milliseconds(100));
        }
        return holds();
    }

    std::set<std::size_t> voters() const {
        const auto leads = group_->leader();
        return leads ? group_->voters_of(*leads) : std::set<std::size_t>();
    }

    void lose(const std::set<std::size_t>& lost, duration down = restart) {
        for (const std::size_t k : lost) {
            ASSERT_TRUE(group_->lose_disk(k, down)) << describe();
        }
    }

    /// Loses the disks of two voters, and keeps them from catching up.
    std::set<std::size_t> lose_and_hold_two() {
        std::set<std::size_t> lost = draw_two();
        lose(lost);
        for (const std::size_t k : lost) {
            group_->hold_records(k, seconds(600));
        }
        EXPECT_TRUE(run_until(recovery_bound, [&] {
            return voters().size() == size_ - 2;
        })) << describe();
        group_->run(seconds(1));
        return lost;
    }

    std::set<std::size_t> draw_two() {
        std::set<std::size_t> drawn;
        while (drawn.size() < 2) {
            drawn.insert(draw_voter());
        }
        return drawn;
    }

    std::size_t draw_voter() {
        std::set<std::size_t> of = voters();
        while (of.empty()) {
            group_->run(milliseconds(100));
            of = voters();
        }
        return *std::next(of.begin(), static_cast<long>(draw(of.size())));
    }

    void expect_end(duration bound = recovery_bound) {
        EXPECT_TRUE(run_until(bound, [&] {
            return group_->leader().has_value();
        })) << describe();
        EXPECT_TRUE(group_->converge(seconds(60))) << describe();
        EXPECT_EQ(group_->violation(), "") << describe();
    }

    std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

    std::string describe() const {
        return "DFM_SEATS_SEED=" + std::to_string(seed_) + ": " +
            group_->violation() + '\n' + group_->trace();
    }

    void run_series(std::uint64_t seed);
    void run_excess(std::uint64_t seed);
    void cause_trouble();

    std::unique_ptr<cluster> group_;
    std::mt19937_64 random_;
    std::uint64_t seed_ = 0;
    std::size_t size_ = 0;
};

// Guards against the end of a group that lost two disks, and two of its three
// voters before the first two had caught up.
TEST_F(seats, lead_again_after_two_losses_and_two_more) {
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + 10; ++seed) {
        begin(seed);
        lose_and_hold_two();
        lose(draw_two());
        expect_end();
        if (HasFailure()) {
            return;
        }
    }
}

// Guards against a leader that can commit nothing, as a voter whose disk is
// gone holds a seat.
TEST_F(seats, commit_again_after_two_losses_and_that_of_the_leader) {
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + 10; ++seed) {
        begin(seed);
        lose_and_hold_two();
        lose({*group_->leader()});
        expect_end();
        if (HasFailure()) {
            return;
        }
    }
}

// Guards against a living voter without a vote: it could go on by an old list
// that counts it, while a smaller quorum commits.
TEST_F(seats, arent_taken_from_living_voters) {
    begin(fixed_seed);
    for (const std::size_t k : voters()) {
        EXPECT_FALSE(group_->change(wire::replica_change::remove, k));
        EXPECT_FALSE(group_->change(wire::replica_change::admit, k));
    }
}

// Guards against a group that commits nothing while the leader of three voters
// is down for long, though replacements have caught up.
TEST_F(seats, are_taken_while_the_leader_before_is_down) {
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + 10; ++seed) {
        begin(seed);
        const std::set<std::size_t> held = lose_and_hold_two();
        group_->kill(*group_->leader(), seconds(60));
        for (const std::size_t k : held) {
            group_->hold_records(k, duration::zero());
        }
        expect_end();
        if (HasFailure()) {
            return;
        }
    }
}

// Guards against a group of its own that a replica forms by an old list, while
// it is cut off and all others are replaced, or when it is back.
TEST_F(seats, arent_given_up_by_a_stale_list) {
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + 10; ++seed) {
        begin(seed);
        const std::size_t stale = draw_voter();
        group_->cut_off(stale, seconds(600));
        for (std::size_t k = 0; k < size_; ++k) {
            if (k == stale) {
                continue;
            }
            ASSERT_TRUE(run_until(seconds(30), [&] {
                return voters().size() + 1 >= size_;
            })) << describe();
            group_->replace_disk(k, restart);
            group_->run(seconds(3));
        }
        ASSERT_FALSE(group_->core(stale)->is_leader()) << describe();
        // It is back at the moment at which no other has a leader.
        group_->cut_off(stale, duration::zero());
        group_->lose_power();
        group_->run(seconds(20));
        expect_end();
        if (HasFailure()) {
            return;
        }
    }
}

// Guards against an operator without a way out: the machines of two of three
// voters are gone, and don't answer.
TEST_F(seats, are_given_up_at_the_operators_word) {
    begin(fixed_seed);
    lose_and_hold_two();
    const std::set<std::size_t> left = voters();
    const std::size_t last = *left.begin();
    const std::set<std::size_t> gone{*std::next(left.begin()), *left.rbegin()};
    EXPECT_FALSE(group_->reform(last, gone)) << "a leader is heard";
    lose(gone, seconds(40));
    group_->run(recovery_bound);
    ASSERT_FALSE(group_->leader().has_value()) << describe();
    EXPECT_FALSE(group_->reform(last, {})) << "nobody is named";
    EXPECT_FALSE(group_->reform(last, {last})) << "it is the replica itself";
    ASSERT_TRUE(group_->reform(last, gone));
    EXPECT_TRUE(run_until(recovery_bound, [&] {
        return group_->leader() == last;
    })) << describe();
    EXPECT_EQ(group_->core(last)->seats_given_up().size(), 2U);
    expect_end();
}

// Guards against an operator who names too few: the replica that was told so
// has the longest log, and waited for the others although a majority was back.
TEST_F(seats, are_elected_by_a_majority_if_too_few_were_named) {
    begin(fixed_seed);
    const std::size_t told = group_->leader().value();
    std::vector<std::size_t> others;
    for (std::size_t k = 0; k < size_; ++k) {
        if (k != told) {
            others.push_back(k);
        }
    }
    group_->cut_off(others[0], seconds(3));
    group_->kill(others[1], seconds(10));
    group_->kill(others[2], seconds(100));
    group_->kill(others[3], seconds(100));
    group_->run(seconds(8));
    ASSERT_FALSE(group_->leader().has_value()) << describe();
    ASSERT_TRUE(group_->reform(told, {others[2]}));
    group_->run(seconds(2));
    EXPECT_TRUE(run_until(recovery_bound, [&] {
        return group_->leader().has_value();
    })) << describe();
    EXPECT_EQ(group_->violation(), "") << describe();
}

void seats::cause_trouble() {
    const std::size_t k = draw(size_);
    const duration span = milliseconds(draw(4000));
    switch (draw(6)) {
    case 0:
        group_->kill(k, span);
        break;
    case 1:
        group_->cut_off(k, span);
        break;
    case 2:
        group_->delay_messages(k, span);
        break;
    case 3:
        group_->hold_records(k, 2 * span);
        break;
    case 4:
        if (draw(4) == 0) {
            group_->lose_power();
        }
        break;
    default:
        break;
    }
}

void seats::run_series(std::uint64_t seed) {
    begin(seed, seed % 2 == 0 ? 5 : 7);
    for (int round = 0; round < 20 && group_->violation().empty(); ++round) {
        const std::size_t k = draw(size_);
        if (group_->lose_disk(k, milliseconds(draw(1500))) && draw(2) == 0) {
            group_->hold_records(k, milliseconds(draw(15000)));
        }
        cause_trouble();
        group_->run(milliseconds(draw(4000)));
    }
    EXPECT_TRUE(group_->converge(seconds(120))) << describe();
    EXPECT_EQ(group_->violation(), "") << describe();
}

/// Loses more disks than a group can: it may have no leader any more, but never
/// one that lacks a committed record.
void seats::run_excess(std::uint64_t seed) {
    begin(seed, seed % 2 == 0 ? 5 : 7);
    for (int round = 0; round < 20 && group_->violation().empty(); ++round) {
        const std::size_t k = draw(size_);
        group_->replace_disk(k, milliseconds(draw(1500)));
        if (draw(2) == 0) {
            group_->hold_records(k, milliseconds(draw(5000)));
        }
        cause_trouble();
        group_->run(milliseconds(draw(3000)));
    }
    group_->converge(seconds(10));
    EXPECT_EQ(group_->violation(), "") << describe();
}

member_list make_members(std::size_t voters, std::size_t learners) {
    member_list made;
    for (std::size_t k = 0; k < voters + learners; ++k) {
        made.push_back({replica_id("c" + std::to_string(k)), "",
            availability_zone_id("z"), initial_identity, k < voters});
    }
    return made;
}

// Guards against a record on fewer disks than may be lost, and against a group
// without empty seats that needs more than a majority.
TEST(commit_quorum, fills_the_majority_of_seats) {
    const auto quorum = [](std::size_t voters, std::size_t learners) {
        return commit_quorum(make_members(voters, learners), 5);
    };
    EXPECT_EQ(quorum(5, 0), 3U);
    EXPECT_EQ(quorum(6, 0), 4U);
    EXPECT_EQ(quorum(4, 1), 3U);
    EXPECT_EQ(quorum(3, 2), 3U);
    EXPECT_EQ(quorum(2, 3), 2U);
    EXPECT_EQ(quorum(3, 0), 2U) << "two replicas are no members";
    EXPECT_EQ(commit_quorum(make_members(3, 2), 0), 2U) << "no target";
}

// Guards against a lead on answers that leave a committed record possible of
// which the candidate doesn't know.
TEST(lead_without_lost, needs_every_answer_and_a_holder_of_each_record) {
    const member_list members = make_members(3, 2);
    const replica_identity other{9};
    attempt_answers good;
    good.answers = {{replica_id("c0"), {initial_identity, true, false}},
        {replica_id("c1"), {other, false, false}},
        {replica_id("c2"), {other, false, false}},
        {replica_id("c3"), {initial_identity, false, false}},
        {replica_id("c4"), {initial_identity, false, false}}};
    EXPECT_TRUE(may_lead_without_lost(members, 5, good));
    EXPECT_FALSE(may_lead_without_lost(members, 3, good)) << "too many lost";
    EXPECT_FALSE(may_lead_without_lost(members, 0, good)) << "no target";
    const auto with = [&](const char* id, vote_answer answer) {
        attempt_answers changed = good;
        changed.answers[replica_id(id)] = answer;
        return may_lead_without_lost(members, 5, changed);
    };
    EXPECT_FALSE(with("c1", {initial_identity, false, false})) << "a denial";
    EXPECT_FALSE(with("c3", {initial_identity, false, true})) << "newer list";
    EXPECT_FALSE(with("c3", {other, false, false})) << "a learner lost too";
    attempt_answers silent = good;
    silent.answers.erase(replica_id("c4"));
    EXPECT_FALSE(may_lead_without_lost(members, 5, silent));
    silent.declared_lost = {replica_id("c4")};
    EXPECT_TRUE(may_lead_without_lost(members, 5, silent));
    const reformed_group reformed = reform_members(members, silent);
    EXPECT_EQ(reformed.members.size(), 4U) << "c4 is gone";
    EXPECT_EQ(voter_count(reformed.members), 1U);
    EXPECT_EQ(reformed.lost_voters.size(), 2U);
}

/// \returns whether c2 wins a pre-vote against two lost voters, if its newest
/// list, which promotes it, is in its log \p copies times.
bool leads_by_new_list(std::uint64_t copies) {
    recovered_state state;
    state.hard.term = log_term(1);
    state.identity = initial_identity;
    state.base = {log_index(1), log_term(1), make_members(2, 3), {}};
    for (std::uint64_t k = 0; k < copies; ++k) {
        state.records.push_back({log_term(1), log_index(2 + k),
            record_kind::members, encode_members(make_members(3, 2))});
    }
    replica_options options{replica_id("c2")};
    options.voters = 5;
    instant now{seconds(100)};
    memory_disk disk;
    file_store<memory_disk> store(disk);
    EXPECT_TRUE(store.initialize(initial_identity, {}));
    replica node(options, std::move(state), now);
    now += seconds(3);
    node.tick(now);
    const auto asked = node.ready(store, now);
    for (const outbound& message : asked->messages) {
        const auto* request = message.content.body.AsVoteRequest();
        wire::VoteReplyT reply;
        reply.voter = message.to.str();
        reply.attempt = request->attempt;
        reply.pre_vote = request->pre_vote;
        const bool lost = message.to < replica_id("c2");
        reply.identity = initial_identity.value() + (lost ? 1 : 0);
        node.receive(wire::make_message(std::move(reply)), now);
    }
    return node.current_role() == role::candidate;
}

// Guards against a lead by a list that was never agreed on: two of two voters
// of the list before may have committed records without the candidate.
TEST(lead_without_lost, needs_the_list_before_unless_it_was_repeated) {
    EXPECT_FALSE(leads_by_new_list(1));
    EXPECT_TRUE(leads_by_new_list(2));
}

TEST_F(seats, are_never_given_up_with_a_committed_record) {
    for (std::uint64_t k = 0; k < fixed_runs && !HasFailure(); ++k) {
        run_excess(fixed_seed + k);
    }
}

TEST_F(seats, outlast_series_of_lost_disks) {
    for (std::uint64_t k = 0; k < fixed_runs && !HasFailure(); ++k) {
        run_series(fixed_seed + k);
    }
}

TEST_F(seats, outlast_fresh_series_of_lost_disks) {
    const char* runs = std::getenv("DFM_SEATS_RUNS");
    const char* seed = std::getenv("DFM_SEATS_SEED");
    if (seed != nullptr) {
        run_series(std::stoull(seed));
        run_excess(std::stoull(seed));
    }
    const std::uint64_t first = std::random_device{}() * std::uint64_t{1000000};
    const std::uint64_t count = runs == nullptr ? 0 : std::stoull(runs);
    for (std::uint64_t k = 0; k < count; ++k) {
        run_series(first + k);
        run_excess(first + k);
    }
    std::cout << "fresh series: " << count << '\n';
}

} // namespace
} // namespace dragonflymount::agreement
