// dfm-worker: stand-ins for the endpoints of several VMs of one zone.
#include "programs/worker/endpoint.hpp"

#include <set>

namespace {

using namespace dragonflymount;

bool are_vms(const settings::values& read) {
    std::set<std::string> names;
    for (const std::string& text : read.list("worker", "vms")) {
        const std::vector<std::string> parts = split(text, '@');
        if (parts.size() != 2 || !names.insert(parts[0]).second) {
            return false;
        }
    }
    return !names.empty();
}

settings::schema worker_schema() {
    using settings::kind;
    return settings::schema_builder()
        .require("worker", "zone", kind::name)
        .require("worker", "entries", kind::addresses)
        // "VM@rack", separated by commas.
        .require("worker", "vms", kind::list)
        .allow("worker", "slots", kind::count, "8")
        .allow("worker", "connections", kind::count, "64")
        .allow("worker", "journal", kind::file, "")
        .at_least("worker", "slots", std::uint32_t{1})
        .verify({"worker", "vms", {}, "VM@rack, each VM once", &are_vms})
        .build();
}

std::vector<worker_program::endpoint_settings> make_settings(
    const settings::values& read) {
    std::vector<worker_program::endpoint_settings> all;
    for (const std::string& text : read.list("worker", "vms")) {
        const std::vector<std::string> parts = split(text, '@');
        worker_program::endpoint_settings made;
        made.vm = vm_id(parts[0]);
        made.rack = rack_id(parts[1]);
        made.zone = availability_zone_id(read.text("worker", "zone"));
        made.entries = read.list("worker", "entries");
        made.slots = static_cast<std::uint16_t>(read.count("worker", "slots"));
        made.connections =
            static_cast<std::uint16_t>(read.count("worker", "connections"));
        made.journal = read.text("worker", "journal");
        all.push_back(std::move(made));
    }
    return all;
}

} // namespace

int main(int argc, char** argv) {
    const settings::values read =
        runtime::begin_process(argc, argv, worker_schema());
    asio::io_context context;
    runtime::supervisor root(context, "dfm-worker", {});
    std::vector<std::unique_ptr<worker_program::endpoint>> endpoints;
    for (auto& made : make_settings(read)) {
        endpoints.push_back(std::make_unique<worker_program::endpoint>(
            context, std::move(made)));
        root.add(*endpoints.back());
    }
    if (!runtime::start(root)) {
        return runtime::status_failed;
    }
    std::size_t busy = endpoints.size();
    const runtime::stop_signal stop(context, [&] {
        for (const auto& leaving : endpoints) {
            leaving->leave([&] {
                if (--busy == 0) {
                    root.stop();
                }
            });
        }
    });
    return root.run();
}
