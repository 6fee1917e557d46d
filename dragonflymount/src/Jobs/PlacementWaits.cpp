// Waits for a near place: a task that runs faster near its data, or a group of
// tasks that runs faster on one rack, waits while the expected wait costs less
// than the slower run elsewhere.
#include "dragonflymount/src/Jobs/Placement.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// Progress in percent from which a run's rate is used in place of its declared
// run time.
constexpr std::uint32_t least_progress = 10;

// The part of its declared run time that a run is expected to need still once
// it has exceeded that time.
constexpr double overdue_share = 0.25;

double milliseconds(duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

// The time that a run needs still, by its progress or by its declared run time.
double placement::remaining_ms(
    const endpoint_view& view, const run_ref& run) const {
    const task_place place = agreed_.find_task(run.task);
    if (!place) {
        return 0;
    }
    const double declared_ms = place.step->estimate_ms;
    const auto listed = view.running.find(run);
    if (listed == view.running.end()) {
        return declared_ms;
    }
    const run_progress& progress = listed->second;
    const double since_report_ms = milliseconds(now_ - view.heard);
    const double seen_ms =
        milliseconds(view.observation_time - progress.first_seen);
    const std::uint32_t gained = progress.percent - progress.first_percent;
    const double left_ms =
        progress.percent >= progress.first_percent && gained >= least_progress
        ? seen_ms * (100.0 - std::min(100U, progress.percent)) / gained
        : declared_ms - seen_ms;
    return std::max(left_ms - since_report_ms, overdue_share * declared_ms);
}

rack_forecast placement::make_forecast(const pool_room& pool,
    const std::function<bool(const endpoint_view&)>& is_near) const {
    rack_forecast forecast;
    for (const candidate& place : pool.candidates) {
        if (!is_near(*place.view)) {
            continue;
        }
        std::vector<room_release> releases;
        const endpoint_load* load = agreed_.load_of(place.view->life);
        for (const run_ref& run :
            load == nullptr ? std::vector<run_ref>{} : load->runs) {
            const task_place task = agreed_.find_task(run.task);
            if (task && !task.step->long_running) {
                releases.push_back(
                    {remaining_ms(*place.view, run), room_of(*task.step)});
            }
        }
        forecast.add_endpoint(place.room, std::move(releases));
    }
    return forecast;
}

rack_forecast& placement::forecast_of(
    const std::string& pool, const std::string& label) {
    const auto [found, is_new] = forecasts_.try_emplace({pool, label});
    if (is_new) {
        found->second =
            make_forecast(pools_[pool], [&label](const endpoint_view& view) {
                return has_label(view, label);
            });
    }
    return found->second;
}

double placement::waited_ms(const open_step& open) const {
    const auto begun = waits_.begun.find(key_of(open));
    return begun == waits_.begun.end() ? 0 : milliseconds(now_ - begun->second);
}

step_key placement::key_of(const open_step& open) {
    return {job_id(open.job->id), open.occurrence->number, open.step};
}

// Books the near place for a task that waits, so that the next task counts with
// a longer wait.
bool placement::waits_for_rack(
    const open_step& open, const endpoint_view& free) {
    const wire::JobStepT& step = *open.spec;
    if (waits_.remote_factor <= 1 || step.preferred_rack.empty() ||
        step.long_running || has_label(free, step.preferred_rack)) {
        return false;
    }
    rack_forecast& near = forecast_of(open.queue->pool, step.preferred_rack);
    const auto place = near.earliest(room_of(step));
    const double run_ms = step.estimate_ms;
    if (!place ||
        !wait_pays(
            {place->in_ms, run_ms, waits_.remote_factor, waited_ms(open)})) {
        return false;
    }
    near.book(*place, room_of(step), run_ms);
    waiting_steps_.insert(key_of(open));
    return true;
}

std::size_t placement::tasks_that_fit(
    const pool_room& pool, const rack_id& rack, const open_step& open) const {
    const resources need = room_of(*open.spec);
    std::size_t count = 0;
    for (const candidate& place : pool.candidates) {
        if (place.view->rack != rack ||
            !has_required_label(*place.view, *open.spec)) {
            continue;
        }
        std::size_t here = 0;
        resources room = place.room;
        const std::size_t most = open.spec->anti_affinity > 0
            ? open.spec->anti_affinity
            : open.spec->count;
        while (here < most && need.fits(room)) {
            room -= need;
            ++here;
        }
        count += here;
    }
    return count;
}

// Chooses the rack for a step that runs faster on a single one and none of
// whose tasks runs yet.
placement::rack_choice placement::choose_rack(const open_step& open) {
    const pool_room& pool = room_of_pool(open.queue->pool);
    std::set<rack_id> racks;
    for (const candidate& place : pool.candidates) {
        racks.insert(place.view->rack);
    }
    const std::size_t tasks = open.occurrence->steps[open.step]->tasks.size();
    for (const rack_id& rack : racks) {
        if (tasks_that_fit(pool, rack, open) >= tasks) {
            return {rack, false};
        }
    }
    if (open.spec->anti_affinity > 0 || waits_.remote_factor <= 1) {
        return {};
    }
    const double run_ms = open.spec->estimate_ms;
    for (const rack_id& rack : racks) {
        rack_forecast forecast =
            make_forecast(pool, [&](const endpoint_view& view) {
                return view.rack == rack &&
                    has_required_label(view, *open.spec);
            });
        std::optional<rack_place> last;
        for (std::size_t k = 0; k < tasks; ++k) {
            last = forecast.earliest(room_of(*open.spec));
            if (!last) {
                break;
            }
            forecast.book(*last, room_of(*open.spec), run_ms);
        }
        if (last &&
            wait_pays(
                {last->in_ms, run_ms, waits_.remote_factor, waited_ms(open)})) {
            waiting_steps_.insert(key_of(open));
            return {rack, true};
        }
    }
    return {};
}

} // namespace dragonflymount::jobs
