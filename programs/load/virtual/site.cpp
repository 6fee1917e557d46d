// The site in virtual time.
#include "programs/load/virtual/site.hpp"

#include "programs/load/virtual/baselines.hpp"
#include "programs/load/virtual/site_state.hpp"
#include "programs/worker/script/answer.hpp"

#include <algorithm>
#include <functional>
#include <queue>
#include <set>

namespace dragonflymount::load_program {
namespace {

constexpr duration tick_interval = std::chrono::milliseconds(50);
/// When the coordinator gives up on the tasks of a lost VM.
constexpr duration task_lease = std::chrono::seconds(15);
/// How soon a bad worker fails a task.
constexpr duration bad_worker_run = std::chrono::milliseconds(10);
/// When a silent endpoint gets nothing new.
constexpr duration silence_limit = std::chrono::seconds(3);

template <policy::team_order Order>
class site {
public:
    site(const trace& recorded, const rules::rule_set& rules,
        const virtual_options& options)
        : recorded_(recorded), rules_(rules), options_(options) {}

    virtual_report run();

private:
    void schedule(instant at, std::function<void()> action) {
        events_.push({at, next_event_++, std::move(action)});
    }
    static std::string zone_name(std::size_t zone) {
        return "z" + std::to_string(zone + 1);
    }

    void build_fleet();
    pool_id neediest_pool() const;
    void submit(const trace_request& request);
    std::size_t choose_zone(const pool_id& pool);
    void start_all(std::size_t zone);
    void start(const policy::placement& chosen, std::size_t zone);
    void end_task(const request_key& key, std::uint32_t attempt, bool ok);
    policy::end_verdict stop_counting(
        const request_key& key, const policy::task_end& end);
    void finish(request_state& state, ending end);
    void tick();
    void sample();
    void sample_pool(const pool_id& pool);
    void apply(const trace_fault& fault, bool begins);
    void lose(vm_state& vm);
    void recover(vm_state& vm);
    void expire_lease(const request_key& key, std::uint32_t attempt);
    void cancel(const team_id& team);
    bool names(const trace_fault& fault, const vm_state& vm) const;
    virtual_report report() const;

    const trace& recorded_;
    const rules::rule_set& rules_;
    virtual_options options_;
    instant now_ = instant() + std::chrono::hours(1);
    instant begin_ = now_;
    instant end_{};
    std::priority_queue<timed_event> events_;
    std::uint64_t next_event_ = 0;
    std::vector<zone_state> zones_;
    std::map<vm_id, vm_state> vms_;
    std::map<request_key, request_state> requests_;
    std::map<pool_id, share_measure> shares_;
    std::map<pool_id, std::uint64_t> routed_;
    std::set<team_id> withdrawn_;
    std::vector<duration> latencies_;
    duration longest_urgent_start_{};
    double idle_vm_seconds_ = 0;
    double wasted_slot_seconds_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t quarantined_ = 0;
};

// ---- Fleet -----------------------------------------------------------------

template <policy::team_order Order>
pool_id site<Order>::neediest_pool() const {
    std::map<pool_id, double> counts;
    for (const auto& [name, vm] : vms_) {
        counts[vm.pool] += 1;
    }
    pool_id best;
    double best_fill = 0;
    for (const auto& [name, pool] : rules_.pools) {
        const double fill = counts[name] / std::max(1U, pool.size);
        if (best.empty() || fill < best_fill) {
            best = name;
            best_fill = fill;
        }
    }
    return best;
}

template <policy::team_order Order>
void site<Order>::build_fleet() {
    const trace_fleet& fleet = recorded_.fleet;
    for (std::uint32_t k = 0; k < fleet.zones; ++k) {
        zones_.emplace_back(options_.dispatcher);
        zones_.back().dispatcher.configure(rules_);
    }
    for (std::uint32_t k = 0; k < fleet.workers; ++k) {
        const std::size_t zone = k % fleet.zones;
        const std::uint32_t place = k / fleet.zones;
        const std::string prefix = zone_name(zone);
        const std::uint32_t rack = place / fleet.workers_per_rack + 1;
        vm_state vm;
        vm.zone = zone;
        vm.pool = neediest_pool();
        vm.view = {vm_id(prefix + "-vm" + std::to_string(place + 1)),
            rack_id(prefix + "-r" + std::to_string(rack)), fleet.slots,
            fleet.connections, 0, true};
        zones_[zone].dispatcher.update_vm(vm.pool, vm.view);
        vms_[vm.view.vm] = vm;
    }
}

// ---- Requests --------------------------------------------------------------

// The zones take requests in proportion to their slots of the pool.
template <policy::team_order Order>
std::size_t site<Order>::choose_zone(const pool_id& pool) {
    std::uint64_t slots = 0;
    for (const zone_state& zone : zones_) {
        slots += zone.cut ? 0 : zone.dispatcher.slots(pool);
    }
    if (slots == 0) {
        return 0;
    }
    // A step that shares no factor with usual numbers of slots.
    std::uint64_t place = (routed_[pool]++ * 7919) % slots;
    for (std::size_t k = 0; k < zones_.size(); ++k) {
        const std::uint64_t part =
            zones_[k].cut ? 0 : zones_[k].dispatcher.slots(pool);
        if (place < part) {
            return k;
        }
        place -= part;
    }
    return 0;
}

template <policy::team_order Order>
void site<Order>::submit(const trace_request& request) {
    const request_key key{request.team, request.id};
    request_state& state = requests_[key];
    state.request = &request;
    const auto service = rules_.services.find(request.service);
    if (service == rules_.services.end() || withdrawn_.contains(request.team)) {
        finish(state, ending::refused);
        return;
    }
    state.zone = choose_zone(service->second.pool);
    policy::dispatch_request content{key, request.service,
        now_ + request.deadline, request.urgent, request.body.size(), {}};
    if (options_.by_arrival) {
        content.rank = now_;
    }
    const auto admitted = zones_[state.zone].dispatcher.push(content, now_);
    if (admitted.verdict != policy::admission::queued) {
        finish(state, ending::refused);
        return;
    }
    start_all(state.zone);
}

template <policy::team_order Order>
void site<Order>::finish(request_state& state, ending end) {
    state.end = end;
    if (end == ending::answered) {
        latencies_.push_back(now_ - begin_ - state.request->at);
    }
}

template <policy::team_order Order>
void site<Order>::start_all(std::size_t zone) {
    zone_state& state = zones_[zone];
    const auto may_start = [&](const team_id& team) {
        const auto rule = rules_.teams.find(team);
        return rule != rules_.teams.end() &&
            state.running[team] < rule->second.limit / zones_.size();
    };
    for (const pool_id& pool : state.dispatcher.pools()) {
        while (const auto chosen =
                   state.dispatcher.next(pool, Order(), may_start, now_)) {
            start(*chosen, zone);
        }
    }
    for (const policy::shed_request& shed : state.dispatcher.take_shed()) {
        request_state& request = requests_.at(shed.key);
        finish(request, request.ran ? ending::unknown : ending::refused);
    }
}

template <policy::team_order Order>
void site<Order>::start(const policy::placement& chosen, std::size_t zone) {
    request_state& state = requests_.at(chosen.key);
    vm_state& vm = vms_.at(chosen.vm);
    ++starts_;
    ++zones_[zone].running[chosen.key.team];
    vm.tasks.insert(chosen.key);
    state.vm = chosen.vm;
    state.running = true;
    state.started = now_;
    const std::uint32_t attempt = ++state.attempt;
    if (state.request->urgent && !state.ran) {
        longest_urgent_start_ =
            std::max(longest_urgent_start_, now_ - begin_ - state.request->at);
    }
    state.ran = true;
    if (vm.lost) {
        schedule(now_ + task_lease,
            [=, this, key = chosen.key] { expire_lease(key, attempt); });
        return;
    }
    const auto script = worker_program::parse_script(state.request->body);
    const bool ok = !vm.bad && !script.fails;
    schedule(now_ + (vm.bad ? bad_worker_run : script.run),
        [=, this, key = chosen.key] { end_task(key, attempt, ok); });
}

template <policy::team_order Order>
policy::end_verdict site<Order>::stop_counting(
    const request_key& key, const policy::task_end& end) {
    request_state& state = requests_.at(key);
    state.running = false;
    vms_.at(state.vm).tasks.erase(key);
    --zones_[state.zone].running[key.team];
    return zones_[state.zone].dispatcher.end(key, end, now_);
}

template <policy::team_order Order>
void site<Order>::end_task(
    const request_key& key, std::uint32_t attempt, bool ok) {
    request_state& state = requests_.at(key);
    if (!state.running || state.attempt != attempt || vms_.at(state.vm).lost) {
        return;
    }
    const auto verdict = stop_counting(key,
        {ok ? policy::task_end::kind::answered : policy::task_end::kind::failed,
            now_ - state.started,
            state.request->idempotent && state.end == ending::none});
    quarantined_ += verdict.quarantined ? 1 : 0;
    const bool in_time =
        now_ - begin_ <= state.request->at + state.request->deadline;
    if (state.end == ending::none && !verdict.retried) {
        // An answer waits behind a cut; its caller has given up by then.
        const ending answered = in_time && !zones_[state.zone].cut
            ? ending::answered
            : ending::late;
        finish(state, ok ? answered : ending::failed);
    }
    start_all(state.zone);
}

// ---- Time ------------------------------------------------------------------

template <policy::team_order Order>
void site<Order>::tick() {
    for (std::size_t k = 0; k < zones_.size(); ++k) {
        zones_[k].dispatcher.tick(now_);
        for (const request_key& key : zones_[k].dispatcher.expire(now_)) {
            request_state& state = requests_.at(key);
            finish(state, state.ran ? ending::unknown : ending::refused);
        }
        start_all(k);
    }
    if ((now_ - begin_) % share_measure::sample_interval == duration(0)) {
        sample();
    }
    if (now_ < end_) {
        schedule(now_ + tick_interval, [this] { tick(); });
    }
}

template <policy::team_order Order>
void site<Order>::sample() {
    const double seconds =
        std::chrono::duration<double>(share_measure::sample_interval).count();
    for (const auto& [name, vm] : vms_) {
        idle_vm_seconds_ += vm.tasks.empty() && !vm.lost ? seconds : 0;
    }
    for (const zone_state& zone : zones_) {
        for (const auto& [pool, rule] : rules_.pools) {
            double running = 0;
            for (const auto& [team, team_rule] : rules_.teams) {
                running += zone.dispatcher.running(pool, team);
            }
            const double free = zone.dispatcher.slots(pool) - running;
            wasted_slot_seconds_ += seconds *
                std::min(
                    free, static_cast<double>(zone.dispatcher.queued(pool)));
        }
    }
    for (const auto& [pool, rule] : rules_.pools) {
        sample_pool(pool);
    }
}

template <policy::team_order Order>
void site<Order>::sample_pool(const pool_id& pool) {
    double slots = 0;
    std::map<team_id, team_sample> teams;
    for (const zone_state& zone : zones_) {
        slots += zone.dispatcher.slots(pool);
        for (const auto& [team, rule] : rules_.teams) {
            team_sample& seen = teams[team];
            seen.weight = rule.share_percent;
            seen.limit = rule.limit;
            seen.running += zone.dispatcher.running(pool, team);
            seen.queued +=
                static_cast<double>(zone.dispatcher.queued(pool, team));
        }
    }
    shares_[pool].sample(slots, teams);
}

// ---- Faults ----------------------------------------------------------------

template <policy::team_order Order>
bool site<Order>::names(const trace_fault& fault, const vm_state& vm) const {
    return fault.kind == fault_kind::rack_lost
        ? vm.view.rack.str() == fault.name
        : vm.view.vm.str() == fault.name;
}

template <policy::team_order Order>
void site<Order>::apply(const trace_fault& fault, bool begins) {
    switch (fault.kind) {
    case fault_kind::zone_cut:
        for (std::size_t k = 0; k < zones_.size(); ++k) {
            zones_[k].cut = zone_name(k) == fault.name ? begins : zones_[k].cut;
        }
        return;
    case fault_kind::key_withdrawn:
        withdrawn_.insert(team_id(fault.name));
        return;
    case fault_kind::cancellations:
        cancel(team_id(fault.name));
        return;
    default:
        break;
    }
    for (auto& [name, vm] : vms_) {
        if (!names(fault, vm)) {
            continue;
        }
        if (fault.kind == fault_kind::bad_worker) {
            vm.bad = begins;
        } else if (begins) {
            lose(vm);
        } else {
            recover(vm);
        }
    }
}

template <policy::team_order Order>
void site<Order>::lose(vm_state& vm) {
    vm.lost = true;
    for (const request_key& key : vm.tasks) {
        const std::uint32_t attempt = requests_.at(key).attempt;
        schedule(now_ + task_lease, [=, this] { expire_lease(key, attempt); });
    }
    schedule(now_ + silence_limit, [this, &vm] {
        vm.view.available = !vm.lost;
        zones_[vm.zone].dispatcher.update_vm(vm.pool, vm.view);
    });
}

template <policy::team_order Order>
void site<Order>::recover(vm_state& vm) {
    vm.lost = false;
    vm.view.available = true;
    zones_[vm.zone].dispatcher.update_vm(vm.pool, vm.view);
    const std::set<request_key> tasks = vm.tasks;
    for (const request_key& key : tasks) {
        expire_lease(key, requests_.at(key).attempt);
    }
    start_all(vm.zone);
}

template <policy::team_order Order>
void site<Order>::expire_lease(const request_key& key, std::uint32_t attempt) {
    request_state& state = requests_.at(key);
    if (!state.running || state.attempt != attempt) {
        return;
    }
    stop_counting(key, {policy::task_end::kind::not_run, {}, false});
    if (state.end != ending::none) {
        return;
    }
    const instant deadline =
        begin_ + state.request->at + state.request->deadline;
    const bool queued = state.request->idempotent &&
        zones_[state.zone]
                .dispatcher
                .push(
                    {key, state.request->service, deadline,
                        state.request->urgent, state.request->body.size(), {}},
                    now_)
                .verdict == policy::admission::queued;
    if (!queued) {
        finish(state, ending::unknown);
    }
}

template <policy::team_order Order>
void site<Order>::cancel(const team_id& team) {
    for (auto& [key, state] : requests_) {
        if (key.team != team || state.end != ending::none) {
            continue;
        }
        finish(state, ending::cancelled);
        if (state.running) {
            stop_counting(key, {policy::task_end::kind::not_run, {}, false});
        } else {
            zones_[state.zone].dispatcher.remove(key);
        }
    }
    for (std::size_t k = 0; k < zones_.size(); ++k) {
        start_all(k);
    }
}

// ---- Run -------------------------------------------------------------------

template <policy::team_order Order>
virtual_report site<Order>::run() {
    build_fleet();
    duration last{};
    for (const trace_request& request : recorded_.requests) {
        last = std::max(last, request.at + request.deadline);
        schedule(begin_ + request.at, [&] { submit(request); });
    }
    end_ = begin_ + last + std::chrono::seconds(1);
    for (const trace_fault& fault : recorded_.faults) {
        schedule(begin_ + fault.at, [&] { apply(fault, true); });
        if (fault.span > duration(0)) {
            schedule(
                begin_ + fault.at + fault.span, [&] { apply(fault, false); });
        }
    }
    schedule(begin_, [this] { tick(); });
    while (!events_.empty()) {
        const timed_event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    return report();
}

template <policy::team_order Order>
virtual_report site<Order>::report() const {
    outcome_counter outcomes;
    for (const auto& [key, state] : requests_) {
        outcomes.add(key.team, state.end);
    }
    virtual_report made;
    outcomes.report(made);
    report_shares(shares_, made);
    report_latencies(latencies_, made);
    made.figures["urgent_start_max_s"] = seconds_of(longest_urgent_start_);
    made.figures["buffer_vm_s"] = idle_vm_seconds_;
    made.figures["wasted_slot_s"] = wasted_slot_seconds_;
    made.figures["starts"] = static_cast<double>(starts_);
    made.figures["quarantined"] = static_cast<double>(quarantined_);
    return made;
}

} // namespace

template <policy::team_order Order>
virtual_report replay_virtual(const trace& recorded,
    const rules::rule_set& rules, const virtual_options& options) {
    return site<Order>(recorded, rules, options).run();
}

template virtual_report replay_virtual<policy::due_share_order>(
    const trace&, const rules::rule_set&, const virtual_options&);
template virtual_report replay_virtual<running_order>(
    const trace&, const rules::rule_set&, const virtual_options&);
template virtual_report replay_virtual<static_part_order>(
    const trace&, const rules::rule_set&, const virtual_options&);
template virtual_report replay_virtual<arrival_order>(
    const trace&, const rules::rule_set&, const virtual_options&);

} // namespace dragonflymount::load_program
