// Moves VMs between pools according to the need of each pool's queues.
//
// Bursts occur in the queues of different pools at different times. A burst
// needs more VMs than its pool usually has, while the other pools need few.
// Unused VMs cost as much as used ones, so they move to a pool that has work,
// or to the standby pool.
#include "dragonflymount/src/Jobs/VmManager.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// Timeout of an endpoint's call to a replica that doesn't answer.
constexpr duration call_timeout = std::chrono::seconds(1);

// In a pool without room for waiting tasks, one in this many VMs may drain at a
// time.
constexpr std::size_t draining_divisor = 4;

// Capacity of the token bucket, in seconds of the order rate: the burst of
// orders that may follow an idle time.
constexpr double order_burst_seconds = 0.5;

} // namespace

const std::string* vm_manager::standby_pool() const {
    for (const auto& pool : jobs_.agreed().catalogue().pools) {
        if (pool->standby) {
            return &pool->name;
        }
    }
    return nullptr;
}

void vm_manager::measure_pools(instant now) {
    pools_.clear();
    measure_usual_capacity();
    for (const auto& [endpoint, view] : jobs_.endpoints().views()) {
        // VMs that are moving or chosen for maintenance provide no capacity.
        if (jobs_.endpoints().can_take_tasks(view, now) &&
            !move_targets_.contains(view.vm) &&
            !chosen_for_wave_.contains(view.vm)) {
            pool_state& pool = pools_[view.pool.str()];
            (is_evacuated(view.zone) ? pool.evacuated : pool.members)
                .push_back(&view);
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
    return is_on_standby(record) && !chosen_for_wave_.contains(record.vm) &&
        !is_evacuated(record.zone) && find_vm(record.vm) == nullptr;
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
            jobs_.agreed().find_pool(record.pool.str()) != nullptr &&
            !move_targets_.contains(vm) && !chosen_for_wave_.contains(vm) &&
            !is_evacuated(record.zone)) {
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
    empty_evacuated_zones(orders, now);
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
    move_targets_[vm] = pool_id(pool);
    list_[vm].pool = pool_id(pool);
    send({vm_order::kind::move, vm, pool_id(pool)}, order, orders);
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
