// Connects to the leader, follows redirections and resends calls.
#include "programs/gateway/leader_client.hpp"

#include "dragonflymount/src/Core/MemoryShare.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <glog/logging.h>

#include <algorithm>

namespace dragonflymount::gateway_program {
namespace {

constexpr duration check_interval = std::chrono::milliseconds(100);
// Minimum time between connection attempts while the leader is unknown.
constexpr duration attempt_interval = std::chrono::milliseconds(150);
// If no connection opens within this time, the next replica is tried.
constexpr duration open_timeout = std::chrono::milliseconds(600);
// Longer than an election takes.
constexpr duration search_report_interval = std::chrono::seconds(5);

} // namespace

leader_client::leader_client(
    asio::io_context& context, leader_client_settings settings)
    : context_(context), settings_(std::move(settings)),
      timer_(context, check_interval, [this] { check_calls(); }) {}

result<done> leader_client::start() {
    list_replicas();
    leader_lost_at_ = runtime::system_clock::now();
    next_report_ = leader_lost_at_ + search_report_interval;
    if (!replicas_.empty()) {
        connect(replicas_.front());
    }
    timer_.start();
    return done{};
}

void leader_client::stop() {
    timer_.stop();
    link_.reset();
    replaced_links_.clear();
    const auto pending = std::move(pending_);
    pending_.clear();
    pending_bytes_ = 0;
    for (const auto& [correlation, call] : pending) {
        call.on_failure(failure_of(call));
    }
}

call_failure leader_client::failure_of(const pending_call& call) {
    return call.sent || call.maybe_executed ? call_failure::unanswered
                                            : call_failure::not_sent;
}

void leader_client::connect(const std::string& address) {
    if (link_) {
        link_->stop();
        replaced_links_.push_back(std::move(link_));
    }
    if (target_ != address) {
        VLOG(1) << "leader target=" << address << " before=" << target_;
    }
    for (auto& [correlation, call] : pending_) {
        call.maybe_executed = call.maybe_executed || call.sent;
        call.sent = false;
    }
    redirected_ = false;
    named_leader_.clear();
    target_ = address;
    connected_at_ = runtime::system_clock::now();
    next_attempt_ = connected_at_ + attempt_interval;
    link_ = std::make_unique<runtime::link>(
        context_, address, settings_.connections);
    link_->start([this](const auto&) { send_pending(); },
        [this](const auto&, wire::message&& content) {
            receive(std::move(content));
        },
        [](const auto&, const failure& error) {
            LOG(WARNING) << event::connection_failed << "leader "
                         << error.message();
        });
}

// The platform may list none while none serves; the earlier ones may come back.
void leader_client::set_seeds(std::vector<std::string> addresses) {
    if (addresses.empty()) {
        return;
    }
    settings_.replicas = std::move(addresses);
    list_replicas();
}

void leader_client::learn_members(const std::vector<std::string>& members) {
    if (!members.empty() && members != members_) {
        members_ = members;
        list_replicas();
    }
}

// The replicas of the settings stay in the list: all members that were named
// may be gone.
void leader_client::list_replicas() {
    replicas_ = members_;
    for (const std::string& seed : settings_.replicas) {
        if (std::find(replicas_.begin(), replicas_.end(), seed) ==
            replicas_.end()) {
            replicas_.push_back(seed);
        }
    }
    std::erase_if(attempts_, [this](const auto& attempt) {
        return std::find(replicas_.begin(), replicas_.end(), attempt.first) ==
            replicas_.end();
    });
}

void leader_client::note_attempt() {
    if (!link_) {
        return;
    }
    const char* const outcome = !link_->is_open() ? "unreachable"
        : redirected_                             ? "not_leader"
                                                  : "silent";
    attempts_[target_] = outcome;
    if (!redirected_) {
        unanswered_.insert(target_);
    }
}

// Tells a group without a leader from one that can't be found.
void leader_client::report_search(instant now) {
    if (reaches_leader_ || now < next_report_) {
        return;
    }
    next_report_ = now + search_report_interval;
    LOG(WARNING) << event::leader_unknown
                 << "without_us=" << (now - leader_lost_at_).count()
                 << " replicas="
                 << absl::StrJoin(replicas_, ",",
                        [this](std::string* out, const std::string& address) {
                            const auto found = attempts_.find(address);
                            absl::StrAppend(out, address, "=",
                                found == attempts_.end() ? "untried"
                                                         : found->second);
                        });
}

void leader_client::connect_next() {
    if (replicas_.empty()) {
        return;
    }
    const auto found = std::find(replicas_.begin(), replicas_.end(), target_);
    const bool last =
        found == replicas_.end() || std::next(found) == replicas_.end();
    if (last) {
        unanswered_.clear();
    }
    connect(last ? replicas_.front() : *std::next(found));
}

void leader_client::call(wire::JobCallT call, duration limit,
    reply_handler on_reply, failure_handler on_failure) {
    const instant now = runtime::system_clock::now();
    if (now >= last_reply_) {
        on_failure(call_failure::not_sent);
        return;
    }
    const std::uint64_t correlation = next_correlation_++;
    auto frame = std::make_shared<const bytes>(
        wire::encode_frame(wire::make_message(std::move(call), correlation)));
    if (!fits_share(frame->size(), pending_bytes_, settings_.call_memory)) {
        on_failure(call_failure::not_sent);
        return;
    }
    pending_bytes_ += frame->size();
    pending_call& added = pending_[correlation];
    added.frame = std::move(frame);
    added.on_reply = std::move(on_reply);
    added.on_failure = std::move(on_failure);
    added.started_at = now;
    added.deadline = std::min(now + limit, last_reply_);
    added.unsent_deadline =
        std::min(added.deadline, now + settings_.unsent_limit);
    send(added);
}

void leader_client::end_calls_at(instant last) {
    last_reply_ = last;
    for (auto& [correlation, call] : pending_) {
        call.deadline = std::min(call.deadline, last);
        call.unsent_deadline = std::min(call.unsent_deadline, last);
    }
}

void leader_client::send(pending_call& call) {
    if (link_ && link_->send(call.frame)) {
        call.sent = true;
        call.last_byte = link_->sent_bytes();
        call.waits_since = runtime::system_clock::now();
    }
}

leader_client::pending_call leader_client::remove(std::uint64_t correlation) {
    auto node = pending_.extract(correlation);
    pending_bytes_ -= node.mapped().frame->size();
    return std::move(node.mapped());
}

void leader_client::send_pending() {
    for (auto& [correlation, call] : pending_) {
        send(call);
    }
}

void leader_client::receive(wire::message&& content) {
    auto* reply = content.body.AsJobReply();
    const auto found = pending_.find(content.correlation);
    if (reply == nullptr || found == pending_.end()) {
        return;
    }
    if (reply->status == wire::job_status::not_leader ||
        reply->status == wire::job_status::interrupted) {
        redirect(found->second, *reply);
        return;
    }
    const pending_call call = remove(content.correlation);
    learn_members(reply->replicas);
    record_answer();
    // A refusal promises that the call never runs, but one sent before may.
    if (reply->status == wire::job_status::not_accepted &&
        call.maybe_executed) {
        call.on_failure(call_failure::unanswered);
        return;
    }
    call.on_reply(std::move(*reply));
}

void leader_client::redirect(pending_call& call, const wire::JobReplyT& reply) {
    call.sent = false;
    call.maybe_executed =
        call.maybe_executed || reply.status == wire::job_status::interrupted;
    redirected_ = true;
    learn_members(reply.replicas);
    if (reply.leader_address == target_ ||
        unanswered_.contains(reply.leader_address)) {
        return;
    }
    named_leader_ = reply.leader_address;
    if (!named_leader_.empty() &&
        runtime::system_clock::now() >= next_attempt_) {
        note_attempt();
        connect(std::string(named_leader_));
    }
}

// A large call, or one behind it, may be on a slow link for longer than an
// answer may take.
void leader_client::note_deliveries(instant now) {
    const std::uint64_t before = delivered_;
    delivered_ = link_ ? link_->delivered_bytes() : 0;
    if (delivered_ == before) {
        return;
    }
    for (auto& [correlation, call] : pending_) {
        if (call.sent && call.last_byte > delivered_) {
            call.waits_since = now;
        }
    }
}

void leader_client::check_calls() {
    replaced_links_.clear();
    const instant now = runtime::system_clock::now();
    note_deliveries(now);
    std::vector<std::uint64_t> failed;
    bool overdue = false;
    for (const auto& [correlation, call] : pending_) {
        const bool not_executed = failure_of(call) == call_failure::not_sent;
        if (now >= (not_executed ? call.unsent_deadline : call.deadline)) {
            failed.push_back(correlation);
        }
        overdue = overdue ||
            (call.sent && now - call.waits_since >= settings_.answer_timeout);
    }
    const bool open_timed_out =
        (!link_ || !link_->is_open()) && now - connected_at_ >= open_timeout;
    if ((overdue || open_timed_out || redirected_) && now >= next_attempt_) {
        note_attempt();
        if (named_leader_.empty()) {
            connect_next();
        } else {
            connect(std::string(named_leader_));
        }
    }
    for (const std::uint64_t correlation : failed) {
        const pending_call call = remove(correlation);
        record_failure(call, now);
        call.on_failure(failure_of(call));
    }
    report_search(now);
    if (!reaches_leader_ && now >= next_probe_) {
        next_probe_ = now + settings_.probe_interval;
        probe();
    }
}

void leader_client::record_answer() {
    unanswered_.clear();
    if (!reaches_leader_) {
        reaches_leader_ = true;
        LOG(INFO) << event::leader_elected << "target=" << target_
                  << " without_us="
                  << (runtime::system_clock::now() - leader_lost_at_).count();
    }
}

// A call with a time limit below unsent_limit may fail during an ordinary
// election, so its failure isn't evidence that the leader is lost.
void leader_client::record_failure(const pending_call& call, instant now) {
    if (reaches_leader_ && now - call.started_at >= settings_.unsent_limit) {
        reaches_leader_ = false;
        leader_lost_at_ = now;
        LOG(WARNING) << event::leader_lost << "target=" << target_ << " link="
                     << (link_ && link_->is_open() ? "open" : "closed");
        next_report_ = now + search_report_interval;
    }
}

// Sends a read without a job id. Any reply except a redirection shows that the
// target leads.
void leader_client::probe() {
    wire::JobCallT call;
    call.verb = wire::job_verb::read;
    this->call(
        std::move(call), settings_.unsent_limit, [](wire::JobReplyT&&) {},
        [](call_failure) {});
}

} // namespace dragonflymount::gateway_program
