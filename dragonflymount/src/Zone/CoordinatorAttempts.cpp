// Manages the attempts to run a request: start, adoption from an earlier
// coordinator, lease renewal and loss.
//
// An attempt whose end can't be determined counts against its team's limit
// until its lease has certainly expired. Its request is never answered with
// outcome not_run, because the attempt may have run.
#include "dragonflymount/src/Zone/Coordinator.hpp"

#include <absl/strings/str_cat.h>

namespace dragonflymount::zone {

void coordinator::start(const request_key& key, request_record& record,
    const vm_id& vm, instant now) {
    endpoint& known = *endpoints_.find(vm);
    record.state = phase::running;
    record.vm = vm;
    record.started = now;
    record.incarnation = known.incarnation;
    record_attempt(key, record, known, now);
    wire::StartTaskT start;
    start.task = record.task.value();
    start.claim = record.claim.value();
    start.zone_epoch = epoch_.value();
    start.assignment_epoch = known.epoch.value();
    start.pool = known.pool.str();
    start.incarnation = known.incarnation;
    start.lease_ms = to_wire_ms(holder_span(options_.task_lease));
    start.announced_ms = known.clock_ms;
    start.request = std::make_unique<wire::RequestT>(record.request);
    start.request->deadline_ms = to_wire_ms(record.deadline - now);
    send(vm, std::move(start));
}

// The attempt counts against its team's limit until its end is known or its
// lease has certainly expired.
void coordinator::record_attempt(const request_key& key, request_record& record,
    endpoint& known, instant now) {
    record.lease_end = now + grantor_span(options_.task_lease);
    known.tasks.insert(record.task);
    tasks_[record.task] = key;
    grants_.acquire(key.team);
    ++running_;
}

policy::end_verdict coordinator::detach_attempt(const request_key& key,
    request_record& record, const policy::task_end& end, instant now) {
    if (endpoint* known = endpoints_.find(record.vm)) {
        known->tasks.erase(record.task);
    }
    tasks_.erase(record.task);
    --running_;
    return dispatcher_.end(key, end, now);
}

policy::end_verdict coordinator::end_attempt(const request_key& key,
    request_record& record, const policy::task_end& end, instant now) {
    grants_.release(key.team);
    return detach_attempt(key, record, end, now);
}

void coordinator::abandon(const request_key& key, request_record& record,
    std::string reason, instant now) {
    detach_attempt(
        key, record, {policy::task_end::kind::not_run, {}, false}, now);
    lost_[record.task] = {key, record.vm, record.lease_end};
    record.earlier_outcome = wire::outcome::unknown;
    if (record.request.idempotent && !record.request.body.empty()) {
        enqueue_again(key, record, now);
        return;
    }
    finish(key, record, wire::outcome::unknown, std::move(reason), now);
}

void coordinator::release_lost(task_id task) {
    const auto found = lost_.find(task);
    if (found != lost_.end()) {
        grants_.release(found->second.key.team);
        lost_.erase(found);
    }
}

// Abandons the tasks that were started on another incarnation of the VM than
// the announced one.
void coordinator::abandon_restarted(
    const vm_id& vm, endpoint& known, instant now) {
    const std::set<task_id> tasks = known.tasks;
    for (const task_id task : tasks) {
        request_key key;
        request_record* record = find_task(task, key);
        if (record != nullptr && record->incarnation != known.incarnation) {
            abandon(key, *record,
                absl::StrCat("VM ", vm.str(), " was restarted"), now);
        }
    }
}

// A request that was answered with an unknown outcome can still get its real
// answer when an endpoint reports the task.
bool coordinator::is_adoptable(const request_record& record) {
    return record.state == phase::awaiting_recovery ||
        record.state == phase::queued ||
        (record.state == phase::final &&
            record.answer.outcome == wire::outcome::unknown);
}

// Handles a reported task that isn't adopted, because its request is already
// running, claimed, forwarded or answered here. A running task counts against
// its team's limit, but its lease isn't renewed; an ended task is confirmed.
void coordinator::track_unadopted(
    const vm_id& vm, const wire::TaskReportT& report, instant now) {
    const task_id task(report.task);
    const request_key key{team_id(report.team), report.id};
    if (report.phase == wire::task_phase::ended) {
        release_lost(task);
        schedule_confirmation(vm, task, key, now);
        return;
    }
    const auto [found, inserted] = lost_.try_emplace(task);
    found->second = {key, vm, now + grantor_span(options_.task_lease)};
    if (inserted) {
        grants_.acquire(key.team);
    }
}

// Adopts the reported tasks that an earlier coordinator started. They count
// against the limits and are answered like tasks that this coordinator
// started.
void coordinator::adopt(const vm_id& vm, endpoint& known,
    const wire::AnnounceT& message, instant now) {
    for (const auto& report : message.tasks) {
        const task_id task(report->task);
        if (tasks_.contains(task)) {
            continue;
        }
        const request_key key{team_id(report->team), report->id};
        auto [found, inserted] = requests_.try_emplace(key);
        request_record& record = found->second;
        if (!inserted && !is_adoptable(record)) {
            track_unadopted(vm, *report, now);
            continue;
        }
        release_lost(task);
        dispatcher_.remove(key);
        if (record.state == phase::final) {
            record.answer = wire::AnswerT();
        }
        if (inserted) {
            record.deadline = now + options_.answer_retention;
            record.overdue = true;
        }
        record.request.team = report->team;
        record.request.id = report->id;
        record.request.service = report->service;
        record.request.idempotent = report->idempotent;
        record.state = phase::running;
        // The task has started, so the request is never answered with
        // outcome not_run.
        record.earlier_outcome = wire::outcome::unknown;
        record.task = task;
        record.claim = task_id(report->claim);
        record.vm = vm;
        record.started = now;
        record.incarnation = known.incarnation;
        record_attempt(key, record, known, now);
        dispatcher_.adopt(key, service_id(report->service), vm, now);
        if (report->phase == wire::task_phase::ended) {
            wire::QueryTaskT query;
            query.task = task.value();
            query.zone_epoch = epoch_.value();
            query.incarnation = known.incarnation;
            send(vm, query);
        }
    }
}

// Queries the tasks that count as running on the endpoint but that its
// announcement doesn't list as running.
void coordinator::query_missing_tasks(const vm_id& vm, endpoint& known,
    const wire::AnnounceT& message, instant now) {
    std::set<task_id> listed;
    for (const auto& report : message.tasks) {
        if (report->phase == wire::task_phase::running) {
            listed.insert(task_id(report->task));
        }
    }
    // A task that was started less than this long ago may be missing only
    // because its start order and the announcement crossed.
    constexpr duration start_transit_limit = std::chrono::seconds(1);
    for (const task_id task : known.tasks) {
        request_key key;
        request_record* record = find_task(task, key);
        if (record == nullptr || listed.contains(task) ||
            now - record->started < start_transit_limit) {
            continue;
        }
        wire::QueryTaskT query;
        query.task = task.value();
        query.zone_epoch = epoch_.value();
        query.incarnation = record->incarnation;
        send(vm, query);
    }
}

void coordinator::expire_leases(instant now) {
    std::vector<task_id> expired;
    for (const auto& [task, key] : tasks_) {
        if (now >= requests_.at(key).lease_end) {
            expired.push_back(task);
        }
    }
    for (const task_id task : expired) {
        request_key key;
        request_record& record = *find_task(task, key);
        abandon(key, record, absl::StrCat("VM ", record.vm.str(), " was lost"),
            now);
    }
    std::vector<task_id> expired_lost;
    for (const auto& [task, attempt] : lost_) {
        if (now >= attempt.lease_end) {
            expired_lost.push_back(task);
        }
    }
    for (const task_id task : expired_lost) {
        release_lost(task);
    }
}

void coordinator::renew(instant now) {
    // The next coordinator relies on the expiry of task leases at endpoints
    // that it can't fence, so renewals stop when the zone lease ends.
    if (now >= zone_lease_end_) {
        return;
    }
    for (const auto& [vm, known] : endpoints_.all()) {
        const bool heard = known.connected &&
            now - known.last_heard < endpoint_table::silence_limit;
        if (!heard || known.tasks.empty()) {
            continue;
        }
        wire::RenewTasksT renewal;
        renewal.zone_epoch = epoch_.value();
        renewal.lease_ms = to_wire_ms(holder_span(options_.task_lease));
        renewal.announced_ms = known.clock_ms;
        for (const task_id task : known.tasks) {
            request_key key;
            request_record* record = find_task(task, key);
            if (record == nullptr || record->incarnation != known.incarnation) {
                continue;
            }
            record->lease_end = now + grantor_span(options_.task_lease);
            renewal.tasks.push_back(task.value());
        }
        send(vm, std::move(renewal));
    }
}

} // namespace dragonflymount::zone
