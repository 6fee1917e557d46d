// Measures what the jobs of each pool's queues need, in VMs of the usual
// capacity.
//
// A pool needs VMs for its long-running tasks, for work that can be on time,
// and for late work. Work that will arrive before another VM can help counts as
// well, see vms_in_time.
#include "dragonflymount/src/Jobs/VmManager.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflymount::jobs {
namespace {

// With fewer VMs a pool could not absorb the loss of one.
constexpr std::size_t min_pool_size = 3;

// A larger need, of tasks that ask for more than any VM has, exceeds the range
// of the count.
constexpr double max_demand_vms = 1'000'000;

// Time from a VM's arrival in a pool until it takes tasks: its first report, a
// placement round and its commit.
constexpr duration join_time = std::chrono::milliseconds(500);

// Time constant of the mean over which the rate of arriving work is measured.
constexpr double rate_window_ms = 700;

// The share of the need that the limit admits. A limit of 0 means no limit.
double share_within(std::int64_t need, std::uint64_t limit) {
    return limit == 0 || need <= static_cast<std::int64_t>(limit)
        ? 1.0
        : static_cast<double>(limit) / static_cast<double>(need);
}

double fraction_of(std::int64_t amount, std::int64_t capacity) {
    return capacity == 0
        ? 0.0
        : static_cast<double>(amount) / static_cast<double>(capacity);
}

std::int64_t open_tasks(const wire::StepTasksT& group) {
    return static_cast<std::int64_t>(group.tasks.size()) - group.done;
}

// A running task counts as half done, the mean over all moments of its run.
double remaining_tasks(const wire::StepTasksT& group) {
    const auto waiting = std::count_if(group.tasks.begin(), group.tasks.end(),
        [](const auto& task) { return is_waiting(*task); });
    const auto open = static_cast<double>(open_tasks(group));
    return (open + static_cast<double>(waiting)) / 2;
}

// For each resource, the most that the open tasks of one step of the occurrence
// count against the team's limit.
resources widest_usage(
    const wire::JobT& job, const wire::JobOccurrenceT& occurrence) {
    resources widest;
    for (std::size_t k = 0; k < occurrence.steps.size(); ++k) {
        const resources each = usage_of(*job.spec->steps[k]);
        const std::int64_t count = open_tasks(*occurrence.steps[k]);
        widest.cpu_milli = std::max(widest.cpu_milli, each.cpu_milli * count);
        widest.memory_mb = std::max(widest.memory_mb, each.memory_mb * count);
        widest.gpus = std::max(widest.gpus, each.gpus * count);
    }
    return widest;
}

} // namespace

// Measured in the resource of which a task needs the largest share of a VM.
double vm_manager::vm_share(const wire::JobStepT& step) const {
    const resources each = room_of(step);
    return std::max({fraction_of(each.cpu_milli, usual_capacity_.cpu_milli),
        fraction_of(each.memory_mb, usual_capacity_.memory_mb),
        fraction_of(each.gpus, usual_capacity_.gpus)});
}

void vm_manager::vm_need::add(const vm_need& other, double share) {
    long_running_vms += other.long_running_vms * share;
    late += other.late * share;
    arrival_rate += other.arrival_rate * share;
    weighted_within_ms += other.weighted_within_ms * share;
    recent_jobs += other.recent_jobs;
    for (const timed_work& part : other.timely) {
        timely.push_back({part.within_ms, part.vm_ms * share});
    }
}

// A rate that rests on few jobs is uncertain, and a single job shows none.
work_outlook vm_manager::vm_need::outlook() const {
    if (recent_jobs <= 1) {
        return {timely, 0, 0};
    }
    return {timely, arrival_rate * (recent_jobs - 1) / recent_jobs,
        weighted_within_ms / arrival_rate};
}

void vm_manager::measure_job(const wire::JobT& job, need_map& needs) {
    const wire::JobQueueT* queue = jobs_.agreed().find_queue(job.queue);
    if (queue == nullptr) {
        return;
    }
    pool_state& pool = pools_[queue->pool];
    team_need& team = needs[job.team];
    vm_need& need = team.by_pool[queue->pool];
    for (const auto& occurrence : job.occurrences) {
        for (std::size_t k = 0; k < occurrence->steps.size(); ++k) {
            const wire::JobStepT& step = *job.spec->steps[k];
            if (step.long_running && step.anti_affinity > 0) {
                const std::uint32_t rest = step.count % step.anti_affinity;
                pool.least = std::max(pool.least,
                    step.count / step.anti_affinity + (rest > 0 ? 1 : 0));
            }
        }
        measure_occurrence(job, *occurrence, *queue, need);
        team.usage += widest_usage(job, *occurrence);
    }
}

// The steps of an occurrence mostly run one after the other, so its widest step
// is counted as its need at any one time.
void vm_manager::measure_occurrence(const wire::JobT& job,
    const wire::JobOccurrenceT& occurrence, const wire::JobQueueT& queue,
    vm_need& need) const {
    double widest = 0;
    double vm_ms = 0;
    for (std::size_t k = 0; k < occurrence.steps.size(); ++k) {
        const wire::JobStepT& step = *job.spec->steps[k];
        const wire::StepTasksT& group = *occurrence.steps[k];
        const double vms =
            vm_share(step) * static_cast<double>(open_tasks(group));
        if (step.long_running) {
            need.long_running_vms += vms;
            continue;
        }
        widest = std::max(widest, vms);
        vm_ms += vm_share(step) * remaining_tasks(group) * step.estimate_ms;
    }
    const occurrence_times times =
        times_of(job, occurrence, queue, jobs_.agreed().time_ms());
    if (times.predicted != timeliness::on_time) {
        const auto horizon_ms =
            static_cast<double>(to_wire_ms(options_.late_horizon));
        need.late += std::min(widest, vm_ms / horizon_ms);
        return;
    }
    need.timely.push_back({times.remaining_ms, vm_ms});
    measure_arrival(job, occurrence, need);
}

// The rate is a mean over past arrivals whose weight falls exponentially with
// their age, so that it follows a turn of demand within a second. It rests on
// agreed times only, so a new leader knows it at once.
void vm_manager::measure_arrival(const wire::JobT& job,
    const wire::JobOccurrenceT& occurrence, vm_need& need) const {
    const auto age_ms =
        static_cast<double>(jobs_.agreed().time_ms() - job.accepted_ms);
    if (job.spec->repeats > 0 || age_ms > 4 * rate_window_ms) {
        return;
    }
    double vm_ms = 0;
    for (std::size_t k = 0; k < occurrence.steps.size(); ++k) {
        const wire::JobStepT& step = *job.spec->steps[k];
        if (!step.long_running) {
            vm_ms += vm_share(step) * step.count * step.estimate_ms;
        }
    }
    const double weight = std::exp(-age_ms / rate_window_ms);
    const double rate = vm_ms * weight / rate_window_ms;
    need.arrival_rate += rate;
    need.recent_jobs += vm_ms > 0 ? weight : 0;
    need.weighted_within_ms +=
        rate * static_cast<double>(longest_chain_ms(*job.spec));
}

// Scales down the need of a team that exceeds its limit, since the team can't
// use more capacity.
void vm_manager::add_needs(const need_map& needs) {
    for (const auto& [name, need] : needs) {
        const wire::JobTeamT* team = jobs_.agreed().find_team(name);
        const double share = team == nullptr
            ? 1.0
            : std::min({share_within(need.usage.cpu_milli, team->cpu_limit),
                  share_within(need.usage.memory_mb, team->memory_limit),
                  share_within(need.usage.gpus, team->gpu_limit)});
        for (const auto& [pool, vms] : need.by_pool) {
            pools_[pool].need.add(vms, share);
        }
    }
}

// Before the first endpoint has reported, the listed capacities are used.
void vm_manager::measure_usual_capacity() {
    resources total;
    std::int64_t count = 0;
    for (const auto& [endpoint, view] : jobs_.endpoints().views()) {
        total += view.capacity;
        ++count;
    }
    if (count == 0) {
        for (const auto& [vm, record] : list_) {
            total += record.capacity;
            ++count;
        }
    }
    if (count > 0) {
        usual_capacity_ = {total.cpu_milli / count, total.memory_mb / count,
            total.gpus / count};
    }
}

pool_demand vm_manager::demand_of(const pool_state& pool) const {
    const double padding =
        1.0 + static_cast<double>(options_.headroom_percent) / 100.0;
    const auto whole_vms = [padding](double vms) {
        return static_cast<std::size_t>(
            std::min(std::ceil(vms * padding), max_demand_vms));
    };
    pool_demand demand;
    demand.least = std::max<std::size_t>(min_pool_size, pool.least);
    const vm_need& need = pool.need;
    const double working = std::max(
        0.0, static_cast<double>(pool.members.size()) - need.long_running_vms);
    const auto order_ms =
        static_cast<double>(to_wire_ms(options_.move_time + join_time));
    const double timely = need.long_running_vms +
        vms_in_time(need.outlook(), {working, order_ms});
    demand.timely = std::max(demand.least, whole_vms(timely));
    demand.all = std::max(demand.timely, whole_vms(timely + need.late));
    return demand;
}

} // namespace dragonflymount::jobs
