// Tests maintenance waves on a model of a fleet: their progress, commands and
// failures, and that planned stops respect the budgets.
#include "programs/load/fleet/fleet_model.hpp"

#include <gtest/gtest.h>

#include <random>

namespace dragonflymount::fleet {
namespace {

using load_program::fleet_model;

constexpr duration round = std::chrono::seconds(10);

class wave_test : public testing::Test {
protected:
    wave_test() : model_({20, 2, 2, 4, 60}, {}) {}

    void run(duration span) {
        for (duration passed{}; passed < span; passed += round) {
            model_.step(round);
        }
    }

    vm_phase phase_of(const vm_id& vm) const {
        const fleet_view seen = model_.view();
        return model_.planner()
            .progress_of(seen, model_.wave_of("w"), vm)
            .phase;
    }

    std::size_t count_draining() const {
        std::size_t count = 0;
        for (const auto& [vm, record] : model_.table().all()) {
            count += record.draining ? 1 : 0;
        }
        return count;
    }

    vm_id first_up(const vm_id& except = {}) const {
        for (const auto& [vm, record] : model_.table().all()) {
            if (vm != except && !record.draining && !model_.vms.at(vm).lost) {
                return vm;
            }
        }
        return {};
    }

    fleet_model model_;
};

TEST_F(wave_test, maintains_every_vm_once) {
    EXPECT_EQ(model_.command("start", "w"), "");
    run(std::chrono::hours(1));
    EXPECT_EQ(model_.wave_of("w").state, wave_state::finished);
    EXPECT_EQ(model_.count_maintained("w"), 20U);
    for (const auto& [vm, each] : model_.vms) {
        EXPECT_EQ(each.incarnation, 2U) << vm;
    }
}

TEST_F(wave_test, second_wave_over_the_same_vms_is_refused) {
    model_.command("start", "w");
    EXPECT_NE(model_.command("start", "x"), "");
    EXPECT_EQ(model_.command("stop", "w"), "");
    EXPECT_NE(model_.command("resume", "w"), "");
    EXPECT_EQ(model_.command("start", "x"), "");
}

TEST_F(wave_test, held_task_delays_its_vm_but_not_the_wave) {
    model_.vms.at(vm_id("v0")).held = true;
    model_.command("start", "w");
    run(std::chrono::hours(1));
    EXPECT_EQ(model_.count_maintained("w"), 19U);
    EXPECT_EQ(model_.vms.at(vm_id("v0")).incarnation, 1U);
    EXPECT_EQ(phase_of(vm_id("v0")), vm_phase::held);
    model_.vms.at(vm_id("v0")).held = false;
    run(std::chrono::hours(1));
    EXPECT_EQ(model_.wave_of("w").state, wave_state::finished);
}

TEST_F(wave_test, pause_stops_new_drains_and_resume_continues) {
    model_.command("start", "w");
    run(round);
    EXPECT_GT(count_draining(), 0U);
    model_.command("pause", "w");
    run(std::chrono::minutes(10));
    EXPECT_EQ(count_draining(), 0U);
    const std::size_t done = model_.count_maintained("w");
    run(std::chrono::minutes(10));
    EXPECT_EQ(model_.count_maintained("w"), done);
    model_.command("resume", "w");
    run(std::chrono::hours(1));
    EXPECT_EQ(model_.wave_of("w").state, wave_state::finished);
}

TEST_F(wave_test, stop_cancels_drains_before_reboot) {
    model_.command("start", "w");
    run(round);
    model_.command("stop", "w");
    run(round);
    EXPECT_EQ(count_draining(), 0U);
    run(std::chrono::minutes(10));
    EXPECT_EQ(model_.count_maintained("w"), 0U);
}

TEST_F(wave_test, correlated_failures_stop_the_wave_and_cancel_its_drains) {
    model_.command("start", "w");
    run(round);
    for (int k = 0; k < 2; ++k) {
        const vm_id failing = first_up();
        model_.vms.at(failing).lost = true;
    }
    run(std::chrono::seconds(40));
    EXPECT_EQ(model_.wave_of("w").state, wave_state::stopped);
    run(round);
    EXPECT_EQ(count_draining(), 0U);
}

TEST_F(wave_test, second_loss_soon_after_a_repair_stops_the_wave) {
    model_.command("start", "w");
    run(round);
    const vm_id first = first_up();
    model_.vms.at(first).lost = true;
    run(std::chrono::seconds(40));
    EXPECT_EQ(model_.wave_of("w").state, wave_state::running);
    model_.vms.at(first).lost = false;
    ++model_.vms.at(first).incarnation;
    run(round);
    model_.vms.at(first_up(first)).lost = true;
    run(std::chrono::seconds(40));
    EXPECT_EQ(model_.wave_of("w").state, wave_state::stopped);
}

TEST_F(wave_test, vms_that_do_not_return_stop_the_wave) {
    model_.command("start", "w");
    run(round);
    for (auto& [vm, each] : model_.vms) {
        if (model_.table().find(vm)->draining) {
            each.lost = true;
        }
    }
    run(std::chrono::minutes(11));
    EXPECT_EQ(model_.wave_of("w").state, wave_state::stopped);
    EXPECT_EQ(model_.count_maintained("w"), 0U);
}

TEST_F(wave_test, new_leader_continues_the_wave) {
    model_.command("start", "w");
    for (int k = 0; k < 360; ++k) {
        model_.step(round);
        if (k % 7 == 0) {
            model_.change_leader();
        }
    }
    EXPECT_EQ(model_.wave_of("w").state, wave_state::finished);
}

TEST_F(wave_test, nothing_is_drained_outside_the_window) {
    model_.rules.window = {std::chrono::hours(21), std::chrono::hours(4)};
    model_.command("start", "w");
    run(std::chrono::minutes(50));
    EXPECT_EQ(model_.count_maintained("w"), 0U);
    EXPECT_EQ(count_draining(), 0U);
    EXPECT_EQ(phase_of(vm_id("v0")), vm_phase::waiting);
    run(std::chrono::minutes(70));
    EXPECT_GT(model_.count_maintained("w"), 0U);
}

TEST_F(wave_test, changed_rules_apply_immediately) {
    model_.command("start", "w");
    run(round);
    for (auto& [name, pool] : model_.rules.pools) {
        pool.min_available = pool.size;
    }
    run(round);
    EXPECT_EQ(count_draining(), 0U);
    run(std::chrono::minutes(10));
    EXPECT_EQ(model_.count_maintained("w"), 0U);
}

TEST_F(wave_test, vm_maintained_longest_ago_goes_first) {
    model_.command("start", "w");
    run(std::chrono::minutes(6));
    model_.command("stop", "w");
    run(std::chrono::minutes(10));
    std::set<vm_id> early;
    for (const auto& [vm, record] : model_.table().all()) {
        if (record.maintained_ms > 0) {
            early.insert(vm);
        }
    }
    ASSERT_FALSE(early.empty());
    model_.command("start", "x");
    model_.step(round);
    for (const auto& [vm, record] : model_.table().all()) {
        EXPECT_FALSE(record.draining && early.contains(vm)) << vm;
    }
}

// A zone's requests are served only by its own VMs, so a pool with no VM up in
// a zone would leave them unserved.
TEST_F(wave_test, no_zone_loses_all_vms_of_a_pool) {
    model_ = fleet_model({24, 6, 2, 4, 0}, {});
    model_.rules.maintenance.max_down_per_zone = 6;
    model_.command("start", "w");
    for (int k = 0; k < 360; ++k) {
        model_.step(round);
        std::map<std::pair<pool_id, availability_zone_id>, int> up;
        for (const auto& [vm, record] : model_.table().all()) {
            up[{record.pool, record.zone}] += record.draining ? 0 : 1;
        }
        for (const auto& [where, count] : up) {
            ASSERT_GT(count, 0) << where.first << " in " << where.second;
        }
    }
    EXPECT_EQ(model_.wave_of("w").state, wave_state::finished);
}

// ---- Budgets under random events -------------------------------------------

/// Counts up and down VMs from the model, independently of the code under
/// test.
struct model_counts {
    explicit model_counts(const fleet_model& model) {
        for (const auto& [vm, record] : model.table().all()) {
            const load_program::model_vm& each = model.vms.at(vm);
            const bool down = record.draining || each.lost || each.leaving ||
                each.quarantined;
            pool_up[record.pool] += down ? 0 : 1;
            rack_down[record.rack] += down ? 1 : 0;
            zone_down[record.zone] += down ? 1 : 0;
        }
    }

    std::map<pool_id, std::uint32_t> pool_up;
    std::map<rack_id, std::uint32_t> rack_down;
    std::map<availability_zone_id, std::uint32_t> zone_down;
};

void inject_random_event(fleet_model& model, std::mt19937& random) {
    auto each = model.vms.begin();
    std::advance(each, random() % model.vms.size());
    switch (random() % 12) {
    case 0:
        each->second.lost = true;
        break;
    case 1:
        each->second.leaving = !each->second.leaving;
        break;
    case 2:
        each->second.quarantined = !each->second.quarantined;
        break;
    case 3:
        each->second.held = !each->second.held;
        break;
    case 4:
        model.change_leader();
        break;
    case 5:
        model.rules.maintenance.max_down_per_zone = 1 + random() % 3;
        model.rules.maintenance.max_down_per_rack = 1 + random() % 2;
        break;
    case 6:
        model.rules.pools.begin()->second.min_available = random() % 10;
        break;
    default:
        if (each->second.lost && each->second.back_at == instant::max()) {
            each->second.lost = false;
            ++each->second.incarnation;
        }
    }
}

void expect_within_budgets(
    const fleet_model& model, const wave_decisions& made, int step) {
    const model_counts counts(model);
    const rules::maintenance_rule& rule = model.rules.maintenance;
    for (const auto& command : made.assignments) {
        if (!command.draining) {
            continue;
        }
        const vm_record& record = *model.table().find(vm_id(command.vm));
        EXPECT_GE(counts.pool_up.at(record.pool),
            model.rules.pools.at(record.pool).min_available)
            << command.vm << " at step " << step;
        EXPECT_LE(counts.rack_down.at(record.rack), rule.max_down_per_rack)
            << command.vm << " at step " << step;
        EXPECT_LE(counts.zone_down.at(record.zone), rule.max_down_per_zone)
            << command.vm << " at step " << step;
    }
}

TEST(wave_budgets, no_planned_stop_breaks_a_budget) {
    constexpr std::uint32_t seeds = 25;
    constexpr int steps = 400;
    std::size_t stops = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        fleet_model model({24, 3, 3, 4, 50}, {});
        model.rules.maintenance.stop_after_failures = 0;
        model.command("start", "w");
        for (int k = 0; k < steps && !testing::Test::HasFailure(); ++k) {
            inject_random_event(model, random);
            if (model.wave_of("w").is_over()) {
                break;
            }
            const wave_decisions made = model.step(round);
            expect_within_budgets(model, made, k);
            for (const auto& command : made.assignments) {
                stops += command.draining ? 1 : 0;
            }
        }
    }
    // With too few planned stops the test would check nothing.
    EXPECT_GT(stops, 10U * seeds);
}

} // namespace
} // namespace dragonflymount::fleet
