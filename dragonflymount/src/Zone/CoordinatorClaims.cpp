// Admission of requests to the queue, and the claims in the replicated log
// that let a non-idempotent request run in one zone only.
#include "dragonflymount/src/Zone/Coordinator.hpp"

#include <absl/strings/str_cat.h>

namespace dragonflymount::zone {

namespace {

constexpr duration retry_without_claims = std::chrono::seconds(2);
constexpr duration forward_interval = std::chrono::seconds(1);
constexpr duration claim_retry_interval = std::chrono::milliseconds(200);

} // namespace

void coordinator::admit_request(
    const request_key& key, request_record& record, instant now) {
    if (!recovered_) {
        record.state = phase::awaiting_recovery;
        return;
    }
    if (!rules_.services.contains(service_id(record.request.service))) {
        refuse(key, record,
            absl::StrCat("unknown service '", record.request.service, "'"),
            duration(0), now);
        return;
    }
    record.task = next_task();
    if (record.request.idempotent) {
        enqueue(key, record, now);
        return;
    }
    record.claim = record.task;
    record.state = phase::claiming;
    unclaimed_.push_back(key);
    // Without a pending batch the claim is sent at once. Otherwise claims are
    // collected until the reply arrives, to share one record of the log.
    const bool no_batch_pending = claim_batches_.empty();
    if (no_batch_pending ||
        unclaimed_.size() >= options_.max_claims_per_batch) {
        send_claims(now);
        return;
    }
    claims_due_ = std::min(claims_due_, now + options_.claim_delay);
}

task_id coordinator::next_task() {
    return task_id(epoch_.value() << 32U | next_task_++);
}

void coordinator::enqueue(
    const request_key& key, request_record& record, instant now) {
    record.state = phase::queued;
    const policy::admission_result admitted = dispatcher_.push(
        {key, service_id(record.request.service), record.deadline,
            record.request.urgent, record.request.body.size()},
        now);
    switch (admitted.verdict) {
    case policy::admission::queued:
        break;
    case policy::admission::unknown_service:
        refuse(key, record, "its service was removed", duration(0), now);
        break;
    case policy::admission::full:
        refuse(key, record, "the queue is full", admitted.retry_after, now);
        break;
    case policy::admission::late:
        refuse(key, record, "its deadline can't be met", admitted.retry_after,
            now);
        break;
    }
}

// An endpoint never runs a task id that it has rejected or ended, so the next
// attempt needs a new id.
void coordinator::enqueue_again(
    const request_key& key, request_record& record, instant now) {
    record.task = next_task();
    enqueue(key, record, now);
}

void coordinator::send_claims(instant) {
    claims_due_ = instant::max();
    if (unclaimed_.empty()) {
        return;
    }
    propose_claims action;
    action.batch = next_batch_++;
    action.command.zone = options_.zone.str();
    action.command.zone_epoch = epoch_.value();
    action.command.clean = endpoints_.all_clean();
    std::vector<request_key>& batch = claim_batches_[action.batch];
    while (
        !unclaimed_.empty() && batch.size() < options_.max_claims_per_batch) {
        const request_key key = std::move(unclaimed_.front());
        unclaimed_.pop_front();
        const auto found = requests_.find(key);
        if (found == requests_.end() ||
            found->second.state != phase::claiming) {
            continue;
        }
        auto wanted = std::make_unique<wire::ClaimT>();
        wanted->team = key.team.str();
        wanted->id = key.id;
        wanted->task = found->second.claim.value();
        action.command.claims.push_back(std::move(wanted));
        batch.push_back(key);
    }
    actions_.push_back(std::move(action));
}

void coordinator::receive_claims(
    std::uint64_t batch, const wire::ProposeReplyT& reply, instant now) {
    const auto found = claim_batches_.find(batch);
    if (found == claim_batches_.end()) {
        return;
    }
    const std::vector<request_key> keys = std::move(found->second);
    claim_batches_.erase(found);
    const bool answered = reply.result == wire::proposal_result::accepted &&
        reply.granted.size() == keys.size();
    for (std::size_t k = 0; k < keys.size(); ++k) {
        const auto held = requests_.find(keys[k]);
        if (held == requests_.end()) {
            continue;
        }
        request_record& record = held->second;
        const bool granted = answered && reply.granted[k] != 0;
        if (record.state != phase::claiming) {
            // The request was finished while its claim was pending. It never
            // ran, so the granted claim is ended as not_run.
            if (granted) {
                end_claim(keys[k], record.claim, wire::outcome::not_run);
            }
            continue;
        }
        if (!answered && now < zone_lease_end_) {
            // The proposal failed, for example because the leader changed.
            // Claims are idempotent, so the same claim is proposed again.
            unclaimed_.push_back(keys[k]);
            claims_due_ = now + claim_retry_interval;
        } else if (!answered) {
            refuse(keys[k], record, "no quorum to claim the request",
                retry_without_claims, now);
        } else if (granted) {
            enqueue(keys[k], record, now);
        } else {
            handle_denied_claim(keys[k], record, reply.owners[k], now);
        }
    }
    if (answered && claim_batches_.empty()) {
        send_claims(now);
    }
    start_queued(now);
}

// Forwards the request to the zone that holds the claim, which has the answer
// or will have it. A request that was itself forwarded, or that this zone
// claimed under an earlier task, ends with an unknown outcome.
void coordinator::handle_denied_claim(const request_key& key,
    request_record& record, const std::string& owner, instant now) {
    record.claim = task_id();
    record.earlier_outcome = wire::outcome::unknown;
    if (record.forwarded || owner == options_.zone.str()) {
        finish(key, record, wire::outcome::unknown,
            "claimed before, by zone " + owner, now);
        return;
    }
    record.state = phase::forwarded;
    forwarded_.insert(key);
    record.owner = availability_zone_id(owner);
    forward(record, now);
}

void coordinator::forward(request_record& record, instant now) {
    record.next_forward = now + forward_interval;
    wire::SubmitT submit;
    submit.request = std::make_unique<wire::RequestT>(record.request);
    submit.request->deadline_ms = to_wire_ms(record.deadline - now);
    submit.sent_before = true;
    submit.forwarded = true;
    actions_.push_back(
        send_zone{record.owner, wire::make_message(std::move(submit))});
}

void coordinator::receive_forwarded(const wire::AnswerT& answer, instant now) {
    const request_key key{team_id(answer.team), answer.id};
    const auto found = requests_.find(key);
    if (found == requests_.end() || found->second.state != phase::forwarded) {
        return;
    }
    request_record& record = found->second;
    record.answer.body = answer.body;
    record.answer.digest = answer.digest;
    record.answer.retry_after_ms = answer.retry_after_ms;
    finish(key, record, answer.outcome, answer.reason, now);
    record.answer.attempt = answer.attempt;
}

// ---- Ends of claims --------------------------------------------------------

void coordinator::end_claim(
    const request_key& key, task_id claim, wire::outcome outcome) {
    auto end = std::make_unique<wire::ClaimEndT>();
    end->team = key.team.str();
    end->id = key.id;
    end->task = claim.value();
    end->outcome = outcome;
    unrecorded_ends_.emplace(key, claim);
    ends_.ends.push_back(std::move(end));
}

void coordinator::send_ends() {
    if (ends_.ends.empty()) {
        return;
    }
    propose_ends action;
    action.batch = next_batch_++;
    action.command = std::move(ends_);
    action.command.zone = options_.zone.str();
    ends_ = wire::EndClaimsT();
    end_batches_.emplace(action.batch, action.command);
    actions_.push_back(std::move(action));
}

void coordinator::receive_ends(
    std::uint64_t batch, const wire::ProposeReplyT& reply) {
    const auto found = end_batches_.find(batch);
    if (found == end_batches_.end()) {
        return;
    }
    wire::EndClaimsT command = std::move(found->second);
    end_batches_.erase(found);
    for (auto& end : command.ends) {
        if (reply.result == wire::proposal_result::accepted) {
            unrecorded_ends_.erase(
                {{team_id(end->team), end->id}, task_id(end->task)});
        } else {
            ends_.ends.push_back(std::move(end));
        }
    }
}

bool coordinator::has_unrecorded_end(const request_key& key) const {
    const auto found = unrecorded_ends_.lower_bound({key, task_id()});
    return found != unrecorded_ends_.end() && found->first == key;
}

void coordinator::schedule_confirmation(
    const vm_id& vm, task_id task, const request_key& key, instant due) {
    const auto [held, inserted] =
        confirmations_[vm].try_emplace(task, confirmation{key, due});
    held->second.due = std::min(held->second.due, due);
}

} // namespace dragonflymount::zone
