// dfm-load: replays a trace, checks its stated outcomes and prints figures.
#include "programs/load/compare.hpp"
#include "programs/load/fleet/roll_out.hpp"
#include "programs/load/measure/measure.hpp"
#include "programs/load/replay.hpp"

#include "dragonflymount/runtime.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <asio.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, trace, "", "file with the recorded trace");
ABSL_FLAG(std::string, entries, "", "HTTP faces, IP:port,IP:port");
ABSL_FLAG(std::string, keys, "", "team:key,team:key");
ABSL_FLAG(std::string, journals, "", "journals of the stand-ins, FILE,FILE");
ABSL_FLAG(std::uint32_t, callers, 64, "callers that wait at the same time");
ABSL_FLAG(std::uint32_t, free_ports, 0,
    "print this many free TCP ports of 127.0.0.1, and end");
ABSL_FLAG(std::string, compare, "",
    "folder of traces; replays them in virtual time under the policy and its "
    "baselines, and ends");
ABSL_FLAG(bool, measure, false,
    "measures decisions and messages at several sizes, and ends");
ABSL_FLAG(bool, roll_out, false,
    "print how long waves of maintenance take on modelled sites, and end");

namespace {

using namespace dragonflymount;

int print_free_ports(std::uint32_t count) {
    asio::io_context context;
    std::vector<asio::ip::tcp::acceptor> held;
    for (std::uint32_t k = 0; k < count; ++k) {
        held.emplace_back(context,
            asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
        std::cout << held.back().local_endpoint().port() << '\n';
    }
    return runtime::status_ok;
}

load_program::replay_options make_options() {
    load_program::replay_options options;
    options.entries = words_of(absl::GetFlag(FLAGS_entries), ", ");
    options.journals = words_of(absl::GetFlag(FLAGS_journals), ", ");
    options.callers = absl::GetFlag(FLAGS_callers);
    for (const std::string& pair : words_of(absl::GetFlag(FLAGS_keys), ", ")) {
        const std::size_t colon = pair.find(':');
        options.keys[team_id(pair.substr(0, colon))] = pair.substr(colon + 1);
    }
    return options;
}

/// Prints each stated outcome with what was seen.
bool check(const load_program::trace& recorded,
    const load_program::replay_report& report) {
    bool all_hold = true;
    for (const load_program::expectation& stated : recorded.expectations) {
        const auto value = report.figure(stated.figure);
        const bool good = value && load_program::holds(stated, *value);
        all_hold = all_hold && good;
        std::cout << (good ? "holds  " : "FAILS  ") << stated.figure
                  << stated.comparison << stated.bound << " (seen "
                  << value.value_or(-1) << ")\n";
    }
    return all_hold;
}

} // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "--trace FILE --entries IP:port,... --keys team:key,...");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_free_ports) > 0) {
        return print_free_ports(absl::GetFlag(FLAGS_free_ports));
    }
    if (!absl::GetFlag(FLAGS_compare).empty()) {
        return load_program::compare(absl::GetFlag(FLAGS_compare), std::cout)
            ? runtime::status_ok
            : runtime::status_failed;
    }
    if (absl::GetFlag(FLAGS_measure)) {
        load_program::measure(std::cout);
        return runtime::status_ok;
    }
    if (absl::GetFlag(FLAGS_roll_out)) {
        return load_program::print_roll_out(std::cout) ? runtime::status_ok
                                                       : runtime::status_failed;
    }
    const std::string path = absl::GetFlag(FLAGS_trace);
    std::ifstream input(path);
    if (!input || absl::GetFlag(FLAGS_entries).empty()) {
        std::cerr << "--trace and --entries are needed\n";
        return runtime::status_usage;
    }
    std::ostringstream text;
    text << input.rdbuf();
    const auto recorded = load_program::parse_trace(text.str(), path);
    if (!recorded) {
        std::cerr << recorded.error().message() << '\n';
        return runtime::status_usage;
    }
    const auto report = load_program::replay(*recorded, make_options());
    report.print(std::cout);
    return check(*recorded, report) ? runtime::status_ok
                                    : runtime::status_failed;
}
