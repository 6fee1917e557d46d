// The coordinator's handling of requests from submission to final answer, of
// leases from the control leader, and of timeouts.
#include "dragonflymount/src/Zone/Coordinator.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dragonflymount::zone {
namespace {

constexpr duration retry_when_late = std::chrono::seconds(5);

request_key key_of(const wire::RequestT& request) {
    return {team_id(request.team), request.id};
}

} // namespace

coordinator::coordinator(
    coordinator_options options, zone_epoch epoch, instant now)
    : options_(std::move(options)), epoch_(epoch), dispatcher_(options_.policy),
      // The previous coordinator may have renewed its tasks just before.
      recovery_end_(now + grantor_span(options_.task_lease)) {}

std::vector<coordinator_action> coordinator::take_actions() {
    std::vector<coordinator_action> taken = std::move(actions_);
    actions_.clear();
    return taken;
}

// ---- Callers ---------------------------------------------------------------

void coordinator::submit(
    origin_id origin, const wire::SubmitT& submit, instant now) {
    if (!submit.request) {
        return;
    }
    // A delayed copy that was sent to an earlier coordinator, which may have
    // refused the request. Entries resend pending requests with this epoch.
    if (submit.zone_epoch != 0 && submit.zone_epoch != epoch_.value()) {
        return;
    }
    const request_key key = key_of(*submit.request);
    auto [found, inserted] = requests_.try_emplace(key);
    request_record& record = found->second;
    record.origins.insert(origin);
    if (inserted) {
        record.request = *submit.request;
        record.deadline = now + from_wire_ms(submit.request->deadline_ms);
        // For a non-idempotent request a granted claim proves that it has not
        // run. An idempotent request has no claim, so an earlier coordinator
        // may have started it.
        if (submit.sent_before && submit.request->idempotent) {
            record.earlier_outcome = wire::outcome::unknown;
        }
        record.forwarded = submit.forwarded;
        deadlines_.emplace(record.deadline, key);
        admit_request(key, record, now);
    }
    if (record.state == phase::final) {
        answer_origins(record);
    } else if (submit.asynchronous) {
        wire::PendingT pending;
        pending.team = key.team.str();
        pending.id = key.id;
        actions_.push_back(
            send_origin{origin, wire::make_message(std::move(pending))});
    }
    start_queued(now);
}

void coordinator::fetch(origin_id origin, const wire::FetchT& fetch, instant) {
    const auto found = requests_.find({team_id(fetch.team), fetch.id});
    if (found == requests_.end()) {
        wire::AnswerT answer;
        answer.team = fetch.team;
        answer.id = fetch.id;
        answer.outcome = wire::outcome::none;
        answer.reason = "no request of this id is known here";
        actions_.push_back(
            send_origin{origin, wire::make_message(std::move(answer))});
        return;
    }
    request_record& record = found->second;
    if (record.state == phase::final) {
        record.origins.insert(origin);
        answer_origins(record);
        return;
    }
    wire::PendingT pending;
    pending.team = fetch.team;
    pending.id = fetch.id;
    actions_.push_back(
        send_origin{origin, wire::make_message(std::move(pending))});
}

void coordinator::cancel(const wire::CancelT& cancel, instant now) {
    const request_key key{team_id(cancel.team), cancel.id};
    const auto found = requests_.find(key);
    if (found == requests_.end()) {
        return;
    }
    request_record& record = found->second;
    if (record.state == phase::final) {
        return;
    }
    record.cancelled = true;
    if (record.state == phase::running) {
        wire::StopTaskT stop;
        stop.task = record.task.value();
        send(record.vm, stop);
        return;
    }
    refuse(key, record, "cancelled", duration(0), now);
}

void coordinator::answer_origins(request_record& record) {
    for (const origin_id origin : record.origins) {
        actions_.push_back(send_origin{
            origin, wire::make_message(wire::AnswerT(record.answer))});
    }
    record.origins.clear();
}

void coordinator::finish(const request_key& key, request_record& record,
    wire::outcome outcome, std::string reason, instant now) {
    dispatcher_.remove(key);
    deadlines_.erase({record.deadline, key});
    forwarded_.erase(key);
    // A claim that is still pending may be granted later, so it is ended too.
    const bool claimed = record.claim != task_id();
    record.state = phase::final;
    record.finished = now;
    record.answer.team = key.team.str();
    record.answer.id = key.id;
    record.answer.attempt = record.task.value();
    record.answer.outcome = outcome;
    record.answer.reason = std::move(reason);
    record.request.body.clear();
    if (claimed) {
        end_claim(key, record.claim, outcome);
    }
    answer_origins(record);
}

void coordinator::refuse(const request_key& key, request_record& record,
    std::string reason, duration retry_after, instant now) {
    if (record.earlier_outcome != wire::outcome::none) {
        finish(key, record, record.earlier_outcome, std::move(reason), now);
        return;
    }
    record.answer.retry_after_ms = to_wire_ms(retry_after);
    finish(key, record, wire::outcome::not_run, std::move(reason), now);
}

// ---- Control ---------------------------------------------------------------

void coordinator::receive(const wire::EntryLeaseT& lease,
    const rules::rule_set& rules, instant sent, instant now) {
    if (lease.zone_epoch != epoch_.value()) {
        return;
    }
    rules_ = rules;
    // A lease that answers a beat from before a restart of this process omits
    // the rules.
    knows_rules_ = !rules_.pools.empty();
    dispatcher_.configure(rules_);
    if (lease.zone_lease_ms > 0) {
        zone_lease_end_ =
            std::max(zone_lease_end_, sent + from_wire_ms(lease.zone_lease_ms));
    }
    endpoints_.assign(lease);
    update_all_vm_views(now);
    finish_recovery(now);
    grants_.receive(lease, recovered_);
    start_queued(now);
}

void coordinator::finish_recovery(instant now) {
    if (recovered_ || !knows_rules_ || now >= zone_lease_end_) {
        return;
    }
    if (now < recovery_end_ && !endpoints_.all_fenced()) {
        return;
    }
    recovered_ = true;
    for (auto& [key, record] : requests_) {
        if (record.state == phase::awaiting_recovery) {
            admit_request(key, record, now);
        }
    }
}

void coordinator::report(wire::EntryBeatT& beat) const {
    beat.zone_epoch = epoch_.value();
    for (const auto& [vm, known] : endpoints_.all()) {
        if (known.slots == 0) {
            continue;
        }
        auto summary = std::make_unique<wire::VmSummaryT>();
        summary->vm = vm.str();
        summary->rack = known.rack.str();
        summary->slots = static_cast<std::uint16_t>(known.slots);
        summary->running = static_cast<std::uint16_t>(known.tasks.size());
        summary->leaving = known.leaving;
        summary->quarantined = dispatcher_.is_quarantined(vm);
        summary->assignment_epoch = known.epoch.value();
        summary->incarnation = known.incarnation;
        summary->lost = !known.connected;
        // A fenced endpoint accepts no new tasks from earlier coordinators.
        summary->drained =
            known.draining && known.fenced && known.tasks.empty();
        beat.vms.push_back(std::move(summary));
    }
    grants_.report(beat);
    for (const auto& [team, rule] : rules_.teams) {
        auto demand = std::make_unique<wire::TeamDemandT>();
        demand->team = team.str();
        demand->running = grants_.used(team);
        for (const pool_id& pool : dispatcher_.pools()) {
            demand->queued +=
                static_cast<std::uint32_t>(dispatcher_.queued(pool, team));
        }
        beat.teams.push_back(std::move(demand));
    }
    report_demand(beat);
}

std::size_t coordinator::queued() const {
    return dispatcher_.queued();
}

// ---- Timeouts --------------------------------------------------------------

void coordinator::tick(instant now) {
    finish_recovery(now);
    if (now >= claims_due_) {
        send_claims(now);
    }
    if (now >= next_view_update_) {
        next_view_update_ = now + silence_check_interval;
        update_all_vm_views(now);
        dispatcher_.tick(now);
    }
    expire_deadlines(now);
    expire_leases(now);
    for (const request_key& key : forwarded_) {
        request_record& record = requests_.at(key);
        if (now >= record.next_forward) {
            forward(record, now);
        }
    }
    if (now >= next_renewal_) {
        next_renewal_ = now + options_.renew_interval;
        renew(now);
        order_reboots(now);
        purge_finished(now);
    }
    send_ends();
    start_queued(now);
}

void coordinator::expire_deadlines(instant now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const request_key key = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        request_record& record = requests_.at(key);
        if (record.state != phase::running) {
            refuse(
                key, record, "its deadline has passed", retry_when_late, now);
            continue;
        }
        // The task keeps running; its answer can be fetched later by id.
        record.overdue = true;
        wire::AnswerT answer;
        answer.team = key.team.str();
        answer.id = key.id;
        answer.attempt = record.task.value();
        answer.outcome = wire::outcome::unknown;
        answer.reason = "still running at its deadline";
        for (const origin_id origin : record.origins) {
            actions_.push_back(
                send_origin{origin, wire::make_message(wire::AnswerT(answer))});
        }
        record.origins.clear();
    }
}

void coordinator::purge_finished(instant now) {
    std::erase_if(requests_, [&](const auto& entry) {
        return entry.second.state == phase::final &&
            now - entry.second.finished > options_.answer_retention;
    });
    for (auto& [vm, pending] : confirmations_) {
        wire::ConfirmTasksT confirmation;
        std::erase_if(pending, [&](const auto& entry) {
            // The end must be in the log before the endpoint deletes the
            // task: the next coordinator learns the end from one of the two.
            const auto& [task, held] = entry;
            if (held.due > now || has_unrecorded_end(held.key)) {
                return false;
            }
            confirmation.tasks.push_back(task.value());
            return true;
        });
        if (!confirmation.tasks.empty()) {
            send(vm, std::move(confirmation));
        }
    }
}

} // namespace dragonflymount::zone
