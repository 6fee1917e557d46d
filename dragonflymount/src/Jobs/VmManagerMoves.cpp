// Moves VMs between pools according to the need of each pool's queues.
//
// Bursts occur in the queues of different pools at different times. A burst
// needs more VMs than its pool usually has, while the other pools need few.
// Unused VMs cost as much as used ones, so they move to a pool that has work,
// or to the standby pool.
#include "dragonflymount/src/Jobs/VmManager.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflymount::jobs {
namespace {

// With fewer VMs a pool could not absorb the loss of one.
constexpr std::size_t min_pool_size = 3;

// Timeout of an endpoint's call to a replica that doesn't answer.
constexpr duration call_timeout = std::chrono::seconds(1);

// Time from a VM's arrival in a pool until it takes tasks: its first report, a
// placement round and its commit.
constexpr duration join_time = std::chrono::milliseconds(500);

// Time constant of the mean over which the rate of arriving work is measured.
constexpr double rate_window_ms = 700;

// In a pool without room for waiting tasks, one in this many VMs may drain at a
// time.
constexpr std::size_t draining_divisor = 4;

// Capacity of the token bucket, in seconds of the order rate: the burst of
// orders that may follow an idle time.
constexpr double order_burst_seconds = 0.5;

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

const std::string* vm_manager::standby_pool() const {
    for (const auto& pool : jobs_.agreed().catalogue().pools) {
        if (pool->standby) {
            return &pool->name;
        }
    }
    return nullptr;
}

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
                pool.least = std::max(pool.least,
                    (step.count + step.anti_affinity - 1) / step.anti_affinity);
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
    const std::uint64_t now_ms = jobs_.agreed().time_ms();
    if (predict_timeliness(job, occurrence, queue, now_ms) !=
        timeliness::on_time) {
        const auto horizon_ms =
            static_cast<double>(to_wire_ms(options_.late_horizon));
        need.late += std::min(widest, vm_ms / horizon_ms);
        return;
    }
    need.timely.push_back({remaining_chain_ms(*job.spec, occurrence), vm_ms});
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

void vm_manager::measure_pools(instant now) {
    pools_.clear();
    measure_usual_capacity();
    for (const auto& [endpoint, view] : jobs_.endpoints().views()) {
        // VMs that are moving or chosen for maintenance provide no capacity.
        if (jobs_.endpoints().can_take_tasks(view, now) &&
            !move_targets_.contains(view.vm) &&
            !chosen_for_wave_.contains(view.vm)) {
            pools_[view.pool.str()].members.push_back(&view);
        }
    }
    for (const auto& [vm, pool] : move_targets_) {
        ++pools_[pool.str()].arriving;
    }
    count_unheard(now);
    need_map needs;
    for (const job_id id : jobs_.agreed().active_jobs()) {
        measure_job(*jobs_.agreed().find_job(id), needs);
    }
    add_needs(needs);
    divide_among_pools(now);
}

pool_demand vm_manager::demand_of(const pool_state& pool) const {
    const double padding =
        1.0 + static_cast<double>(options_.headroom_percent) / 100.0;
    const auto whole_vms = [padding](double vms) {
        return static_cast<std::size_t>(std::ceil(vms * padding));
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

// Divides the VMs among all pools except standby, to which surplus VMs move.
void vm_manager::divide_among_pools(instant now) {
    const std::string* standby = standby_pool();
    std::vector<pool_state*> sharing;
    summaries_.clear();
    std::vector<pool_demand> demands;
    std::size_t vms = free_standby_vms();
    for (auto& [name, pool] : pools_) {
        if (standby != nullptr && name == *standby) {
            continue;
        }
        vms += pool.vm_count();
        sharing.push_back(&pool);
        demands.push_back(demand_of(pool));
        summaries_.push_back({name, pool.members.size(), pool.arriving,
            pool.unheard, 0, demands.back()});
    }
    const std::vector<std::size_t> shares = divide_vms(demands, vms);
    for (std::size_t k = 0; k < sharing.size(); ++k) {
        sharing[k]->wanted = shares[k];
        summaries_[k].wanted = shares[k];
        sharing[k]->peak_wanted =
            recent_wanted(summaries_[k].pool, shares[k], now);
    }
}

// Returns the peak of the current and the previous window. This hysteresis
// keeps single jobs from moving VMs to standby and back.
std::size_t vm_manager::recent_wanted(
    const std::string& name, std::size_t wanted, instant now) {
    recent_peak& peak = peaks_[name];
    if (now - peak.began >= options_.surplus_time) {
        peak.before = peak.present;
        peak.present = 0;
        peak.began = now;
    }
    peak.present = std::max(peak.present, wanted);
    return std::max(peak.present, peak.before);
}

bool vm_manager::is_free(const vm_record& record) const {
    return is_on_standby(record.vm) && !chosen_for_wave_.contains(record.vm) &&
        find_vm(record.vm) == nullptr;
}

std::size_t vm_manager::free_standby_vms() const {
    return static_cast<std::size_t>(std::count_if(list_.begin(), list_.end(),
        [this](const auto& entry) { return is_free(entry.second); }));
}

// Takes one order from the token bucket. The service refuses orders beyond its
// rate limit, and a refused order may be retried after less important ones.
bool vm_manager::spend_order(instant now) {
    const auto passed =
        std::chrono::duration<double>(now - budget_filled_).count();
    budget_filled_ = now;
    order_budget_ = std::min(options_.orders_per_second * order_burst_seconds,
        order_budget_ + passed * options_.orders_per_second);
    if (order_budget_ < 1) {
        return false;
    }
    order_budget_ -= 1;
    return true;
}

bool vm_manager::has_reached_standby(
    const pool_id& target, const order_state& order, instant now) const {
    const std::string* standby = standby_pool();
    return standby != nullptr && target.str() == *standby && order.confirmed &&
        now - *order.confirmed > outcome_time();
}

// Removes the moves that have ended: the VM reports from its new pool, the
// order failed, or the move is overdue. VMs on standby never report, so their
// move ends once outcome_time has passed since its confirmation.
void vm_manager::remove_ended_moves(instant now) {
    std::erase_if(move_targets_, [&](const auto& entry) {
        const endpoint_view* view = find_vm(entry.first);
        const bool arrived = view != nullptr && view->pool == entry.second;
        const auto order = move_orders_.find(entry.first);
        const bool given_up = order != move_orders_.end() &&
            !order->second.in_flight && !order->second.confirmed;
        const bool overdue = order != move_orders_.end() &&
            order->second.confirmed &&
            now - *order->second.confirmed > options_.list_interval;
        const bool reached_standby = order != move_orders_.end() &&
            has_reached_standby(entry.second, order->second, now);
        if (arrived || given_up || overdue || reached_standby) {
            move_orders_.erase(entry.first);
            return true;
        }
        return false;
    });
}

// A new leader hears the endpoints one after the other. A VM that is listed as
// up in a pool and hasn't reported yet counts as held by that pool, so that no
// other VM is moved there in its place. After the time in which a new leader
// hears every endpoint, including those whose first call goes to a failed
// replica, such a VM counts as lost.
void vm_manager::count_unheard(instant now) {
    if (now - led_since_ >= options_.report_interval + call_timeout) {
        return;
    }
    for (const auto& [vm, record] : list_) {
        if (record.condition == vm_condition::up && find_vm(vm) == nullptr &&
            !move_targets_.contains(vm) && !chosen_for_wave_.contains(vm)) {
            ++pools_[record.pool.str()].unheard;
        }
    }
}

void vm_manager::decide_moves(std::vector<vm_order>& orders, instant now) {
    if (list_.empty()) {
        return;
    }
    measure_pools(now);
    const std::string* standby = standby_pool();
    std::vector<std::string> short_pools;
    for (const auto& [name, pool] : pools_) {
        if ((standby == nullptr || name != *standby) && missing_vms(pool) > 0) {
            short_pools.push_back(name);
        }
    }
    std::sort(short_pools.begin(), short_pools.end(),
        [this](const std::string& left, const std::string& right) {
            return std::make_pair(missing_vms(pools_[right]), left) <
                std::make_pair(missing_vms(pools_[left]), right);
        });
    chosen_for_move_.clear();
    for (const auto& [vm, pool] : move_targets_) {
        chosen_for_move_.insert(vm);
    }
    for (const std::string& name : short_pools) {
        grow(name, orders, now);
    }
    for (const auto& [name, pool] : pools_) {
        if (standby == nullptr || name != *standby) {
            shrink(name, short_pools, orders, now);
        }
    }
}

std::size_t vm_manager::missing_vms(const pool_state& pool) {
    const std::size_t held = pool.vm_count();
    return pool.wanted > held ? pool.wanted - held : 0;
}

void vm_manager::order_move(const vm_id& vm, const std::string& pool,
    const endpoint_life& life, std::vector<vm_order>& orders) {
    order_state& order = move_orders_[vm];
    order = {};
    order.life = life;
    order.in_flight = true;
    move_targets_[vm] = pool_id(pool);
    list_[vm].pool = pool_id(pool);
    orders.push_back({vm_order::kind::move, vm, pool_id(pool), 0});
}

// Moves standby VMs to a pool. They run no tasks, so they need not drain.
void vm_manager::grow(
    const std::string& name, std::vector<vm_order>& orders, instant now) {
    pool_state& pool = pools_[name];
    for (const auto& [vm, record] : list_) {
        if (missing_vms(pool) == 0) {
            return;
        }
        if (!is_free(record) || refused_moves_.contains({vm, pool_id(name)})) {
            continue;
        }
        if (!spend_order(now)) {
            return;
        }
        order_move(vm, name, {}, orders);
        ++pool.arriving;
    }
}

// The VMs that a pool doesn't want, those with the fewest finite tasks first.
// VMs with long-running tasks are never spare, so those tasks aren't moved.
std::vector<const endpoint_view*> vm_manager::spare_vms(
    const pool_state& pool) const {
    std::vector<const endpoint_view*> spare;
    if (pool.members.size() <= pool.wanted) {
        return spare;
    }
    for (const endpoint_view* view : pool.members) {
        if (long_running_tasks(*view) == 0 &&
            !chosen_for_wave_.contains(view->vm) && !view->vm.empty() &&
            !move_targets_.contains(view->vm)) {
            spare.push_back(view);
        }
    }
    std::sort(spare.begin(), spare.end(),
        [this](const endpoint_view* left, const endpoint_view* right) {
            return std::make_pair(finite_tasks(*left), left->vm) <
                std::make_pair(finite_tasks(*right), right->vm);
        });
    spare.resize(std::min(spare.size(), pool.members.size() - pool.wanted));
    return spare;
}

// A draining VM is used less and less until its last task ends, even if that
// task needs little. While tasks of the pool find no room, most of its VMs must
// still accept tasks.
std::size_t vm_manager::most_draining(
    const std::string& name, const pool_state& pool) const {
    return jobs_.is_short_of_room(name)
        ? std::max<std::size_t>(1, pool.members.size() / draining_divisor)
        : pool.members.size();
}

void vm_manager::shrink(const std::string& name,
    const std::vector<std::string>& short_pools, std::vector<vm_order>& orders,
    instant now) {
    const pool_state& pool = pools_.at(name);
    std::size_t drains_left = most_draining(name, pool);
    const std::string* standby = standby_pool();
    const std::size_t held = pool.members.size();
    std::size_t standby_moves_left = standby != nullptr &&
            held > pool.peak_wanted && now - led_since_ >= options_.surplus_time
        ? held - pool.peak_wanted
        : 0;
    for (const endpoint_view* view : spare_vms(pool)) {
        const auto wanting = std::find_if(short_pools.begin(),
            short_pools.end(), [&](const std::string& other) {
                return missing_vms(pools_[other]) > 0 &&
                    !refused_moves_.contains({view->vm, pool_id(other)});
            });
        const bool is_wanted = wanting != short_pools.end();
        const bool drains = finite_tasks(*view) > 0;
        if ((!is_wanted && standby_moves_left == 0) ||
            (drains && drains_left == 0)) {
            continue;
        }
        drains_left -= drains ? 1 : 0;
        chosen_for_move_.insert(view->vm);
        if (is_wanted) {
            ++pools_[*wanting].arriving;
        } else {
            --standby_moves_left;
        }
        if (!drains && is_reservation_settled(view->vm, now) &&
            spend_order(now)) {
            order_move(
                view->vm, is_wanted ? *wanting : *standby, view->life, orders);
        }
    }
}

} // namespace dragonflymount::jobs
