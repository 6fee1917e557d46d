// Messages and actions of one entry.
#include "programs/entry/coordination/node.hpp"

#include <nlohmann/json.hpp>

namespace dragonflymount::entry_program {
namespace {

constexpr duration tick_interval = std::chrono::milliseconds(5);

/// Another entry may take the request at once; this is the pace of a caller
/// that knows no other.
constexpr duration retry_when_stopping = std::chrono::milliseconds(200);

/// Requests of this process's own face come from this origin.
constexpr zone::origin_id local_origin{0};

zone::face_options make_face_options(const node_settings& settings) {
    zone::face_options options;
    options.self = settings.self;
    options.zone = settings.zone;
    return options;
}

} // namespace

node::node(
    asio::io_context& context, node_settings settings, control_client& control)
    : context_(context), settings_(std::move(settings)), control_(control),
      timer_(context, tick_interval, [this] { tick(); }),
      face_(make_face_options(settings_)),
      incarnation_(runtime::wall_time_ms()) {}

result<done> node::start() {
    control_.set_handlers([this] { return build_beat(); },
        [this](const wire::EntryLeaseT& lease, instant sent) {
            receive_lease(lease, sent);
        });
    timer_.start();
    return done{};
}

void node::stop() {
    timer_.stop();
    coordinator_link_.reset();
    zone_links_.clear();
}

// ---- Callers ---------------------------------------------------------------

zone::call_id node::add_call(call_handler handler) {
    const zone::call_id caller(next_call_++);
    calls_[caller] = {std::move(handler), runtime::system_clock::now()};
    return caller;
}

void node::finish_call(zone::call_id caller, call_result result) {
    const auto found = calls_.find(caller);
    if (found == calls_.end()) {
        return;
    }
    if (result.type == call_result::kind::answer) {
        ++outcomes_[result.answer.outcome];
        call_times_.add(runtime::system_clock::now() - found->second.begin);
        log_outcome(result.answer);
    }
    const call_handler handler = std::move(found->second.handler);
    calls_.erase(found);
    handler(std::move(result));
}

void node::log_outcome(const wire::AnswerT& answer) const {
    if (answer.outcome == wire::outcome::unknown) {
        LOG(WARNING) << event::request_unknown << "team=" << answer.team
                     << " id=" << answer.id << " reason=" << answer.reason;
    } else if (answer.outcome == wire::outcome::not_run) {
        VLOG(1) << event::request_refused << "team=" << answer.team
                << " id=" << answer.id << " reason=" << answer.reason;
    }
}

void node::submit(zone::call content, call_handler on_result) {
    const zone::call_id caller = add_call(std::move(on_result));
    if (on_drained_) {
        wire::AnswerT answer;
        answer.id = content.request.id;
        answer.outcome = wire::outcome::not_run;
        answer.reason = "this entry is stopping";
        answer.retry_after_ms = to_wire_ms(retry_when_stopping);
        finish_call(caller, {call_result::kind::answer, std::move(answer)});
        return;
    }
    face_.submit(caller, std::move(content), runtime::system_clock::now());
    run_actions();
}

void node::fetch(
    const std::string& key, const std::string& id, call_handler on_result) {
    face_.fetch(
        add_call(std::move(on_result)), key, id, runtime::system_clock::now());
    run_actions();
}

void node::cancel(
    const std::string& key, const std::string& id, call_handler on_result) {
    face_.cancel(
        add_call(std::move(on_result)), key, id, runtime::system_clock::now());
    run_actions();
}

// ---- Actions ---------------------------------------------------------------

void node::tick() {
    const instant now = runtime::system_clock::now();
    face_.tick(now);
    const bool fresh = face_.is_fresh(now);
    if (was_fresh_ && !fresh) {
        LOG(WARNING) << event::lease_expired << "entry=" << settings_.self
                     << " lease=freshness";
    }
    was_fresh_ = fresh;
    if (coordinator_) {
        coordinator_->tick(now);
    }
    run_actions();
    check_drained();
}

void node::run_actions() {
    // Actions of one core can bring about actions of the other.
    while (true) {
        std::vector<zone::face_action> from_face = face_.take_actions();
        std::vector<zone::coordinator_action> from_coordinator;
        if (coordinator_) {
            from_coordinator = coordinator_->take_actions();
        }
        if (from_face.empty() && from_coordinator.empty()) {
            return;
        }
        for (zone::face_action& action : from_face) {
            run(action);
        }
        for (zone::coordinator_action& action : from_coordinator) {
            run(action);
        }
    }
}

void node::run(zone::face_action& action) {
    if (auto* reply = std::get_if<zone::reply_caller>(&action)) {
        finish_call(reply->caller,
            {call_result::kind::answer, std::move(reply->answer)});
    } else if (const auto* pending =
                   std::get_if<zone::reply_pending>(&action)) {
        finish_call(pending->caller, {call_result::kind::pending, {}});
    } else if (const auto* rejected = std::get_if<zone::reject_key>(&action)) {
        finish_call(rejected->caller, {call_result::kind::rejected, {}});
    } else if (auto* message = std::get_if<zone::send_coordinator>(&action)) {
        send_to_coordinator(std::move(message->content));
    }
}

void node::run(zone::coordinator_action& action) {
    const instant now = runtime::system_clock::now();
    if (auto* message = std::get_if<zone::send_origin>(&action)) {
        if (message->origin == local_origin) {
            if (const auto* answer = message->content.body.AsAnswer()) {
                face_.receive(*answer, now);
            } else if (const auto* wait = message->content.body.AsPending()) {
                face_.receive(*wait, now);
            }
            return;
        }
        const auto found = origins_.find(message->origin);
        if (found != origins_.end()) {
            found->second->send(message->content);
        }
    } else if (auto* order = std::get_if<zone::send_endpoint>(&action)) {
        const auto found = endpoints_.find(order->vm);
        if (found != endpoints_.end()) {
            found->second->send(order->content);
        }
    } else if (auto* claims = std::get_if<zone::propose_claims>(&action)) {
        const std::uint64_t batch = claims->batch;
        const zone_epoch epoch = coordinator_->epoch();
        control_.propose(wire::encode_command(std::move(claims->command)),
            [this, batch, epoch](const wire::ProposeReplyT& reply) {
                if (reply.result != wire::proposal_result::accepted) {
                    LOG(WARNING) << event::claim_refused << "batch=" << batch
                                 << " result="
                                 << wire::EnumNameproposal_result(reply.result);
                }
                if (coordinator_ && coordinator_->epoch() == epoch) {
                    coordinator_->receive_claims(
                        batch, reply, runtime::system_clock::now());
                    // The reply can come while actions are being carried out.
                    asio::post(context_, [this] { run_actions(); });
                }
            });
    } else if (auto* ends = std::get_if<zone::propose_ends>(&action)) {
        const std::uint64_t batch = ends->batch;
        const zone_epoch epoch = coordinator_->epoch();
        control_.propose(wire::encode_command(std::move(ends->command)),
            [this, batch, epoch](const wire::ProposeReplyT& reply) {
                if (coordinator_ && coordinator_->epoch() == epoch) {
                    coordinator_->receive_ends(batch, reply);
                }
            });
    } else if (auto* forwarded = std::get_if<zone::send_zone>(&action)) {
        send_to_zone(forwarded->zone, forwarded->content);
    }
}

void node::send_to_coordinator(wire::message&& content) {
    if (coordinator_) {
        receive_for_coordinator(local_origin, content);
    } else if (coordinator_link_) {
        coordinator_link_->send(content);
    }
}

void node::send_to_zone(
    const availability_zone_id& zone, const wire::message& content) {
    const auto route = routes_.find(zone);
    if (route == routes_.end()) {
        return;
    }
    zone_link& held = zone_links_[zone];
    if (held.address != route->second) {
        held.address = route->second;
        held.link = std::make_unique<runtime::link>(
            context_, held.address, settings_.connections);
        held.link->start([](const auto&) {},
            [this](const auto&, wire::message&& reply) {
                const auto* answer = reply.body.AsAnswer();
                if (answer != nullptr && coordinator_) {
                    coordinator_->receive_forwarded(
                        *answer, runtime::system_clock::now());
                    run_actions();
                }
            },
            [](const auto&, const failure&) {});
    }
    held.link->send(content);
}

void node::receive_for_coordinator(
    zone::origin_id origin, const wire::message& content) {
    const instant now = runtime::system_clock::now();
    if (const auto* submit = content.body.AsSubmit()) {
        coordinator_->submit(origin, *submit, now);
    } else if (const auto* fetch = content.body.AsFetch()) {
        coordinator_->fetch(origin, *fetch, now);
    } else if (const auto* cancel = content.body.AsCancel()) {
        coordinator_->cancel(*cancel, now);
    }
}

// ---- Other processes -------------------------------------------------------

void node::receive(
    const runtime::connection::pointer& from, wire::message&& content) {
    switch (content.body.type) {
    case wire::Body::Submit:
    case wire::Body::Fetch:
    case wire::Body::Cancel:
        if (coordinator_) {
            const zone::origin_id origin(from->number());
            origins_[origin] = from;
            receive_for_coordinator(origin, content);
        }
        break;
    case wire::Body::Query: {
        wire::QueryReplyT reply;
        reply.ok = content.body.AsQuery()->subject == "dump";
        reply.json = describe();
        from->send(wire::make_message(std::move(reply), content.correlation));
        break;
    }
    case wire::Body::Withdraw:
        withdraw(from, content.correlation, *content.body.AsWithdraw());
        break;
    default:
        receive_endpoint(from, content);
    }
    run_actions();
}

void node::withdraw(const runtime::connection::pointer& from,
    std::uint64_t correlation, const wire::WithdrawT& withdrawal) {
    wire::ProposeReplyT reply;
    reply.detail = settings_.self.str();
    if (is_key_digest(withdrawal.digest)) {
        face_.withdraw(withdrawal.digest);
        LOG(INFO) << event::key_withdrawn << "digest=" << withdrawal.digest
                  << " author=" << withdrawal.author;
    } else {
        reply.result = wire::proposal_result::refused;
        reply.detail = "expected 64 hexadecimal digits";
    }
    from->send(wire::make_message(std::move(reply), correlation));
}

void node::log_announce(const wire::AnnounceT& announce) {
    const vm_id vm(announce.vm);
    if (!endpoints_.contains(vm)) {
        LOG(INFO) << event::endpoint_joined << "vm=" << vm;
    }
    if (!announce.leaving) {
        leaving_.erase(vm);
    } else if (leaving_.insert(vm).second) {
        LOG(INFO) << event::endpoint_leaving << "vm=" << vm;
    }
}

void node::receive_endpoint(
    const runtime::connection::pointer& from, const wire::message& content) {
    const instant now = runtime::system_clock::now();
    if (const auto* announce = content.body.AsAnnounce()) {
        const vm_id vm(announce->vm);
        log_announce(*announce);
        endpoints_[vm] = from;
        endpoint_names_[from->number()] = vm;
        wire::AnnounceReplyT reply;
        if (coordinator_) {
            reply = coordinator_->announce(*announce, now);
        }
        from->send(wire::make_message(std::move(reply), content.correlation));
        return;
    }
    const auto found = endpoint_names_.find(from->number());
    if (found == endpoint_names_.end() || !coordinator_) {
        return;
    }
    if (const auto* ended = content.body.AsTaskEnded()) {
        coordinator_->receive(found->second, *ended, now);
    } else if (const auto* rejected = content.body.AsTaskRejected()) {
        LOG(INFO) << event::task_rejected << "vm=" << found->second
                  << " task=" << rejected->task
                  << " reason=" << rejected->reason;
        coordinator_->receive(found->second, *rejected, now);
    }
}

void node::disconnect(const runtime::connection::pointer& closed) {
    origins_.erase(zone::origin_id(closed->number()));
    const auto found = endpoint_names_.find(closed->number());
    if (found == endpoint_names_.end()) {
        return;
    }
    const vm_id vm = found->second;
    endpoint_names_.erase(found);
    const auto current = endpoints_.find(vm);
    if (current == endpoints_.end() || current->second != closed) {
        return;
    }
    endpoints_.erase(current);
    leaving_.erase(vm);
    LOG(INFO) << event::endpoint_lost << "vm=" << vm;
    if (coordinator_) {
        coordinator_->disconnect(vm);
    }
}

// ---- Control ---------------------------------------------------------------

wire::EntryBeatT node::build_beat() const {
    wire::EntryBeatT beat;
    beat.entry = settings_.self.str();
    beat.zone = settings_.zone.str();
    beat.address = settings_.address;
    beat.incarnation = incarnation_;
    beat.rules_version = face_.version().value();
    beat.withdrawals = static_cast<std::uint32_t>(face_.withdrawals());
    beat.stopping = static_cast<bool>(on_drained_);
    if (coordinator_) {
        coordinator_->report(beat);
    }
    return beat;
}

void node::receive_lease(const wire::EntryLeaseT& lease, instant sent) {
    const instant now = runtime::system_clock::now();
    const rules_version before = face_.version();
    face_.receive(lease, sent, now);
    if (face_.version() != before) {
        LOG(INFO) << event::rules_in_force << "entry=" << settings_.self
                  << " version=" << face_.version();
    }
    for (const auto& route : lease.routes) {
        routes_[availability_zone_id(route->zone)] = route->address;
    }
    follow_coordinator(lease);
    if (coordinator_) {
        const bool was_recovered = coordinator_->is_recovered();
        coordinator_->receive(lease, face_.rules(), sent, now);
        if (!was_recovered && coordinator_->is_recovered()) {
            LOG(INFO) << event::tasks_adopted << "zone=" << settings_.zone
                      << " running=" << coordinator_->running();
        }
    }
    run_actions();
}

void node::follow_coordinator(const wire::EntryLeaseT& lease) {
    const zone_epoch epoch(lease.zone_epoch);
    if (epoch <= coordinator_epoch_) {
        return;
    }
    coordinator_epoch_ = epoch;
    coordinator_.reset();
    coordinator_link_.reset();
    const instant now = runtime::system_clock::now();
    if (lease.coordinator == settings_.self.str()) {
        LOG(INFO) << event::coordinator_appointed << "zone=" << settings_.zone
                  << " entry=" << settings_.self << " epoch=" << epoch;
        zone::coordinator_options options = settings_.coordinator;
        options.self = settings_.self;
        options.zone = settings_.zone;
        coordinator_ =
            std::make_unique<zone::coordinator>(std::move(options), epoch, now);
        face_.follow(epoch, now);
        return;
    }
    face_.follow(epoch, now);
    for (const auto& route : lease.routes) {
        if (route->zone != settings_.zone.str()) {
            continue;
        }
        coordinator_link_ = std::make_unique<runtime::link>(
            context_, route->address, settings_.connections);
        coordinator_link_->start(
            [this](const auto&) {
                face_.resend_all(runtime::system_clock::now());
                run_actions();
            },
            [this](const auto&, wire::message&& content) {
                const instant arrived = runtime::system_clock::now();
                if (const auto* answer = content.body.AsAnswer()) {
                    face_.receive(*answer, arrived);
                } else if (const auto* wait = content.body.AsPending()) {
                    face_.receive(*wait, arrived);
                }
                run_actions();
            },
            [](const auto&, const failure&) {});
    }
}

// ---- Stop ------------------------------------------------------------------

void node::drain(std::function<void()> on_drained) {
    if (on_drained_) {
        return;
    }
    on_drained_ = std::move(on_drained);
    drain_deadline_ = runtime::system_clock::now() + settings_.drain_limit;
    // The leader appoints another entry as soon as it hears of the stop.
    control_.beat();
}

void node::check_drained() {
    if (!on_drained_) {
        return;
    }
    const bool idle = calls_.empty() && !coordinator_;
    const bool alone = coordinator_ && calls_.empty() &&
        coordinator_->running() == 0 && coordinator_->queued() == 0;
    if (idle || alone || runtime::system_clock::now() >= drain_deadline_) {
        const auto handler = std::move(on_drained_);
        on_drained_ = [] {};
        handler();
    }
}

// ---- State for people ------------------------------------------------------

std::string node::describe() const {
    nlohmann::json content{{"entry", settings_.self.str()},
        {"zone", settings_.zone.str()}, {"version", face_.version().value()},
        {"fresh", face_.is_fresh(runtime::system_clock::now())},
        {"waiting", face_.waiting()}, {"endpoints", endpoints_.size()},
        {"coordinator", is_coordinator()},
        {"epoch", coordinator_epoch_.value()}};
    if (coordinator_) {
        content["recovered"] = coordinator_->is_recovered();
        content["queued"] = coordinator_->queued();
        content["running"] = coordinator_->running();
    }
    return content.dump();
}

} // namespace dragonflymount::entry_program
