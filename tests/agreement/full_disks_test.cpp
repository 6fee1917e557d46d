// Tests groups whose disks are full for a few seconds each, one after another
// and never two at once: records must be committed all the time, and nothing
// committed may be lost in a power loss of all that follows.
//
// CI runs fixed seeds. DFM_DISKS_RUNS=N adds N runs of each kind with fresh
// seeds, and DFM_DISKS_SEED=S repeats the runs of a printed seed.
#include "tests/agreement/cluster.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <numeric>

namespace dragonflymount::agreement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t fixed_seed = 20260127;
constexpr std::uint64_t fixed_runs = 60;

// The users' bound on an acknowledgement is 4 s; 2 s more for an election.
constexpr duration ack_bound = seconds(6);

struct group_size {
    std::size_t replicas = 0;
    std::size_t voters = 0;
};
constexpr std::array group_sizes{
    group_size{3, 3}, group_size{4, 3}, group_size{5, 3}, group_size{6, 5}};

/// What happens while the disks are full, besides.
enum class trouble : std::uint8_t { none, kill_it, kill_other, power };
constexpr std::uint64_t trouble_kinds = 4;

/// A group whose disks fill up one after another.
class full_disks {
public:
    full_disks(const group_size& size, std::uint64_t seed)
        : size_(size), seed_(seed), random_(seed),
          group_(size.replicas, seed, size.voters) {
        group_.run(seconds(4));
        group_.take_longest_pause();
    }

    /// Fills the disks of \p order, each for one to five seconds.
    void fill(const std::vector<std::size_t>& order) {
        for (const std::size_t k : order) {
            fill_one(k, trouble::none);
        }
        expect_progress();
    }

    /// Fills the disks of the leaders, of which there may be a new one each
    /// time.
    void fill_leaders(std::size_t count) {
        for (std::size_t k = 0; k < count; ++k) {
            fill_one(group_.leader().value_or(0), trouble::none);
        }
        expect_progress();
    }

    /// As \c fill, with kills and power losses meanwhile. No record may be
    /// committed during these, but one must be soon after the last disk has
    /// room.
    void fill_with_trouble(const std::vector<std::size_t>& order) {
        for (const std::size_t k : order) {
            fill_one(k, static_cast<trouble>(draw(trouble_kinds)));
        }
        group_.run(ack_bound);
        group_.take_longest_pause();
        group_.run(ack_bound);
        expect_progress();
    }

    void expect_recovery() {
        EXPECT_TRUE(group_.converge(seconds(30))) << describe();
        group_.lose_power();
        EXPECT_TRUE(group_.converge(seconds(30))) << describe();
    }

    std::vector<std::size_t> random_order() {
        std::vector<std::size_t> order(size_.replicas);
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::shuffle(order.begin(), order.end(), random_);
        return order;
    }

private:
    std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

    void fill_one(std::size_t k, trouble besides) {
        const duration span = milliseconds(1000 + draw(4000));
        const duration before = span * static_cast<int>(draw(10)) / 10;
        group_.fill_disk(
            k, span, draw(2) == 0 ? refusal::of_bytes : refusal::of_calls);
        group_.run(before);
        cause(besides, k);
        // A little longer than the disk is full: the next one fills between at
        // once and after it has been open again for a while.
        group_.run(span - before + milliseconds(20 + draw(1500)));
    }

    void cause(trouble what, std::size_t k) {
        const duration down = milliseconds(200 + draw(2000));
        switch (what) {
        case trouble::none:
            break;
        case trouble::kill_it:
            group_.kill(k, down);
            break;
        case trouble::kill_other:
            group_.kill((k + 1) % size_.replicas, down);
            break;
        case trouble::power:
            group_.lose_power();
            break;
        }
    }

    void expect_progress() {
        const duration pause = group_.take_longest_pause();
        EXPECT_LE(pause.count(), ack_bound.count()) << describe();
    }

    std::string describe() const {
        return "DFM_DISKS_SEED=" + std::to_string(seed_) + ", " +
            std::to_string(size_.replicas) + " replicas, " +
            std::to_string(size_.voters) + " voters: " + group_.violation() +
            '\n' + group_.trace();
    }

    group_size size_;
    std::uint64_t seed_;
    std::mt19937_64 random_;
    cluster group_;
};

void run_orders(std::uint64_t seed) {
    for (const group_size& size : group_sizes) {
        full_disks group(size, seed);
        group.fill(group.random_order());
        group.expect_recovery();
    }
}

void run_leaders(std::uint64_t seed) {
    for (const group_size& size : group_sizes) {
        full_disks group(size, seed);
        group.fill_leaders(size.replicas);
        group.expect_recovery();
    }
}

void run_trouble(std::uint64_t seed) {
    for (const group_size& size : group_sizes) {
        full_disks group(size, seed);
        group.fill_with_trouble(group.random_order());
        group.expect_recovery();
    }
}

void run_seeds(std::uint64_t first, std::uint64_t count,
    const std::function<void(std::uint64_t)>& run) {
    for (std::uint64_t k = 0; k < count && !testing::Test::HasFailure(); ++k) {
        run(first + k);
    }
}

// Guards against a change of members after which the loss of one disk is one
// too many for good, although no disk is lost yet: the silent voter is back
// later.
TEST(silent_voters, are_replaced_without_a_moment_that_needs_every_disk) {
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + 10; ++seed) {
        for (std::size_t silent = 0; silent < 3; ++silent) {
            cluster group(4, seed, 3);
            group.run(seconds(4));
            group.kill(silent, seconds(6));
            for (int k = 0; k < 500 && group.violation().empty(); ++k) {
                group.run(milliseconds(20));
                ASSERT_TRUE(group.can_lose_any_disk())
                    << "seed " << seed << '\n'
                    << group.trace();
            }
            EXPECT_TRUE(group.converge(seconds(30))) << group.violation();
        }
    }
}

// Guards against a leader that steps down because it counts the promoted
// replica as a voter that never answered, besides the silent one.
TEST(silent_voters, are_replaced_without_an_election) {
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + 10; ++seed) {
        cluster group(4, seed, 3);
        group.run(seconds(4));
        const std::size_t leads = group.leader().value_or(0);
        group.kill((leads + 1) % 3, seconds(6));
        group.take_longest_pause();
        group.run(seconds(8));
        EXPECT_EQ(group.leader(), leads) << group.trace();
        EXPECT_LT(group.take_longest_pause(), milliseconds(500))
            << "seed " << seed << '\n'
            << group.trace();
    }
}

// Guards against a leader that is gone for good and still a voter when the next
// disks may be lost, 4 s after its replacement started.
TEST(silent_voters, are_replaced_within_2_s_of_an_election) {
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + 10; ++seed) {
        cluster group(6, seed, 5);
        group.run(seconds(4));
        group.kill(group.leader().value_or(0), seconds(60));
        for (int k = 0; k < 500 && !group.leader(); ++k) {
            group.run(milliseconds(20));
        }
        group.run(seconds(2));
        EXPECT_TRUE(group.do_all_voters_run()) << "seed " << seed << '\n'
                                               << group.trace();
    }
}

// The same with a disk that is lost in this moment.
TEST(silent_voters, are_replaced_while_another_voter_loses_its_disk) {
    for (std::uint64_t seed = fixed_seed; seed < fixed_seed + 10; ++seed) {
        cluster group(4, seed, 3);
        group.run(seconds(4));
        group.plan({{step::change_members, fault::lost_disk, false}});
        group.kill((group.leader().value_or(0) + 1) % 3, seconds(6));
        group.run(seconds(8));
        EXPECT_EQ(group.injected(), 1U);
        EXPECT_FALSE(group.can_lose_any_disk()) << "a disk must be lost";
        EXPECT_TRUE(group.converge(seconds(30)))
            << "seed " << seed << ": " << group.violation() << '\n'
            << group.trace();
    }
}

TEST(full_disks, leave_a_group_that_commits_in_every_order) {
    for (const group_size& size : {group_size{3, 3}, group_size{4, 3}}) {
        std::vector<std::size_t> order(size.replicas);
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::uint64_t seed = fixed_seed;
        do {
            full_disks group(size, seed++);
            group.fill(order);
            group.expect_recovery();
        } while (std::next_permutation(order.begin(), order.end()) &&
            !testing::Test::HasFailure());
    }
}

TEST(full_disks, leave_a_group_that_commits_at_random_times) {
    run_seeds(fixed_seed, fixed_runs, run_orders);
}

TEST(full_disks, of_each_leader_leave_a_group_that_commits) {
    run_seeds(fixed_seed, fixed_runs, run_leaders);
}

TEST(full_disks, with_kills_and_power_losses_leave_a_group_that_commits) {
    run_seeds(fixed_seed, fixed_runs, run_trouble);
}

// A silent voter of three was removed just before the leader's disk filled, so
// the two that remained had to write: no record was committed for 8.6 s.
TEST(full_disks, of_each_leader_do_not_meet_a_change_of_members) {
    run_leaders(3122298074000039);
}

TEST(full_disks, leave_a_group_that_commits_with_fresh_seeds) {
    const auto run_all = [](std::uint64_t seed) {
        run_orders(seed);
        run_leaders(seed);
        run_trouble(seed);
    };
    if (const char* seed = std::getenv("DFM_DISKS_SEED")) {
        run_all(std::stoull(seed));
    }
    if (const char* runs = std::getenv("DFM_DISKS_RUNS")) {
        run_seeds(std::random_device{}() * std::uint64_t{1000000},
            std::stoull(runs), run_all);
    }
}

} // namespace
} // namespace dragonflymount::agreement
