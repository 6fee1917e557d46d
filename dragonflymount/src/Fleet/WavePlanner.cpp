// Starts and cancels the drains of a wave, and records returned and failed VMs.
#include "dragonflymount/src/Fleet/WavePlanner.hpp"

#include <algorithm>
#include <tuple>

namespace dragonflymount::fleet {
namespace {

bool has_rebooted(const vm_record& record, const vm_report& report) {
    return record.reboot && !report.lost &&
        report.incarnation != record.incarnation;
}

bool is_done(const wave_record& wave, const vm_record& record) {
    return record.maintained_ms >= wave.started_ms;
}

bool is_covered_by_unfinished_wave(
    const wave_table& waves, const vm_record& record) {
    return std::any_of(
        waves.all().begin(), waves.all().end(), [&](const auto& each) {
            return !each.second.is_over() && each.second.covers(record.pool);
        });
}

// The VM is reported, and hasn't restarted since its reboot was requested.
bool is_reboot_pending(const vm_record& record, const vm_report* report) {
    return record.reboot && report != nullptr && !report->lost &&
        report->incarnation == record.incarnation;
}

// Returns whether the pool's running and queued tasks fit into the slots of its
// other VMs that are up.
bool demand_fits_without_vm(const fleet_view& view, const vm_record& record,
    const vm_report& report, const budget& stop_budget) {
    const auto found = view.demand.find(record.pool);
    if (found == view.demand.end()) {
        return true;
    }
    const std::uint32_t up = stop_budget.up_in(record.pool);
    const std::uint32_t slots = up == 0 ? 0 : (up - 1) * report.slots;
    return found->second.queued + found->second.running <= slots;
}

} // namespace

const char* name_of(vm_phase phase) {
    switch (phase) {
    case vm_phase::waiting:
        return "waiting";
    case vm_phase::draining:
        return "draining";
    case vm_phase::rebooting:
        return "rebooting";
    case vm_phase::returned:
        return "returned";
    case vm_phase::held:
        return "held";
    case vm_phase::failed:
        return "failed";
    }
    return "unknown";
}

bool is_inside(
    const rules::window_rule& window, std::chrono::minutes time_of_day) {
    if (window.begin < window.end) {
        return time_of_day >= window.begin && time_of_day < window.end;
    }
    return time_of_day >= window.begin || time_of_day < window.end;
}

void wave_planner::reset() {
    observations_.clear();
}

wave_decisions wave_planner::decide(const wave_table& waves,
    const fleet_view& view, budget& stop_budget, instant now) {
    wave_decisions out;
    observe(view, now);
    complete_reboots(view, now, out);
    cancel_drains(waves, view, stop_budget, now, out);
    for (const auto& [id, wave] : waves.all()) {
        if (wave.state != wave_state::running) {
            continue;
        }
        report_failures(id, wave, view, now, out);
        drain(wave, view, stop_budget, now, out);
        const bool all_done = std::all_of(view.vms.all().begin(),
            view.vms.all().end(), [&wave = wave](const auto& each) {
                return !wave.covers(each.second.pool) ||
                    is_done(wave, each.second);
            });
        if (all_done) {
            wire::WaveProgressT finished;
            finished.wave = id.str();
            finished.phase = name_of(wave_state::finished);
            finished.time_ms = view.log_time_ms;
            out.progress.push_back(std::move(finished));
        }
    }
    return out;
}

void wave_planner::observe(const fleet_view& view, instant now) {
    std::erase_if(observations_,
        [&](const auto& each) { return view.vms.find(each.first) == nullptr; });
    for (const auto& [vm, record] : view.vms.all()) {
        vm_observations& observed = observations_[vm];
        const vm_report* report = view.report_of(vm);
        if (!record.draining) {
            observed.draining_since = instant::max();
        } else if (observed.draining_since == instant::max()) {
            observed.draining_since = now;
        }
        if (report == nullptr || !report->lost) {
            observed.lost_since = instant::max();
        } else if (observed.lost_since == instant::max()) {
            observed.lost_since = now;
        }
        const bool is_stopped = record.reboot && report != nullptr &&
            (report->lost || report->drained);
        if (!record.reboot) {
            observed.stopped_since = instant::max();
        } else if (is_stopped && observed.stopped_since == instant::max()) {
            observed.stopped_since = now;
        }
        if (is_up(view, vm, record)) {
            observed.seen_up = true;
            observed.failure_reported = false;
        } else if (report != nullptr && report->leaving) {
            // A VM that announces that it leaves hasn't failed.
            observed.seen_up = false;
        }
    }
}

void wave_planner::complete_reboots(
    const fleet_view& view, instant now, wave_decisions& out) {
    // Each cycle contributes one eighth to the moving average.
    constexpr int smoothing = 8;
    for (const auto& [vm, record] : view.vms.all()) {
        const vm_report* report = view.report_of(vm);
        if (report == nullptr || !has_rebooted(record, *report)) {
            continue;
        }
        wire::AssignVmT command = command_for(vm, record, view.log_time_ms);
        command.draining = false;
        command.reboot = false;
        command.incarnation = report->incarnation;
        out.assignments.push_back(std::move(command));
        vm_observations& observed = observations_[vm];
        observed.attempts = 0;
        mean_cycle_ +=
            (now - observed.draining_since - mean_cycle_) / smoothing;
    }
}

void wave_planner::report_failures(const wave_id& id, const wave_record& wave,
    const fleet_view& view, instant now, wave_decisions& out) {
    for (const auto& [vm, record] : view.vms.all()) {
        vm_observations& observed = observations_[vm];
        if (!wave.covers(record.pool) || observed.failure_reported) {
            continue;
        }
        const bool is_lost = !record.reboot && observed.seen_up &&
            observed.lost_since != instant::max() &&
            now - observed.lost_since >= options_.lost_limit;
        const bool is_late = observed.stopped_since != instant::max() &&
            now - observed.stopped_since >= options_.reboot_limit;
        if (!is_lost && !is_late) {
            continue;
        }
        observed.failure_reported = true;
        wire::WaveProgressT failed;
        failed.wave = id.str();
        failed.vm = vm.str();
        failed.phase = name_of(vm_phase::failed);
        failed.time_ms = view.log_time_ms;
        out.progress.push_back(std::move(failed));
    }
}

// Cancels the drain of a VM if no unfinished wave covers it, if its pool fell
// below its minimum, or if its tasks run longer than the drain limit.
void wave_planner::cancel_drains(const wave_table& waves,
    const fleet_view& view, const budget& stop_budget, instant now,
    wave_decisions& out) {
    std::map<pool_id, std::uint32_t> cancelled;
    for (const auto& [vm, record] : view.vms.all()) {
        const vm_report* report = view.report_of(vm);
        if (!is_reboot_pending(record, report)) {
            continue;
        }
        vm_observations& observed = observations_[vm];
        // The coordinator orders the restart of a drained VM, so the drain
        // stays in place until the reboot limit has passed.
        const bool is_reboot_ignored =
            observed.stopped_since != instant::max() &&
            now - observed.stopped_since >= options_.reboot_limit;
        if (report->drained && !is_reboot_ignored) {
            continue;
        }
        const auto pool = view.rules.pools.find(record.pool);
        const bool is_below_minimum = pool != view.rules.pools.end() &&
            stop_budget.up_in(record.pool) + cancelled[record.pool] <
                pool->second.min_available;
        const duration current_limit =
            options_.drain_limit * (1U << std::min(observed.attempts, 8U));
        const bool is_held =
            !report->drained && now - observed.draining_since >= current_limit;
        if (is_covered_by_unfinished_wave(waves, record) && !is_below_minimum &&
            !is_held) {
            continue;
        }
        if (is_held) {
            ++observed.attempts;
            observed.retry_at = now + options_.retry_delay;
        }
        ++cancelled[record.pool];
        wire::AssignVmT command = command_for(vm, record, view.log_time_ms);
        command.draining = false;
        command.reboot = false;
        out.assignments.push_back(std::move(command));
    }
}

std::string wave_planner::reason_to_wait(const fleet_view& view,
    const vm_id& vm, const vm_record& record, const budget& stop_budget,
    instant now) const {
    const vm_report* report = view.report_of(vm);
    if (report == nullptr || report->lost) {
        return "the VM is not heard of";
    }
    if (report->leaving) {
        return "the VM is leaving";
    }
    if (!is_inside(view.rules.window, view.time_of_day)) {
        return "outside the maintenance window";
    }
    if (now < observations_.at(vm).retry_at) {
        return "a task held it back; it is tried again later";
    }
    if (!demand_fits_without_vm(view, record, *report, stop_budget)) {
        return "the pool needs all its slots";
    }
    const budget_verdict verdict = stop_budget.check(vm);
    return verdict == budget_verdict::allowed ? "" : name_of(verdict);
}

void wave_planner::drain(const wave_record& wave, const fleet_view& view,
    budget& stop_budget, instant now, wave_decisions& out) {
    using order = std::tuple<std::uint32_t, std::uint64_t, vm_id>;
    std::vector<order> waiting;
    bool any_down = false;
    for (const auto& [vm, record] : view.vms.all()) {
        any_down = any_down || record.draining;
        if (wave.covers(record.pool) && !is_done(wave, record) &&
            !record.draining) {
            waiting.emplace_back(
                observations_[vm].attempts, record.maintained_ms, vm);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [attempts, maintained, vm] : waiting) {
        const vm_record& record = *view.vms.find(vm);
        std::string& reason = observations_[vm].reason;
        reason = options_.one_at_a_time && any_down
            ? "another VM is down"
            : reason_to_wait(view, vm, record, stop_budget, now);
        if (!reason.empty() ||
            stop_budget.reserve(vm) != budget_verdict::allowed) {
            continue;
        }
        any_down = true;
        wire::AssignVmT command = command_for(vm, record, view.log_time_ms);
        command.draining = true;
        command.reboot = true;
        command.incarnation = view.report_of(vm)->incarnation;
        out.assignments.push_back(std::move(command));
    }
}

vm_progress wave_planner::progress_of(
    const fleet_view& view, const wave_record& wave, const vm_id& vm) const {
    const vm_record* record = view.vms.find(vm);
    const vm_report* report = view.report_of(vm);
    const auto observed = observations_.find(vm);
    if (record == nullptr) {
        return {vm_phase::failed, "the VM is gone"};
    }
    if (is_done(wave, *record)) {
        return {vm_phase::returned, {}};
    }
    if (wave.failures.contains(vm) && !is_up(view, vm, *record)) {
        return {vm_phase::failed, {}};
    }
    if (record->reboot) {
        const bool is_draining =
            report != nullptr && !report->lost && !report->drained;
        if (is_draining && report->held > 0) {
            return {vm_phase::held, {}};
        }
        return {is_draining ? vm_phase::draining : vm_phase::rebooting, {}};
    }
    if (observed != observations_.end() && observed->second.attempts > 0) {
        return {vm_phase::held, observed->second.reason};
    }
    return {vm_phase::waiting,
        observed == observations_.end() ? "not weighed yet"
                                        : observed->second.reason};
}

} // namespace dragonflymount::fleet
