// The stand-in's tasks and announcements.
#include "programs/worker/endpoint.hpp"

namespace dragonflymount::worker_program {
namespace {

constexpr duration tick_interval = std::chrono::milliseconds(2);
constexpr duration announce_interval = std::chrono::seconds(1);

std::uint64_t clock_ms() {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            runtime::system_clock::now().time_since_epoch())
            .count());
}

instant lease_end(std::uint64_t announced_ms, std::uint32_t lease_ms) {
    return instant(std::chrono::milliseconds(announced_ms)) +
        from_wire_ms(lease_ms);
}

} // namespace

endpoint::endpoint(asio::io_context& context, endpoint_settings settings)
    : context_(context), settings_(std::move(settings)),
      tick_timer_(context, tick_interval, [this] { tick(); }),
      announce_timer_(context, announce_interval, [this] { announce_all(); }),
      reboot_timer_(context), incarnation_(runtime::wall_time_ms()) {}

result<done> endpoint::start() {
    if (!settings_.journal.empty()) {
        journal_.open(settings_.journal, std::ios::app);
    }
    open_links();
    tick_timer_.start();
    announce_timer_.start();
    return done{};
}

void endpoint::open_links() {
    for (const std::string& entry : settings_.entries) {
        auto opened =
            std::make_unique<runtime::link>(context_, entry, settings_.links);
        opened->start([this, entry](const auto&) { announce(entry); },
            [this, entry](const auto&, wire::message&& content) {
                receive(entry, std::move(content));
            },
            [](const auto&, const failure&) {});
        links_.emplace(entry, std::move(opened));
    }
}

void endpoint::stop() {
    tick_timer_.stop();
    announce_timer_.stop();
    reboot_timer_.cancel();
    links_.clear();
}

void endpoint::leave(std::function<void()> on_idle) {
    leaving_ = true;
    on_idle_ = std::move(on_idle);
    announce_all();
}

// ---- Announcements ---------------------------------------------------------

void endpoint::announce_all() {
    const instant now = runtime::system_clock::now();
    std::erase_if(
        confirmed_, [&](const auto& held) { return held.second <= now; });
    for (const auto& [entry, opened] : links_) {
        announce(entry);
    }
}

void endpoint::announce(const std::string& entry) {
    wire::AnnounceT message;
    message.vm = settings_.vm.str();
    message.incarnation = incarnation_;
    message.zone = settings_.zone.str();
    message.rack = settings_.rack.str();
    message.slots = settings_.slots;
    message.connections = settings_.connections;
    message.leaving = leaving_;
    message.zone_epoch = zone_epoch_;
    message.clock_ms = clock_ms();
    for (const auto& [number, task] : tasks_) {
        message.tasks.push_back(
            std::make_unique<wire::TaskReportT>(task.report));
    }
    links_.at(entry)->send(wire::make_message(std::move(message)));
}

void endpoint::receive(const std::string& entry, wire::message&& content) {
    if (const auto* reply = content.body.AsAnnounceReply()) {
        receive(entry, *reply);
    } else if (const auto* start = content.body.AsStartTask()) {
        receive(entry, *start);
    } else if (const auto* query = content.body.AsQueryTask()) {
        receive(entry, *query);
    } else if (const auto* renewal = content.body.AsRenewTasks()) {
        receive(*renewal);
    } else if (const auto* stop = content.body.AsStopTask()) {
        receive(*stop);
    } else if (const auto* confirmation = content.body.AsConfirmTasks()) {
        receive(*confirmation);
    } else if (const auto* order = content.body.AsReboot()) {
        receive(*order);
    }
}

void endpoint::receive(
    const std::string& entry, const wire::AnnounceReplyT& reply) {
    if (!reply.coordinator || reply.zone_epoch < zone_epoch_) {
        return;
    }
    // A late reply must not bring an earlier assignment back.
    if (reply.assignment_epoch >= assignment_epoch_) {
        pool_ = reply.pool;
        assignment_epoch_ = reply.assignment_epoch;
    }
    coordinator_ = entry;
    if (reply.zone_epoch > zone_epoch_) {
        zone_epoch_ = reply.zone_epoch;
        // The new coordinator waits to hear that its epoch is accepted.
        announce(entry);
    }
}

// ---- Tasks -----------------------------------------------------------------

std::size_t endpoint::count_running() const {
    std::size_t count = 0;
    for (const auto& [number, task] : tasks_) {
        count += task.report.phase == wire::task_phase::running ? 1 : 0;
    }
    return count;
}

std::string endpoint::refusal_of(const wire::StartTaskT& start) const {
    if (start.zone_epoch != zone_epoch_) {
        return "the coordinator's epoch is not the current one";
    }
    if (start.incarnation != incarnation_) {
        return "the VM was restarted";
    }
    if (start.assignment_epoch != assignment_epoch_ || start.pool != pool_) {
        return "the VM's pool has changed";
    }
    if (start.announced_ms + start.lease_ms <= clock_ms()) {
        return "the order was under way for longer than its lease";
    }
    if (leaving_) {
        return "the VM is leaving";
    }
    if (count_running() >= settings_.slots) {
        return "no slot is free";
    }
    if (denied_.contains(start.task)) {
        return "the task was denied before";
    }
    if (confirmed_.contains(start.task)) {
        return "the task has ended";
    }
    if (sha256(start.request->body) != start.request->digest) {
        return "the digest does not match the body";
    }
    return {};
}

void endpoint::receive(
    const std::string& entry, const wire::StartTaskT& start) {
    if (!start.request || tasks_.contains(start.task)) {
        return;
    }
    const std::string refusal = refusal_of(start);
    if (!refusal.empty()) {
        denied_.insert(start.task);
        wire::TaskRejectedT rejected;
        rejected.task = start.task;
        rejected.zone_epoch = start.zone_epoch;
        rejected.reason = refusal;
        links_.at(entry)->send(wire::make_message(std::move(rejected)));
        return;
    }
    const instant now = runtime::system_clock::now();
    running_task& task = tasks_[start.task];
    task.report.task = start.task;
    task.report.claim = start.claim;
    task.report.team = start.request->team;
    task.report.id = start.request->id;
    task.report.service = start.request->service;
    task.report.idempotent = start.request->idempotent;
    task.report.phase = wire::task_phase::running;
    task.started = now;
    task.lease_end = lease_end(start.announced_ms, start.lease_ms);
    task.body = to_text(start.request->body);
    task.ends = now + parse_script(task.body).run;
    if (journal_.is_open()) {
        journal_ << task.report.team << ' ' << task.report.id << ' '
                 << start.task << ' ' << settings_.vm << ' '
                 << (task.report.idempotent ? "idempotent" : "once") << '\n'
                 << std::flush;
    }
}

void endpoint::end(running_task& task, bool ok, std::string reason) {
    task.report.phase = wire::task_phase::ended;
    task.ended.task = task.report.task;
    task.ended.ok = ok;
    task.ended.reason = std::move(reason);
    if (ok) {
        task.ended.body = expected_answer(task.report.id, task.body);
    }
    task.ended.digest = sha256(task.ended.body);
    const auto busy = std::chrono::duration_cast<std::chrono::milliseconds>(
        runtime::system_clock::now() - task.started);
    task.ended.busy_ms = static_cast<std::uint32_t>(busy.count());
    send_ended(task);
}

void endpoint::send_ended(const running_task& task) {
    const auto found = links_.find(coordinator_);
    if (found != links_.end()) {
        found->second->send(wire::make_message(wire::TaskEndedT(task.ended)));
    }
}

void endpoint::receive(
    const std::string& entry, const wire::QueryTaskT& query) {
    // What a former incarnation ran is not known here.
    if (query.zone_epoch != zone_epoch_ || query.incarnation != incarnation_) {
        return;
    }
    const auto found = tasks_.find(query.task);
    if (found != tasks_.end()) {
        if (found->second.report.phase == wire::task_phase::ended) {
            send_ended(found->second);
        }
        return;
    }
    // It never arrived; from now on it never will run here.
    denied_.insert(query.task);
    wire::TaskRejectedT rejected;
    rejected.task = query.task;
    rejected.zone_epoch = query.zone_epoch;
    rejected.reason = "the task never arrived";
    links_.at(entry)->send(wire::make_message(std::move(rejected)));
}

void endpoint::receive(const wire::RenewTasksT& renewal) {
    if (renewal.zone_epoch != zone_epoch_) {
        return;
    }
    const instant until = lease_end(renewal.announced_ms, renewal.lease_ms);
    for (const std::uint64_t number : renewal.tasks) {
        const auto found = tasks_.find(number);
        if (found != tasks_.end()) {
            found->second.lease_end = std::max(found->second.lease_end, until);
        }
    }
}

void endpoint::receive(const wire::StopTaskT& stop) {
    const auto found = tasks_.find(stop.task);
    if (found != tasks_.end() &&
        found->second.report.phase == wire::task_phase::running) {
        end(found->second, false, "stopped");
    }
}

void endpoint::receive(const wire::ConfirmTasksT& confirmation) {
    for (const std::uint64_t number : confirmation.tasks) {
        const auto found = tasks_.find(number);
        if (found != tasks_.end()) {
            confirmed_.emplace(number, found->second.lease_end);
            tasks_.erase(found);
        }
    }
}

// ---- Restarts --------------------------------------------------------------

// An answer that the coordinator hasn't confirmed would be lost as well.
void endpoint::receive(const wire::RebootT& order) {
    if (rebooting_ || order.zone_epoch != zone_epoch_ ||
        order.incarnation != incarnation_ || !tasks_.empty()) {
        return;
    }
    rebooting_ = true;
    // Not from within a handler of the link that is about to be closed.
    asio::post(context_, [this] { go_down(); });
}

void endpoint::go_down() {
    links_.clear();
    denied_.clear();
    confirmed_.clear();
    pool_.clear();
    coordinator_.clear();
    assignment_epoch_ = 0;
    zone_epoch_ = 0;
    reboot_timer_.expires_after(settings_.reboot_time);
    reboot_timer_.async_wait([this](std::error_code code) {
        if (!code) {
            come_back();
        }
    });
}

void endpoint::come_back() {
    incarnation_ = std::max(incarnation_ + 1, runtime::wall_time_ms());
    rebooting_ = false;
    open_links();
}

void endpoint::tick() {
    const instant now = runtime::system_clock::now();
    for (auto& [number, task] : tasks_) {
        if (task.report.phase == wire::task_phase::ended) {
            continue;
        }
        if (now >= task.ends) {
            const bool fails = parse_script(task.body).fails;
            end(task, !fails, fails ? "the task failed" : "");
        } else if (now >= task.lease_end) {
            end(task, false, "the task's lease ran out");
        }
    }
    if (leaving_ && on_idle_ && count_running() == 0) {
        const auto handler = std::move(on_idle_);
        on_idle_ = nullptr;
        handler();
    }
}

} // namespace dragonflymount::worker_program
