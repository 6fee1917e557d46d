// Moves of VMs between pools: each pool follows the need of its queues.
//
// Load pattern: the queues of the pools have their bursts in turn, each more
// than its pool usually holds, while the others ask for little. A VM that
// nobody needs is paid for all the same, so it goes where there is work, or
// to the standby pool.
#include "dragonflymount/src/Jobs/VmManager.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// Below this many VMs a pool could not stand the loss of one.
constexpr std::size_t least_pool_size = 3;

// A new leader has heard every endpoint by then: a report interval, and one
// call that failed at another replica.
constexpr duration learning_time = std::chrono::milliseconds(2500);

// A limit of 0 means none.
double share_within(std::int64_t need, std::uint64_t limit) {
    return limit == 0 || need <= static_cast<std::int64_t>(limit)
        ? 1.0
        : static_cast<double>(limit) / static_cast<double>(need);
}

std::int64_t scaled(std::int64_t amount, double share) {
    return static_cast<std::int64_t>(static_cast<double>(amount) * share);
}

resources room_left_in(
    const wire::JobStepT& step, const wire::StepTasksT& group) {
    resources left;
    for (const auto& task : group.tasks) {
        if (!task->done) {
            left += room_of(step);
        }
    }
    return left;
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

// Steps of one occurrence mostly run one after the other, so its widest step
// is what it needs at once.
void vm_manager::measure_job(const wire::JobT& job, need_map& needs) {
    const wire::JobQueueT* queue = jobs_.agreed().find_queue(job.queue);
    if (queue == nullptr) {
        return;
    }
    pool_state& pool = pools_[queue->pool];
    resources& need = needs[job.team][queue->pool];
    for (const auto& occurrence : job.occurrences) {
        resources widest;
        for (std::size_t k = 0; k < occurrence->steps.size(); ++k) {
            const wire::JobStepT& step = *job.spec->steps[k];
            if (step.long_running && step.anti_affinity > 0) {
                pool.least = std::max(pool.least,
                    (step.count + step.anti_affinity - 1) / step.anti_affinity);
            }
            const resources left = room_left_in(step, *occurrence->steps[k]);
            widest.cpu_milli = std::max(widest.cpu_milli, left.cpu_milli);
            widest.memory_mb = std::max(widest.memory_mb, left.memory_mb);
            widest.gpus = std::max(widest.gpus, left.gpus);
        }
        need += widest;
    }
}

// A team beyond its limit can't use more room, whatever it asks for.
void vm_manager::add_needs(const need_map& needs) {
    for (const auto& [team_name, by_pool] : needs) {
        resources total;
        for (const auto& [name, need] : by_pool) {
            total += need;
        }
        const wire::JobTeamT* team = jobs_.agreed().find_team(team_name);
        const double share = team == nullptr
            ? 1.0
            : std::min(share_within(total.cpu_milli, team->cpu_limit),
                  share_within(total.memory_mb, team->memory_limit));
        for (const auto& [name, need] : by_pool) {
            pools_[name].need += {scaled(need.cpu_milli, share),
                scaled(need.memory_mb, share), need.gpus};
        }
    }
}

void vm_manager::measure_pools(instant now) {
    pools_.clear();
    for (const auto& [endpoint, view] : jobs_.endpoints().views()) {
        // One that is about to be maintained is no room for its pool, either.
        if (jobs_.endpoints().can_take_tasks(view, now) &&
            !targets_.contains(view.vm) && !chosen_.contains(view.vm)) {
            pool_state& pool = pools_[view.pool.str()];
            pool.members.push_back(&view);
            pool.capacity += view.capacity;
        }
    }
    for (const auto& [vm, pool] : targets_) {
        ++pools_[pool.str()].arriving;
    }
    need_map needs;
    for (const job_id id : jobs_.agreed().active_jobs()) {
        measure_job(*jobs_.agreed().find_job(id), needs);
    }
    add_needs(needs);
    for (auto& [name, pool] : pools_) {
        pool.wanted = wanted_vms(pool);
    }
}

std::size_t vm_manager::wanted_vms(const pool_state& pool) const {
    const std::size_t least =
        std::max<std::size_t>(least_pool_size, pool.least);
    if (pool.members.empty()) {
        return least;
    }
    const auto count = static_cast<std::int64_t>(pool.members.size());
    const auto vms_for = [&](std::int64_t need, std::int64_t capacity) {
        const std::int64_t each = std::max<std::int64_t>(1, capacity / count);
        const std::int64_t padded =
            need + need * options_.headroom_percent / 100;
        return static_cast<std::size_t>((padded + each - 1) / each);
    };
    const std::size_t by_cpu =
        vms_for(pool.need.cpu_milli, pool.capacity.cpu_milli);
    const std::size_t by_memory =
        vms_for(pool.need.memory_mb, pool.capacity.memory_mb);
    return std::max({least, by_cpu, by_memory});
}

// A move is over once the VM reports from its new pool.
void vm_manager::forget_ended_moves(instant now) {
    std::erase_if(targets_, [&](const auto& entry) {
        const endpoint_view* view = find_vm(entry.first);
        const bool arrived = view != nullptr && view->pool == entry.second;
        const auto order = moving_.find(entry.first);
        const bool given_up = order != moving_.end() &&
            !order->second.in_flight && !order->second.confirmed;
        const bool overdue = order != moving_.end() &&
            order->second.confirmed &&
            now - *order->second.confirmed > options_.list_interval;
        if (arrived || given_up || overdue) {
            moving_.erase(entry.first);
            return true;
        }
        return false;
    });
}

// A new leader that moved VMs before it has heard the endpoints would take
// every pool for empty.
bool vm_manager::knows_pools(instant now) const {
    if (list_.empty()) {
        return false;
    }
    const std::string* standby = standby_pool();
    return now - led_since_ >= learning_time ||
        std::all_of(list_.begin(), list_.end(), [&](const auto& entry) {
            const vm_record& record = entry.second;
            return record.condition != vm_condition::up ||
                (standby != nullptr && record.pool.str() == *standby) ||
                find_vm(record.vm) != nullptr;
        });
}

void vm_manager::decide_moves(std::vector<vm_order>& orders, instant now) {
    forget_ended_moves(now);
    if (!knows_pools(now)) {
        return;
    }
    measure_pools(now);
    const std::string* standby = standby_pool();
    std::vector<std::string> short_pools;
    for (const auto& [name, pool] : pools_) {
        if ((standby == nullptr || name != *standby) && missing(pool) > 0) {
            short_pools.push_back(name);
        }
    }
    std::sort(short_pools.begin(), short_pools.end(),
        [this](const std::string& left, const std::string& right) {
            return std::make_pair(missing(pools_[right]), left) <
                std::make_pair(missing(pools_[left]), right);
        });
    leaving_.clear();
    for (const auto& [vm, pool] : targets_) {
        leaving_.insert(vm);
    }
    for (const std::string& name : short_pools) {
        grow(name, orders);
    }
    for (auto& [name, pool] : pools_) {
        if (standby == nullptr || name != *standby) {
            shrink(name, pool, short_pools, orders, now);
        }
    }
}

std::size_t vm_manager::missing(const pool_state& pool) {
    const std::size_t held = pool.members.size() + pool.arriving;
    return pool.wanted > held ? pool.wanted - held : 0;
}

void vm_manager::order_move(const vm_id& vm, const std::string& pool,
    const endpoint_life& life, std::vector<vm_order>& orders) {
    order_state& order = moving_[vm];
    order = {};
    order.life = life;
    order.in_flight = true;
    targets_[vm] = pool_id(pool);
    list_[vm].pool = pool_id(pool);
    orders.push_back({vm_order::kind::move, vm, pool_id(pool), 0});
}

// VMs on standby run nothing, so they go at once.
void vm_manager::grow(const std::string& name, std::vector<vm_order>& orders) {
    const std::string* standby = standby_pool();
    if (standby == nullptr) {
        return;
    }
    pool_state& pool = pools_[name];
    for (const auto& [vm, record] : list_) {
        if (missing(pool) == 0) {
            return;
        }
        const bool free = record.pool.str() == *standby &&
            record.condition == vm_condition::up && !targets_.contains(vm) &&
            !chosen_.contains(vm) && find_vm(vm) == nullptr &&
            !refused_moves_.contains({vm, pool_id(name)});
        if (free) {
            order_move(vm, name, {}, orders);
            ++pool.arriving;
        }
    }
}

// The VMs that a pool can spare, those with the least on them first. Tasks
// that last stay where they are.
std::vector<const endpoint_view*> vm_manager::spare_vms(
    const pool_state& pool) const {
    std::vector<const endpoint_view*> spare;
    if (pool.members.size() <= pool.wanted) {
        return spare;
    }
    for (const endpoint_view* view : pool.members) {
        if (lasting_tasks(*view) == 0 && !chosen_.contains(view->vm) &&
            !view->vm.empty() && !targets_.contains(view->vm)) {
            spare.push_back(view);
        }
    }
    std::sort(spare.begin(), spare.end(),
        [this](const endpoint_view* left, const endpoint_view* right) {
            return std::make_pair(ending_tasks(*left), left->vm) <
                std::make_pair(ending_tasks(*right), right->vm);
        });
    spare.resize(std::min(spare.size(), pool.members.size() - pool.wanted));
    return spare;
}

void vm_manager::shrink(const std::string& name, pool_state& pool,
    const std::vector<std::string>& short_pools, std::vector<vm_order>& orders,
    instant now) {
    const std::vector<const endpoint_view*> spare = spare_vms(pool);
    if (spare.empty()) {
        surplus_since_.erase(name);
        return;
    }
    const instant since = surplus_since_.try_emplace(name, now).first->second;
    const std::string* standby = standby_pool();
    const bool may_rest =
        standby != nullptr && now - since >= options_.surplus_time;
    for (const endpoint_view* view : spare) {
        const auto wanting = std::find_if(short_pools.begin(),
            short_pools.end(), [&](const std::string& other) {
                return missing(pools_[other]) > 0 &&
                    !refused_moves_.contains({view->vm, pool_id(other)});
            });
        const bool is_wanted = wanting != short_pools.end();
        if (!is_wanted && !may_rest) {
            continue;
        }
        leaving_.insert(view->vm);
        if (is_wanted) {
            ++pools_[*wanting].arriving;
        }
        if (ending_tasks(*view) == 0 && is_settled(view->vm, now)) {
            order_move(
                view->vm, is_wanted ? *wanting : *standby, view->life, orders);
        }
    }
}

} // namespace dragonflymount::jobs
