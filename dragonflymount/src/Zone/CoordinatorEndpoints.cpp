// The coordinator's handling of messages from endpoints: announcements,
// rejected tasks and ended tasks.
#include "dragonflymount/src/Zone/Coordinator.hpp"

#include <absl/strings/str_cat.h>

namespace dragonflymount::zone {

namespace {

constexpr duration retry_when_full = std::chrono::seconds(1);

} // namespace

coordinator::request_record* coordinator::find_task(
    task_id task, request_key& key) {
    const auto found = tasks_.find(task);
    if (found == tasks_.end()) {
        return nullptr;
    }
    key = found->second;
    return &requests_.at(key);
}

wire::AnnounceReplyT coordinator::announce(
    const wire::AnnounceT& message, instant now) {
    // The endpoint has accepted a later coordinator. This coordinator may no
    // longer query its tasks or confirm their ends.
    if (message.zone_epoch > epoch_.value()) {
        return {};
    }
    const vm_id vm(message.vm);
    endpoint& known = endpoints_.announce(message, now);
    known.fenced = message.zone_epoch == epoch_.value();
    update_vm_view(vm, known, now);
    abandon_restarted(vm, known, now);
    adopt(vm, known, message, now);
    query_missing_tasks(vm, known, message, now);
    finish_recovery(now);
    start_queued(now);
    wire::AnnounceReplyT reply;
    reply.pool = known.pool.str();
    reply.assignment_epoch = known.epoch.value();
    reply.zone_epoch = epoch_.value();
    reply.coordinator = true;
    return reply;
}

void coordinator::disconnect(const vm_id& vm) {
    endpoints_.disconnect(vm);
    if (const endpoint* known = endpoints_.find(vm)) {
        update_vm_view(vm, *known, instant());
    }
}

void coordinator::receive(
    const vm_id& vm, const wire::TaskRejectedT& message, instant now) {
    request_key key;
    request_record* record = find_task(task_id(message.task), key);
    if (record == nullptr || record->vm != vm) {
        return;
    }
    end_attempt(
        key, *record, {policy::task_end::kind::not_run, {}, false}, now);
    if (record->cancelled) {
        refuse(key, *record, "cancelled", duration(0), now);
    } else if (!record->request.idempotent &&
        record->earlier_outcome != wire::outcome::none) {
        // The endpoint also rejects a query for an adopted task whose end
        // another coordinator has confirmed, so the task may have run.
        refuse(key, *record, "its end was lost", duration(0), now);
    } else if (record->request.body.empty() && record->overdue) {
        // The request was adopted without its body, so this coordinator can't
        // start it again; the caller has to resubmit it.
        refuse(key, *record, "its coordinator was lost", retry_when_full, now);
    } else {
        enqueue_again(key, *record, now);
    }
    start_queued(now);
}

void coordinator::receive(
    const vm_id& vm, const wire::TaskEndedT& message, instant now) {
    const task_id task(message.task);
    request_key key;
    request_record* record = find_task(task, key);
    if (record == nullptr || record->vm != vm) {
        // The end isn't confirmed here. The endpoint keeps listing the task
        // in its announcements, and adopt() decides whether the end is needed.
        release_lost(task);
        return;
    }
    schedule_confirmation(vm, task, key, now + options_.confirm_delay);
    const bool repeatable =
        record->request.idempotent && !record->cancelled && !record->overdue;
    const policy::end_verdict verdict = end_attempt(key, *record,
        {message.ok ? policy::task_end::kind::answered
                    : policy::task_end::kind::failed,
            now - record->started, repeatable},
        now);
    if (verdict.retried) {
        record->task = next_task();
        record->state = phase::queued;
        record->earlier_outcome = wire::outcome::failed;
        start_queued(now);
        return;
    }
    record->answer.body = message.body;
    record->answer.digest = message.digest;
    finish(key, *record,
        message.ok ? wire::outcome::answered : wire::outcome::failed,
        verdict.reason.empty()
            ? message.reason
            : absl::StrCat(message.reason, " (", verdict.reason, ")"),
        now);
    start_queued(now);
}

} // namespace dragonflymount::zone
