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
        has_place_in(pool, task);
}

bool vm_manager::has_place_in(
    const pool_state& pool, const task_place& task) const {
    const wire::JobStepT& step = *task.step;
    const auto tasks_at = [&](const endpoint_view& view) {
        return std::count_if(task.group->tasks.begin(), task.group->tasks.end(),
            [&](const auto& each) {
                return std::any_of(each->runs.begin(), each->runs.end(),
                    [&](const auto& record) {
                        return record->endpoint == view.life.endpoint;
                    });
            });
    };
    return std::any_of(pool.members.begin(), pool.members.end(),
        [&](const endpoint_view* view) {
            const endpoint_load* load = jobs_.agreed().load_of(view->life);
            const resources room =
                load == nullptr ? view->capacity : view->capacity - load->used;
            return room_of(step).fits(room) &&
                has_required_label(*view, step) &&
                !chosen_for_move_.contains(view->vm) &&
                (step.anti_affinity == 0 ||
                    tasks_at(*view) <
                        static_cast<std::ptrdiff_t>(step.anti_affinity));
        });
}

} // namespace dragonflymount::jobs
