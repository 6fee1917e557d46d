// Moves of VMs between pools, and the answers of the VM service.
#include "dragonflymount/src/Jobs/VmManager.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// Below this many VMs a pool could not stand the loss of one.
constexpr std::size_t least_pool_size = 3;

// Longer than two batches take on a slow disk.
constexpr duration settle_time = std::chrono::milliseconds(300);

// When the list shows the outcome of a move.
constexpr duration move_time = std::chrono::seconds(2);

} // namespace

vm_manager::vm_manager(engine& jobs, vm_manager_options options)
    : jobs_(jobs), options_(options) {}

void vm_manager::reset(instant now) {
    list_.clear();
    maintaining_.clear();
    moving_.clear();
    targets_.clear();
    chosen_.clear();
    leaving_.clear();
    surplus_since_.clear();
    reserved_since_.clear();
    endpoint_of_.clear();
    home_size_.clear();
    going_down_.clear();
    led_since_ = now;
    next_list_ = now;
}

void vm_manager::take_list(std::vector<vm_record> list, instant now) {
    next_list_ = now + options_.list_interval;
    list_taken_ = now;
    list_.clear();
    const bool first = home_size_.empty();
    for (vm_record& record : list) {
        if (first) {
            ++home_size_[record.pool.str()];
        }
        const vm_id vm = record.vm;
        list_[vm] = std::move(record);
    }
    end_unlisted_lives(now);
    for (const auto& [number, wave] : jobs_.agreed().waves()) {
        for (const std::string& vm : wave.vms) {
            const bool open = std::none_of(
                wave.steps.begin(), wave.steps.end(), [&](const auto& step) {
                    return step->vm == vm &&
                        step->phase >= wire::maintenance_phase::returned;
                });
            if (open && !list_.contains(vm_id(vm))) {
                wire::MaintenanceStepT step;
                step.wave = number;
                step.vm = vm;
                step.phase = wire::maintenance_phase::gone;
                jobs_.note_maintenance(step);
            }
        }
    }
}

// The service knows at once that a VM is down or has another endpoint, where
// reports only fall silent; tasks there need not wait for a lease to end.
void vm_manager::end_unlisted_lives(instant now) {
    std::set<std::string> living;
    for (const auto& [vm, record] : list_) {
        if (record.condition == vm_condition::up) {
            living.insert(record.endpoint);
        }
    }
    std::vector<endpoint_life> ended;
    for (const auto& [life, load] : jobs_.agreed().loads()) {
        if (!living.contains(life.endpoint) && is_silent(life, now)) {
            ended.push_back(life);
        }
    }
    for (const endpoint_life& life : ended) {
        jobs_.endpoints().end_life(life);
    }
}

bool vm_manager::is_silent(const endpoint_life& life, instant now) const {
    const endpoint_view* view = jobs_.endpoints().find_life(life);
    const instant heard = view != nullptr ? view->heard : led_since_;
    return now - heard > jobs_.endpoints().options().silence_limit;
}

// A life with tasks fell silent: the list tells whether its VM is down.
void vm_manager::watch_silence(instant now) {
    if (now - list_taken_ < options_.urgent_list_interval) {
        return;
    }
    const auto& loads = jobs_.agreed().loads();
    if (std::any_of(loads.begin(), loads.end(),
            [&](const auto& entry) { return is_silent(entry.first, now); })) {
        next_list_ = std::min(next_list_, now);
    }
}

void vm_manager::list_failed(instant now) {
    next_list_ = now + options_.retry_interval;
}

void vm_manager::index_vms() {
    endpoint_of_.clear();
    for (const auto& [endpoint, view] : jobs_.endpoints().views()) {
        if (view.vm.empty()) {
            continue;
        }
        std::string& known = endpoint_of_[view.vm];
        const endpoint_view* other = jobs_.endpoints().find(known);
        if (other == nullptr || other->heard < view.heard) {
            known = endpoint;
        }
    }
}

bool vm_manager::is_settled(const vm_id& vm, instant now) const {
    const auto found = reserved_since_.find(vm);
    return found != reserved_since_.end() && now - found->second >= settle_time;
}

std::vector<vm_order> vm_manager::decide(instant now) {
    index_vms();
    watch_silence(now);
    std::vector<vm_order> orders;
    decide_waves(orders, now);
    decide_moves(orders, now);
    std::set<vm_id> reserved = chosen_;
    reserved.insert(leaving_.begin(), leaving_.end());
    std::erase_if(reserved_since_,
        [&](const auto& entry) { return !reserved.contains(entry.first); });
    for (const vm_id& vm : reserved) {
        reserved_since_.try_emplace(vm, now);
    }
    jobs_.reserve(std::move(reserved));
    return orders;
}

void vm_manager::order_done(
    const vm_order& order, vm_verdict verdict, instant now) {
    const bool maintains = order.what == vm_order::kind::maintain;
    order_state& held = maintains ? maintaining_[order.vm] : moving_[order.vm];
    held.in_flight = false;
    held.next_attempt = now + options_.retry_interval;
    switch (verdict) {
    case vm_verdict::done:
        held.confirmed = now;
        // Everything there has ended; its tasks need not wait for a lease.
        if (const endpoint_view* view = find_vm(order.vm);
            view != nullptr && view->life == held.life) {
            jobs_.leave(view->life.endpoint);
        }
        break;
    case vm_verdict::fenced:
        held.fenced = true;
        break;
    case vm_verdict::unknown:
        // The next list tells whether the VM is still there.
        next_list_ = now;
        held.next_attempt = now + options_.list_interval;
        break;
    case vm_verdict::busy:
    case vm_verdict::unclear:
        break;
    }
    if (!maintains) {
        leaving_.erase(order.vm);
        next_list_ = std::min(next_list_, now + move_time);
    }
}

// ---- Moves -----------------------------------------------------------------

const std::string* vm_manager::standby_pool() const {
    for (const auto& pool : jobs_.agreed().catalogue().pools) {
        if (pool->standby) {
            return &pool->name;
        }
    }
    return nullptr;
}

void vm_manager::measure_job(const wire::JobT& job) {
    const wire::JobQueueT* queue = jobs_.agreed().find_queue(job.queue);
    if (queue == nullptr) {
        return;
    }
    pool_state& pool = pools_[queue->pool];
    for (const auto& occurrence : job.occurrences) {
        for (std::size_t k = 0; k < occurrence->steps.size(); ++k) {
            const wire::JobStepT& step = *job.spec->steps[k];
            const auto& group = *occurrence->steps[k];
            if (step.long_running && step.anti_affinity > 0) {
                pool.least = std::max(pool.least,
                    (step.count + step.anti_affinity - 1) / step.anti_affinity);
            }
            const bool ready = std::all_of(step.depends_on.begin(),
                step.depends_on.end(), [&](std::uint32_t earlier) {
                    const auto& before = *occurrence->steps[earlier];
                    return before.done == before.tasks.size();
                });
            for (const auto& task : group.tasks) {
                if (task->done) {
                    continue;
                }
                if (!task->runs.empty()) {
                    pool.running += room_of(step);
                } else if (ready) {
                    pool.waiting += room_of(step);
                }
            }
        }
    }
}

void vm_manager::measure_pools(instant now) {
    pools_.clear();
    for (const auto& [endpoint, view] : jobs_.endpoints().views()) {
        if (now - view.heard < jobs_.endpoints().options().silence_limit &&
            !view.draining) {
            pool_state& pool = pools_[view.pool.str()];
            pool.members.push_back(&view);
            pool.capacity += view.capacity;
        }
    }
    for (const auto& [vm, pool] : targets_) {
        ++pools_[pool.str()].arriving;
    }
    for (const job_id id : jobs_.agreed().active_jobs()) {
        measure_job(*jobs_.agreed().find_job(id));
    }
    for (auto& [name, pool] : pools_) {
        pool.wanted = wanted_vms(pool);
    }
}

std::size_t vm_manager::wanted_vms(const pool_state& pool) const {
    const std::size_t least =
        std::max<std::size_t>(least_pool_size, pool.least + 1);
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
    const resources need = pool.running + pool.waiting;
    const std::size_t by_cpu = vms_for(need.cpu_milli, pool.capacity.cpu_milli);
    const std::size_t by_memory =
        vms_for(need.memory_mb, pool.capacity.memory_mb);
    return std::max({least, by_cpu, by_memory});
}

void vm_manager::decide_moves(std::vector<vm_order>& orders, instant now) {
    // A move is over once the VM reports from its new pool.
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
    if (list_.empty()) {
        return;
    }
    measure_pools(now);
    const std::string* standby = standby_pool();
    for (auto& [name, pool] : pools_) {
        if (standby != nullptr && name == *standby) {
            continue;
        }
        if (pool.wanted > pool.members.size() + pool.arriving) {
            grow(name, pool, orders, now);
        }
    }
    if (standby == nullptr) {
        return;
    }
    for (auto& [name, pool] : pools_) {
        if (name != *standby) {
            shrink(name, pool, orders, now);
        }
    }
}

void vm_manager::order_move(const vm_id& vm, const std::string& pool,
    const endpoint_life& life, std::vector<vm_order>& orders) {
    order_state& order = moving_[vm];
    order = {};
    order.life = life;
    order.in_flight = true;
    targets_[vm] = pool_id(pool);
    orders.push_back({vm_order::kind::move, vm, pool_id(pool), 0});
}

void vm_manager::grow(const std::string& name, pool_state& pool,
    std::vector<vm_order>& orders, instant) {
    const std::string* standby = standby_pool();
    if (standby == nullptr) {
        return;
    }
    std::size_t missing = pool.wanted - pool.members.size() - pool.arriving;
    for (auto& [vm, record] : list_) {
        if (missing == 0) {
            return;
        }
        const bool free = record.pool.str() == *standby &&
            record.condition == vm_condition::up && !targets_.contains(vm) &&
            !chosen_.contains(vm) && find_vm(vm) == nullptr;
        if (free) {
            order_move(vm, name, {}, orders);
            record.pool = pool_id(name);
            ++pool.arriving;
            --missing;
        }
    }
}

// One VM at a time, the one with the least on it and nothing that lasts.
void vm_manager::shrink(const std::string& name, pool_state& pool,
    std::vector<vm_order>& orders, instant now) {
    const std::size_t kept = std::max(pool.wanted, home_size_[name]);
    if (pool.members.size() <= kept || pool.waiting != resources{}) {
        surplus_since_.erase(name);
        std::erase_if(leaving_, [&](const vm_id& vm) {
            const endpoint_view* view = find_vm(vm);
            return view == nullptr || view->pool.str() == name;
        });
        return;
    }
    const auto since = surplus_since_.try_emplace(name, now).first->second;
    if (now - since < options_.surplus_time) {
        return;
    }
    std::size_t surplus = pool.members.size() - kept;
    std::vector<const endpoint_view*> candidates;
    for (const endpoint_view* view : pool.members) {
        if (lasting_tasks(*view) == 0 && !chosen_.contains(view->vm) &&
            !view->vm.empty()) {
            candidates.push_back(view);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
        [this](const endpoint_view* left, const endpoint_view* right) {
            return std::make_pair(ending_tasks(*left), left->vm) <
                std::make_pair(ending_tasks(*right), right->vm);
        });
    for (const endpoint_view* view : candidates) {
        if (surplus == 0) {
            return;
        }
        --surplus;
        leaving_.insert(view->vm);
        if (ending_tasks(*view) == 0 && !targets_.contains(view->vm) &&
            is_settled(view->vm, now)) {
            order_move(view->vm, *standby_pool(), view->life, orders);
        }
    }
}

} // namespace dragonflymount::jobs
