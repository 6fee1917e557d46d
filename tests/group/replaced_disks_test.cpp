// Machines that come back without their disks, twice, as the settings allow:
// two of five, and catch_up later two others, the leader among them.
//
// DFM_GROUP_SEED, DFM_GROUP_RUNS: further plays. DFM_GROUP_ALL=1: also those
// that take too long for CI. DFM_GROUP_PRINT=1: what was sent, and how far the
// replaced replicas were. DFM_GROUP_LOGS: a folder for the logs of what failed.
#include "tests/group/callers.hpp"

#include <algorithm>

namespace dragonflymount::group_test {
namespace {

// For the calls before the first loss; no bound of the system.
constexpr auto fill_limit = seconds(120);

struct play {
    machine_features machine = {};
    call_pattern calls = {};
    double fill_jobs_per_s = 150;
    std::size_t history = 2000; ///< jobs before the first loss
    bool in_ci = false;
};

class replaced_disks : public testing::Test {
protected:
    void run(const play& chosen) {
        if (!chosen.in_ci && variable("DFM_GROUP_ALL", 0) == 0) {
            GTEST_SKIP() << "takes long; played with DFM_GROUP_ALL=1";
        }
        const std::uint64_t first = variable("DFM_GROUP_SEED", 1);
        const std::uint64_t runs = variable("DFM_GROUP_RUNS", 1);
        for (std::uint64_t k = 0; k < runs && !HasFailure(); ++k) {
            run(chosen, first + k);
        }
    }

private:
    void run(const play& chosen, std::uint64_t seed) {
        SCOPED_TRACE("DFM_GROUP_SEED=" + std::to_string(seed));
        std::mt19937_64 draws(seed);
        machine_group group(chosen.machine);
        group.begin();
        callers crowd(group, seed);
        if (!HasFatalFailure()) {
            fill(crowd, chosen);
            lose_twice(group, draws);
            expect_recovery(group, crowd);
        }
        if (HasFailure()) {
            ADD_FAILURE() << group.warnings();
            group.keep_logs("seed-" + std::to_string(seed));
        }
    }

    static void fill(callers& crowd, const play& chosen) {
        call_pattern calls = chosen.calls;
        calls.jobs_per_s = chosen.fill_jobs_per_s;
        crowd.start(calls);
        EXPECT_TRUE(holds_within(fill_limit, [&] {
            return crowd.acknowledged().size() >= chosen.history;
        })) << crowd.acknowledged().size();
        crowd.set_rate(chosen.calls.jobs_per_s);
    }

    static void lose_twice(machine_group& group, std::mt19937_64& draws) {
        auto leader = group.leader();
        ASSERT_TRUE(leader);
        std::vector<std::size_t> others;
        for (std::size_t k = 0; k < scheduler_count; ++k) {
            if (k != *leader) {
                others.push_back(k);
            }
        }
        std::shuffle(others.begin(), others.end(), draws);
        const std::vector<std::size_t> replaced(
            others.begin(), others.begin() + 2);
        const std::uint64_t sent_before = sent(group, *leader, replaced);
        lose(group, replaced);
        start(group, replaced);
        const auto whole = steady::now() + catch_up;
        print(group, *leader, replaced, sent_before, "first loss");
        std::this_thread::sleep_until(whole);
        print(group, *leader, replaced, sent_before, "second loss");
        leader = group.leader().value_or(*leader);
        std::vector<std::size_t> second = {*leader};
        for (const std::size_t k : others) {
            if (second.size() < 2 && k != *leader &&
                std::find(replaced.begin(), replaced.end(), k) ==
                    replaced.end()) {
                second.push_back(k);
            }
        }
        EXPECT_TRUE(
            holds_within(reply_limit, [&] { return group.configure(); }));
        lose(group, second);
        std::this_thread::sleep_for(seconds(1));
        start(group, second);
    }
    static void lose(
        machine_group& group, const std::vector<std::size_t>& chosen) {
        for (const std::size_t k : chosen) {
            group.signal_scheduler(k, SIGKILL);
        }
        for (const std::size_t k : chosen) {
            group.lose_disk(k);
        }
    }
    static void start(
        machine_group& group, const std::vector<std::size_t>& chosen) {
        for (const std::size_t k : chosen) {
            group.start_scheduler(k);
        }
    }

    // Whichever scheduler answers a read, it is never older than what was
    // acknowledged.
    static void expect_recovery(machine_group& group, callers& crowd) {
        const auto end = steady::now() + recover;
        const auto left = [&] {
            return std::max(milliseconds(0),
                std::chrono::duration_cast<milliseconds>(end - steady::now()));
        };
        std::optional<std::uint64_t> version;
        EXPECT_TRUE(holds_within(left(), [&] {
            version = group.read_version();
            return version.has_value();
        })) << "no configuration";
        EXPECT_EQ(version.value_or(0), group.acknowledged_version());
        EXPECT_TRUE(holds_within(left(), [&] { return crowd.accepts_job(); }))
            << "no job is accepted";
        crowd.stop();
        constexpr std::size_t sampled = 200;
        const auto lost =
            crowd.find_lost(1 + crowd.acknowledged().size() / sampled, left());
        EXPECT_TRUE(lost.empty())
            << lost.size() << " jobs, the first " << lost.front();
    }

    static std::uint64_t sent(const machine_group& group, std::size_t from,
        const std::vector<std::size_t>& targets) {
        std::uint64_t total = 0;
        for (const std::size_t k : targets) {
            total += group.sent(from, k);
        }
        return total;
    }
    static void print(machine_group& group, std::size_t leader,
        const std::vector<std::size_t>& replaced, std::uint64_t sent_before,
        const std::string& title) {
        if (variable("DFM_GROUP_PRINT", 0) == 0) {
            return;
        }
        std::cout << title << ": leader's commit "
                  << group.metric(leader, "dfm_replica_commit")
                  << ", its files " << group.disk_bytes(leader)
                  << " bytes, job memory "
                  << group.metric(leader, "dfm_job_memory_bytes")
                  << ", sent to the replaced "
                  << sent(group, leader, replaced) - sent_before << " bytes";
        for (const std::size_t k : replaced) {
            std::cout << ", s" << k << " has commit "
                      << group.metric(k, "dfm_replica_commit") << " and "
                      << group.disk_bytes(k) << " bytes";
        }
        std::cout << std::endl;
    }
};

constexpr unsigned megabyte = 1'000'000;

call_pattern all_open() {
    call_pattern calls;
    calls.kept_each = 1;
    return calls;
}

// Two voters more were lost catch_up later, and the one that was left had no
// quorum: nobody led any more.
TEST_F(
    replaced_disks, hold_the_log_before_the_next_are_lost_on_slow_connections) {
    run({.machine = {megabyte, 0}, .in_ci = true});
}

TEST_F(replaced_disks, hold_a_long_log_before_the_next_are_lost) {
    run({.machine = {megabyte, 0}, .history = 3500});
}

// Nothing can be left out: each record is of a job that is still there.
TEST_F(replaced_disks, hold_the_log_of_open_jobs_before_the_next_are_lost) {
    run({.machine = {5 * megabyte / 2, 0}, .calls = all_open()});
}

TEST_F(replaced_disks, hold_the_log_before_the_next_are_lost_with_slow_syncs) {
    run({.machine = {0, 100}, .history = 1500});
}

TEST_F(replaced_disks, hold_the_log_before_the_next_are_lost_on_slow_machines) {
    run({.machine = {megabyte, 100}, .history = 1500});
}

// A message takes longer here than a connection may be silent.
TEST_F(replaced_disks, hold_the_log_on_connections_of_half_a_megabyte) {
    run({.machine = {megabyte / 2, 0}, .fill_jobs_per_s = 55});
}

} // namespace
} // namespace dragonflymount::group_test
