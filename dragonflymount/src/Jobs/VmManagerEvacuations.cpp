// Empties the pools' VMs in zones under evacuation. Tasks that end by
// themselves do so; long-running tasks move to other zones, each step's within
// its availability budget; VMs without tasks move to standby.
#include "dragonflymount/src/Jobs/VmManager.hpp"

#include <algorithm>

namespace dragonflymount::jobs {

void vm_manager::empty_evacuated_zones(
    std::vector<vm_order>& orders, instant now) {
    const std::string* standby = standby_pool();
    for (const auto& [name, pool] : pools_) {
        for (const endpoint_view* view : pool.evacuated) {
            move_long_running_tasks(pool, *view, now);
            const bool is_empty = jobs_.agreed().load_of(view->life) == nullptr;
            if (is_empty && standby != nullptr && name != *standby &&
                !view->vm.empty() && !chosen_for_move_.contains(view->vm) &&
                spend_order(now)) {
                chosen_for_move_.insert(view->vm);
                order_move(view->vm, *standby, view->life, orders);
            }
        }
    }
}

void vm_manager::move_long_running_tasks(
    const pool_state& pool, const endpoint_view& view, instant now) {
    const endpoint_load* load = jobs_.agreed().load_of(view.life);
    if (load == nullptr || load->long_running_runs == 0) {
        return;
    }
    for (const run_ref& run : load->runs) {
        if (may_move_task(pool, view, run, now)) {
            jobs_.request_stop(run);
        }
    }
}

// A task isn't stopped before it is known to find room elsewhere. Of a step
// without a budget, one task moves at a time.
bool vm_manager::may_move_task(const pool_state& pool,
    const endpoint_view& view, const run_ref& run, instant now) const {
    const task_place task = jobs_.agreed().find_task(run.task);
    if (!is_wanted(task) || !task.step->long_running ||
        !is_working_on(view, run)) {
        return false;
    }
    const std::uint32_t budget = std::max(1U, task.step->max_unavailable);
    return count_tasks(run, view, now).working_nowhere < budget &&
        has_place_in(pool, run.task);
}

// Counts the places that are left beside those for the step's tasks that have
// none: stopped ones are placed only in later batches. Tasks of other steps may
// still take them.
bool vm_manager::has_place_in(
    const pool_state& pool, const task_name& name) const {
    const task_place task = jobs_.agreed().find_task(name);
    std::size_t places = 0;
    for (const endpoint_view* view : pool.members) {
        places += places_at(*view, task);
    }
    return places > tasks_without_place(name);
}

std::size_t vm_manager::tasks_without_place(const task_name& name) const {
    const task_place place = jobs_.agreed().find_task(name);
    std::size_t count = 0;
    for (std::uint32_t k = 0; k < place.group->tasks.size(); ++k) {
        task_name each = name;
        each.index = k;
        const auto& runs = place.group->tasks[k]->runs;
        const bool stays =
            std::any_of(runs.begin(), runs.end(), [&](const auto& record) {
                return !jobs_.is_stop_requested({each, record->number});
            });
        count += stays ? 0 : 1;
    }
    return count;
}

// Returns for how many more tasks of the step the endpoint has room.
std::size_t vm_manager::places_at(
    const endpoint_view& view, const task_place& task) const {
    const wire::JobStepT& step = *task.step;
    if (!has_required_label(view, step) || chosen_for_move_.contains(view.vm)) {
        return 0;
    }
    std::size_t most = task.group->tasks.size();
    if (step.anti_affinity > 0) {
        const auto held =
            static_cast<std::size_t>(std::count_if(task.group->tasks.begin(),
                task.group->tasks.end(), [&](const auto& each) {
                    return std::any_of(each->runs.begin(), each->runs.end(),
                        [&](const auto& record) {
                            return record->endpoint == view.life.endpoint;
                        });
                }));
        most = step.anti_affinity -
            std::min<std::size_t>(held, step.anti_affinity);
    }
    const endpoint_load* load = jobs_.agreed().load_of(view.life);
    resources room =
        load == nullptr ? view.capacity : view.capacity - load->used;
    std::size_t places = 0;
    for (; places < most && room_of(step).fits(room); ++places) {
        room -= room_of(step);
    }
    return places;
}

} // namespace dragonflymount::jobs
