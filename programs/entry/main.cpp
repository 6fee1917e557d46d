// dfm-entry: takes callers' requests, and coordinates its zone when appointed.
#include "programs/entry/callers/http_face.hpp"
#include "programs/entry/links/link_service.hpp"

namespace {

using namespace dragonflymount;

/// A task's lease is renewed several times before it can run out.
constexpr duration least_task_lease = std::chrono::seconds(6);
constexpr duration least_drain_limit = std::chrono::seconds(1);

// Threads beside those that hold waiting requests.
constexpr std::uint32_t spare_threads = 16;
constexpr std::uint32_t usual_threads = 96;

std::string threads_of(const settings::values& read) {
    return std::to_string(read.states("entry", "waiting")
            ? read.count("entry", "waiting") + spare_threads
            : usual_threads);
}

std::string waiting_of(const settings::values& read) {
    const std::uint32_t threads = read.count("entry", "threads");
    return std::to_string(
        threads > 2 * spare_threads ? threads - spare_threads : threads / 2);
}

settings::schema entry_schema() {
    using settings::kind;
    return settings::schema_builder()
        .require("entry", "name", kind::name)
        .require("entry", "zone", kind::name)
        .require("entry", "listen", kind::address)
        .require("entry", "http", kind::address)
        .require("entry", "replicas", kind::addresses)
        .derive("entry", "threads", kind::count, &threads_of)
        .derive("entry", "waiting", kind::count, &waiting_of)
        .allow("entry", "task-lease", kind::time, "15s")
        .allow("entry", "drain-limit", kind::time, "2m")
        .at_least("entry", "waiting", std::uint32_t{1})
        .at_least("entry", "task-lease", least_task_lease)
        .at_least("entry", "drain-limit", least_drain_limit)
        .verify({"entry", "waiting", "threads",
            "less than 'threads', which also serve cancellations and metrics",
            [](const settings::values& read) {
                return read.count("entry", "waiting") <
                    read.count("entry", "threads");
            }})
        .build();
}

entry_program::node_settings make_node_settings(const settings::values& read) {
    entry_program::node_settings made;
    made.self = entry_id(read.text("entry", "name"));
    made.zone = availability_zone_id(read.text("entry", "zone"));
    made.coordinator.task_lease = read.time("entry", "task-lease");
    made.drain_limit = read.time("entry", "drain-limit");
    return made;
}

entry_program::http_settings make_http_settings(const settings::values& read) {
    entry_program::http_settings made;
    made.address = read.text("entry", "http");
    made.threads = read.count("entry", "threads");
    made.most_waiting = read.count("entry", "waiting");
    return made;
}

} // namespace

int main(int argc, char** argv) {
    const settings::values read =
        runtime::begin_process(argc, argv, entry_schema());
    asio::io_context context;
    const entry_program::node_settings made = make_node_settings(read);
    entry_program::control_client control(
        context, read.list("entry", "replicas"), made.connections);
    entry_program::node core(context, made, control);
    entry_program::link_service links(
        context, read.text("entry", "listen"), made.connections, core);
    entry_program::http_face callers(context, make_http_settings(read), core);
    runtime::supervisor root(context, "dfm-entry", {});
    root.add(core);
    root.add(links);
    root.add(control);
    root.add(callers);
    if (!runtime::start(root)) {
        return runtime::status_failed;
    }
    const runtime::stop_signal stop(context,
        [&] { core.drain([&] { callers.close([&root] { root.stop(); }); }); });
    return root.run();
}
