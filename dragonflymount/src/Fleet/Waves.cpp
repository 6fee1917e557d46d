// Applies commands on waves, and saves and loads the records of waves.
#include "dragonflymount/src/Fleet/Waves.hpp"

#include <algorithm>

namespace dragonflymount::fleet {
namespace {

const std::string all_pools = "all";

std::uint32_t recent_failures(const wave_record& wave, std::uint64_t now_ms) {
    using std::chrono::milliseconds;
    const auto window = static_cast<std::uint64_t>(
        milliseconds(wave_table::correlation_window).count());
    return static_cast<std::uint32_t>(std::count_if(wave.failures.begin(),
        wave.failures.end(),
        [&](const auto& failure) { return failure.second + window > now_ms; }));
}

void end(wave_record& wave, wave_state state, std::string reason,
    std::uint64_t now_ms) {
    wave.state = state;
    wave.reason = std::move(reason);
    wave.ended_ms = now_ms;
}

} // namespace

const char* name_of(wave_state state) {
    switch (state) {
    case wave_state::planned:
        return "planned";
    case wave_state::running:
        return "running";
    case wave_state::paused:
        return "paused";
    case wave_state::stopped:
        return "stopped";
    case wave_state::finished:
        return "finished";
    }
    return "unknown";
}

refusal wave_table::apply(const wire::WaveCommandT& command,
    const rules::rule_set& rules, std::uint64_t log_time_ms) {
    if (command.verb == "start") {
        return start(command, rules, log_time_ms);
    }
    const auto found = waves_.find(wave_id(command.wave));
    if (found == waves_.end()) {
        return "no wave '" + command.wave + "'";
    }
    wave_record& wave = found->second;
    if (wave.is_over()) {
        return "the wave is over";
    }
    if (command.verb == "pause") {
        wave.state = wave_state::paused;
        wave.reason = "paused by " + command.author;
    } else if (command.verb == "resume") {
        wave.state = wave_state::running;
        wave.reason.clear();
    } else if (command.verb == "stop") {
        end(wave, wave_state::stopped, "stopped by " + command.author,
            log_time_ms);
    } else {
        return "unknown verb '" + command.verb + "'";
    }
    return {};
}

refusal wave_table::start(const wire::WaveCommandT& command,
    const rules::rule_set& rules, std::uint64_t log_time_ms) {
    const wave_id id(command.wave);
    if (id.empty() || waves_.contains(id)) {
        return "a wave needs a name of its own";
    }
    const bool is_all = command.pool.empty() || command.pool == all_pools;
    const pool_id pool(is_all ? std::string() : command.pool);
    if (!is_all && !rules.pools.contains(pool)) {
        return "unknown pool '" + command.pool + "'";
    }
    for (const auto& [other, wave] : waves_) {
        if (!wave.is_over() && (is_all || wave.covers(pool))) {
            return "wave '" + other.str() + "' covers these VMs";
        }
    }
    wave_record wave;
    wave.pool = pool;
    wave.state = wave_state::running;
    wave.author = command.author;
    wave.started_ms = log_time_ms;
    waves_[id] = std::move(wave);
    erase_oldest_finished();
    return {};
}

refusal wave_table::apply(
    const wire::WaveProgressT& progress, const rules::rule_set& rules) {
    const auto found = waves_.find(wave_id(progress.wave));
    if (found == waves_.end() || found->second.is_over()) {
        return "the wave is over";
    }
    wave_record& wave = found->second;
    if (progress.vm.empty()) {
        if (progress.phase != name_of(wave_state::finished)) {
            return "unknown phase '" + progress.phase + "'";
        }
        end(wave, wave_state::finished, {}, progress.time_ms);
        return {};
    }
    if (progress.phase != "failed") {
        return "unknown phase '" + progress.phase + "'";
    }
    wave.failures[vm_id(progress.vm)] = progress.time_ms;
    const std::uint32_t limit = rules.maintenance.stop_after_failures;
    if (limit > 0 && recent_failures(wave, progress.time_ms) >= limit) {
        end(wave, wave_state::stopped, "VMs failed during the wave",
            progress.time_ms);
    }
    return {};
}

void wave_table::erase_oldest_finished() {
    while (waves_.size() > history_length) {
        auto oldest = waves_.end();
        for (auto each = waves_.begin(); each != waves_.end(); ++each) {
            if (each->second.is_over() &&
                (oldest == waves_.end() ||
                    each->second.ended_ms < oldest->second.ended_ms)) {
                oldest = each;
            }
        }
        if (oldest == waves_.end()) {
            return;
        }
        waves_.erase(oldest);
    }
}

void wave_table::save(wire::ControlImageT& image) const {
    for (const auto& [id, wave] : waves_) {
        auto saved = std::make_unique<wire::WaveRecordT>();
        saved->wave = id.str();
        saved->pool = wave.pool.str();
        saved->state = static_cast<std::uint8_t>(wave.state);
        saved->author = wave.author;
        saved->started_ms = wave.started_ms;
        saved->ended_ms = wave.ended_ms;
        saved->reason = wave.reason;
        for (const auto& [vm, time_ms] : wave.failures) {
            auto failure = std::make_unique<wire::VmFailureT>();
            failure->vm = vm.str();
            failure->time_ms = time_ms;
            saved->failures.push_back(std::move(failure));
        }
        image.waves.push_back(std::move(saved));
    }
}

void wave_table::load(const wire::ControlImageT& image) {
    waves_.clear();
    for (const auto& saved : image.waves) {
        wave_record& wave = waves_[wave_id(saved->wave)];
        wave.pool = pool_id(saved->pool);
        wave.state = static_cast<wave_state>(saved->state);
        wave.author = saved->author;
        wave.started_ms = saved->started_ms;
        wave.ended_ms = saved->ended_ms;
        wave.reason = saved->reason;
        for (const auto& failure : saved->failures) {
            wave.failures[vm_id(failure->vm)] = failure->time_ms;
        }
    }
}

} // namespace dragonflymount::fleet
