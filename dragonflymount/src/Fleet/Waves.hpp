// Holds the agreed records of maintenance waves.
//
// The progress of each VM follows from its own record and its report. A wave's
// record holds only what those don't contain: the operators' commands, and
// which VMs failed and when. A new leader can therefore continue a wave
// without other state.
#ifndef DRAGONFLYMOUNT_FLEET_WAVES_HPP
#define DRAGONFLYMOUNT_FLEET_WAVES_HPP

#include "dragonflymount/rules.hpp"
#include "dragonflymount/src/Fleet/VmTable.hpp"

#include <map>
#include <string>

namespace dragonflymount::fleet {

enum class wave_state : std::uint8_t {
    planned,
    running,
    paused,
    stopped,
    finished
};

const char* name_of(wave_state state);

struct wave_record {
    /// Empty if the wave covers all pools.
    pool_id pool;
    wave_state state = wave_state::planned;
    std::string author;
    /// Log time, like \c ended_ms.
    std::uint64_t started_ms = 0;
    std::uint64_t ended_ms = 0;
    /// Why the wave was paused or stopped.
    std::string reason;
    /// VMs that were lost or didn't return, with the log time in ms.
    std::map<vm_id, std::uint64_t> failures;

    bool covers(const pool_id& other) const {
        return pool.empty() || pool == other;
    }
    bool is_over() const {
        return state == wave_state::stopped || state == wave_state::finished;
    }
};

class wave_table {
public:
    /// Failures within this time before the latest one count as correlated.
    static constexpr std::chrono::minutes correlation_window{10};
    /// The number of waves that are kept. Beyond it, those that ended first are
    /// removed; waves that aren't over always stay.
    static constexpr std::size_t history_length = 20;

    /// \brief Applies an operator's command: start, pause, resume or stop.
    ///
    /// A wave can't be started while an unfinished one covers the same VMs.
    /// \param log_time_ms must be later than any recorded maintenance.
    /// \returns why the command was refused, or an empty string.
    refusal apply(const wire::WaveCommandT& command,
        const rules::rule_set& rules, std::uint64_t log_time_ms);
    /// \brief Records a failed VM, or that the wave is finished.
    ///
    /// The wave stops when its correlated failures reach the rule's limit; a
    /// limit of zero never stops it.
    /// \returns why the command was refused, or an empty string.
    refusal apply(
        const wire::WaveProgressT& progress, const rules::rule_set& rules);

    const std::map<wave_id, wave_record>& all() const { return waves_; }

    void save(wire::ControlImageT& image) const;
    void load(const wire::ControlImageT& image);

private:
    refusal start(const wire::WaveCommandT& command,
        const rules::rule_set& rules, std::uint64_t log_time_ms);
    void erase_oldest_finished();

    std::map<wave_id, wave_record> waves_;
};

} // namespace dragonflymount::fleet

#endif
