// dfm-control: one replica of the agreed state, and the leader's planner.
#include "programs/control/service/control_service.hpp"

#include <absl/flags/flag.h>

#include <iostream>
#include <optional>
#include <set>

ABSL_FLAG(bool, initialize, false,
    "make the data folder of a member that the site begins with, and exit");

namespace {

using namespace dragonflymount;

constexpr duration least_heartbeat = std::chrono::milliseconds(10);
constexpr duration usual_election_timeout = std::chrono::milliseconds(1000);
constexpr std::int64_t heartbeats_in_election_timeout = 6;

/// Reads "name@zone@IP:port", the form of one initial member.
std::optional<agreement::member> parse_member(const std::string& text) {
    const std::vector<std::string> parts = split(text, '@');
    if (parts.size() != 3 || parts[0].empty() || parts[1].empty() ||
        !runtime::parse_address(parts[2])) {
        return std::nullopt;
    }
    return agreement::member{replica_id(parts[0]), parts[2],
        availability_zone_id(parts[1]), agreement::initial_identity, true};
}

bool are_members(const settings::values& read) {
    std::set<replica_id> names;
    for (const std::string& text : read.list("replica", "members")) {
        const auto member = parse_member(text);
        if (!member || !names.insert(member->id).second) {
            return false;
        }
    }
    return !names.empty();
}

std::string election_timeout_of(const settings::values& read) {
    return settings::time_text(read.states("replica", "heartbeat")
            ? read.time("replica", "heartbeat") * heartbeats_in_election_timeout
            : usual_election_timeout);
}

std::string heartbeat_of(const settings::values& read) {
    return settings::time_text(read.time("replica", "election-timeout") /
        heartbeats_in_election_timeout);
}

settings::schema control_schema() {
    using settings::kind;
    return settings::schema_builder()
        .require("replica", "name", kind::name)
        .require("replica", "listen", kind::address)
        .require("replica", "members", kind::list)
        .require("replica", "data", kind::folder)
        .allow("replica", "snapshot-records", kind::count, "4096")
        .derive("replica", "election-timeout", kind::time, &election_timeout_of)
        .derive("replica", "heartbeat", kind::time, &heartbeat_of)
        .at_least("replica", "heartbeat", least_heartbeat)
        .verify({"replica", "heartbeat", "election-timeout",
            "at most half of 'election-timeout'",
            [](const settings::values& read) {
                return read.time("replica", "heartbeat") * 2 <=
                    read.time("replica", "election-timeout");
            }})
        .verify({"replica", "members", {}, "name@zone@IP:port, each name once",
            &are_members})
        .build();
}

control_program::replica_settings make_replica_settings(
    const settings::values& read) {
    control_program::replica_settings made;
    made.options.self = replica_id(read.text("replica", "name"));
    made.options.election_timeout = read.time("replica", "election-timeout");
    made.options.heartbeat_interval = read.time("replica", "heartbeat");
    made.data = read.text("replica", "data");
    made.snapshot_records = read.count("replica", "snapshot-records");
    made.options.seed = std::hash<std::string>{}(read.text("replica", "name"));
    for (const std::string& text : read.list("replica", "members")) {
        made.members.push_back(*parse_member(text));
    }
    return made;
}

int initialize(const control_program::replica_settings& made) {
    control_program::data_folder data(made.data);
    const result<done> status = data.initialize(made.members);
    if (!status) {
        std::cerr << status.error().message() << '\n';
        return runtime::status_failed;
    }
    std::cout << made.data << ": initialised\n";
    return runtime::status_ok;
}

} // namespace

int main(int argc, char** argv) {
    const settings::values read =
        runtime::begin_process(argc, argv, control_schema());
    const control_program::replica_settings made = make_replica_settings(read);
    if (absl::GetFlag(FLAGS_initialize)) {
        return initialize(made);
    }
    asio::io_context context;
    control_program::replica_host replica(context, made);
    control_program::planner_loop planning(context, replica, {});
    control_program::control_service service(context,
        read.text("replica", "listen"), made.connections, replica, planning);
    runtime::supervisor root(context, "dfm-control", {});
    root.add(replica);
    root.add(planning);
    root.add(service);
    return runtime::run_until_signal(context, root);
}
