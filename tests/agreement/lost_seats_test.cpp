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
constexpr std::size_t replicas = 5;
// The users' bound on an election (recover_s).
constexpr duration recovery_bound = seconds(15);
constexpr duration restart = milliseconds(500);

/// Five replicas of which two may lose their disks at a time.
class seats : public testing::Test {
protected:
    void begin(std::uint64_t seed) {
        seed_ = seed;
        random_.seed(seed);
        group_ = std::make_unique<cluster>(replicas, seed, replicas);
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
    void lose_and_hold_two() {
        const std::set<std::size_t> lost = draw_two();
        lose(lost);
        for (const std::size_t k : lost) {
            group_->hold_records(k, seconds(600));
        }
        ASSERT_TRUE(run_until(recovery_bound, [&] {
            return voters().size() == replicas - 2;
        })) << describe();
        group_->run(seconds(1));
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

// Guards against a group of its own that a replica forms by an old list, while
// it is cut off and all others are replaced, or when it is back.
TEST_F(seats, arent_given_up_by_a_stale_list) {
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + 10; ++seed) {
        begin(seed);
        const std::size_t stale = draw_voter();
        group_->cut_off(stale, seconds(600));
        for (std::size_t k = 0; k < replicas; ++k) {
            if (k == stale) {
                continue;
            }
            ASSERT_TRUE(run_until(seconds(30), [&] {
                return voters().size() + 1 >= replicas;
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

void seats::cause_trouble() {
    const std::size_t k = draw(replicas);
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
    begin(seed);
    for (int round = 0; round < 20 && group_->violation().empty(); ++round) {
        const std::size_t k = draw(replicas);
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
    begin(seed);
    for (int round = 0; round < 20 && group_->violation().empty(); ++round) {
        const std::size_t k = draw(replicas);
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
