// Copies of lagging tasks whose step allows several runs at once. The first run
// that is done counts; the other one is stopped then.
#include "dragonflymount/src/Jobs/Placement.hpp"

namespace dragonflymount::jobs {

std::optional<placement::open_step> placement::step_of(
    const task_place& place) const {
    const wire::JobQueueT* queue = agreed_.find_queue(place.job->queue);
    if (queue == nullptr) {
        return std::nullopt;
    }
    open_step open;
    open.job = place.job;
    open.occurrence = place.occurrence;
    while (place.job->spec->steps[open.step].get() != place.step) {
        ++open.step;
    }
    open.spec = place.step;
    open.queue = queue;
    open.priority = queue->priority;
    return open;
}

std::vector<placed_run> placement::plan_copies(
    const std::set<task_name>& tasks, std::size_t most) {
    if (steps_.empty()) {
        group_endpoints();
        find_trials();
    }
    placed_.clear();
    used_places_.clear();
    for (const task_name& name : tasks) {
        if (placed_.size() >= most) {
            break;
        }
        place_copy(name);
    }
    return std::move(placed_);
}

// A copy is worth less than any waiting task, so it takes only room that no
// other task wants.
bool placement::place_copy(const task_name& name) {
    const task_place place = agreed_.find_task(name);
    if (!is_wanted(place) || place.task->runs.size() != 1) {
        return false;
    }
    const auto open = step_of(place);
    if (!open || short_pools_.contains(open->queue->pool)) {
        return false;
    }
    const bool placed = place_task(*open, name.index, spread_in_round(*open));
    short_pools_.erase(open->queue->pool);
    return placed;
}

} // namespace dragonflymount::jobs
