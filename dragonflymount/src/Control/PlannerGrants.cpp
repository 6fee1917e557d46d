// Divides the teams' upper limits among the zones and moves parts of them.
//
// A part moves in three steps: the coordinator reduces its use to its target
// and confirms the lower amount, the leader commits that amount, and the
// leader then grants the difference to other zones. The amounts that zones may
// use thus never add up to more than the limit.
#include "dragonflymount/src/Control/LimitPlan.hpp"
#include "dragonflymount/src/Control/Planner.hpp"

#include <algorithm>

namespace dragonflymount::control {

bool planner::is_reporting(const availability_zone_id& zone,
    const coordinator_record& held, instant now) const {
    const auto view = zones_.find(zone);
    return view != zones_.end() && view->second.epoch == held.epoch &&
        now - view->second.last_report < options_.entry_timeout;
}

// A zone that stopped reporting keeps its grants until its leases have ended
// and its tasks with them, and for at least the configured hold time.
bool planner::is_hold_expired(const availability_zone_id& zone,
    const rules::rule_set& rules, instant now) const {
    const auto view = zones_.find(zone);
    const instant last_report_at = view == zones_.end()
        ? leading_since_
        : std::max(leading_since_, view->second.last_report);
    const duration leases =
        grantor_span(options_.zone_lease) + grantor_span(options_.task_lease);
    return now - last_report_at >= std::max(leases, rules.hold);
}

void planner::grant(
    const state& agreed, instant now, std::vector<bytes>& commands) {
    std::set<team_id> teams;
    for (const auto& [team, rule] : agreed.rules().teams) {
        teams.insert(team);
    }
    for (const auto& [key, held] : agreed.grants()) {
        teams.insert(key.second);
    }
    for (const team_id& team : teams) {
        grant_team(agreed, team, now, commands);
    }
}

std::vector<planner::zone_part> planner::collect_parts(const state& agreed,
    const team_id& team, instant now, std::vector<bytes>& commands) const {
    std::vector<zone_part> parts;
    for (const auto& [zone, held] : agreed.coordinators()) {
        zone_part part;
        part.key = {zone, team};
        part.epoch = held.epoch;
        const auto grant = agreed.grants().find(part.key);
        if (grant != agreed.grants().end()) {
            part.held = grant->second;
        }
        if (is_reporting(zone, held, now)) {
            read_report(zones_.at(zone).report, part);
            parts.push_back(std::move(part));
        } else if (part.held.amount > 0 &&
            is_hold_expired(zone, agreed.rules(), now)) {
            commands.push_back(encode_set_grant(part, 0));
        }
    }
    return parts;
}

void planner::read_report(const wire::EntryBeatT& report, zone_part& part) {
    part.confirmed = part.held.amount;
    for (const auto& reported : report.grants) {
        if (reported->team != part.key.second.str()) {
            continue;
        }
        part.wanted += reported->used;
        if (reported->sequence == part.held.sequence.value()) {
            part.confirmed = std::min(part.confirmed, reported->amount);
        }
    }
    for (const auto& demand : report.teams) {
        if (demand->team == part.key.second.str()) {
            part.wanted += demand->queued;
        }
    }
}

bytes planner::encode_set_grant(const zone_part& part, std::uint32_t amount) {
    wire::SetGrantT command;
    command.zone = part.key.first.str();
    command.team = part.key.second.str();
    command.amount = amount;
    command.zone_epoch = part.epoch.value();
    command.sequence = part.held.sequence.value();
    return wire::encode_command(std::move(command));
}

void planner::grant_team(const state& agreed, const team_id& team, instant now,
    std::vector<bytes>& commands) {
    const auto rule = agreed.rules().teams.find(team);
    const std::uint32_t limit =
        rule == agreed.rules().teams.end() ? 0 : rule->second.limit;
    const std::vector<zone_part> parts =
        collect_parts(agreed, team, now, commands);
    std::vector<zone_need> needs;
    std::uint32_t granted_reporting = 0;
    for (const zone_part& part : parts) {
        needs.push_back({part.held.amount, part.wanted});
        granted_reporting += part.held.amount;
    }
    const std::uint32_t granted = agreed.granted(team);
    const std::uint32_t granted_unreachable = granted - granted_reporting;
    const std::vector<std::uint32_t> targets =
        divide_limit(limit - std::min(limit, granted_unreachable), needs);
    std::uint32_t unassigned = limit - std::min(limit, granted);
    for (std::size_t k = 0; k < parts.size(); ++k) {
        const zone_part& part = parts[k];
        targets_[part.key] = targets[k];
        const std::uint32_t amount = part.held.amount;
        if (targets[k] < amount && part.confirmed < amount) {
            commands.push_back(encode_set_grant(part, part.confirmed));
        } else if (targets[k] > amount && unassigned > 0) {
            const std::uint32_t raise =
                std::min(unassigned, targets[k] - amount);
            unassigned -= raise;
            commands.push_back(encode_set_grant(part, amount + raise));
        }
    }
}

} // namespace dragonflymount::control
