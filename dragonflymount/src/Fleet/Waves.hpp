// The agreed record of maintenance waves.
//
// How far each VM is follows from its record and from what is reported of it;
// a wave's own record holds only what these can't tell: what operators asked
// for, and which VMs failed and when. A new leader therefore goes on where
// the last one stopped.
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
    /// Empty for the VMs of all pools.
    pool_id pool;
    wave_state state = wave_state::planned;
    std::string author;
    std::uint64_t started_ms = 0;
    std::uint64_t ended_ms = 0;
    /// Why it was paused or stopped.
    std::string reason;
    /// VMs lost, or not returned, and when (log time).
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
    /// Failures within this time of each other count as correlated.
    static constexpr std::chrono::minutes correlation_window{10};
    /// Waves that are over and still shown.
    static constexpr std::size_t history_length = 20;

    /// \brief Applies an operator's command: start, pause, resume or stop.
    ///
    /// \param log_time_ms later than any maintenance so far.
    /// A wave that is started while another covers the same VMs is refused.
    refusal apply(const wire::WaveCommandT& command,
        const rules::rule_set& rules, std::uint64_t log_time_ms);
    /// \brief Records a failed VM, or that the wave is finished.
    ///
    /// The failure that reaches the rule's limit stops the wave.
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
