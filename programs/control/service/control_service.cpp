// Dispatch of messages that arrive at a control replica.
#include "programs/control/service/control_service.hpp"

#include "dragonflymount/src/Runtime/Metrics.hpp"
#include "programs/control/service/applied_log.hpp"
#include "programs/control/service/wave_description.hpp"

namespace dragonflymount::control_program {
control_service::control_service(asio::io_context& context, std::string address,
    runtime::connection_options connections, replica_host& replica,
    planner_loop& planning)
    : address_(std::move(address)), listener_(context, connections),
      replica_(replica), planning_(planning) {}

result<done> control_service::start() {
    return listener_.start(
        address_,
        [this](const auto& from, wire::message&& content) {
            receive(from, std::move(content));
        },
        [](const auto&, const failure& error) {
            VLOG(1) << event::connection_failed << error.message();
        });
}

void control_service::stop() {
    listener_.stop();
}

void control_service::receive(
    const runtime::connection::pointer& from, wire::message&& content) {
    replica_.refresh();
    switch (content.body.type) {
    case wire::Body::EntryBeat:
        receive_beat(from, content.correlation, *content.body.AsEntryBeat());
        break;
    case wire::Body::Propose:
        receive_proposal(from, content.correlation, *content.body.AsPropose());
        break;
    case wire::Body::Query:
        receive_query(from, content.correlation, *content.body.AsQuery());
        break;
    case wire::Body::ChangeReplica:
        receive_change(
            from, content.correlation, *content.body.AsChangeReplica());
        break;
    default:
        replica_.receive(from, content);
    }
}

void control_service::receive_beat(const runtime::connection::pointer& from,
    std::uint64_t correlation, const wire::EntryBeatT& beat) {
    if (auto lease = planning_.receive(beat)) {
        from->send(wire::make_message(std::move(*lease), correlation));
    }
}

void control_service::receive_proposal(const runtime::connection::pointer& from,
    std::uint64_t correlation, const wire::ProposeT& proposal) {
    replica_.propose(proposal.command,
        [this, from, correlation, command = proposal.command](
            const wire::ProposeReplyT& reply) {
            log_applied(command, reply, replica_.agreed());
            from->send(
                wire::make_message(wire::ProposeReplyT(reply), correlation));
        });
}

void control_service::receive_change(const runtime::connection::pointer& from,
    std::uint64_t correlation, const wire::ChangeReplicaT& change) {
    replica_.change(change, [from, correlation](const auto& reply) {
        from->send(wire::make_message(wire::ProposeReplyT(reply), correlation));
    });
}

void control_service::receive_query(const runtime::connection::pointer& from,
    std::uint64_t correlation, const wire::QueryT& query) {
    wire::QueryReplyT reply;
    reply.ok = true;
    reply.leader_address = replica_.leader_address();
    nlohmann::json content;
    if (query.subject == "rules") {
        content = describe_rules();
    } else if (query.subject == "history") {
        content = describe_history();
    } else if (query.subject == "entries") {
        content = describe_entries();
    } else if (query.subject == "metrics") {
        content = {{"text", describe_metrics()}};
    } else if (query.subject == "waves") {
        content = describe_waves(replica_.agreed(), planning_.planner());
    } else if (query.subject == "dump") {
        content = describe_state();
    } else {
        reply.ok = false;
        content = {{"error", "unknown subject " + query.subject}};
    }
    content["leads"] = replica_.is_settled_leader();
    reply.json = content.dump();
    from->send(wire::make_message(std::move(reply), correlation));
}

nlohmann::json control_service::describe_rules() const {
    return {{"version", replica_.agreed().version().value()},
        {"text", replica_.agreed().rules_text()}};
}

nlohmann::json control_service::describe_history() const {
    nlohmann::json changes = nlohmann::json::array();
    for (const auto& change : replica_.agreed().history()) {
        changes.push_back(
            {{"version", change.version.value()}, {"author", change.author},
                {"time_ms", change.time_ms}, {"what", change.what}});
    }
    return {{"changes", std::move(changes)}};
}

nlohmann::json control_service::describe_entries() const {
    const instant now = runtime::system_clock::now();
    nlohmann::json entries = nlohmann::json::array();
    for (const auto& [entry, view] : planning_.planner().entries()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - view.last_beat);
        entries.push_back({{"entry", entry.str()}, {"zone", view.zone.str()},
            {"address", view.address}, {"version", view.version.value()},
            {"age_ms", age.count()}});
    }
    // A lowered limit is in force once what runs has come down to it.
    const control::state& agreed = replica_.agreed();
    nlohmann::json limits = nlohmann::json::array();
    for (const auto& [team, rule] : agreed.rules().teams) {
        limits.push_back({{"team", team.str()}, {"limit", rule.limit},
            {"in_force", agreed.granted(team) <= rule.limit}});
    }
    return {{"version", agreed.version().value()},
        {"entries", std::move(entries)}, {"limits", std::move(limits)}};
}

nlohmann::json control_service::describe_replica() const {
    const agreement::replica& replica = replica_.replica();
    nlohmann::json members = nlohmann::json::array();
    for (const agreement::member& peer : replica.members()) {
        members.push_back({{"replica", peer.id.str()},
            {"address", peer.address}, {"zone", peer.zone.str()},
            {"identity", peer.identity.value()}, {"voter", peer.voter},
            {"match", replica.match_index(peer.id).value()}});
    }
    nlohmann::json strangers = nlohmann::json::array();
    for (const auto& [id, identity] : replica.unadmitted()) {
        strangers.push_back(
            {{"replica", id.str()}, {"identity", identity.value()}});
    }
    return {{"replica", replica.self().str()},
        {"identity", replica.identity().value()},
        {"role", agreement::name_of(replica.current_role())},
        {"leader", replica.leader().str()}, {"term", replica.term().value()},
        {"commit", replica.commit_index().value()},
        {"last", replica.last_index().value()},
        {"log_records", replica.log_size()}, {"members", std::move(members)},
        {"strangers", std::move(strangers)},
        {"disk", name_of(replica_.data().state())},
        {"disk_error", replica_.data().error()}};
}

std::string control_service::describe_metrics() const {
    const agreement::replica& replica = replica_.replica();
    runtime::metrics_page page;
    const auto gauge = [&page](const char* name, const char* help, auto value) {
        page.metric(name, "gauge", help).value(static_cast<double>(value));
    };
    gauge("dfm_replica_leads", "1 while this replica leads the agreement.",
        replica_.is_settled_leader() ? 1 : 0);
    gauge("dfm_replica_term", "Term of the agreement.", replica.term().value());
    gauge("dfm_replica_commit", "Index of the last committed record.",
        replica.commit_index().value());
    gauge("dfm_rules_version", "Version of the agreed rules.",
        replica_.agreed().version().value());
    gauge("dfm_claims", "Requests whose claims are remembered.",
        replica_.agreed().claims().size());
    gauge("dfm_entries", "Entries that this leader has heard of.",
        planning_.planner().entries().size());
    return page.text();
}

nlohmann::json control_service::describe_state() const {
    const control::state& agreed = replica_.agreed();
    nlohmann::json grants = nlohmann::json::array();
    for (const auto& [key, grant] : agreed.grants()) {
        grants.push_back({{"zone", key.first.str()}, {"team", key.second.str()},
            {"amount", grant.amount}});
    }
    nlohmann::json vms = nlohmann::json::array();
    for (const auto& [vm, record] : agreed.vms()) {
        vms.push_back({{"vm", vm.str()}, {"zone", record.zone.str()},
            {"pool", record.pool.str()}, {"epoch", record.epoch.value()},
            {"draining", record.draining}});
    }
    nlohmann::json coordinators = nlohmann::json::array();
    for (const auto& [zone, held] : agreed.coordinators()) {
        coordinators.push_back({{"zone", zone.str()},
            {"entry", held.entry.str()}, {"epoch", held.epoch.value()}});
    }
    nlohmann::json content = describe_replica();
    content["version"] = agreed.version().value();
    content["claims"] = agreed.claims().size();
    content["grants"] = std::move(grants);
    content["vms"] = std::move(vms);
    content["coordinators"] = std::move(coordinators);
    return content;
}

} // namespace dragonflymount::control_program
