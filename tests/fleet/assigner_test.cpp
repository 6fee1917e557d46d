// Tests the pools chosen for new VMs, the removal of absent VMs, and the
// forecast of a wave.
#include "dragonflymount/fleet.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::fleet {
namespace {

class assigner_test : public testing::Test {
protected:
    assigner_test() {
        add_pool("render", 12);
        add_pool("sync", 6);
    }

    void add_pool(const std::string& name, std::uint32_t size) {
        rules_.pools[pool_id(name)] = {pool_id(name), size, 0, false, {}};
    }

    fleet_view view() const { return {rules_, table_, {}, {}, {}, {}, 0, {}}; }

    void enter(const std::vector<wire::AssignVmT>& commands) {
        for (const auto& command : commands) {
            index_ = index_.next();
            EXPECT_EQ(table_.assign(command, index_, {}), "");
        }
    }

    std::uint32_t count(const std::string& pool, const std::string& zone,
        const std::string& rack) const {
        std::uint32_t found = 0;
        for (const auto& [vm, record] : table_.all()) {
            found += record.pool.str() == pool &&
                    (zone.empty() || record.zone.str() == zone) &&
                    (rack.empty() || record.rack.str() == rack)
                ? 1
                : 0;
        }
        return found;
    }

    rules::rule_set rules_;
    vm_table table_;
    log_index index_;
};

TEST_F(assigner_test, pools_fill_evenly_over_zones_and_racks) {
    fleet_view seen = view();
    for (int k = 0; k < 18; ++k) {
        const std::string zone = "z" + std::to_string(k / 6);
        const std::string rack = zone + "r" + std::to_string(k % 6 / 3);
        seen.unassigned[vm_id("v" + std::to_string(10 + k))] = {
            availability_zone_id(zone), rack_id(rack), 1};
    }
    enter(assign_new_vms(seen));
    EXPECT_EQ(count("render", "", ""), 12U);
    for (int zone = 0; zone < 3; ++zone) {
        const std::string name = "z" + std::to_string(zone);
        EXPECT_EQ(count("render", name, ""), 4U);
        EXPECT_EQ(count("sync", name, ""), 2U);
        EXPECT_EQ(count("render", name, name + "r0"), 2U);
    }
}

TEST_F(assigner_test, pinned_vm_joins_its_pool_even_if_full) {
    rules_.pins[vm_id("v1")] = pool_id("sync");
    rules_.pools[pool_id("sync")].size = 0;
    fleet_view seen = view();
    seen.unassigned[vm_id("v1")] = {
        availability_zone_id("z1"), rack_id("r1"), 1};
    const auto commands = assign_new_vms(seen);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].pool, "sync");
}

TEST_F(assigner_test, absent_vm_is_removed_only_while_its_zone_reports) {
    fleet_view first = view();
    first.unassigned[vm_id("v1")] = {
        availability_zone_id("z1"), rack_id("r1"), 1};
    enter(assign_new_vms(first));
    absent_vm_remover remover(std::chrono::minutes(10));
    const instant start{std::chrono::hours(1)};
    fleet_view not_reporting = view();
    EXPECT_TRUE(remover.decide(not_reporting, start).empty());
    EXPECT_TRUE(
        remover.decide(not_reporting, start + std::chrono::hours(2)).empty());
    fleet_view reporting = view();
    reporting.reporting_zones.insert(availability_zone_id("z1"));
    const instant later = start + std::chrono::hours(2);
    EXPECT_TRUE(remover.decide(reporting, later).empty());
    // A lost VM that still counts a running task isn't absent.
    reporting.reports[vm_id("v1")].lost = true;
    reporting.reports[vm_id("v1")].running = 1;
    EXPECT_TRUE(
        remover.decide(reporting, later + std::chrono::minutes(5)).empty());
    reporting.reports[vm_id("v1")].running = 0;
    EXPECT_TRUE(
        remover.decide(reporting, later + std::chrono::minutes(9)).empty());
    EXPECT_TRUE(
        remover.decide(reporting, later + std::chrono::minutes(18)).empty());
    const auto commands =
        remover.decide(reporting, later + std::chrono::minutes(19));
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(table_.forget(commands[0]), "");
    EXPECT_TRUE(table_.all().empty());
}

TEST_F(assigner_test, report_from_another_zone_is_ignored) {
    fleet_view first = view();
    first.unassigned[vm_id("v1")] = {
        availability_zone_id("z1"), rack_id("r1"), 1};
    enter(assign_new_vms(first));
    wire::EntryBeatT beat;
    beat.zone = "z2";
    beat.vms.push_back(std::make_unique<wire::VmSummaryT>());
    beat.vms.back()->vm = "v1";
    fleet_view seen = view();
    add_report(seen, beat);
    EXPECT_TRUE(seen.reports.empty());
    EXPECT_TRUE(seen.unassigned.empty());
}

TEST_F(assigner_test, forecast_counts_rounds_and_hours_outside_the_window) {
    fleet_view first = view();
    for (int k = 0; k < 6; ++k) {
        first.unassigned[vm_id("v" + std::to_string(k))] = {
            availability_zone_id("z1"), rack_id("r" + std::to_string(k)), 1};
    }
    enter(assign_new_vms(first));
    wave_record wave;
    wave.started_ms = 1;
    fleet_view seen = view();
    const duration cycle = std::chrono::hours(1);
    // Six VMs in one zone, two at a time, take three rounds.
    EXPECT_EQ(time_left(seen, wave, cycle), std::chrono::hours(3));
    rules_.window = {std::chrono::hours(22), std::chrono::hours(24)};
    seen.time_of_day = std::chrono::hours(23);
    EXPECT_EQ(time_left(seen, wave, cycle),
        std::chrono::hours(1) + std::chrono::hours(22) + std::chrono::hours(2));
    rules_.pools[pool_id("render")].min_available = 12;
    EXPECT_EQ(time_left(seen, wave, cycle), std::nullopt);
}

} // namespace
} // namespace dragonflymount::fleet
