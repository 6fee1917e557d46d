// Reports of endpoints and the orders sent in reply.
#include "dragonflymount/src/Jobs/Engine.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// The first batch after a report commits its ended runs; the second one holds
// the starts that use the freed capacity.
constexpr std::uint64_t batches_to_refill = 2;

// Number of timers over which their delay is smoothed.
constexpr std::int64_t lag_smoothing = 8;
// Number of reports over which their delay is smoothed.
constexpr std::int64_t report_delay_smoothing = 64;
// Increase of the report interval per unit of delay.
constexpr std::int64_t retry_per_lag = 10;

duration smooth(duration mean, duration value, std::int64_t count) {
    return (mean * (count - 1) + value) / count;
}

} // namespace

void engine::report(
    const endpoint_report& report, report_handler on_orders, instant now) {
    std::vector<run_ref> ran_before;
    bool could_take_tasks = false;
    resources capacity_before;
    if (const auto* view = endpoints_.find_life(report.life)) {
        could_take_tasks = endpoints_.can_take_tasks(*view, now);
        capacity_before = view->capacity;
        for (const auto& [run, progress] : view->running) {
            ran_before.push_back(run);
        }
    }
    endpoint_view* view = endpoints_.apply_report(report, now);
    if (view == nullptr) {
        endpoint_orders outdated;
        outdated.acknowledged = agreed_.acknowledged(report.life);
        outdated.fence = term_.value();
        outdated.retry = options_.busy_retry;
        on_orders(outdated);
        return;
    }
    const bool gains_capacity = endpoints_.can_take_tasks(*view, now) &&
        (!could_take_tasks || !view->capacity.fits(capacity_before));
    placement_due_ = placement_due_ || (gains_capacity && may_trigger_round());
    report_delay_ =
        smooth(report_delay_, view->report_delay, report_delay_smoothing);
    collect_ends(report);
    unconfirmed_.confirm(report);
    for (const run_ref& run : ran_before) {
        if (!view->running.contains(run) && !view->ended.contains(run)) {
            vanished_.insert(run);
        }
    }
    note_unneeded_starts(*view);
    stop_troubled_runs(*view, now);
    held_report& held = held_[report.life.endpoint];
    if (held.handler) {
        // The endpoint's earlier report has timed out there.
        held.handler(endpoint_orders{});
    }
    held = {std::move(on_orders), now, now, 0, agreed_batches_};
    const bool may_wait = !has_suspect_start(*view);
    if (may_wait && !report.ended.empty()) {
        held.last_end = report.ended.back().number;
        held.reply_by = now + time_to_hold(options_.ends_hold, *view);
        held_with_ends_.insert(report.life.endpoint);
    } else if (may_wait && !has_ending_tasks(*view)) {
        held.reply_by = now + time_to_hold(options_.idle_hold, *view);
        reply_if_ready(report.life.endpoint, now);
    } else {
        reply(report.life.endpoint, now);
    }
}

// The endpoint waits for the reply since it sent the report, not since the
// leader handled it.
duration engine::time_to_hold(duration hold, const endpoint_view& view) {
    return std::max(duration::zero(), hold - view.report_delay);
}

void engine::collect_ends(const endpoint_report& report) {
    std::uint64_t& collected = collected_ends_[report.life];
    collected = std::max(collected, agreed_.acknowledged(report.life));
    for (const ended_task& ended : report.ended) {
        if (ended.number > collected) {
            collected = ended.number;
            ended_.push_back({report.life, ended});
        }
    }
}

bool engine::is_unlisted(const endpoint_view& view, const run_ref& run) const {
    return !view.running.contains(run) && !view.ended.contains(run);
}

// An endpoint that drains or whose zone is evacuated is told to start nothing,
// not even what was placed there before.
bool engine::may_start_tasks(const endpoint_view& view) const {
    return !view.draining && !agreed_.evacuated_zones().contains(view.zone);
}

// Stops the other members of a gang of which one member won't start, so that
// they don't wait for it.
void engine::stop_gang_of(const run_ref& run) {
    const task_place place = agreed_.find_task(run.task);
    if (!place || !place.step->gang) {
        return;
    }
    for (std::uint32_t k = 0; k < place.group->tasks.size(); ++k) {
        task_name member = run.task;
        member.index = k;
        for (const auto& record : place.group->tasks[k]->runs) {
            request_stop({member, record->number});
        }
    }
}

// Declares runs lost that their endpoint doesn't list and that must not start
// any more. If the report came after the start was sent, such a run has not
// begun; it never will, because endpoints apply orders in the order of their
// reports.
void engine::note_unneeded_starts(endpoint_view& view) {
    const endpoint_load* load = agreed_.load_of(view.life);
    if (load == nullptr) {
        return;
    }
    for (const run_ref& run : load->runs) {
        if (!is_unlisted(view, run)) {
            continue;
        }
        if (!agreed_.is_wanted(run) || !may_start_tasks(view)) {
            vanished_.insert(run);
            if (!view.draining) {
                stop_gang_of(run);
            }
        }
    }
    if (!load->used.fits(view.capacity)) {
        note_unfitting_starts(view, *load);
    }
}

// The VM's capacity has shrunk since these starts were placed, so their tasks
// are placed anew.
void engine::note_unfitting_starts(
    const endpoint_view& view, const endpoint_load& load) {
    const std::set<run_ref> fitting = fitting_starts(view, load);
    for (const run_ref& run : load.runs) {
        if (is_unlisted(view, run) && !fitting.contains(run)) {
            vanished_.insert(run);
        }
    }
}

resources engine::room_of_run(const run_ref& run) const {
    const task_place place = agreed_.find_task(run.task);
    return place ? room_of(*place.step) : resources{};
}

// Returns the room of the runs that the log places in former lives of the
// endpoint and that this life may begin.
resources engine::room_of_former_runs(const endpoint_view& view) const {
    resources room;
    const auto& loads = agreed_.loads();
    for (auto former = loads.lower_bound({view.life.endpoint, 0});
         former != loads.end() && former->first < view.life; ++former) {
        const auto& [life, load] = *former;
        for (const run_ref& run : load.runs) {
            if (is_unlisted(view, run) &&
                endpoints_.may_run_in_next_life(life, run, view.heard)) {
                room += room_of_run(run);
            }
        }
    }
    return room;
}

// Returns the starts that the endpoint hasn't listed and that fit into the
// capacity that it states now, beside all that it still lists as running or
// may begin.
std::set<run_ref> engine::fitting_starts(
    const endpoint_view& view, const endpoint_load& load) const {
    std::set<run_ref> fitting;
    if (std::none_of(load.runs.begin(), load.runs.end(),
            [&](const run_ref& run) { return is_unlisted(view, run); })) {
        return fitting;
    }
    resources room = view.capacity - room_of_former_runs(view);
    for (const auto& [run, progress] : view.running) {
        room -= room_of_run(run);
    }
    for (const run_ref& run : load.runs) {
        const resources needed = room_of_run(run);
        if (is_unlisted(view, run) && !vanished_.contains(run) &&
            needed.fits(room)) {
            room -= needed;
            fitting.insert(run);
        }
    }
    return fitting;
}

void engine::remove_endpoint(const std::string& endpoint) {
    const auto held = held_.find(endpoint);
    if (held != held_.end()) {
        held->second.handler(endpoint_orders{});
        held_.erase(held);
        held_with_ends_.erase(endpoint);
    }
    endpoints_.remove(endpoint);
    placement_due_ = placement_due_ || may_trigger_round();
}

bool engine::leave(const std::string& endpoint) {
    const endpoint_view* view = endpoints_.find(endpoint);
    if (view != nullptr && !view->draining) {
        return false;
    }
    remove_endpoint(endpoint);
    return true;
}

// When many endpoints are busy at once, reports can arrive faster than the
// leader replies; they then time out and are sent again, which adds load. The
// smoothed delay lengthens the report interval to prevent this.
void engine::note_lag(duration lag) {
    lag_ = smooth(lag_, lag, lag_smoothing);
}

// The limits protect a new leader that receives the first report of every
// endpoint while all capacity is in use and jobs wait. A scan of all jobs for
// each of these reports would delay its heartbeats.
void engine::reset_scan_limits() {
    futile_rounds_ = 0;
    early_lapse_checks_ = 0;
}

// While reports wait in their connections, the timers can be on time: they fire
// once for each pass over the connections that are ready.
duration engine::busy_retry() const {
    return std::min(
        options_.busy_retry + std::max(lag_, report_delay_) * retry_per_lag,
        options_.longest_busy_retry);
}

bool engine::has_ending_tasks(const endpoint_view& view) const {
    const endpoint_load* load = agreed_.load_of(view.life);
    return load != nullptr && load->finite_runs() > 0;
}

bool engine::has_suspect_start(const endpoint_view& view) const {
    const endpoint_load* load = agreed_.load_of(view.life);
    if (load == nullptr || agreed_.suspects().empty()) {
        return false;
    }
    return std::any_of(
        load->runs.begin(), load->runs.end(), [&](const run_ref& run) {
            return is_unlisted(view, run) &&
                agreed_.suspects().contains(run.task);
        });
}

// The start of a suspect waits for a fresh report, which is requested at once.
//
// \param waited from the arrival of the report until the reply.
endpoint_orders engine::orders_for(
    const endpoint_view& view, duration waited) const {
    endpoint_orders orders;
    orders.lease = options_.endpoints.lease;
    orders.acknowledged = agreed_.acknowledged(view.life);
    orders.fence = term_.value();
    orders.retry = has_ending_tasks(view) ? busy_retry() : options_.idle_retry;
    const endpoint_load* load = agreed_.load_of(view.life);
    const bool may_start = may_start_tasks(view);
    std::vector<run_ref> kept;
    if (load != nullptr) {
        kept.reserve(load->runs.size());
        const std::set<run_ref> fitting = fitting_starts(view, *load);
        for (const run_ref& run : load->runs) {
            const task_place place = agreed_.find_task(run.task);
            const bool wanted = is_wanted(place) &&
                !stop_requests_.contains(run) && !declared_ended_.contains(run);
            if (wanted) {
                kept.push_back(run);
            }
            if (!wanted || !may_start || !fitting.contains(run)) {
                continue;
            }
            if (is_suspect(*place.task) && waited > fresh_report_age) {
                orders.retry = std::min(orders.retry, options_.idle_retry);
                continue;
            }
            orders.starts.push_back(
                {run, place.job->spec->payload, place.task->checkpoint, {}});
        }
    }
    std::sort(kept.begin(), kept.end());
    for (const auto& [run, progress] : view.running) {
        if (!std::binary_search(kept.begin(), kept.end(), run)) {
            orders.stops.push_back(run);
        }
    }
    return orders;
}

void engine::reply(const std::string& endpoint, instant now) {
    const auto found = held_.find(endpoint);
    held_report held = std::move(found->second);
    held_.erase(found);
    held_with_ends_.erase(endpoint);
    endpoint_view* view = endpoints_.find(endpoint);
    if (view == nullptr) {
        held.handler(endpoint_orders{});
        return;
    }
    const duration waited = now - held.received;
    const endpoint_orders orders = orders_for(*view, waited);
    std::set<run_ref> starts;
    for (const start_order& order : orders.starts) {
        starts.insert(order.run);
    }
    endpoint_table::note_reply(*view, std::move(starts), waited);
    endpoints_.extend_lease(*view, held.received);
    endpoint_table::set_report_due(*view, held.reply_by + orders.retry);
    held.handler(orders);
}

bool engine::is_acknowledged(
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
        return is_acknowledged(*view, held) &&
            agreed_batches_ - held.batches_before >= batches_to_refill;
    }
    // A start that must wait for a fresh report is due as well.
    const endpoint_orders orders = orders_for(*view, duration::zero());
    return !orders.starts.empty() || !orders.stops.empty();
}

void engine::reply_if_ready(const std::string& endpoint, instant now) {
    const auto held = held_.find(endpoint);
    if (held != held_.end() && is_ready(endpoint, held->second)) {
        reply(endpoint, now);
    }
}

void engine::reply_to_changed_endpoints(instant now) {
    for (const std::string& endpoint : std::exchange(changed_endpoints_, {})) {
        reply_if_ready(endpoint, now);
    }
}

// Called if there is no batch to commit, so the freed capacity allows no
// further start and the reports with committed ends need not be held any
// longer.
void engine::reply_to_acknowledged(instant now) {
    const std::set<std::string> waiting = held_with_ends_;
    for (const std::string& endpoint : waiting) {
        const endpoint_view* view = endpoints_.find(endpoint);
        if (view == nullptr || is_acknowledged(*view, held_.at(endpoint))) {
            reply(endpoint, now);
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
        reply(endpoint, now);
    }
}

void engine::tick(instant now) {
    if (!leads_) {
        return;
    }
    placement_due_ = true;
    reset_scan_limits();
    endpoints_.end_shared_quarantines(now);
    erase_settled_tasks(now);
    reply_to_changed_endpoints(now);
    reply_overdue(now);
}

// Based on the time that the endpoint's reports cover. Neither a silent
// endpoint nor a delay of the leader shows that a run has stalled.
bool engine::is_stalled(
    const run_progress& progress, instant observation_time) const {
    return observation_time - progress.advanced >= options_.stall_limit;
}

bool engine::is_too_slow(const run_progress& progress,
    const wire::JobStepT& step, instant observation_time) const {
    const duration passed = observation_time - progress.first_seen;
    if (passed < options_.least_observation) {
        return false;
    }
    // A run that was reset to a checkpoint has made no progress; 1 avoids a
    // division by zero.
    const std::uint32_t gained = progress.percent > progress.first_percent
        ? progress.percent - progress.first_percent
        : 1;
    const duration left = passed * (100 - progress.percent) / gained;
    const duration declared = std::chrono::milliseconds(step.estimate_ms);
    return left > declared * options_.slow_run_factor + options_.stall_limit;
}

// Requests the end of stalled and slow runs, so that their tasks restart at
// other endpoints. A task is moved for slowness only once: if it is slow at
// another endpoint as well, its declared run time was wrong. A task that may
// have copies isn't stopped: it gets a copy elsewhere while room is idle.
void engine::stop_troubled_runs(const endpoint_view& view, instant now) {
    std::vector<run_ref> troubled;
    for (const auto& [run, progress] : view.running) {
        const task_place place = agreed_.find_task(run.task);
        if (!place || place.step->long_running || place.step->gang ||
            progress.percent >= 100 || stop_requests_.contains(run) ||
            place.task->runs.size() > 1 || copies_wanted_.contains(run.task)) {
            continue;
        }
        const bool is_slow = !avoided_.contains(run.task) &&
            is_too_slow(progress, *place.step, view.observation_time);
        if (is_slow || is_stalled(progress, view.observation_time)) {
            avoided_[run.task][view.life.endpoint] = now;
            troubled.push_back(run);
        }
    }
    for (const run_ref& run : troubled) {
        if (agreed_.find_task(run.task).step->speculative) {
            copies_wanted_.insert(run.task);
        } else {
            stop_requests_.insert(run);
        }
        endpoints_.note_bad_run(view.life.endpoint, run.task.job, now);
    }
}

} // namespace dragonflymount::jobs
