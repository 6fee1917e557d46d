// Implements the dispatcher: it admits requests, chooses the next task to
// start, and processes the end of tasks.
#include "dragonflymount/src/Policy/Dispatcher.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dragonflymount::policy {
namespace {

/// The part of the predicted wait that counts at admission. Predictions are
/// inaccurate, so a request is rejected only if it is late by a wide margin.
constexpr std::int64_t counted_wait_percent = 70;

} // namespace

// ---- Rules and VMs ---------------------------------------------------------

dispatcher::pool_state& dispatcher::find_or_create_pool(const pool_id& name) {
    const auto [found, inserted] = pools_.try_emplace(name, options_);
    if (inserted) {
        configure(found->second);
    }
    return found->second;
}

void dispatcher::configure(pool_state& pool) {
    for (const auto& [name, team] : rules_.teams) {
        pool.queue.reserve(name, team.share_percent);
        pool.shares[name].weight = team.share_percent;
    }
    for (const auto& [name, member] : pool.shares.members()) {
        if (!rules_.teams.contains(name)) {
            pool.queue.reserve(name, 0);
            pool.shares[name].weight = 0;
        }
    }
}

void dispatcher::configure(const rules::rule_set& rules) {
    rules_ = rules;
    for (auto& [name, pool] : pools_) {
        configure(pool);
    }
}

void dispatcher::update_index(pool_state& pool, const vm_id& vm) {
    vm_view view = vms_.at(vm).second;
    view.available = view.available && !pool.evidence.is_quarantined(vm);
    pool.vms.update(view);
}

void dispatcher::update_vm(const pool_id& pool, const vm_view& view) {
    auto& [current_pool, current] = vms_[view.vm];
    vm_view next = view;
    next.running = current.running;
    if (current_pool == pool && current == next) {
        return;
    }
    if (current_pool != pool && !current_pool.empty()) {
        pool_state& former = find_or_create_pool(current_pool);
        former.vms.remove(view.vm);
        former.evidence.forget(view.vm);
    }
    current_pool = pool;
    current = next;
    if (!pool.empty()) {
        update_index(find_or_create_pool(pool), view.vm);
    }
}

void dispatcher::change_running(const vm_id& vm, int by) {
    const auto known = vms_.find(vm);
    if (known == vms_.end()) {
        return;
    }
    known->second.second.running += static_cast<std::uint32_t>(by);
    // The VM may have changed its pool since the task started.
    if (!known->second.first.empty()) {
        update_index(find_or_create_pool(known->second.first), vm);
    }
}

// ---- Queue -----------------------------------------------------------------

void dispatcher::count_queued(pool_state& pool, const team_id& team) {
    pool.shares[team].queued =
        static_cast<std::uint32_t>(pool.queue.size(team));
}

duration dispatcher::expected_wait(
    const pool_state& pool, const team_id& team, instant rank) const {
    const auto member = pool.shares.members().find(team);
    const double due =
        member == pool.shares.members().end() ? 0 : member->second.due;
    const auto parallel = std::max(1.0, due);
    const duration work = pool.queue.work_before(team, rank);
    return duration(static_cast<duration::rep>(
        static_cast<double>(work.count()) / parallel));
}

duration dispatcher::retry_after(duration wait) const {
    return std::clamp(wait, options_.shortest_retry, options_.longest_retry);
}

admission_result dispatcher::push(
    const dispatch_request& request, instant now) {
    const auto service = rules_.services.find(request.service);
    if (service == rules_.services.end()) {
        return {admission::unknown_service, duration(0)};
    }
    pool_state& pool = find_or_create_pool(service->second.pool);
    const team_id& team = request.key.team;
    const run_time_estimate run =
        run_times_.estimate(request.service, team, service->second.expected);
    // Urgent requests overtake the others, whatever their deadlines.
    const duration wait = request.urgent || pool.vms.has_free()
        ? duration(0)
        : expected_wait(pool, team, request.deadline);
    const instant earliest =
        now + wait * counted_wait_percent / 100 + run.low();
    if (options_.sheds_late && run.samples > 0 && earliest > request.deadline) {
        return {admission::late, retry_after(wait)};
    }
    const bool queued = pool.queue.push({request.key, request.service,
        request.deadline, request.urgent, request.size_bytes,
        request.rank.value_or(request.deadline), run.mean, {}});
    if (!queued) {
        return {admission::full, retry_after(wait)};
    }
    queued_[request.key] = service->second.pool;
    pool.shares.advance(pool.vms.slots(), now);
    count_queued(pool, team);
    return {};
}

bool dispatcher::remove(const request_key& key) {
    const auto found = queued_.find(key);
    if (found == queued_.end()) {
        return false;
    }
    pool_state& pool = find_or_create_pool(found->second);
    pool.queue.remove(key);
    count_queued(pool, key.team);
    queued_.erase(found);
    return true;
}

std::vector<request_key> dispatcher::expire(instant now) {
    std::vector<request_key> expired;
    for (auto& [name, pool] : pools_) {
        for (const queued_request& request : pool.queue.expire(now)) {
            count_queued(pool, request.key.team);
            queued_.erase(request.key);
            expired.push_back(request.key);
        }
    }
    return expired;
}

// ---- Starting tasks
// ----------------------------------------------------------------

// Under overload, earliest deadline first starts every task just before its
// deadline and ends it just after. Requests are therefore shed by the high
// estimate of the run time. While the pool has spare slots, only requests that
// are late even by the low estimate are shed.
bool dispatcher::would_miss_deadline(
    const pool_state& pool, const queued_request& request, instant now) const {
    const run_time_estimate run = run_time(request.service, request.key.team);
    const duration needed =
        pool.shares.demand_exceeds_slots() ? run.high() : run.low();
    return run.samples > 0 && now + needed > request.deadline;
}

void dispatcher::shed_late_requests(
    pool_state& pool, const team_id& team, instant now) {
    const queued_request* first = pool.queue.front(team);
    while (first != nullptr && would_miss_deadline(pool, *first, now)) {
        const request_key key = first->key;
        shed_.push_back(
            {key, retry_after(expected_wait(pool, team, instant::max()))});
        remove(key);
        first = pool.queue.front(team);
    }
}

std::vector<team_view> dispatcher::eligible_teams(
    pool_state& pool, const team_predicate& may_start, instant now) {
    std::vector<team_view> teams;
    for (const auto& [team, state] : pool.shares.members()) {
        if (options_.sheds_late && state.queued > 0) {
            shed_late_requests(pool, team, now);
        }
        pool.shares[team].limited = state.queued > 0 && !may_start(team);
    }
    const std::uint32_t slots = pool.vms.slots();
    pool.shares.advance(slots, now);
    for (const auto& [team, state] : pool.shares.members()) {
        const queued_request* first = pool.queue.front(team);
        if (first != nullptr && !state.limited) {
            teams.push_back({team, state.running, state.weight, state.due,
                state.lag, slots, first->urgent, first->rank});
        }
    }
    return teams;
}

placement dispatcher::start(
    const pool_id& name, pool_state& pool, const team_id& team, instant now) {
    queued_request request = *pool.queue.pop(team);
    const vm_id vm = *pool.vms.choose(request.service, request.failed_on);
    queued_.erase(request.key);
    count_queued(pool, team);
    ++pool.shares[team].running;
    pool.shares.advance(pool.vms.slots(), now);
    if (request.failed_on.empty()) {
        budgets_[{team, request.service}].earn();
    }
    change_running(vm, 1);
    pool.vms.mark_warm(vm, request.service);
    placement chosen{request.key, vm};
    running_[chosen.key] = {name, request.service, vm, std::move(request)};
    return chosen;
}

void dispatcher::adopt(const request_key& key, const service_id& service,
    const vm_id& vm, instant now) {
    const auto known = vms_.find(vm);
    const pool_id name = known == vms_.end() ? pool_id() : known->second.first;
    pool_state& pool = find_or_create_pool(name);
    pool.shares.advance(pool.vms.slots(), now);
    ++pool.shares[key.team].running;
    change_running(vm, 1);
    queued_request request;
    request.key = key;
    request.service = service;
    running_[key] = {name, service, vm, std::move(request)};
}

// ---- Ended tasks
// ------------------------------------------------------------------

end_verdict dispatcher::end(
    const request_key& key, const task_end& end, instant now) {
    const auto found = running_.find(key);
    if (found == running_.end()) {
        return {};
    }
    running_task task = std::move(found->second);
    running_.erase(found);
    pool_state& pool = find_or_create_pool(task.pool);
    pool.shares.advance(pool.vms.slots(), now);
    --pool.shares[key.team].running;
    end_verdict verdict;
    if (end.result == task_end::kind::answered) {
        run_times_.record(task.service, key.team, end.run);
    }
    if (end.result != task_end::kind::not_run) {
        verdict.quarantined = pool.evidence.record(task.vm, key,
            end.result == task_end::kind::answered, pool.vms.size(), now);
    }
    change_running(task.vm, -1);
    if (end.result == task_end::kind::failed && end.idempotent) {
        const bool quarantined = verdict.quarantined;
        verdict = retry(std::move(task));
        verdict.quarantined = quarantined;
    }
    return verdict;
}

end_verdict dispatcher::retry(running_task&& task) {
    queued_request request = std::move(task.request);
    request.failed_on.push_back(task.vm);
    if (request.failed_on.size() >= options_.most_failures) {
        return {false,
            absl::StrCat("failed on ", request.failed_on.size(), " VMs"),
            false};
    }
    const request_key key = request.key;
    if (!budgets_[{key.team, task.service}].spend()) {
        return {false, "the retry budget is spent", false};
    }
    pool_state& pool = find_or_create_pool(task.pool);
    if (!pool.queue.push(std::move(request))) {
        return {false, "the queue is full", false};
    }
    queued_[key] = task.pool;
    count_queued(pool, key.team);
    return {true, {}, false};
}

void dispatcher::tick(instant now) {
    for (auto& [name, pool] : pools_) {
        for (const vm_id& vm : pool.evidence.release(now)) {
            update_index(pool, vm);
        }
    }
}

// ---- State -----------------------------------------------------------------

bool dispatcher::is_quarantined(const vm_id& vm) const {
    const auto known = vms_.find(vm);
    if (known == vms_.end()) {
        return false;
    }
    const auto pool = pools_.find(known->second.first);
    return pool != pools_.end() && pool->second.evidence.is_quarantined(vm);
}

std::vector<pool_id> dispatcher::pools() const {
    std::vector<pool_id> names;
    for (const auto& [name, pool] : pools_) {
        names.push_back(name);
    }
    return names;
}

std::size_t dispatcher::queued() const {
    return queued_.size();
}

std::size_t dispatcher::queued(const pool_id& pool) const {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? 0 : found->second.queue.size();
}

std::size_t dispatcher::queued(const pool_id& pool, const team_id& team) const {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? 0 : found->second.queue.size(team);
}

std::uint32_t dispatcher::running(
    const pool_id& pool, const team_id& team) const {
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return 0;
    }
    const auto& members = found->second.shares.members();
    const auto member = members.find(team);
    return member == members.end() ? 0 : member->second.running;
}

std::uint32_t dispatcher::slots(const pool_id& pool) const {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? 0 : found->second.vms.slots();
}

run_time_estimate dispatcher::run_time(
    const service_id& service, const team_id& team) const {
    const auto rule = rules_.services.find(service);
    return run_times_.estimate(service, team,
        rule == rules_.services.end() ? duration(0) : rule->second.expected);
}

} // namespace dragonflymount::policy
