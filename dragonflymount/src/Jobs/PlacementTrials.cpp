// Placement of tasks under which endpoints have crashed. A strong suspect
// starts where nothing else starts until a report lists it, so that a further
// crash shows whether it is the cause and nothing else is blamed. That takes
// about one report interval. Long-running tasks must not wait for it and a gang
// starts as a whole; both only prefer such a place. Every suspect prefers to
// stay away from long-running tasks.
#include "dragonflymount/src/Jobs/Placement.hpp"

#include <algorithm>

namespace dragonflymount::jobs {

void placement::find_trials() {
    for (const task_name& name : agreed_.suspects()) {
        const task_place place = agreed_.find_task(name);
        if (!place || !is_strong_suspect(*place.task)) {
            continue;
        }
        for (const auto& run : place.task->runs) {
            const auto* view = endpoints_.find_life({run->endpoint, run->life});
            if (view != nullptr &&
                !has_survived_start(*view, {name, run->number})) {
                trial_endpoints_.insert(run->endpoint);
            }
        }
    }
}

bool placement::may_start_at(
    const open_step& open, std::uint32_t index, const candidate& place) const {
    if (open.spec->long_running || open.spec->gang) {
        return true;
    }
    const auto& task = *open.occurrence->steps[open.step]->tasks[index];
    return !place.on_trial &&
        !(is_strong_suspect(task) && has_new_starts(place));
}

bool placement::has_new_starts(const candidate& place) const {
    if (place.started_now) {
        return true;
    }
    const endpoint_load* load = agreed_.load_of(place.view->life);
    return load != nullptr &&
        std::any_of(
            load->runs.begin(), load->runs.end(), [&](const run_ref& run) {
                return !has_survived_start(*place.view, run);
            });
}

void placement::note_start(
    candidate& place, const open_step& open, const wire::JobTaskT& task) {
    place.holds_long_running =
        place.holds_long_running || open.spec->long_running;
    place.on_trial = place.on_trial || is_strong_suspect(task);
    place.started_now = true;
}

} // namespace dragonflymount::jobs
