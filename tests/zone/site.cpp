// The test site: simulates its network and faults, delivers messages, and
// checks the invariants.
#include "tests/zone/site.hpp"

#include <absl/strings/str_cat.h>

namespace dragonflymount::testing_site {
namespace {

constexpr duration decision_interval = std::chrono::milliseconds(200);
const process_name control_name = "control";

std::string rules_of(std::uint32_t limit) {
    return absl::StrCat("pool sync size=8 # M\nservice timing pool=sync # M\n",
        "team archive share=100% limit=", limit, " # M\n",
        "key archive sha256=", key_digest("archive-key"), " # M\n",
        "cutoff hold=40s # M\n");
}

} // namespace

site::site(site_options options)
    : options_(options), random_(options.seed),
      planner_(control::planner_options{}) {
    planner_.reset(now_);
    set_limit(team_limit);
    for (int z = 1; z <= options.zones; ++z) {
        for (int k = 1; k <= options.entries; ++k) {
            const process_name name = absl::StrCat("z", z, "e", k);
            entries_[name].zone = availability_zone_id(absl::StrCat("z", z));
            start_entry(name);
        }
        for (int k = 1; k <= options.endpoints; ++k) {
            fake_endpoint& made = endpoints_[absl::StrCat("z", z, "w", k)];
            made.vm = vm_id(absl::StrCat("z", z, "w", k));
            made.zone = availability_zone_id(absl::StrCat("z", z));
        }
    }
}

void site::start_entry(const process_name& name) {
    entry_process& made = entries_[name];
    const availability_zone_id zone = made.zone;
    const std::uint64_t incarnation = made.incarnation + 1;
    made = entry_process();
    made.incarnation = incarnation;
    made.id = entry_id(name);
    made.zone = zone;
    zone::face_options options;
    options.self = made.id;
    options.zone = zone;
    made.face = std::make_unique<zone::face>(options);
    versions_.erase(name);
}

void site::set_limit(std::uint32_t limit) {
    wire::ApplyRulesT command;
    command.base_version = state_.version().value();
    command.text = rules_of(limit);
    command.author = "Mette";
    apply(std::move(command));
    limit_ = std::max(limit, limit_);
}

void site::withdraw(const std::string& key) {
    wire::WithdrawKeyT command;
    command.digest = key_digest(key);
    command.author = "Anders";
    apply(std::move(command));
    withdrawn_[key] = now_;
    report_step("withdrawal accepted", control_name, "");
}

std::size_t site::submit(const process_name& entry, const std::string& id,
    bool idempotent, duration run, duration deadline) {
    caller_record& made = callers_.emplace_back();
    made.key = {team_id("archive"), id};
    made.idempotent = idempotent;
    made.zone = entries_.at(entry).zone;
    made.entry = entry;
    if (crashed_.contains(entry) || frozen_.contains(entry)) {
        made.lost = true;
        return callers_.size() - 1;
    }
    report_step("submit", entry, entry);
    if (crashed_.contains(entry) || frozen_.contains(entry)) {
        callers_.back().lost = true;
        return callers_.size() - 1;
    }
    zone::call content;
    content.key = "archive-key";
    content.request.id = id;
    content.request.service = "timing";
    content.request.idempotent = idempotent;
    content.request.deadline_ms = to_wire_ms(deadline);
    content.request.body = to_bytes(std::to_string(to_wire_ms(run)));
    content.request.digest = sha256(content.request.body);
    entries_.at(entry).face->submit(
        zone::call_id(callers_.size() - 1), std::move(content), now_);
    run_actions(entry);
    return callers_.size() - 1;
}

// ---- Faults ----------------------------------------------------------------

void site::crash(const process_name& name) {
    crashed_.insert(name);
    if (entries_.contains(name)) {
        for (caller_record& caller : callers_) {
            caller.lost =
                caller.lost || (!caller.answer && caller.entry == name);
        }
        start_entry(name);
    } else if (endpoints_.contains(name)) {
        endpoints_.at(name).restart();
    }
}

void site::restart(const process_name& name) {
    if (!crashed_.contains(name)) {
        crash(name);
    }
    crashed_.erase(name);
}

void site::add_violation(const std::string& what) {
    violations_.push_back(
        absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(
                         now_.time_since_epoch())
                         .count(),
            " ms: ", what));
}

void site::report_step(
    const std::string& step, const process_name& from, const process_name& to) {
    if (on_step) {
        on_step(step, from, to);
    }
}

// ---- Network ---------------------------------------------------------------

void site::send(const process_name& from, const process_name& to,
    const wire::message& content) {
    if (to.empty() || crashed_.contains(from) || cuts_.contains({from, to})) {
        return;
    }
    const bool faulty = from != to;
    if (faulty &&
        static_cast<int>(random_() % 1000) < options_.loss_per_mille) {
        return;
    }
    const int copies = faulty &&
            static_cast<int>(random_() % 1000) < options_.duplicates_per_mille
        ? 2
        : 1;
    for (int k = 0; k < copies; ++k) {
        const auto late = static_cast<duration::rep>(random_() %
            static_cast<std::uint64_t>(options_.longest_delay.count() + 1));
        network_.emplace(now_ + duration(late), delivery{from, to, content});
    }
}

void site::run_for(duration span) {
    const instant until = now_ + span;
    while (now_ < until) {
        advance();
    }
}

bool site::run_until(const std::function<bool()>& done, duration limit) {
    const instant until = now_ + limit;
    while (!done() && now_ < until) {
        advance();
    }
    return done();
}

void site::advance() {
    now_ += step;
    std::vector<std::pair<instant, delivery>> held;
    while (!network_.empty() && network_.begin()->first <= now_) {
        delivery arrived = std::move(network_.begin()->second);
        network_.erase(network_.begin());
        if (frozen_.contains(arrived.to)) {
            held.emplace_back(now_ + step, std::move(arrived));
        } else if (!crashed_.contains(arrived.to)) {
            deliver(std::move(arrived));
            check_invariants();
        }
    }
    for (auto& [due, waiting] : held) {
        network_.emplace(due, std::move(waiting));
    }
    if (now_ >= next_decision_) {
        next_decision_ = now_ + decision_interval;
        for (const bytes& command : planner_.decide(state_, now_)) {
            index_ = index_.next();
            state_.apply(index_, command);
            const auto decoded = wire::decode_command(command);
            const auto type = decoded->command.type;
            report_step(type == wire::Command::SetGrant ? "grant changed"
                    : type == wire::Command::AppointCoordinator
                    ? "coordinator appointed"
                    : "VM assigned",
                control_name, "");
        }
    }
    std::vector<process_name> names;
    for (const auto& [name, held_entry] : entries_) {
        names.push_back(name);
    }
    for (const auto& [name, held_endpoint] : endpoints_) {
        names.push_back(name);
    }
    for (const process_name& name : names) {
        if (!crashed_.contains(name) && !frozen_.contains(name)) {
            tick(name);
            check_invariants();
        }
    }
}

void site::deliver(delivery&& arrived) {
    if (arrived.to == control_name) {
        deliver_control(arrived.from, std::move(arrived.content));
    } else if (entries_.contains(arrived.to)) {
        deliver_entry(arrived.from, arrived.to, std::move(arrived.content));
        run_actions(arrived.to);
    } else {
        deliver_endpoint(arrived.from, arrived.to, std::move(arrived.content));
    }
}

void site::deliver_control(const process_name& from, wire::message&& content) {
    if (const auto* beat = content.body.AsEntryBeat()) {
        planner_.report(*beat, now_);
        send(control_name, from,
            wire::make_message(planner_.lease_for(*beat, state_, now_, now_),
                content.correlation));
    } else if (const auto* proposal = content.body.AsPropose()) {
        index_ = index_.next();
        wire::ProposeReplyT reply = state_.apply(index_, proposal->command);
        if (wire::decode_command(proposal->command)->command.type ==
            wire::Command::ClaimBatch) {
            report_step("claim committed", control_name, from);
        }
        send(control_name, from,
            wire::make_message(std::move(reply), content.correlation));
    }
}

zone::origin_id site::origin_of(const process_name& name) {
    const auto found = std::find(origins_.begin(), origins_.end(), name);
    const auto place = found - origins_.begin();
    if (found == origins_.end()) {
        origins_.push_back(name);
    }
    return zone::origin_id(static_cast<std::uint64_t>(place));
}

void site::deliver_to_coordinator(const process_name& name,
    const process_name& from, const wire::message& content) {
    entry_process& self = entries_.at(name);
    if (!self.coordinator) {
        return;
    }
    if (const auto* submitted = content.body.AsSubmit()) {
        const std::uint64_t epoch = self.epoch.value();
        if (submitted->forwarded) {
            forwarded_.insert({epoch, submitted->request->id});
        } else if (submitted->zone_epoch == epoch) {
            accepted_.insert({epoch, submitted->request->id});
        }
        self.coordinator->submit(origin_of(from), *submitted, now_);
    } else if (const auto* fetched = content.body.AsFetch()) {
        self.coordinator->fetch(origin_of(from), *fetched, now_);
    } else if (const auto* cancelled = content.body.AsCancel()) {
        self.coordinator->cancel(*cancelled, now_);
    }
}

void site::deliver_entry(
    const process_name& from, const process_name& to, wire::message&& content) {
    entry_process& self = entries_.at(to);
    if (const auto* lease = content.body.AsEntryLease()) {
        receive_lease(to, *lease, content.correlation);
    } else if (const auto* reply = content.body.AsProposeReply()) {
        const auto found = self.proposals.find(content.correlation);
        if (found != self.proposals.end()) {
            const std::uint64_t batch = found->second.first;
            self.proposals.erase(found);
            if (self.coordinator) {
                self.coordinator->receive_claims(batch, *reply, now_);
                self.coordinator->receive_ends(batch, *reply);
            }
        }
    } else if (const auto* answer = content.body.AsAnswer()) {
        // An entry closes its connection to a former coordinator.
        if (from == self.coordinator_name) {
            self.face->receive(*answer, now_);
        }
        if (self.coordinator) {
            self.coordinator->receive_forwarded(*answer, now_);
        }
    } else if (const auto* pending = content.body.AsPending()) {
        self.face->receive(*pending, now_);
    } else if (const auto* announced = content.body.AsAnnounce()) {
        last_heard_[to + from] = now_;
        wire::AnnounceReplyT announce_reply;
        if (self.coordinator) {
            const bool before = self.coordinator->is_recovered();
            announce_reply = self.coordinator->announce(*announced, now_);
            if (!before && self.coordinator->is_recovered()) {
                report_step("recovered", to, from);
            }
        }
        send(to, from, wire::make_message(std::move(announce_reply)));
    } else if (!self.coordinator) {
        return;
    } else if (const auto* ended = content.body.AsTaskEnded()) {
        self.coordinator->receive(vm_id(from), *ended, now_);
    } else if (const auto* rejected = content.body.AsTaskRejected()) {
        self.coordinator->receive(vm_id(from), *rejected, now_);
    } else {
        deliver_to_coordinator(to, from, content);
    }
}

void site::receive_lease(const process_name& name,
    const wire::EntryLeaseT& lease, std::uint64_t correlation) {
    entry_process& self = entries_.at(name);
    // Like the control client, an entry ignores leases that answer a beat of
    // an earlier incarnation.
    const auto beat = self.beats.find(correlation);
    if (beat == self.beats.end()) {
        return;
    }
    self.face->receive(lease, beat->second, now_);
    const zone_epoch epoch(lease.zone_epoch);
    if (epoch > self.epoch) {
        self.epoch = epoch;
        self.coordinator_name = lease.coordinator;
        self.coordinator.reset();
        if (lease.coordinator == name) {
            zone::coordinator_options options;
            options.self = self.id;
            options.zone = self.zone;
            self.coordinator =
                std::make_unique<zone::coordinator>(options, epoch, now_);
        }
        self.face->follow(epoch, now_);
    }
    if (self.coordinator) {
        self.coordinator->receive(
            lease, self.face->rules(), beat->second, now_);
    }
}

void site::deliver_endpoint(
    const process_name& from, const process_name& to, wire::message&& content) {
    fake_endpoint& self = endpoints_.at(to);
    const auto reject = [&](std::uint64_t task, std::uint64_t epoch) {
        wire::TaskRejectedT rejected;
        rejected.task = task;
        rejected.zone_epoch = epoch;
        send(to, from, wire::make_message(std::move(rejected)));
    };
    if (const auto* reply = content.body.AsAnnounceReply()) {
        if (self.receive(from, *reply)) {
            send(to, from, wire::make_message(self.announcement(now_)));
        }
    } else if (const auto* order = content.body.AsStartTask()) {
        if (self.start(*order, now_)) {
            reject(order->task, order->zone_epoch);
        } else {
            report_step("task running", from, to);
        }
    } else if (const auto* renewal = content.body.AsRenewTasks()) {
        for (const std::uint64_t number : renewal->tasks) {
            const auto found = self.tasks.find(number);
            if (found != self.tasks.end() &&
                renewal->zone_epoch == self.zone_epoch) {
                found->second.lease_end = std::max(found->second.lease_end,
                    lease_end(renewal->announced_ms, renewal->lease_ms));
            }
        }
    } else if (const auto* confirmed = content.body.AsConfirmTasks()) {
        for (const std::uint64_t number : confirmed->tasks) {
            self.confirm(number);
        }
    } else if (const auto* query = content.body.AsQueryTask()) {
        const auto found = self.tasks.find(query->task);
        if (query->zone_epoch != self.zone_epoch ||
            query->incarnation != self.incarnation) {
            return;
        }
        if (found == self.tasks.end()) {
            self.denied.insert(query->task);
            reject(query->task, query->zone_epoch);
        } else if (found->second.report.phase == wire::task_phase::ended) {
            send(to, from, wire::make_message(self.ended(found->second)));
        }
    }
}

// ---- Invariants ------------------------------------------------------------

int site::starts(const std::string& id) const {
    int count = 0;
    for (const auto& [name, held] : endpoints_) {
        for (const started_task& task : held.started) {
            count += task.id == id ? 1 : 0;
        }
    }
    return count;
}

std::size_t site::running() const {
    std::size_t count = 0;
    for (const auto& [name, held] : endpoints_) {
        count += held.running();
    }
    return count;
}

process_name site::coordinator_of(const std::string& zone) const {
    const auto found = state_.coordinators().find(availability_zone_id(zone));
    return found == state_.coordinators().end() ? ""
                                                : found->second.entry.str();
}

// True if the task runs only for a request with the same id that another zone
// forwarded because it was denied the claim. A refusal that this zone's own
// caller received is then still correct.
bool site::is_for_another_zone(const started_task& task) const {
    const std::pair<std::uint64_t, std::string> key{task.zone_epoch, task.id};
    return forwarded_.contains(key) && !accepted_.contains(key);
}

void site::check_invariants() {
    if (!violations_.empty()) {
        return;
    }
    if (running() > limit_) {
        add_violation(
            absl::StrCat(running(), " tasks are running, above the limit"));
    }
    std::map<std::string, int> once;
    for (const auto& [name, held] : endpoints_) {
        for (const started_task& task : held.started) {
            if (!task.idempotent && ++once[task.id] > 1) {
                add_violation(task.id + " was started twice");
            }
            if (not_run_.contains({held.zone, task.id}) &&
                !is_for_another_zone(task)) {
                add_violation(
                    task.id + " ran, but its caller was answered not_run");
            }
        }
        for (const auto& [number, task] : held.tasks) {
            if (task.report.phase == wire::task_phase::running &&
                task.pool != held.tasks.begin()->second.pool) {
                add_violation("tasks of two pools are running on " + name);
            }
        }
    }
    for (const auto& [name, process] : entries_) {
        rules_version& seen = versions_[name];
        if (process.face->version() < seen) {
            add_violation("the rules version decreased at " + name);
        }
        seen = process.face->version();
    }
}

} // namespace dragonflymount::testing_site
