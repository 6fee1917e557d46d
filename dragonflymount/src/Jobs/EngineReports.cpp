// Reports of endpoints and what they are told in return.
#include "dragonflymount/src/Jobs/Engine.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// The first batch after a report takes note of its ends, the second holds
// what starts in the room that became free.
constexpr std::uint64_t batches_to_refill = 2;

// Timers whose lateness is averaged.
constexpr std::int64_t lag_smoothing = 8;
// How much longer endpoints wait for each unit of lag.
constexpr std::int64_t retry_per_lag = 10;

} // namespace

void engine::report(
    const endpoint_report& report, report_handler on_orders, instant now) {
    std::vector<run_ref> ran_before;
    bool had_room = false;
    if (const auto* view = endpoints_.find_life(report.life)) {
        had_room = endpoints_.can_take_tasks(*view, now);
        for (const auto& [run, progress] : view->running) {
            ran_before.push_back(run);
        }
    }
    endpoint_view* view = endpoints_.take(report, now);
    if (view == nullptr) {
        endpoint_orders outdated;
        outdated.acknowledged = agreed_.acknowledged(report.life);
        outdated.fence = term_.value();
        outdated.retry = options_.busy_retry;
        on_orders(outdated);
        return;
    }
    const bool gains_room = !had_room && endpoints_.can_take_tasks(*view, now);
    placement_due_ = placement_due_ || (gains_room && may_look_again());
    collect_ends(report);
    for (const run_ref& run : ran_before) {
        if (!view->running.contains(run) && !view->ended.contains(run)) {
            vanished_.insert(run);
        }
    }
    note_missing(*view);
    find_troubled(*view, now);
    held_report& held = held_[report.life.endpoint];
    if (held.handler) {
        // The endpoint gave up waiting for the reply to its earlier report.
        held.handler(endpoint_orders{});
    }
    held = {std::move(on_orders), now, now, 0, agreed_batches_};
    if (!report.ended.empty()) {
        held.last_end = report.ended.back().number;
        held.reply_by = now + options_.ends_hold;
        with_ends_.insert(report.life.endpoint);
    } else if (!has_ending_tasks(*view)) {
        held.reply_by = now + options_.idle_hold;
        reply_if_ready(report.life.endpoint);
    } else {
        reply(report.life.endpoint);
    }
}

void engine::collect_ends(const endpoint_report& report) {
    std::uint64_t& gathered = gathered_ends_[report.life];
    gathered = std::max(gathered, agreed_.acknowledged(report.life));
    for (const ended_task& ended : report.ended) {
        if (ended.number > gathered) {
            gathered = ended.number;
            ended_.push_back({report.life, ended});
        }
    }
}

bool engine::is_unstarted(const endpoint_view& view, const run_ref& run) const {
    return !view.running.contains(run) && !view.ended.contains(run);
}

// A run that is agreed, isn't listed and is no longer wanted has never begun
// if the report came after the start was sent; it never will, because orders
// are taken in the order of reports.
void engine::note_missing(endpoint_view& view) {
    const endpoint_load* load = agreed_.load_of(view.life);
    if (load == nullptr) {
        return;
    }
    for (const run_ref& run : load->runs) {
        if (!is_unstarted(view, run)) {
            continue;
        }
        if (!agreed_.is_wanted(run) || view.draining) {
            vanished_.insert(run);
        }
    }
}

void engine::leave(const std::string& endpoint) {
    const auto held = held_.find(endpoint);
    if (held != held_.end()) {
        held->second.handler(endpoint_orders{});
        held_.erase(held);
        with_ends_.erase(endpoint);
    }
    endpoints_.remove(endpoint);
    placement_due_ = placement_due_ || may_look_again();
}

// Load pattern: many endpoints are busy at once. Reports that come faster than
// they are answered time out, and each of those is sent again.
void engine::note_lag(duration lag) {
    lag_ = (lag_ * (lag_smoothing - 1) + lag) / lag_smoothing;
}

// Load pattern: a new leader hears every endpoint for the first time while all
// room is taken and jobs wait. A look at all jobs for each of those reports
// would keep the leader from its heartbeats.
void engine::allow_looks() {
    futile_rounds_ = 0;
    early_lapse_checks_ = 0;
}

duration engine::busy_retry() const {
    return std::min(options_.busy_retry + lag_ * retry_per_lag,
        options_.longest_busy_retry);
}

bool engine::has_ending_tasks(const endpoint_view& view) const {
    const endpoint_load* load = agreed_.load_of(view.life);
    return load != nullptr && load->finite_runs() > 0;
}

endpoint_orders engine::orders_for(const endpoint_view& view) const {
    endpoint_orders orders;
    orders.lease = options_.endpoints.lease;
    orders.acknowledged = agreed_.acknowledged(view.life);
    orders.fence = term_.value();
    orders.retry = has_ending_tasks(view) ? busy_retry() : options_.idle_retry;
    const endpoint_load* load = agreed_.load_of(view.life);
    std::set<run_ref> kept;
    if (load != nullptr) {
        for (const run_ref& run : load->runs) {
            const bool wanted = agreed_.is_wanted(run) &&
                !stop_requests_.contains(run) && !given_up_.contains(run);
            if (wanted) {
                kept.insert(run);
            }
            if (!wanted || view.draining || !is_unstarted(view, run) ||
                vanished_.contains(run)) {
                continue;
            }
            const task_place place = agreed_.find_task(run.task);
            orders.starts.push_back(
                {run, place.job->spec->payload, place.task->checkpoint, {}});
        }
    }
    for (const auto& [run, progress] : view.running) {
        if (!kept.contains(run)) {
            orders.stops.push_back(run);
        }
    }
    return orders;
}

void engine::reply(const std::string& endpoint) {
    const auto found = held_.find(endpoint);
    held_report held = std::move(found->second);
    held_.erase(found);
    with_ends_.erase(endpoint);
    endpoint_view* view = endpoints_.find(endpoint);
    if (view == nullptr) {
        held.handler(endpoint_orders{});
        return;
    }
    endpoint_orders orders = orders_for(*view);
    endpoints_.extend_lease(*view, held.received);
    endpoint_table::expect_report(*view, held.reply_by + orders.retry);
    held.handler(orders);
}

bool engine::is_noted(
    const endpoint_view& view, const held_report& held) const {
    return agreed_.acknowledged(view.life) >= held.last_end;
}

bool engine::is_ready(
    const std::string& endpoint, const held_report& held) const {
    const endpoint_view* view = endpoints_.find(endpoint);
    if (view == nullptr) {
        return true;
    }
    if (held.last_end > 0) {
        return is_noted(*view, held) &&
            agreed_batches_ - held.batches_before >= batches_to_refill;
    }
    const endpoint_orders orders = orders_for(*view);
    return !orders.starts.empty() || !orders.stops.empty();
}

void engine::reply_if_ready(const std::string& endpoint) {
    const auto held = held_.find(endpoint);
    if (held != held_.end() && is_ready(endpoint, held->second)) {
        reply(endpoint);
    }
}

void engine::reply_touched() {
    for (const std::string& endpoint : std::exchange(touched_, {})) {
        reply_if_ready(endpoint);
    }
}

// Nothing is left to be agreed: what ended makes room for no further start.
void engine::reply_noted() {
    const std::set<std::string> waiting = with_ends_;
    for (const std::string& endpoint : waiting) {
        const endpoint_view* view = endpoints_.find(endpoint);
        if (view == nullptr || is_noted(*view, held_.at(endpoint))) {
            reply(endpoint);
        }
    }
}

void engine::reply_overdue(instant now) {
    std::vector<std::string> overdue;
    for (const auto& [endpoint, held] : held_) {
        if (now >= held.reply_by) {
            overdue.push_back(endpoint);
        }
    }
    for (const std::string& endpoint : overdue) {
        reply(endpoint);
    }
}

void engine::tick(instant now) {
    if (!leads_) {
        return;
    }
    placement_due_ = true;
    allow_looks();
    endpoints_.end_shared_quarantines(now);
    forget_settled(now);
    reply_touched();
    reply_overdue(now);
}

// Judged by the time that the endpoint's reports cover: neither its silence
// nor the leader's own delay is evidence about a run.
bool engine::is_stalled(const run_progress& progress, instant observed) const {
    return observed - progress.advanced >= options_.stall_limit;
}

bool engine::is_creeping(const run_progress& progress,
    const wire::JobStepT& step, instant observed) const {
    const duration passed = observed - progress.first_seen;
    if (passed < options_.least_observation) {
        return false;
    }
    // A run that was set back to a checkpoint has gained nothing.
    const std::uint32_t gained = progress.percent > progress.first_percent
        ? progress.percent - progress.first_percent
        : 1;
    const duration left = passed * (100 - progress.percent) / gained;
    const duration declared = std::chrono::milliseconds(step.estimate_ms);
    return left > declared * options_.creep_factor + options_.stall_limit;
}

// A run is moved for creeping only once: if it creeps elsewhere, too, then
// its estimate was wrong.
void engine::find_troubled(const endpoint_view& view, instant now) {
    std::vector<run_ref> troubled;
    for (const auto& [run, progress] : view.running) {
        const task_place place = agreed_.find_task(run.task);
        if (!place || place.step->long_running || place.step->gang ||
            progress.percent >= 100 || stop_requests_.contains(run)) {
            continue;
        }
        const bool creeps = !avoided_.contains(run.task) &&
            is_creeping(progress, *place.step, view.observed);
        if (creeps || is_stalled(progress, view.observed)) {
            avoided_[run.task][view.life.endpoint] = now;
            troubled.push_back(run);
        }
    }
    for (const run_ref& run : troubled) {
        stop_requests_.insert(run);
        endpoints_.note_trouble(view.life.endpoint, run.task.job, now);
    }
}

} // namespace dragonflymount::jobs
