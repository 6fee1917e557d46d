// Admits calls by their key, sends them to the coordinator and returns the
// answers.
#include "dragonflymount/src/Zone/Face.hpp"

namespace dragonflymount::zone {
namespace {

constexpr duration retry_when_stale = std::chrono::seconds(2);
constexpr duration retry_when_full = std::chrono::seconds(1);

request_key key_of(const wire::RequestT& request) {
    return {team_id(request.team), request.id};
}

} // namespace

template <class Content>
void face::send(Content content) {
    actions_.push_back(
        send_coordinator{wire::make_message(std::move(content))});
}

std::optional<team_id> face::admit(const std::string& key) const {
    const std::string digest = key_digest(key);
    const auto found = rules_.keys.find(digest);
    if (found == rules_.keys.end() || withdrawn_.contains(digest)) {
        return std::nullopt;
    }
    return found->second;
}

void face::refuse(call_id caller, const wire::RequestT& request,
    std::string reason, duration retry_after) {
    wire::AnswerT answer;
    answer.team = request.team;
    answer.id = request.id;
    answer.outcome = wire::outcome::not_run;
    answer.reason = std::move(reason);
    answer.retry_after_ms = to_wire_ms(retry_after);
    actions_.push_back(reply_caller{caller, std::move(answer)});
}

void face::submit(call_id caller, call content, instant now) {
    wire::RequestT& request = content.request;
    if (!is_fresh(now)) {
        refuse(caller, request, "this entry's rules are not fresh",
            retry_when_stale);
        return;
    }
    const std::optional<team_id> team = admit(content.key);
    if (!team) {
        actions_.push_back(reject_key{caller});
        return;
    }
    request.team = team->str();
    const request_key key = key_of(request);
    const auto found = waiting_.find(key);
    if (found != waiting_.end()) {
        found->second.callers.insert(caller);
        return;
    }
    if (waiting_.size() >= options_.max_waiting) {
        refuse(caller, request, "this entry is full", retry_when_full);
        return;
    }
    pending_request& pending = waiting_[key];
    pending.deadline = now + from_wire_ms(request.deadline_ms);
    pending.request = std::move(request);
    pending.asynchronous = content.asynchronous;
    pending.callers.insert(caller);
    send_request(pending, now);
}

void face::fetch(call_id caller, const std::string& key, const std::string& id,
    instant now) {
    const std::optional<team_id> team = admit(key);
    if (!team) {
        actions_.push_back(reject_key{caller});
        return;
    }
    pending_request& pending = waiting_[{*team, id}];
    pending.callers.insert(caller);
    if (pending.callers.size() > 1) {
        return;
    }
    pending.is_fetch = true;
    pending.request.team = team->str();
    pending.request.id = id;
    pending.deadline = now + options_.answer_grace;
    send_request(pending, now);
}

void face::cancel(call_id caller, const std::string& key, const std::string& id,
    instant now) {
    fetch(caller, key, id, now);
    if (const std::optional<team_id> team = admit(key)) {
        wire::CancelT cancellation;
        cancellation.team = team->str();
        cancellation.id = id;
        send(std::move(cancellation));
    }
}

void face::send_request(pending_request& pending, instant now) {
    pending.next_send = now + options_.resend_interval;
    if (pending.is_fetch) {
        wire::FetchT fetch;
        fetch.team = pending.request.team;
        fetch.id = pending.request.id;
        send(std::move(fetch));
        return;
    }
    wire::SubmitT submit;
    submit.request = std::make_unique<wire::RequestT>(pending.request);
    submit.request->deadline_ms = to_wire_ms(pending.deadline - now);
    submit.asynchronous = pending.asynchronous;
    if (pending.first_epoch == zone_epoch()) {
        pending.first_epoch = coordinator_epoch_;
    }
    submit.zone_epoch = coordinator_epoch_.value();
    submit.sent_before = pending.first_epoch != coordinator_epoch_;
    send(std::move(submit));
}

void face::receive(const wire::AnswerT& answer, instant) {
    const auto found = waiting_.find({team_id(answer.team), answer.id});
    if (found == waiting_.end()) {
        return;
    }
    for (const call_id caller : found->second.callers) {
        actions_.push_back(reply_caller{caller, answer});
    }
    waiting_.erase(found);
}

void face::receive(const wire::PendingT& pending, instant) {
    const auto found = waiting_.find({team_id(pending.team), pending.id});
    if (found == waiting_.end()) {
        return;
    }
    if (!found->second.asynchronous && !found->second.is_fetch) {
        return;
    }
    for (const call_id caller : found->second.callers) {
        actions_.push_back(reply_pending{caller});
    }
    waiting_.erase(found);
}

void face::receive(const wire::EntryLeaseT& lease, instant sent, instant now) {
    const rules_version version(lease.rules_version);
    // A delayed lease must not restore an earlier version of the rules.
    if (version < version_) {
        return;
    }
    if (version > version_ && !lease.rules.empty()) {
        rules::parse_result parsed = rules::parse(lease.rules);
        if (!parsed.ok()) {
            return;
        }
        rules_ = std::move(parsed.rules);
        version_ = version;
    }
    for (const std::string& digest : lease.withdrawn) {
        withdrawn_.insert(digest);
    }
    if (version == version_ && version > rules_version()) {
        fresh_until_ =
            std::max(fresh_until_, sent + from_wire_ms(lease.fresh_ms));
    }
    static_cast<void>(now);
}

void face::withdraw(const std::string& digest) {
    withdrawn_.insert(digest);
}

void face::tick(instant now) {
    for (auto position = waiting_.begin(); position != waiting_.end();) {
        pending_request& pending = position->second;
        if (now >= pending.deadline + options_.answer_grace) {
            wire::AnswerT answer;
            answer.team = pending.request.team;
            answer.id = pending.request.id;
            answer.outcome = wire::outcome::unknown;
            answer.reason = "no word from the zone's coordinator";
            for (const call_id caller : pending.callers) {
                actions_.push_back(reply_caller{caller, answer});
            }
            position = waiting_.erase(position);
            continue;
        }
        if (now >= pending.next_send) {
            send_request(pending, now);
        }
        ++position;
    }
}

void face::follow(zone_epoch epoch, instant now) {
    coordinator_epoch_ = epoch;
    resend_all(now);
}

void face::resend_all(instant now) {
    for (auto& [key, pending] : waiting_) {
        send_request(pending, now);
    }
}

std::vector<face_action> face::take_actions() {
    std::vector<face_action> taken = std::move(actions_);
    actions_.clear();
    return taken;
}

} // namespace dragonflymount::zone
