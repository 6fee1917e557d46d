// Connects the replica, the engine, the timer and the connections of gateways
// and other replicas.
#include "programs/scheduler/scheduler.hpp"

namespace dragonflymount::scheduler_program {
namespace {

// Interval between checks of leases and of held reports.
constexpr duration tick_interval = std::chrono::milliseconds(40);

// Far less than the time within which a replica catches up.
constexpr duration report_interval = std::chrono::milliseconds(200);

// Numbers of connections that are stored. Those of closed ones are dropped with
// the rest when there are so many, and the open ones are told once more.
constexpr std::size_t most_told = 4096;

agreement::member self_of(const scheduler_settings& settings) {
    agreement::member self;
    self.id = settings.replica.options.self;
    self.address = settings.listen;
    return self;
}

} // namespace

scheduler::scheduler(asio::io_context& context, scheduler_settings settings)
    : context_(context), settings_(std::move(settings)),
      replica_(context, settings_.replica),
      engine_(replica_.agreed(), settings_.engine),
      decisions_(replica_.agreed()),
      members_(replica_, self_of(settings_), settings_.voters),
      report_(settings_.catch_up),
      listener_(context, settings_.replica.connections),
      timer_(context, tick_interval, [this] { tick(); }) {
    replica_.on_leadership([this](bool leads) { change_leadership(leads); });
}

result<done> scheduler::start() {
    result<done> status = replica_.start();
    if (!status) {
        return status;
    }
    status = listener_.start(
        settings_.listen,
        [this](const auto& from, wire::message&& content) {
            receive(from, std::move(content));
        },
        [](const auto&, const failure& error) {
            VLOG(1) << event::connection_failed << error.message();
        });
    if (status) {
        timer_.start();
    }
    return status;
}

void scheduler::stop() {
    timer_.stop();
    listener_.stop();
    engine_.resign();
    replica_.stop();
}

bool scheduler::is_ready() {
    replica_.refresh();
    return engine_.leads() && replica_.is_current_leader();
}

void scheduler::change_leadership(bool leads) {
    if (leads) {
        report_reform();
        engine_.lead(replica_.replica().term(), runtime::system_clock::now());
    } else {
        engine_.resign();
    }
    if (on_leadership_) {
        on_leadership_(leads);
    }
}

void scheduler::report_reform() const {
    const auto& lost = replica_.replica().seats_given_up();
    if (!lost.empty()) {
        LOG(WARNING) << event::group_reformed
                     << "replica=" << replica_.replica().self()
                     << " term=" << replica_.replica().term()
                     << " last_index=" << replica_.replica().last_index()
                     << " lost=" << list_of(lost);
    }
}

void scheduler::propose_batch() {
    // Handlers that run during a proposal may call this function again. Their
    // decisions are proposed after this batch completes.
    if (proposing_ || !engine_.leads()) {
        return;
    }
    proposing_ = true;
    const load_log::scope measured(load_, work::batches);
    const instant proposed = runtime::system_clock::now();
    if (auto batch = engine_.take_batch(proposed, runtime::wall_time_ms())) {
        // Encoding consumes the batch; this copy is logged once it is agreed.
        const auto logged_batch = std::make_shared<wire::JobBatchT>(*batch);
        const log_term term = replica_.replica().term();
        decisions_.note_proposed(*logged_batch);
        replica_.propose(wire::encode_command(std::move(*batch)),
            [this, logged_batch, term, proposed](
                const wire::ProposeReplyT& reply) {
                complete_batch(*logged_batch, term, proposed,
                    reply.result == wire::proposal_result::accepted);
            });
    }
    proposing_ = false;
}

void scheduler::complete_batch(const wire::JobBatchT& batch, log_term term,
    instant proposed, bool agreed) {
    const instant now = runtime::system_clock::now();
    if (agreed) {
        agreement_times_.add(now - proposed);
        decisions_.write(batch, term, now - proposed, now);
    }
    {
        const load_log::scope measured(load_, work::outcomes);
        engine_.batch_done(agreed, now);
    }
    asio::post(context_, [this] { propose_batch(); });
}

std::string scheduler::metrics() const {
    const agreement::replica& replica = replica_.replica();
    const decision_counts& counts = decisions_.counts();
    runtime::metrics_page page;
    const auto add_metric = [&page](const char* name, const char* type,
                                const char* help, auto value) {
        page.metric(name, type, help).value(static_cast<double>(value));
    };
    add_metric("dfm_replica_leads", "gauge", "1 while this replica leads.",
        replica_.is_settled_leader() ? 1 : 0);
    add_metric("dfm_replica_term", "gauge", "Term of the agreement.",
        replica.term().value());
    add_metric("dfm_replica_commit", "gauge",
        "Index of the last agreed record.", replica.commit_index().value());
    add_metric("dfm_catalogue_version", "gauge", "Catalogue in force here.",
        agreed().catalogue().version);
    add_metric("dfm_jobs_active", "gauge", "Jobs that are not over.",
        agreed().active_jobs().size());
    add_metric("dfm_job_memory_bytes", "gauge",
        "Memory of all jobs besides their runs, about.", agreed().job_memory());
    add_metric("dfm_jobs_refused_total", "counter",
        "Jobs refused here for want of memory.", engine_.jobs_refused());
    add_metric("dfm_endpoints", "gauge",
        "Endpoints that this leader has heard.",
        engine_.endpoints().views().size());
    add_metric("dfm_jobs_accepted_total", "counter", "Jobs accepted here.",
        counts.accepted);
    add_metric("dfm_jobs_cancelled_total", "counter", "Cancels agreed here.",
        counts.cancelled);
    add_metric("dfm_runs_started_total", "counter", "Runs started here.",
        counts.started);
    add_metric("dfm_steps_waited_total", "counter",
        "Steps of which a task waited for a near place.",
        engine_.steps_waited());
    add_metric("dfm_copies_started_total", "counter",
        "Copies of lagging tasks started here.", engine_.copies_started());
    add_group_metrics(page);
    page.metric("dfm_zone_evacuated_since_seconds", "gauge",
        "When the evacuation of the zone began, since 1970.");
    for (const auto& [zone, begun] : agreed().evacuated_zones().zones()) {
        page.value(
            static_cast<double>(begun.since_ms) / 1000, {{"zone", zone.str()}});
    }
    page.metric("dfm_runs_ended_total", "counter", "Ends noted here.");
    for (const auto& [how, count] : counts.ended) {
        page.value(
            static_cast<double>(count), {{"how", wire::EnumNamerun_end(how)}});
    }
    page.metric("dfm_agreement_seconds", "summary",
            "From a batch's proposal until it was agreed.")
        .value(agreement_times_);
    return page.text();
}

// What the members lack is known to the leader alone.
void scheduler::add_group_metrics(runtime::metrics_page& page) const {
    const agreement::replica& replica = replica_.replica();
    const instant now = runtime::system_clock::now();
    page.metric("dfm_replica_last_index", "gauge",
            "Index of the last record that this replica holds.")
        .value(static_cast<double>(replica.last_index().value()));
    page.metric("dfm_replica_hears_leader", "gauge",
            "1 while this replica leads or hears a leader.")
        .value(replica.hears_leader(now) ? 1 : 0);
    if (!replica_.is_settled_leader()) {
        return;
    }
    const group_view seen = view_group(replica, settings_.voters, now);
    page.metric("dfm_replica_voters", "gauge", "Members with a vote.")
        .value(static_cast<double>(seen.voters));
    page.metric("dfm_replica_voters_wanted", "gauge",
            "Voters that the settings ask for.")
        .value(static_cast<double>(seen.voters_wanted));
    page.metric("dfm_replica_spare_disks", "gauge",
            "Further disks that the group can lose now.")
        .value(static_cast<double>(seen.spare_disks));
    const auto add_members = [&](const char* name, const char* type,
                                 const char* help, const auto& figure) {
        page.metric(name, type, help);
        for (const member_view& peer : seen.others) {
            page.value(static_cast<double>(figure(peer)),
                {{"replica", peer.subject.id.str()}});
        }
    };
    add_members("dfm_replica_behind_seconds", "gauge",
        "Seconds for which the member hasn't been whole, 0 if it is.",
        [&](const member_view& peer) {
            return std::chrono::duration<double>(
                report_.behind_for(peer.subject.id, now))
                .count();
        });
    add_members("dfm_replica_behind_records", "gauge",
        "Records that the member isn't known to hold.",
        [](const member_view& peer) { return peer.records_left; });
    add_members("dfm_replica_sent_bytes", "gauge",
        "Bytes of records and images sent by this leader.",
        [](const member_view& peer) { return peer.sent.sent_bytes; });
    add_members("dfm_replica_resent_bytes", "gauge",
        "Bytes of these that had been sent before.",
        [](const member_view& peer) { return peer.sent.resent_bytes; });
}

void scheduler::tick() {
    const instant now = runtime::system_clock::now();
    if (last_tick_ != instant{}) {
        note_lag(std::max(duration::zero(), now - last_tick_ - tick_interval));
    }
    last_tick_ = now;
    members_.tick(now);
    report_members(now);
    if (is_ready()) {
        const load_log::scope measured(load_, work::ticks);
        engine_.tick(now);
        if (connections_) {
            load_.write(connections_(), replica_.turns().total(),
                agreed().startable_jobs().size(), now);
        }
        propose_batch();
    }
}

void scheduler::report_members(instant now) {
    if (!replica_.is_settled_leader()) {
        report_.clear();
        return;
    }
    if (now < next_report_) {
        return;
    }
    next_report_ = now + report_interval;
    const group_view seen =
        view_group(replica_.replica(), settings_.voters, now);
    for (const member_line& line : report_.update(seen, now)) {
        write(line, seen);
    }
}

// If the log has no turn_slow event of the replica at the same time, the delay
// came from reports, calls or placement, or the whole process was suspended.
void scheduler::note_lag(duration lag) {
    engine_.note_lag(lag);
    if (lag >= settings_.replica.options.heartbeat_interval) {
        LOG(WARNING) << event::timers_late << "late_us=" << lag.count()
                     << " leads=" << engine_.leads()
                     << " endpoints=" << engine_.endpoints().views().size()
                     << " placement_rounds=" << engine_.placement_rounds()
                     << " lapse_checks=" << engine_.lapse_checks();
    }
}

void scheduler::receive(
    const runtime::connection::pointer& from, wire::message&& content) {
    switch (content.body.type) {
    case wire::Body::JobCall:
        receive_call(from, content.correlation, *content.body.AsJobCall());
        break;
    case wire::Body::Evacuate:
        receive_evacuation(
            from, content.correlation, *content.body.AsEvacuate());
        break;
    case wire::Body::ReformGroup:
        receive_reform(
            from, content.correlation, *content.body.AsReformGroup());
        break;
    case wire::Body::Query:
        receive_query(from, content.correlation, *content.body.AsQuery());
        break;
    default:
        replica_.receive(from, content);
    }
}

void scheduler::receive_call(const runtime::connection::pointer& from,
    std::uint64_t correlation, const wire::JobCallT& call) {
    if (!is_ready()) {
        wire::JobReplyT reply;
        reply.status = wire::job_status::not_leader;
        add_leader_hints(reply);
        from->send(wire::make_message(std::move(reply), correlation));
        return;
    }
    const load_log::scope measured(load_, work::calls);
    engine_.call(call, [this, from, correlation](wire::JobReplyT reply) {
        if (reply.status == wire::job_status::interrupted ||
            owes_members_to(*from)) {
            add_leader_hints(reply);
        }
        from->send(wire::make_message(std::move(reply), correlation));
    });
    propose_batch();
}

// A gateway that found the leader at once hears of the other members only from
// it, and needs them when it is gone.
bool scheduler::owes_members_to(const runtime::connection& gateway) {
    const auto& members = replica_.replica().members();
    if (members != told_members_ || told_gateways_.size() >= most_told) {
        told_members_ = members;
        told_gateways_.clear();
    }
    return told_gateways_.insert(gateway.number()).second;
}

void scheduler::add_leader_hints(wire::JobReplyT& reply) const {
    reply.leader_address = replica_.leader_address();
    for (const agreement::member& peer : replica_.replica().members()) {
        reply.replicas.push_back(peer.address);
    }
}

} // namespace dragonflymount::scheduler_program
