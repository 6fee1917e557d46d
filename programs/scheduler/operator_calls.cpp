// Operators' requests to the scheduler that arrive as frames: evacuations of
// zones, elections without lost members, and queries.
#include "programs/scheduler/scheduler.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dragonflymount::scheduler_program {
namespace {

wire::ProposeReplyT reply_of(
    wire::proposal_result result, const std::string& detail) {
    wire::ProposeReplyT reply;
    reply.result = result;
    reply.detail = detail;
    return reply;
}

nlohmann::json describe(const jobs::evacuations& evacuated) {
    nlohmann::json zones = nlohmann::json::array();
    for (const auto& [zone, begun] : evacuated.zones()) {
        zones.push_back({{"zone", zone.str()}, {"since_ms", begun.since_ms},
            {"author", begun.author}});
    }
    return {{"evacuations", std::move(zones)}};
}

} // namespace

// A zone that the settings don't name may have been added later; then it has
// endpoints that report.
bool scheduler::has_zone(const availability_zone_id& zone) const {
    const auto& named = settings_.zones;
    const auto& views = engine_.endpoints().views();
    return std::find(named.begin(), named.end(), zone.str()) != named.end() ||
        agreed().evacuated_zones().contains(zone) ||
        std::any_of(views.begin(), views.end(), [&](const auto& entry) {
            return !zone.empty() && entry.second.zone == zone;
        });
}

void scheduler::evacuate(const wire::EvacuateT& order,
    std::function<void(const wire::ProposeReplyT&)> on_reply) {
    if (!has_zone(availability_zone_id(order.zone))) {
        on_reply(reply_of(wire::proposal_result::refused,
            "this site has no availability zone '" + order.zone + "'"));
        return;
    }
    wire::EvacuationChangeT change;
    change.zone = order.zone;
    change.ends = order.ends;
    change.author = order.author;
    engine_.evacuate(change, [on_reply = std::move(on_reply)](bool committed) {
        on_reply(committed
                ? reply_of(wire::proposal_result::accepted, {})
                : reply_of(wire::proposal_result::unavailable,
                      "the lead was lost; the change may have been agreed"));
    });
    propose_batch();
}

void scheduler::receive_evacuation(const runtime::connection::pointer& from,
    std::uint64_t correlation, const wire::EvacuateT& order) {
    const auto send = [this, from, correlation](wire::ProposeReplyT reply) {
        reply.leader_address = replica_.leader_address();
        from->send(wire::make_message(std::move(reply), correlation));
    };
    if (!is_ready()) {
        send(reply_of(wire::proposal_result::not_leader, {}));
        return;
    }
    evacuate(order, send);
}

// Any replica answers: a group that needs this has no leader.
void scheduler::receive_reform(const runtime::connection::pointer& from,
    std::uint64_t correlation, const wire::ReformGroupT& order) {
    std::set<replica_id> lost;
    for (const std::string& name : order.lost) {
        lost.insert(replica_id(name));
    }
    const result<done> reformed = order.author.empty()
        ? result<done>(failure{make_error_code(errc::conflict), "reform group",
              {}, "expected an author"})
        : replica_.reform(lost);
    wire::ProposeReplyT reply =
        reply_of(reformed ? wire::proposal_result::accepted
                          : wire::proposal_result::refused,
            reformed ? std::string() : reformed.error().detail);
    LOG(WARNING) << event::reform_requested
                 << "replica=" << replica_.replica().self()
                 << " author=" << order.author << " lost=" << list_of(lost)
                 << " result=" << wire::EnumNameproposal_result(reply.result)
                 << " detail=\"" << reply.detail << '"';
    reply.leader_address = replica_.leader_address();
    from->send(wire::make_message(std::move(reply), correlation));
}

nlohmann::json scheduler::describe_group() const {
    const instant now = runtime::system_clock::now();
    nlohmann::json content =
        describe_members(replica_.replica(), settings_.voters, now);
    content["address"] = settings_.listen;
    content["disk"] = hosting::name_of(replica_.data().state());
    for (auto& peer : content["members"]) {
        const replica_id id(peer["replica"].get<std::string>());
        peer["behind_us"] = report_.behind_for(id, now).count();
    }
    return content;
}

void scheduler::receive_query(const runtime::connection::pointer& from,
    std::uint64_t correlation, const wire::QueryT& query) {
    wire::QueryReplyT reply;
    nlohmann::json content;
    reply.ok = true;
    if (query.subject == "evacuations") {
        content = describe(agreed().evacuated_zones());
    } else if (query.subject == "members") {
        content = describe_group();
    } else {
        reply.ok = false;
        content = {{"error", "unknown subject " + query.subject}};
    }
    reply.leader_address = replica_.leader_address();
    content["leads"] = is_ready();
    reply.json = content.dump();
    from->send(wire::make_message(std::move(reply), correlation));
}

} // namespace dragonflymount::scheduler_program
