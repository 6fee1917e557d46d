// Tests the settings templates of the platform's programs, with placeholders
// replaced by the bounds of every known deployment and by random bounds.
#include "platform/control_face.hpp"
#include "platform/settings.hpp"
#include "programs/scheduler/settings.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace dragonflymount::platform {
namespace {

/// Values of a deployment that replace the placeholders in the templates.
struct deployment {
    std::string name;
    int longest_lease_ms = 10'000;
    std::string move_s = "1.5";
    std::string maintenance_s = "2";
    int grace_s = 6;
    int catch_up_s = 6;
    int report_ms = 1500;
    int lost_disks = 1;
    std::string orders_per_second = "64.0";
    std::string remote_factor = "3";
    int memory_mb = 160;
    int descriptors = 4100;
    std::string seeds = "127.0.0.1:9101,127.0.0.1:9102,127.0.0.1:9103";
    std::string data = testing::TempDir();
};

std::string read_all(const std::filesystem::path& path) {
    std::ifstream input(path);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

std::string fill_placeholders(const std::string& file, const deployment& site) {
    const std::string text =
        read_all(std::filesystem::path(PLATFORM_FOLDER) / file);
    EXPECT_FALSE(text.empty());
    return absl::StrReplaceAll(text,
        {{"{{listen_addresses.control}}", "127.0.0.1:0"},
            {"{{listen_addresses.frontend}}", "127.0.0.1:0"},
            {"{{listen_addresses.readiness}}", "127.0.0.1:0"},
            {"{{internal_ports.0}}", "0"}, {"{{internal_ports.1}}", "0"},
            {"{{ip}}", "127.0.0.1"}, {"{{seeds}}", site.seeds},
            {"{{data_dir}}", site.data}, {"{{bootstrap}}", "false"},
            {"{{node_name}}", "core-1"}, {"{{cloud.address}}", "127.0.0.1:9"},
            {"{{fault_tolerance.machines}}", absl::StrCat(site.lost_disks)},
            {"{{bounds.hold_max_ms}}", absl::StrCat(site.longest_lease_ms)},
            {"{{bounds.maintenance_s}}", site.maintenance_s},
            {"{{bounds.move_s}}", site.move_s},
            {"{{bounds.catch_up_s}}", absl::StrCat(site.catch_up_s)},
            {"{{bounds.grace_s}}", absl::StrCat(site.grace_s)},
            {"{{heartbeat_ms}}", absl::StrCat(site.report_ms)},
            {"{{cloud.duty_per_s}}", site.orders_per_second},
            {"{{#zones}}{{@}}{{,}}{{/zones}}", "a,b,c"},
            {"{{bounds.remote_factor}}", site.remote_factor},
            {"{{limits.memory_mb}}", absl::StrCat(site.memory_mb)},
            {"{{limits.max_fds}}", absl::StrCat(site.descriptors)}});
}

void check_times(const scheduler_program::scheduler_settings& made,
    const vm_service_settings& vms) {
    const jobs::endpoint_options& endpoints = made.engine.endpoints;
    EXPECT_LT(endpoints.lease, endpoints.longest_lease);
    EXPECT_GT(endpoints.lease, made.engine.idle_hold * 2);
    EXPECT_GT(endpoints.silence_limit, made.engine.idle_hold * 2);
    const auto& replica = made.replica.options;
    EXPECT_LE(replica.heartbeat_interval * 2, replica.election_timeout);
    EXPECT_EQ(replica.voters, made.voters);
    EXPECT_GT(vms.manager.move_time, duration::zero());
    EXPECT_GT(vms.manager.maintenance_time, duration::zero());
    EXPECT_GT(vms.manager.report_interval, duration::zero());
    EXPECT_GT(vms.manager.orders_per_second, 0.0);
}

void check(const deployment& site) {
    const auto scheduler =
        settings::read_text(fill_placeholders("scheduler.ini", site),
            "scheduler.ini", scheduler_schema());
    ASSERT_TRUE(scheduler.ok()) << scheduler.message();
    check_times(scheduler_program::make_scheduler_settings(scheduler.settings),
        make_vm_settings(scheduler.settings));
    const auto gateway =
        settings::read_text(fill_placeholders("gateway.ini", site),
            "gateway.ini", gateway_schema());
    ASSERT_TRUE(gateway.ok()) << gateway.message();
    EXPECT_FALSE(make_client_settings(gateway.settings).replicas.empty());
}

class known_deployment : public testing::TestWithParam<deployment> {};

TEST_P(known_deployment, has_valid_settings) {
    check(GetParam());
}

// The scheduler and its HTTP servers start with the settings of each
// deployment.
TEST_P(known_deployment, starts_the_scheduler) {
    deployment site = GetParam();
    const auto read =
        settings::read_text(fill_placeholders("scheduler.ini", site),
            "scheduler.ini", scheduler_schema());
    ASSERT_TRUE(read.ok()) << read.message();
    auto made = scheduler_program::make_scheduler_settings(read.settings);
    const auto folder = std::filesystem::path(testing::TempDir()) /
        absl::StrCat("dfm-settings-", site.name);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    made.replica.data = folder.string();
    asio::io_context context(1);
    scheduler_program::scheduler scheduler(context, made);
    control_face face(context, "127.0.0.1:0", "127.0.0.1:0",
        make_control_limits(read.settings), scheduler);
    vm_service vms(context, make_vm_settings(read.settings), scheduler);
    EXPECT_TRUE(scheduler.start());
    EXPECT_TRUE(face.start());
    EXPECT_TRUE(vms.start());
    context.run_for(std::chrono::milliseconds(100));
    vms.stop();
    face.stop();
    scheduler.stop();
    std::filesystem::remove_all(folder);
}

INSTANTIATE_TEST_SUITE_P(platform, known_deployment,
    testing::Values(deployment{.name = "base"},
        deployment{.name = "short_lease", .longest_lease_ms = 6000},
        deployment{
            .name = "grown", .lost_disks = 2, .orders_per_second = "215.0"},
        deployment{
            .name = "large", .lost_disks = 2, .orders_per_second = "590"},
        deployment{.name = "one_core_machine",
            .longest_lease_ms = 3000,
            .move_s = "0.2",
            .maintenance_s = "2.5",
            .grace_s = 2,
            .report_ms = 400,
            .lost_disks = 0,
            .orders_per_second = "0.5",
            .seeds = "127.0.0.1:9101"}),
    [](const auto& info) { return info.param.name; });

// Guards against processes that never start again: the platform may list no
// scheduler while none runs.
TEST(platform_settings, are_valid_without_a_seed) {
    const deployment site{.name = "no_seed", .seeds = ""};
    const auto scheduler =
        settings::read_text(fill_placeholders("scheduler.ini", site),
            "scheduler.ini", scheduler_schema());
    EXPECT_TRUE(scheduler.ok()) << scheduler.message();
    const auto gateway =
        settings::read_text(fill_placeholders("gateway.ini", site),
            "gateway.ini", gateway_schema());
    EXPECT_TRUE(gateway.ok()) << gateway.message();
}

// Guards against a scheduler that never starts again after its disk, and the
// folder with it, was lost.
TEST(platform_settings, make_a_lost_data_folder) {
    const auto folder = std::filesystem::path(testing::TempDir()) /
        absl::StrCat("dfm-lost-data-folder-", ::getpid());
    std::filesystem::remove_all(folder);
    const deployment site{.name = "no_folder", .data = folder.string()};
    const auto read =
        settings::read_text(fill_placeholders("scheduler.ini", site),
            "scheduler.ini", scheduler_schema());
    EXPECT_TRUE(read.ok()) << read.message();
    EXPECT_TRUE(std::filesystem::is_directory(folder));
    std::filesystem::remove_all(folder);
}

RC_GTEST_PROP(platform_settings, are_valid_for_any_bounds, ()) {
    deployment site;
    site.longest_lease_ms = *rc::gen::inRange(2000, 120'000);
    site.move_s = absl::StrCat(*rc::gen::inRange(1, 200) / 10.0);
    site.maintenance_s = absl::StrCat(*rc::gen::inRange(1, 900) / 10.0);
    site.grace_s = *rc::gen::inRange(1, 120);
    site.catch_up_s = *rc::gen::inRange(1, 120);
    site.report_ms = *rc::gen::inRange(100, 10'000);
    site.lost_disks = *rc::gen::inRange(0, 5);
    site.orders_per_second = absl::StrCat(*rc::gen::inRange(1, 20'000) / 10.0);
    check(site);
    RC_ASSERT(!testing::Test::HasFailure());
}

TEST(platform_settings, are_refused_if_task_lease_exceeds_longest_lease) {
    const auto read =
        settings::read_text(fill_placeholders("scheduler.ini", {}) +
                "[scheduler]\ntask-lease = 20s\n",
            "scheduler.ini", scheduler_schema());
    ASSERT_FALSE(read.ok());
}

// The settings file may change while the process runs; it then keeps the
// settings that it has.
TEST(platform_settings, are_refused_if_a_paired_setting_is_unreadable) {
    for (const char* name : {"longest-lease", "task-lease", "heartbeat",
             "election-timeout", "control", "lost-disks", "catch-up"}) {
        for (const char* value : {"-1ms", "1e999", "x", ""}) {
            const auto read = settings::read_text(
                absl::StrReplaceAll(fill_placeholders("scheduler.ini", {}),
                    {{"longest-lease = 10000ms",
                        absl::StrCat(name, " = ", value)}}),
                "scheduler.ini", scheduler_schema());
            EXPECT_FALSE(read.ok()) << name << ' ' << value;
        }
    }
}

} // namespace
} // namespace dragonflymount::platform
