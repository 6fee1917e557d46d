// Maintenance waves: chooses the VMs to maintain next and decides which tasks
// may be stopped for that.
#include "dragonflymount/src/Jobs/VmManager.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// Time in which a report that was in flight when a VM went down arrives.
constexpr duration late_report_time = std::chrono::seconds(1);

// Whether the log holds an order to maintain the VM.
template <class Steps>
bool is_ordered(const Steps& steps, const std::string& vm) {
    const auto found = steps.find(vm);
    return found != steps.end() &&
        found->second->phase != wire::maintenance_phase::waiting;
}

wire::MaintenanceStepT with_phase(
    wire::MaintenanceStepT step, wire::maintenance_phase phase) {
    step.phase = phase;
    return step;
}

} // namespace

const endpoint_view* vm_manager::find_vm(const vm_id& vm) const {
    const auto found = endpoint_of_.find(vm);
    return found == endpoint_of_.end() ? nullptr
                                       : jobs_.endpoints().find(found->second);
}

// Keeps the VM out of other waves until it has returned.
void vm_manager::note_ordered(const wire::MaintenanceStepT& step) {
    const vm_id vm(step.vm);
    const auto order = maintenance_orders_.find({step.wave, vm});
    if (order == maintenance_orders_.end() || !order->second.finished) {
        maintenance_ordered_.try_emplace(vm, step.wave);
    }
}

// The VM has returned from the maintenance of this step, or was removed from
// the list meanwhile.
void vm_manager::note_settled(const wire::MaintenanceStepT& step) {
    const auto found = maintenance_ordered_.find(vm_id(step.vm));
    if (found != maintenance_ordered_.end() && found->second == step.wave) {
        maintenance_ordered_.erase(found);
    }
}

void vm_manager::decide_waves(std::vector<vm_order>& orders, instant now) {
    chosen_for_wave_.clear();
    for (const auto& [number, wave] : jobs_.agreed().waves()) {
        wave_known_since_.try_emplace(number, now);
        for (const auto& step : wave.steps) {
            if (step->phase == wire::maintenance_phase::ordered) {
                note_ordered(*step);
            } else {
                note_settled(*step);
            }
        }
    }
    for (const auto& [number, wave] : jobs_.agreed().waves()) {
        if (!is_complete(wave)) {
            decide_wave(wave, orders, now);
        }
    }
}

void vm_manager::decide_wave(const wire::MaintenanceWaveT& wave,
    std::vector<vm_order>& orders, instant now) {
    vms_down down;
    for (const auto& step : wave.steps) {
        if (step->phase == wire::maintenance_phase::ordered) {
            ++(step->endpoint.empty() ? down.on_standby : down.in_pools);
            chosen_for_wave_.insert(vm_id(step->vm));
            advance_step(*step, orders, now);
        }
    }
    const step_index steps = index_steps(wave);
    for (const vm_id& vm : uncommitted_vms(wave, steps)) {
        ++(find_vm(vm) == nullptr ? down.on_standby : down.in_pools);
        chosen_for_wave_.insert(vm);
    }
    choose_next_vms(wave, steps, down, now);
}

// A wave has hundreds of VMs and, towards its end, as many steps; searching the
// steps for each VM would take the square of that in each round.
vm_manager::step_index vm_manager::index_steps(
    const wire::MaintenanceWaveT& wave) {
    step_index steps;
    for (const auto& step : wave.steps) {
        steps.emplace(step->vm, step.get());
    }
    return steps;
}

// A slow commit outlasts several decision rounds. VMs whose maintenance is in
// an uncommitted batch count as down, too, so that the rounds in between don't
// exceed the wave's limit. So do VMs that are down for another wave.
std::vector<vm_id> vm_manager::uncommitted_vms(
    const wire::MaintenanceWaveT& wave, const step_index& steps) const {
    std::vector<vm_id> uncommitted;
    for (const std::string& name : wave.vms) {
        if (!is_ordered(steps, name) &&
            maintenance_ordered_.contains(vm_id(name))) {
            uncommitted.emplace_back(name);
        }
    }
    return uncommitted;
}

// Gives the maintenance order of a step until the service confirms it, and then
// notes the VM's return. A new life without the confirmation isn't enough,
// since a VM that crashes also returns with a new life, and so does one that
// was maintained for another wave.
void vm_manager::advance_step(const wire::MaintenanceStepT& step,
    std::vector<vm_order>& orders, instant now) {
    const vm_id vm(step.vm);
    order_state& order = maintenance_orders_[{step.wave, vm}];
    order.life = {step.endpoint, step.life};
    if (order.finished) {
        return;
    }
    if (!order.confirmed) {
        if (!order.in_flight && !order.fenced && now >= order.next_attempt) {
            send({vm_order::kind::maintain, vm, pool_id(), step.wave}, order,
                orders);
        }
        return;
    }
    const endpoint_view* view = find_vm(vm);
    const bool reports_again = view != nullptr && view->life != order.life &&
        view->heard > *order.confirmed + late_report_time;
    // VMs of a standby pool report neither before nor after maintenance, so
    // their return is assumed after a fixed time.
    const bool never_reports = step.endpoint.empty() &&
        now > *order.confirmed + options_.maintenance_time + late_report_time;
    if (reports_again || never_reports) {
        jobs_.note_maintenance(
            with_phase(step, wire::maintenance_phase::returned));
        order.finished = true;
        note_settled(step);
    }
}

std::size_t vm_manager::long_running_tasks(const endpoint_view& view) const {
    const endpoint_load* load = jobs_.agreed().load_of(view.life);
    return load == nullptr ? 0 : load->long_running_runs;
}

std::size_t vm_manager::finite_tasks(const endpoint_view& view) const {
    const endpoint_load* load = jobs_.agreed().load_of(view.life);
    return load == nullptr ? 0 : load->finite_runs();
}

bool vm_manager::is_working_elsewhere(
    const task_name& name, const endpoint_view& view, instant now) const {
    const task_place place = jobs_.agreed().find_task(name);
    return std::any_of(place.task->runs.begin(), place.task->runs.end(),
        [&](const auto& record) {
            const endpoint_life life{record->endpoint, record->life};
            const auto* other = jobs_.endpoints().find_life(life);
            if (other == nullptr || life == view.life ||
                now - other->heard >
                    jobs_.endpoints().options().silence_limit ||
                maintenance_ordered_.contains(other->vm)) {
                return false;
            }
            return is_working_on(*other, {name, record->number});
        });
}

// A run counts as working from the report of 100 percent, when it has begun its
// work, until its stop is requested, even if it is still listed after that.
bool vm_manager::is_working_on(
    const endpoint_view& view, const run_ref& run) const {
    const auto listed = view.running.find(run);
    return listed != view.running.end() && listed->second.percent >= 100 &&
        !jobs_.is_stop_requested(run);
}

bool vm_manager::has_availability_budget(const task_place& place) {
    return place && place.step->max_unavailable > 0 &&
        place.job->phase == wire::job_phase::active;
}

vm_manager::step_task_counts vm_manager::count_tasks(
    const run_ref& run, const endpoint_view& view, instant now) const {
    const task_place place = jobs_.agreed().find_task(run.task);
    step_task_counts counts;
    for (std::uint32_t k = 0; k < place.group->tasks.size(); ++k) {
        task_name name = run.task;
        name.index = k;
        const auto& runs = place.group->tasks[k]->runs;
        const auto held =
            std::find_if(runs.begin(), runs.end(), [&](const auto& record) {
                return record->endpoint == view.life.endpoint &&
                    record->life == view.life.number;
            });
        const bool is_here =
            held != runs.end() && is_working_on(view, {name, (*held)->number});
        if (is_here) {
            ++counts.working_here;
        } else if (!is_working_elsewhere(name, view, now)) {
            ++counts.working_nowhere;
        }
    }
    return counts;
}

// Enforces the availability budget: the tasks of a step that are unavailable
// for any reason and those that would end on this VM together must not exceed
// the step's max_unavailable.
bool vm_manager::may_end_tasks(const endpoint_view& view, instant now) const {
    const endpoint_load* load = jobs_.agreed().load_of(view.life);
    return load == nullptr ||
        std::all_of(
            load->runs.begin(), load->runs.end(), [&](const run_ref& run) {
                const task_place place = jobs_.agreed().find_task(run.task);
                if (!has_availability_budget(place)) {
                    return true;
                }
                const step_task_counts counts = count_tasks(run, view, now);
                return counts.working_here + counts.working_nowhere <=
                    place.step->max_unavailable;
            });
}

// Stops at most one task of a VM that has more tasks of a step than may be
// unavailable at a time. The next one is stopped once the budget allows it,
// that is, after earlier ones work elsewhere.
void vm_manager::stop_next_task(const endpoint_view& view, instant now) {
    const endpoint_load* load = jobs_.agreed().load_of(view.life);
    for (const run_ref& run : load->runs) {
        const task_place place = jobs_.agreed().find_task(run.task);
        if (!has_availability_budget(place)) {
            continue;
        }
        const step_task_counts counts = count_tasks(run, view, now);
        if (counts.working_here + counts.working_nowhere >
                place.step->max_unavailable &&
            counts.working_nowhere < place.step->max_unavailable &&
            is_working_on(view, run)) {
            jobs_.request_stop(run);
            return;
        }
    }
}

vm_manager::unmaintained_vms vm_manager::collect_unmaintained(
    const wire::MaintenanceWaveT& wave, const step_index& steps, instant now) {
    unmaintained_vms unmaintained;
    for (const std::string& name : wave.vms) {
        if (is_ordered(steps, name)) {
            continue;
        }
        ++unmaintained.vm_count;
        const vm_id vm(name);
        const endpoint_view* view = find_vm(vm);
        if (maintenance_ordered_.contains(vm) ||
            now < maintenance_orders_[{wave.number, vm}].next_attempt) {
            continue;
        }
        if (view == nullptr) {
            if (is_on_standby(vm)) {
                unmaintained.on_standby.push_back(vm);
            }
        } else if (now - view->heard <
            jobs_.endpoints().options().silence_limit) {
            (long_running_tasks(*view) > 0 ? unmaintained.with_long_running
                                           : unmaintained.without_long_running)
                .push_back(view);
        }
    }
    const auto by_load = [this](const endpoint_view* one,
                             const endpoint_view* other) {
        return std::make_tuple(finite_tasks(*one), long_running_tasks(*one),
                   one->vm) < std::make_tuple(finite_tasks(*other),
                                  long_running_tasks(*other), other->vm);
    };
    std::sort(unmaintained.with_long_running.begin(),
        unmaintained.with_long_running.end(), by_load);
    std::sort(unmaintained.without_long_running.begin(),
        unmaintained.without_long_running.end(), by_load);
    return unmaintained;
}

// Chooses no more VMs of pools at a time than completing the wave in the
// remaining time requires, since each one reduces its pool's capacity. Some VMs
// with long-running tasks come first, because each such task has to work
// elsewhere before the next of its step is stopped, which takes the longest.
// VMs on standby use only what they leave of the wave's limit.
void vm_manager::choose_next_vms(const wire::MaintenanceWaveT& wave,
    const step_index& steps, vms_down down, instant now) {
    const unmaintained_vms unmaintained =
        collect_unmaintained(wave, steps, now);
    const std::uint64_t passed = jobs_.agreed().time_ms() - wave.started_ms;
    const auto goal = wave.duration_ms *
        static_cast<std::uint64_t>(options_.wave_time_percent) / 100;
    const std::uint64_t time_left = goal > passed ? goal - passed : 0;
    const std::uint64_t each =
        to_wire_ms(options_.maintenance_time + options_.drain_time);
    const std::size_t rounds =
        std::max<std::size_t>(1, static_cast<std::size_t>(time_left / each));
    const std::size_t most = std::max<std::size_t>(1, wave.most_down);
    const auto share_of_round = [rounds](std::size_t vms) {
        return (vms + rounds - 1) / rounds;
    };
    const bool urgent = passed + each >= wave.duration_ms;
    const std::size_t at_once =
        share_of_round(unmaintained.vm_count - unmaintained.on_standby.size());
    const auto prepare = [&](const endpoint_view* view) {
        if (down.count() < most && down.in_pools < at_once) {
            down.in_pools +=
                prepare_maintenance(wave.number, *view, urgent, now) ? 1 : 0;
        }
    };
    const auto& long_running = unmaintained.with_long_running;
    const auto first =
        static_cast<std::ptrdiff_t>(share_of_round(long_running.size()));
    const std::size_t down_before = down.in_pools;
    std::for_each(long_running.begin(), long_running.begin() + first, prepare);
    // Each VM whose tasks may not end yet keeps its place.
    const std::size_t kept = std::min(
        static_cast<std::size_t>(first) - (down.in_pools - down_before),
        most / 2);
    for (const vm_id& vm : unmaintained.on_standby) {
        if (down.count() + kept < most) {
            ++down.on_standby;
            chosen_for_wave_.insert(vm);
            order_maintenance(wave.number, vm, {}, now);
        }
    }
    std::for_each(unmaintained.without_long_running.begin(),
        unmaintained.without_long_running.end(), prepare);
    std::for_each(long_running.begin() + first, long_running.end(), prepare);
}

// Reserves the VM and orders its maintenance once its tasks allow it.
// \returns whether the VM counts against the limit of VMs down from now on.
bool vm_manager::prepare_maintenance(
    std::uint64_t wave, const endpoint_view& view, bool urgent, instant now) {
    chosen_for_wave_.insert(view.vm);
    if (!may_end_tasks(view, now)) {
        if (is_reservation_settled(view.vm, now)) {
            stop_next_task(view, now);
        }
        return false;
    }
    if ((finite_tasks(view) == 0 || urgent) &&
        is_reservation_settled(view.vm, now)) {
        order_maintenance(wave, view.vm, view.life, now);
    }
    return true;
}

bool vm_manager::is_on_standby(const vm_id& vm) const {
    const auto record = list_.find(vm);
    return record != list_.end() && is_on_standby(record->second);
}

bool vm_manager::is_on_standby(const vm_record& record) const {
    const std::string* standby = standby_pool();
    return standby != nullptr && record.condition == vm_condition::up &&
        record.pool.str() == *standby && !move_targets_.contains(record.vm);
}

void vm_manager::order_maintenance(std::uint64_t wave, const vm_id& vm,
    const endpoint_life& life, instant now) {
    wire::MaintenanceStepT step;
    step.wave = wave;
    step.vm = vm.str();
    step.phase = wire::maintenance_phase::ordered;
    step.endpoint = life.endpoint;
    step.life = life.number;
    // Keeps the VM from being chosen again before the batch is committed.
    maintenance_ordered_.try_emplace(vm, wave);
    order_state& order = maintenance_orders_[{wave, vm}];
    order = {};
    order.next_attempt = now + options_.retry_interval;
    jobs_.note_maintenance(step);
}

} // namespace dragonflymount::jobs
