// Processes the lists and replies of the VM service and collects the orders of
// each decision round.
#include "dragonflymount/src/Jobs/VmManager.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// Time from a VM's reservation until no start on it can be in flight: longer
// than committing two batches on a slow disk.
constexpr duration settle_time = std::chrono::milliseconds(300);

// Time from the end of a move until the list shows its outcome.
constexpr duration list_delay = std::chrono::milliseconds(500);

} // namespace

vm_manager::vm_manager(engine& jobs, vm_manager_options options)
    : jobs_(jobs), options_(options) {}

void vm_manager::reset(instant now) {
    list_.clear();
    maintenance_orders_.clear();
    move_orders_.clear();
    move_targets_.clear();
    chosen_for_wave_.clear();
    chosen_for_move_.clear();
    peaks_.clear();
    reserved_since_.clear();
    endpoint_of_.clear();
    refused_moves_.clear();
    maintenance_ordered_.clear();
    wave_known_since_.clear();
    led_since_ = now;
    next_list_ = now;
}

void vm_manager::update_list(
    std::vector<vm_record> list, instant requested, instant now) {
    next_list_ = now + options_.list_interval;
    list_taken_ = now;
    list_.clear();
    for (vm_record& record : list) {
        const vm_id vm = record.vm;
        list_[vm] = std::move(record);
    }
    end_unlisted_lives(requested, now);
    note_gone_vms(requested);
}

// A list doesn't hold the VMs that joined after it was requested. The VMs of a
// wave exist when the wave is known, and a VM exists while its endpoint
// reports.
bool vm_manager::is_gone(const vm_id& vm, instant requested) const {
    const endpoint_view* view = find_vm(vm);
    return !list_.contains(vm) && (view == nullptr || view->heard <= requested);
}

void vm_manager::note_gone_vms(instant requested) {
    index_vms();
    for (const auto& [number, wave] : jobs_.agreed().waves()) {
        const auto known = wave_known_since_.find(number);
        if (known == wave_known_since_.end() || requested < known->second) {
            continue;
        }
        const auto finished = finished_vms(wave);
        for (const std::string& vm : wave.vms) {
            if (!finished.contains(vm) && is_gone(vm_id(vm), requested)) {
                wire::MaintenanceStepT step;
                step.wave = number;
                step.vm = vm;
                step.phase = wire::maintenance_phase::gone;
                jobs_.note_maintenance(step);
            }
        }
    }
}

// Ends lives that are silent and whose endpoint the list shows on no VM that is
// up. The service knows at once when a VM is down or has another endpoint, so
// the tasks of such a life need not wait for its lease to expire.
void vm_manager::end_unlisted_lives(instant requested, instant now) {
    std::set<std::string> up_endpoints;
    for (const auto& [vm, record] : list_) {
        if (record.condition == vm_condition::unknown) {
            // The life may be the one of this VM.
            return;
        }
        if (record.condition == vm_condition::up) {
            up_endpoints.insert(record.endpoint);
        }
    }
    std::vector<endpoint_life> ended;
    for (const auto& [life, load] : jobs_.agreed().loads()) {
        if (!up_endpoints.contains(life.endpoint) && is_silent(life, now) &&
            last_heard(life) < requested) {
            ended.push_back(life);
        }
    }
    for (const endpoint_life& life : ended) {
        jobs_.endpoints().end_life(life);
    }
}

instant vm_manager::last_heard(const endpoint_life& life) const {
    const endpoint_view* view = jobs_.endpoints().find_life(life);
    return view != nullptr ? view->heard : led_since_;
}

bool vm_manager::is_silent(const endpoint_life& life, instant now) const {
    return now - last_heard(life) > jobs_.endpoints().options().silence_limit;
}

// Requests a list early while a life with runs is silent. The list shows
// whether its VM is down.
void vm_manager::request_list_if_silent(instant now) {
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
        const auto [known, is_first] =
            endpoint_of_.try_emplace(view.vm, endpoint);
        if (!is_first &&
            jobs_.endpoints().find(known->second)->heard < view.heard) {
            known->second = endpoint;
        }
    }
}

bool vm_manager::is_reservation_settled(const vm_id& vm, instant now) const {
    const auto found = reserved_since_.find(vm);
    return found != reserved_since_.end() && now - found->second >= settle_time;
}

duration vm_manager::outcome_time() const {
    return options_.move_time + list_delay;
}

std::vector<vm_order> vm_manager::decide(instant now) {
    index_vms();
    request_list_if_silent(now);
    std::vector<vm_order> orders;
    // Ended moves are removed first, so that a wave can maintain a VM on
    // standby before the VM moves to another pool.
    remove_ended_moves(now);
    decide_waves(orders, now);
    decide_moves(orders, now);
    std::set<vm_id> reserved = chosen_for_wave_;
    reserved.insert(chosen_for_move_.begin(), chosen_for_move_.end());
    std::erase_if(reserved_since_,
        [&](const auto& entry) { return !reserved.contains(entry.first); });
    for (const vm_id& vm : reserved) {
        reserved_since_.try_emplace(vm, now);
    }
    jobs_.set_reserved_vms(std::move(reserved));
    return orders;
}

void vm_manager::send(
    vm_order order, order_state& state, std::vector<vm_order>& orders) {
    order.number = ++last_order_;
    state.number = order.number;
    state.in_flight = true;
    orders.push_back(std::move(order));
}

// Returns the state that the order was sent from, or null if a later order has
// replaced it.
vm_manager::order_state* vm_manager::find_state(const vm_order& order) {
    const auto find_in = [&](auto& states, const auto& key) {
        const auto found = states.find(key);
        const bool is_current =
            found != states.end() && found->second.number == order.number;
        return is_current ? &found->second : nullptr;
    };
    return order.what == vm_order::kind::maintain
        ? find_in(maintenance_orders_, wave_step{order.wave, order.vm})
        : find_in(move_orders_, order.vm);
}

void vm_manager::order_done(
    const vm_order& order, vm_verdict verdict, instant now) {
    order_state* const found = find_state(order);
    if (found == nullptr) {
        return;
    }
    order_state& order_record = *found;
    const bool maintains = order.what == vm_order::kind::maintain;
    order_record.in_flight = false;
    order_record.next_attempt = now + options_.retry_interval;
    switch (verdict) {
    case vm_verdict::done:
        order_record.confirmed = now;
        // All runs on the VM have ended, so their tasks need not wait for the
        // lease to expire.
        if (const endpoint_view* view = find_vm(order.vm);
            view != nullptr && view->life == order_record.life) {
            jobs_.remove_endpoint(view->life.endpoint);
        }
        break;
    case vm_verdict::fenced:
        order_record.fenced = true;
        break;
    case vm_verdict::unknown:
        if (!maintains) {
            refused_moves_.emplace(order.vm, order.pool);
        }
        // The next list shows whether the VM still exists.
        next_list_ = now;
        order_record.next_attempt = now + options_.list_interval;
        break;
    case vm_verdict::busy:
    case vm_verdict::unclear:
        break;
    }
    if (!maintains) {
        chosen_for_move_.erase(order.vm);
        next_list_ = std::min(next_list_, now + outcome_time());
    }
}

} // namespace dragonflymount::jobs
