// Placement of waiting tasks in order of service, within the room of endpoints
// and the limits of teams.
#include "dragonflymount/src/Jobs/Placement.hpp"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace dragonflymount::jobs {
namespace {

// Number of steps up to which the critical path is computed without a heap
// allocation.
constexpr std::size_t usual_steps = 8;

// Number of tasks of one long-running step on a VM from which on other VMs are
// preferred.
constexpr std::uint32_t max_long_running_together = 2;

bool runs_at(const wire::JobTaskT& task, const std::string& endpoint) {
    return std::any_of(task.runs.begin(), task.runs.end(),
        [&](const auto& record) { return record->endpoint == endpoint; });
}

// A limit of 0 means no limit.
bool exceeds(std::int64_t amount, std::uint64_t limit) {
    return limit > 0 && amount > static_cast<std::int64_t>(limit);
}

// Length of the critical path through the steps, in milliseconds.
// \param time_of returns the remaining time of a step, given its number.
template <class TimeOf>
std::uint64_t longest_chain(const wire::JobSpecT& spec, TimeOf time_of) {
    absl::InlinedVector<std::uint64_t, usual_steps> chains;
    std::uint64_t longest = 0;
    for (std::size_t k = 0; k < spec.steps.size(); ++k) {
        std::uint64_t before = 0;
        for (const std::uint32_t earlier : spec.steps[k]->depends_on) {
            before = std::max(before, chains[earlier]);
        }
        chains.push_back(before + time_of(k));
        longest = std::max(longest, chains.back());
    }
    return longest;
}

// The critical path through the steps that are not done.
std::uint64_t remaining_chain_ms(
    const wire::JobSpecT& spec, const wire::JobOccurrenceT& occurrence) {
    return longest_chain(spec, [&](std::size_t k) -> std::uint64_t {
        const wire::StepTasksT& group = *occurrence.steps[k];
        return group.done == group.tasks.size() ? 0
                                                : spec.steps[k]->estimate_ms;
    });
}

std::uint64_t begin_time_ms(const wire::JobT& job, std::uint32_t occurrence) {
    return job.spec->repeats > 0 ? start_time_ms(*job.spec, occurrence)
                                 : job.accepted_ms;
}

} // namespace

std::uint64_t longest_chain_ms(const wire::JobSpecT& spec) {
    return longest_chain(spec, [&](std::size_t k) -> std::uint64_t {
        return spec.steps[k]->estimate_ms;
    });
}

std::uint64_t start_time_ms(
    const wire::JobSpecT& spec, std::uint32_t occurrence) {
    constexpr std::uint64_t latest = std::numeric_limits<std::uint64_t>::max();
    const std::uint64_t room = latest - spec.start_at_ms;
    return spec.interval_ms > 0 && occurrence > room / spec.interval_ms
        ? latest
        : spec.start_at_ms + occurrence * spec.interval_ms;
}

// In a burst that exceeds the pool's capacity, an order by due time alone would
// start each job just too late, and all jobs would be late. Therefore jobs that
// can still be on time are served before jobs that can't.
occurrence_times times_of(const wire::JobT& job,
    const wire::JobOccurrenceT& occurrence, const wire::JobQueueT& queue,
    std::uint64_t now_ms) {
    const std::uint64_t begin = begin_time_ms(job, occurrence.number);
    const double chain = static_cast<double>(longest_chain_ms(*job.spec));
    const std::uint64_t objective =
        static_cast<std::uint64_t>(queue.stretch * chain) + queue.objective_ms;
    occurrence_times times;
    times.due_ms = begin + objective;
    times.remaining_ms = remaining_chain_ms(*job.spec, occurrence);
    const std::uint64_t end = now_ms + times.remaining_ms;
    if (end > times.due_ms) {
        times.predicted = end <= begin + latest_use_factor * objective
            ? timeliness::late
            : timeliness::useless;
    }
    return times;
}

placement::placement(const state& agreed, const endpoint_table& endpoints,
    const avoided_endpoints& avoided, const std::set<vm_id>& reserved,
    const place_waits& waits, instant now)
    : agreed_(agreed), endpoints_(endpoints), avoided_(avoided),
      reserved_(reserved), waits_(waits), now_(now) {}

std::vector<placed_run> placement::plan(std::size_t most) {
    collect_steps();
    if (steps_.empty()) {
        return {};
    }
    group_endpoints();
    find_awaiting_maintenance();
    find_trials();
    for (const open_step& open : steps_) {
        if (placed_.size() >= most) {
            break;
        }
        if (open.spec->gang) {
            place_gang(open);
        } else {
            place_step(open, most);
        }
    }
    return std::move(placed_);
}

void placement::group_endpoints() {
    for (const auto& [endpoint, view] : endpoints_.views()) {
        if (endpoints_.can_take_tasks(view, now_) &&
            !reserved_.contains(view.vm) &&
            !agreed_.evacuated_zones().contains(view.zone)) {
            endpoints_of_[view.pool.str()].push_back(&view);
        }
    }
}

void placement::find_awaiting_maintenance() {
    if (std::none_of(steps_.begin(), steps_.end(),
            [](const open_step& open) { return open.long_running; })) {
        return;
    }
    for (const auto& [number, wave] : agreed_.waves()) {
        std::set<std::string> ordered;
        for (const auto& step : wave.steps) {
            if (step->phase != wire::maintenance_phase::waiting) {
                ordered.insert(step->vm);
            }
        }
        for (const std::string& vm : wave.vms) {
            if (!ordered.contains(vm)) {
                awaiting_maintenance_.insert(vm);
            }
        }
    }
}

placement::pool_room& placement::room_of_pool(const std::string& pool) {
    const auto [found, inserted] = pools_.try_emplace(pool);
    pool_room& made = found->second;
    if (!inserted) {
        return made;
    }
    for (const endpoint_view* view : endpoints_of_[pool]) {
        const endpoint_load* load = agreed_.load_of(view->life);
        const bool loaded = load != nullptr;
        const resources room =
            loaded ? view->capacity - load->used : view->capacity;
        made.by_room.push_back({room.cpu_milli, made.candidates.size()});
        made.candidates.push_back(
            {view, room, loaded && load->long_running_runs > 0,
                trial_endpoints_.contains(view->life.endpoint)});
    }
    std::sort(made.by_room.begin(), made.by_room.end());
    return made;
}

void placement::take_room(
    pool_room& pool, std::size_t candidate, const resources& taken) {
    resources& room = pool.candidates[candidate].room;
    const auto begin = pool.by_room.begin();
    const auto end = pool.by_room.end();
    const auto from =
        std::lower_bound(begin, end, room_rank{room.cpu_milli, candidate});
    room -= taken;
    const room_rank moved{room.cpu_milli, candidate};
    const auto to = std::lower_bound(begin, end, moved);
    if (from < to) {
        std::rotate(from, from + 1, to);
        *(to - 1) = moved;
    } else {
        std::rotate(to, from, from + 1);
        *to = moved;
    }
}

// Among jobs that are late anyway, those within their accounts' rates go first.
// Work in time isn't reordered: while it all can be in time, a later place
// would only make some of it late.
bool placement::goes_behind(const open_step& open) {
    return open.job->beyond_rate && open.predicted != timeliness::on_time;
}

void placement::collect_steps() {
    for (const job_id id : agreed_.startable_jobs()) {
        collect_steps(*agreed_.find_job(id));
    }
    std::sort(steps_.begin(), steps_.end(),
        [](const open_step& left, const open_step& right) {
            return std::make_tuple(!left.long_running, left.priority,
                       left.predicted, goes_behind(left), left.begin_by_ms,
                       left.job->id, left.step) <
                std::make_tuple(!right.long_running, right.priority,
                    right.predicted, goes_behind(right), right.begin_by_ms,
                    right.job->id, right.step);
        });
}

void placement::collect_steps(const wire::JobT& job) {
    const wire::JobQueueT* queue = agreed_.find_queue(job.queue);
    if (queue == nullptr) {
        return;
    }
    for (const auto& occurrence : job.occurrences) {
        const occurrence_times times =
            times_of(job, *occurrence, *queue, agreed_.time_ms());
        for (std::uint32_t k = 0; k < occurrence->steps.size(); ++k) {
            const wire::StepTasksT& group = *occurrence->steps[k];
            const wire::JobStepT& step = *job.spec->steps[k];
            if (group.done == group.tasks.size() ||
                !is_ready(*occurrence, step) ||
                std::none_of(group.tasks.begin(), group.tasks.end(),
                    [](const auto& task) { return is_waiting(*task); })) {
                continue;
            }
            steps_.push_back({&job, occurrence.get(), k, &step, queue,
                step.long_running, queue->priority, times.predicted,
                times.due_ms > times.remaining_ms
                    ? times.due_ms - times.remaining_ms
                    : 0});
        }
    }
}

placement::step_spread placement::spread_of(const open_step& open) const {
    step_spread spread;
    const wire::JobStepT& step = *open.spec;
    if (step.anti_affinity == 0 && !step.rack_local && !step.long_running) {
        return spread;
    }
    for (const auto& task : open.occurrence->steps[open.step]->tasks) {
        for (const auto& run : task->runs) {
            ++spread.at_endpoint[run->endpoint];
            const auto* view = endpoints_.find_life({run->endpoint, run->life});
            if (view != nullptr) {
                spread.racks.insert(view->rack);
            }
        }
    }
    return spread;
}

placement::step_spread& placement::spread_in_round(const open_step& open) {
    const auto [found, is_new] = spreads_.try_emplace(key_of(open));
    if (is_new) {
        found->second = spread_of(open);
    }
    return found->second;
}

void placement::place_step(const open_step& open, std::size_t most) {
    if (is_refused(room_of_pool(open.queue->pool), need_of(open, 1)) ||
        !within_limit(*open.job, *open.spec, 1)) {
        return;
    }
    step_spread& spread = spread_in_round(open);
    if (open.spec->rack_local && spread.racks.empty()) {
        const rack_choice choice = choose_rack(open);
        if (choice.waits) {
            return;
        }
        if (choice.rack) {
            spread.racks.insert(*choice.rack);
        }
    }
    const auto& tasks = open.occurrence->steps[open.step]->tasks;
    for (std::uint32_t k = 0; k < tasks.size(); ++k) {
        if (placed_.size() >= most) {
            return;
        }
        if (is_waiting(*tasks[k]) && !place_task(open, k, spread) &&
            !avoids_any(open) && !is_suspect(*tasks[k]) &&
            !waiting_steps_.contains(key_of(open))) {
            return;
        }
    }
}

// Places all members of a gang or none. With partial placement, two gangs could
// each hold the room that the other one needs.
void placement::place_gang(const open_step& open) {
    const auto& tasks = open.occurrence->steps[open.step]->tasks;
    if (!std::all_of(tasks.begin(), tasks.end(),
            [](const auto& task) { return is_waiting(*task); }) ||
        is_refused(
            room_of_pool(open.queue->pool), need_of(open, tasks.size())) ||
        !within_limit(*open.job, *open.spec, tasks.size())) {
        return;
    }
    const std::size_t placed_before = placed_.size();
    std::uint32_t run = 0;
    for (const auto& task : tasks) {
        run = std::max(run, task->last_run + 1);
    }
    step_spread spread;
    for (std::uint32_t k = 0; k < tasks.size(); ++k) {
        if (!place_task(open, k, spread)) {
            undo_placements(open, placed_before);
            return;
        }
        placed_.back().run.run = run;
        ++spread.members;
    }
}

void placement::undo_placements(
    const open_step& open, std::size_t placed_before) {
    for (std::size_t k = placed_before; k < used_places_.size(); ++k) {
        take_room(*used_places_[k].pool, used_places_[k].candidate,
            resources{} - room_of(*open.spec));
        team_usage_[open.job->team] -= usage_of(*open.spec);
    }
    used_places_.resize(placed_before);
    placed_.resize(placed_before);
}

placement::refused_need placement::need_of(
    const open_step& open, std::size_t tasks) {
    return {open.spec->required_label, room_of(*open.spec), tasks};
}

bool placement::is_refused(const pool_room& pool, const refused_need& need) {
    return std::any_of(pool.refused.begin(), pool.refused.end(),
        [&](const refused_need& earlier) { return earlier.covers(need); });
}

bool placement::avoids_any(const open_step& open) const {
    const auto first = avoided_.lower_bound(
        {job_id(open.job->id), open.occurrence->number, open.step, 0});
    return first != avoided_.end() &&
        first->first.job == job_id(open.job->id) &&
        first->first.occurrence == open.occurrence->number &&
        first->first.step == open.step;
}

void placement::note_refusal(
    const open_step& open, std::size_t tasks, pool_room& pool) const {
    if (open.spec->anti_affinity > 0 || avoids_any(open)) {
        return;
    }
    const refused_need need = need_of(open, tasks);
    std::erase_if(pool.refused,
        [&](const refused_need& earlier) { return need.covers(earlier); });
    pool.refused.push_back(need);
}

bool placement::place_task(
    const open_step& open, std::uint32_t index, step_spread& spread) {
    if (!within_limit(*open.job, *open.spec, 1)) {
        return false;
    }
    const task_name name{
        job_id(open.job->id), open.occurrence->number, open.step, index};
    pool_room& pool = room_of_pool(open.queue->pool);
    const auto chosen = choose_candidate(open, name, spread, pool);
    const auto& task = *open.occurrence->steps[open.step]->tasks[index];
    if (!chosen && !is_suspect(task)) {
        note_refusal(open, spread.members + 1, pool);
        short_pools_.insert(open.queue->pool);
    }
    if (!chosen || waits_for_rack(open, *pool.candidates[*chosen].view)) {
        return false;
    }
    take_room(pool, *chosen, room_of(*open.spec));
    candidate& place = pool.candidates[*chosen];
    note_start(place, open, task);
    team_usage_[open.job->team] += usage_of(*open.spec);
    ++spread.at_endpoint[place.view->life.endpoint];
    spread.racks.insert(place.view->rack);
    placed_.push_back({{name, task.last_run + 1}, place.view->life});
    used_places_.push_back({&pool, *chosen});
    return true;
}

bool placement::may_use(const open_step& open, const task_name& name,
    const step_spread& spread, const candidate& place) const {
    const wire::JobStepT& step = *open.spec;
    const endpoint_view& view = *place.view;
    if (!room_of(step).fits(place.room) ||
        !may_start_at(open, name.index, place) ||
        runs_at(*open.occurrence->steps[open.step]->tasks[name.index],
            view.life.endpoint)) {
        return false;
    }
    if (!has_required_label(view, step)) {
        return false;
    }
    if (step.anti_affinity > 0) {
        const auto count = spread.at_endpoint.find(view.life.endpoint);
        if (count != spread.at_endpoint.end() &&
            count->second >= step.anti_affinity) {
            return false;
        }
    }
    const auto bad_run = last_bad_run(name, view.life.endpoint);
    return !bad_run || now_ - *bad_run >= avoid_time;
}

std::optional<instant> placement::last_bad_run(
    const task_name& name, const std::string& endpoint) const {
    const auto avoided = avoided_.find(name);
    if (avoided == avoided_.end()) {
        return std::nullopt;
    }
    const auto found = avoided->second.find(endpoint);
    return found == avoided->second.end() ? std::nullopt
                                          : std::optional(found->second);
}

placement::place_cost placement::cost_of(const open_step& open,
    const task_name& name, const step_spread& spread,
    const candidate& place) const {
    const wire::JobStepT& step = *open.spec;
    const endpoint_view& view = *place.view;
    place_cost cost;
    cost.avoided = last_bad_run(name, view.life.endpoint).has_value();
    const bool suspect =
        is_suspect(*open.occurrence->steps[open.step]->tasks[name.index]);
    cost.beside_start = place.on_trial || (suspect && has_new_starts(place));
    cost.endangers_long_running = suspect && place.holds_long_running;
    cost.other_rack = step.rack_local && !spread.racks.empty() &&
        !spread.racks.contains(view.rack);
    cost.off_preferred_rack =
        !step.preferred_rack.empty() && !has_label(view, step.preferred_rack);
    cost.has_bad_runs = !view.jobs_with_bad_runs.empty();
    cost.warming_up = view.warm_from > now_;
    if (step.long_running) {
        // Long-running tasks are packed on few VMs, so that the other VMs can
        // move to another pool. The number of tasks of one step on a VM is kept
        // low to limit the effect of a crash. On a VM that is still to be
        // maintained a task would soon have to move again.
        const auto same_step_runs = spread.at_endpoint.find(view.life.endpoint);
        cost.same_step_runs = same_step_runs == spread.at_endpoint.end()
            ? 0
            : same_step_runs->second;
        cost.crowded = cost.same_step_runs >= max_long_running_together;
        cost.awaits_maintenance = awaiting_maintenance_.contains(view.vm.str());
        cost.without_long_running = !place.holds_long_running;
    }
    return cost;
}

// Chooses the endpoint with the lowest cost and, among equal ones, with the
// most room, so that a crash affects few tasks.
std::optional<std::size_t> placement::choose_candidate(const open_step& open,
    const task_name& name, const step_spread& spread,
    const pool_room& pool) const {
    const resources needed = room_of(*open.spec);
    std::optional<std::size_t> best;
    place_cost least;
    for (const room_rank& rank : pool.by_room) {
        if (rank.free_cpu_milli < needed.cpu_milli) {
            break;
        }
        const candidate& place = pool.candidates[rank.candidate];
        if (!may_use(open, name, spread, place)) {
            continue;
        }
        const place_cost cost = cost_of(open, name, spread, place);
        if (!best || cost < least) {
            best = rank.candidate;
            least = cost;
        }
        if (least.is_zero()) {
            break;
        }
    }
    return best;
}

bool placement::within_limit(
    const wire::JobT& job, const wire::JobStepT& step, std::size_t tasks) {
    const wire::JobTeamT* team = agreed_.find_team(job.team);
    if (team == nullptr) {
        return true;
    }
    const auto found = team_usage_.find(job.team);
    if (found == team_usage_.end()) {
        team_usage_[job.team] = agreed_.usage_of_team(job.team);
    }
    const resources each = usage_of(step);
    const auto count = static_cast<std::int64_t>(tasks);
    const resources after = team_usage_[job.team] +
        resources{
            each.cpu_milli * count, each.memory_mb * count, each.gpus * count};
    return !exceeds(after.cpu_milli, team->cpu_limit) &&
        !exceeds(after.memory_mb, team->memory_limit) &&
        !exceeds(after.gpus, team->gpu_limit);
}

} // namespace dragonflymount::jobs
