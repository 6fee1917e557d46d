// The processes of the test site: runs their timers, and carries out the
// actions that the faces and coordinators return.
#include "tests/zone/site.hpp"

#include <absl/strings/str_cat.h>

namespace dragonflymount::testing_site {
namespace {

constexpr duration beat_interval = std::chrono::milliseconds(500);
constexpr duration announce_interval = std::chrono::seconds(1);
constexpr duration proposal_timeout = std::chrono::seconds(2);
constexpr duration withdrawal_bound = std::chrono::seconds(5);
constexpr duration leaving_bound = std::chrono::seconds(3);
const process_name control_name = "control";

} // namespace

// ---- Processes -------------------------------------------------------------

void site::tick(const process_name& name) {
    if (const auto found = endpoints_.find(name); found != endpoints_.end()) {
        fake_endpoint& self = found->second;
        for (wire::TaskEndedT& ended : self.tick(now_)) {
            report_step("task ended", name, self.coordinator);
            send(name, self.coordinator, wire::make_message(std::move(ended)));
        }
        if (now_.time_since_epoch() % announce_interval < step) {
            for (const auto& [entry, process] : entries_) {
                if (process.zone == self.zone) {
                    send(name, entry,
                        wire::make_message(self.announcement(now_)));
                }
            }
        }
        return;
    }
    entry_process& self = entries_.at(name);
    self.face->tick(now_);
    std::erase_if(self.proposals, [&](const auto& held) {
        if (now_ < held.second.second) {
            return false;
        }
        wire::ProposeReplyT reply;
        reply.result = wire::proposal_result::unavailable;
        if (self.coordinator) {
            self.coordinator->receive_claims(held.second.first, reply, now_);
            self.coordinator->receive_ends(held.second.first, reply);
        }
        return true;
    });
    if (self.coordinator) {
        const bool before = self.coordinator->is_recovered();
        self.coordinator->tick(now_);
        if (!before && self.coordinator->is_recovered()) {
            report_step("recovered", name, name);
        }
    }
    if (now_ >= self.next_beat) {
        self.next_beat = now_ + beat_interval;
        wire::EntryBeatT beat;
        beat.entry = name;
        beat.zone = self.zone.str();
        beat.address = name;
        beat.incarnation = self.incarnation;
        beat.rules_version = self.face->version().value();
        if (self.coordinator) {
            self.coordinator->report(beat);
        }
        self.beats[next_correlation_] = now_;
        send(name, control_name,
            wire::make_message(std::move(beat), next_correlation_++));
    }
    run_actions(name);
}

void site::run_actions(const process_name& name) {
    entry_process& self = entries_.at(name);
    while (!crashed_.contains(name)) {
        std::vector<zone::face_action> from_face = self.face->take_actions();
        std::vector<zone::coordinator_action> from_coordinator;
        if (self.coordinator) {
            from_coordinator = self.coordinator->take_actions();
        }
        if (from_face.empty() && from_coordinator.empty()) {
            return;
        }
        for (zone::face_action& action : from_face) {
            run(name, action);
        }
        for (zone::coordinator_action& action : from_coordinator) {
            run(name, action);
        }
    }
}

void site::run(const process_name& name, zone::face_action& action) {
    if (crashed_.contains(name)) {
        return;
    }
    if (auto* message = std::get_if<zone::send_coordinator>(&action)) {
        const process_name to = entries_.at(name).coordinator_name;
        if (!to.empty()) {
            if (message->content.body.type == wire::Body::Submit &&
                withdrawn_.contains("archive-key") &&
                now_ > withdrawn_["archive-key"] + withdrawal_bound &&
                callers_.back().key.id ==
                    message->content.body.AsSubmit()->request->id) {
                add_violation("request accepted with a withdrawn key");
            }
            send(name, to, message->content);
        }
        return;
    }
    if (const auto* pending = std::get_if<zone::reply_pending>(&action)) {
        callers_.at(pending->caller.value()).pending = true;
        return;
    }
    const auto* reply = std::get_if<zone::reply_caller>(&action);
    if (reply == nullptr) {
        return;
    }
    report_step("answer sent", name, name);
    caller_record& waiting = callers_.at(reply->caller.value());
    const wire::AnswerT& answer = reply->answer;
    if (waiting.answer) {
        add_violation("second answer to the caller of " + waiting.key.id);
    }
    waiting.answer = answer;
    if (answer.id != waiting.key.id ||
        (answer.outcome == wire::outcome::answered &&
            to_text(answer.body) != waiting.key.id)) {
        add_violation("answer of another request for " + waiting.key.id);
    }
    if (answer.outcome == wire::outcome::not_run) {
        not_run_.insert({waiting.zone, waiting.key.id});
    }
}

template <class Command>
void site::propose(
    const process_name& name, std::uint64_t batch, Command command) {
    entries_.at(name).proposals[next_correlation_] = {
        batch, now_ + proposal_timeout};
    wire::ProposeT proposal;
    proposal.command = wire::encode_command(std::move(command));
    send(name, control_name,
        wire::make_message(std::move(proposal), next_correlation_++));
}

void site::run(const process_name& name, zone::coordinator_action& action) {
    if (crashed_.contains(name)) {
        return;
    }
    if (auto* to_origin = std::get_if<zone::send_origin>(&action)) {
        send(name, origins_.at(to_origin->origin.value()), to_origin->content);
    } else if (auto* order = std::get_if<zone::send_endpoint>(&action)) {
        const process_name to = order->vm.str();
        if (order->content.body.type == wire::Body::StartTask) {
            report_step("start sent", name, to);
            const fake_endpoint& target = endpoints_.at(to);
            if (target.leaving && now_ > target.leaving_since + leaving_bound) {
                add_violation("task started on a leaving endpoint");
            }
            if (now_ > last_heard_[name + to] + leaving_bound) {
                add_violation("task started on a silent endpoint");
            }
        }
        send(name, to, order->content);
    } else if (auto* claims = std::get_if<zone::propose_claims>(&action)) {
        report_step("claim proposed", name, control_name);
        propose(name, claims->batch, std::move(claims->command));
    } else if (auto* ends = std::get_if<zone::propose_ends>(&action)) {
        propose(name, ends->batch, std::move(ends->command));
    } else if (auto* forwarded = std::get_if<zone::send_zone>(&action)) {
        const process_name to = coordinator_of(forwarded->zone.str());
        if (!to.empty()) {
            send(name, to, forwarded->content);
        }
    }
}

} // namespace dragonflymount::testing_site
