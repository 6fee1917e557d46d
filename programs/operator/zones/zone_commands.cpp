// Evacuations of availability zones, at the scheduler replicas.
#include "programs/operator/zones/zone_commands.hpp"

#include "programs/operator/control/leader.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

namespace dragonflymount::operator_program {
namespace {

std::string describe_zone(const nlohmann::json& entry) {
    const auto since =
        absl::FromUnixMillis(entry.value("since_ms", std::int64_t{0}));
    const std::string author = entry.value("author", "");
    return absl::StrCat(entry.value("zone", ""), " evacuated since ",
        absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", since, absl::UTCTimeZone()),
        author.empty() ? "" : " by ", author);
}

outcome show_zones(const options& given) {
    const auto found = query(given, "evacuations");
    if (!found) {
        return failed(found.error());
    }
    std::string text;
    for (const auto& entry : (*found)["evacuations"]) {
        absl::StrAppend(&text, text.empty() ? "" : "\n", describe_zone(entry));
    }
    return {runtime::status_ok, text.empty() ? "no zone is evacuated" : text,
        *found};
}

outcome zone(const std::vector<std::string>& arguments, const options& given) {
    const std::string& verb = arguments[0];
    if (verb == "status") {
        return show_zones(given);
    }
    if (verb != "evacuate" && verb != "restore") {
        return misused(
            "expected zone evacuate|restore|status, found '" + verb + "'");
    }
    if (arguments.size() < 2) {
        return misused("expected zone " + verb + " ZONE");
    }
    if (given.author.empty()) {
        return misused("expected --author WHO, who asks for the change");
    }
    wire::EvacuateT order;
    order.zone = arguments[1];
    order.ends = verb == "restore";
    order.author = given.author;
    if (!order.ends && !given.yes) {
        return preview("no task starts in zone " + order.zone +
                " any more; its long-running tasks move to other zones",
            {{"zone", order.zone}});
    }
    const auto reply =
        request_change(given, wire::make_message(std::move(order)));
    return reply ? describe(*reply) : failed(reply.error());
}

} // namespace

std::vector<command> zone_commands() {
    command made{"zone", "evacuate|restore|status [ZONE]", 1, 2,
        "keep new tasks out of an availability zone", {}, false, true, zone};
    made.details = "  --replicas    the scheduler replicas, with 'peer-port'\n"
                   "  --author WHO  needed, but for status\n"
                   "  --yes         evacuate it; without it the effect is\n"
                   "                shown, status 1\n";
    return {made};
}

} // namespace dragonflymount::operator_program
