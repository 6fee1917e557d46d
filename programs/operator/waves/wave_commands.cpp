// Start, pause and end of maintenance waves.
#include "programs/operator/waves/wave_commands.hpp"

#include "programs/operator/control/leader.hpp"

#include <algorithm>
#include <array>

namespace dragonflymount::operator_program {
namespace {

constexpr std::array<const char*, 4> verbs{"start", "pause", "resume", "stop"};

outcome show_waves(const options& given) {
    const auto found = query(given, "waves");
    if (!found) {
        return failed(found.error());
    }
    return {runtime::status_ok, found->dump(2), *found};
}

outcome wave(const std::vector<std::string>& arguments, const options& given) {
    const std::string& verb = arguments[0];
    if (verb == "status") {
        return show_waves(given);
    }
    if (std::find(verbs.begin(), verbs.end(), verb) == verbs.end()) {
        return misused("expected wave start|pause|resume|stop|status, found '" +
            verb + "'");
    }
    if (arguments.size() < 2) {
        return misused("expected wave " + verb + " NAME");
    }
    if (given.author.empty()) {
        return misused("expected --author WHO, who asks for the change");
    }
    const std::string& name = arguments[1];
    if (verb == "start" && !given.yes) {
        const std::string where =
            given.pool.empty() ? "every pool" : "pool " + given.pool;
        return preview("wave " + name + " drains and reboots the VMs of " +
                where + ", as the budgets allow",
            {{"wave", name}, {"pool", given.pool}});
    }
    wire::WaveCommandT content;
    content.verb = verb;
    content.wave = name;
    content.pool = given.pool;
    content.author = given.author;
    content.submission = submission_name(given);
    content.time_ms = runtime::wall_time_ms();
    const auto reply = propose(given, wire::encode_command(std::move(content)));
    return reply ? describe(*reply) : failed(reply.error());
}

} // namespace

std::vector<command> wave_commands() {
    command made{"wave", "start|pause|resume|stop|status [NAME]", 1, 2,
        "run a wave of maintenance", {}, false, true, wave};
    made.details = "  --author WHO  needed, but for status\n"
                   "  --pool POOL   the VMs of one pool; default all\n"
                   "  --yes         start it; without it the effect is shown,\n"
                   "                status 1\n";
    return {made};
}

} // namespace dragonflymount::operator_program
