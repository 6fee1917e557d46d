// The fault matrix of the replicated log. Every fault is injected at every step
// into the leader and into a follower, singly and in random pairs, with three
// and five replicas.
//
// CI runs fixed seeds. DFM_MATRIX_RUNS=N adds N pairs with fresh seeds, and
// DFM_MATRIX_SEED=S repeats the pair of a printed seed.
#include "tests/agreement/cluster.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

namespace dragonflymount::agreement {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t fixed_seed = 20260101;
constexpr std::uint64_t fixed_pairs = 150;

struct tally {
    std::size_t cells = 0;
    std::size_t injected = 0;
    std::size_t planned = 0;
    std::size_t failed = 0;
};

std::string name_of(const planned_fault& planned) {
    return std::string(fault_names[static_cast<std::size_t>(planned.what)]) +
        " at " + step_names[static_cast<std::size_t>(planned.at)] +
        (planned.on_leader ? " of the leader" : " of a follower");
}

duration duration_of(const std::vector<planned_fault>& faults) {
    const bool freezes = std::any_of(
        faults.begin(), faults.end(), [](const planned_fault& planned) {
            return planned.what == fault::freeze;
        });
    return freezes ? seconds(64) : seconds(8);
}

void run_cell(std::size_t replicas, std::uint64_t seed,
    const std::vector<planned_fault>& faults, tally& counts) {
    cluster group(replicas, seed);
    group.run(seconds(4));
    group.plan(faults);
    for (std::size_t k = 0; k < faults.size(); ++k) {
        group.trigger_step();
        group.run(seconds(5));
    }
    group.run(duration_of(faults));
    ++counts.cells;
    counts.planned += faults.size();
    counts.injected += group.injected();
    const bool converged = group.converge(seconds(60));
    if (group.violation().empty() && converged) {
        return;
    }
    ++counts.failed;
    std::string cell;
    for (const planned_fault& planned : faults) {
        cell += name_of(planned) + "; ";
    }
    ADD_FAILURE() << "seed " << seed << ", " << replicas
                  << " replicas: " << cell << '\n'
                  << (group.violation().empty()
                             ? "the replicas did not converge"
                             : group.violation())
                  << '\n'
                  << group.trace();
}

planned_fault draw_fault(std::mt19937_64& random) {
    planned_fault planned;
    planned.at = static_cast<step>(random() % step_names.size());
    planned.what = static_cast<fault>(random() % fault_names.size());
    planned.on_leader = random() % 2 == 0;
    return planned;
}

void run_pair(std::uint64_t seed, tally& counts) {
    std::mt19937_64 random(seed);
    const std::vector<planned_fault> faults{
        draw_fault(random), draw_fault(random)};
    run_cell(random() % 2 == 0 ? 3 : 5, seed, faults, counts);
}

void report(const tally& counts) {
    std::cout << "cells " << counts.cells << ", faults struck "
              << counts.injected << " of " << counts.planned << ", failures "
              << counts.failed << '\n';
}

class fault_matrix_single : public testing::TestWithParam<std::size_t> {};

TEST_P(fault_matrix_single, keeps_invariants_under_each_fault_at_each_step) {
    tally counts;
    for (std::size_t at = 0; at < step_names.size(); ++at) {
        for (std::size_t what = 0; what < fault_names.size(); ++what) {
            for (const bool on_leader : {false, true}) {
                run_cell(GetParam(), fixed_seed + at * 100 + what,
                    {{static_cast<step>(at), static_cast<fault>(what),
                        on_leader}},
                    counts);
            }
        }
    }
    report(counts);
}

INSTANTIATE_TEST_SUITE_P(replicas, fault_matrix_single, testing::Values(3, 5));

TEST(fault_matrix, keeps_invariants_under_fault_pairs) {
    tally counts;
    for (std::uint64_t k = 0; k < fixed_pairs; ++k) {
        run_pair(fixed_seed + k, counts);
    }
    report(counts);
}

TEST(fault_matrix, keeps_invariants_with_fresh_seeds) {
    const char* runs = std::getenv("DFM_MATRIX_RUNS");
    const char* seed = std::getenv("DFM_MATRIX_SEED");
    tally counts;
    if (seed != nullptr) {
        run_pair(std::stoull(seed), counts);
    }
    const std::uint64_t first = std::random_device{}() * std::uint64_t{1000000};
    const std::uint64_t count = runs == nullptr ? 0 : std::stoull(runs);
    for (std::uint64_t k = 0; k < count; ++k) {
        run_pair(first + k, counts);
    }
    report(counts);
}

} // namespace
} // namespace dragonflymount::agreement
