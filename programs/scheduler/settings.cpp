// Defines the names, kinds, defaults and checks of the scheduler's settings.
#include "programs/scheduler/settings.hpp"

namespace dragonflymount::scheduler_program {
namespace {

// Interval between attempts to reopen the store: a failed disk may accept
// writes again at any time.
constexpr duration reopen_interval = std::chrono::milliseconds(400);

// A connection that receives nothing must be closed not much later than an
// election timeout. A replica that comes back has little time to catch up, so
// it must not wait long for the next attempt to reach it.
constexpr runtime::connection_options peer_connections{
    .silence_limit = std::chrono::milliseconds(1500),
    .ping_interval = std::chrono::milliseconds(500),
    .longest_retry_delay = std::chrono::milliseconds(200)};

agreement::member member_at(
    const std::string& control, std::uint32_t peer_port) {
    agreement::member made;
    made.id = replica_id(control);
    made.address =
        control.substr(0, control.rfind(':') + 1) + std::to_string(peer_port);
    made.identity = agreement::initial_identity;
    made.voter = true;
    return made;
}

// The settings file may omit these times. Each default is derived from its
// paired setting if the file states that one: 'heartbeat' from
// 'election-timeout', 'task-lease' from 'longest-lease', and the reverse. So
// any bound that a platform sets yields a valid pair.
constexpr duration default_election_timeout = std::chrono::milliseconds(700);
constexpr std::int64_t heartbeats_in_election_timeout = 6;
// Longest lease that endpoints grant if the platform sets no bound.
constexpr duration default_longest_lease = std::chrono::seconds(10);
// The lease is shorter than the bound, so that the endpoint has time to end its
// tasks.
constexpr std::int64_t lease_percent = 90;

std::string election_timeout_of(const settings::values& read) {
    return settings::time_text(read.states("scheduler", "heartbeat")
            ? read.time("scheduler", "heartbeat") *
                heartbeats_in_election_timeout
            : default_election_timeout);
}

std::string heartbeat_of(const settings::values& read) {
    return settings::time_text(read.time("scheduler", "election-timeout") /
        heartbeats_in_election_timeout);
}

std::string longest_lease_of(const settings::values& read) {
    return settings::time_text(read.states("scheduler", "task-lease")
            ? read.time("scheduler", "task-lease") * 100 / lease_percent
            : default_longest_lease);
}

std::string task_lease_of(const settings::values& read) {
    return settings::time_text(
        read.time("scheduler", "longest-lease") * lease_percent / 100);
}

bool is_truth_value(const settings::values& read) {
    const std::string text = read.text("scheduler", "new-site");
    return text == "true" || text == "false";
}

} // namespace

settings::schema_builder scheduler_settings_of() {
    using settings::kind;
    settings::schema_builder builder;
    builder.require("scheduler", "control", kind::address)
        .require("scheduler", "peer-port", kind::count)
        .require("scheduler", "metrics", kind::address)
        .require("scheduler", "seeds", kind::optional_addresses)
        .require("scheduler", "data", kind::made_folder)
        .allow("scheduler", "new-site", kind::name, "false")
        .allow("scheduler", "lost-disks", kind::count, "1")
        .allow("scheduler", "catch-up", kind::time, "6s")
        .allow("scheduler", "zones", kind::list, "")
        .allow("scheduler", "remote-factor", kind::number, "1")
        .allow("scheduler", "snapshot-records", kind::count, "4096")
        .derive(
            "scheduler", "election-timeout", kind::time, &election_timeout_of)
        .derive("scheduler", "heartbeat", kind::time, &heartbeat_of)
        .derive("scheduler", "longest-lease", kind::time, &longest_lease_of)
        .derive("scheduler", "task-lease", kind::time, &task_lease_of)
        .verify({"scheduler", "new-site", {}, "true or false", &is_truth_value})
        .verify({"scheduler", "new-site", {}, "false without 'seeds'",
            [](const settings::values& read) {
                return read.text("scheduler", "new-site") != "true" ||
                    !read.list("scheduler", "seeds").empty();
            }})
        .verify({"scheduler", "heartbeat", "election-timeout",
            "at most half of 'election-timeout'",
            [](const settings::values& read) {
                return read.time("scheduler", "heartbeat") * 2 <=
                    read.time("scheduler", "election-timeout");
            }})
        .verify({"scheduler", "task-lease", "longest-lease",
            "at most 'longest-lease'", [](const settings::values& read) {
                return read.time("scheduler", "task-lease") <=
                    read.time("scheduler", "longest-lease");
            }});
    return builder;
}

agreement::member_list seeds_of(const settings::values& read) {
    const std::uint32_t port = read.count("scheduler", "peer-port");
    agreement::member_list seeds;
    for (const std::string& seed : read.list("scheduler", "seeds")) {
        seeds.push_back(member_at(seed, port));
    }
    return seeds;
}

scheduler_settings make_scheduler_settings(const settings::values& read) {
    scheduler_settings made;
    const std::string control = read.text("scheduler", "control");
    const std::uint32_t port = read.count("scheduler", "peer-port");
    made.listen = member_at(control, port).address;
    made.zones = read.list("scheduler", "zones");
    made.voters = 2 * read.count("scheduler", "lost-disks") + 1;
    made.catch_up = read.time("scheduler", "catch-up");
    hosting::replica_settings& replica = made.replica;
    replica.options.self = replica_id(control);
    replica.options.voters = made.voters;
    replica.options.election_timeout =
        read.time("scheduler", "election-timeout");
    replica.options.heartbeat_interval = read.time("scheduler", "heartbeat");
    replica.options.seed = std::hash<std::string>{}(control);
    replica.members = seeds_of(read);
    replica.connections = peer_connections;
    replica.data = read.text("scheduler", "data");
    replica.snapshot_records = read.count("scheduler", "snapshot-records");
    replica.tail = agreement::tail_policy::cut_torn_writes;
    replica.reopen_interval = reopen_interval;
    replica.new_site = read.text("scheduler", "new-site") == "true";
    made.engine.remote_factor = read.number("scheduler", "remote-factor");
    made.engine.endpoints.lease = read.time("scheduler", "task-lease");
    made.engine.endpoints.longest_lease =
        read.time("scheduler", "longest-lease");
    return made;
}

} // namespace dragonflymount::scheduler_program
