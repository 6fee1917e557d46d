// Estimates run times per service and team from ended tasks.
//
// Declared sizes and expected run times may be far off. Each estimate starts
// at the expected time in the rules and then follows the measured run times.
// One sample changes an estimate by a bounded factor, so that a single task
// that hangs for an hour doesn't cause the team's whole queue to be shed.
#ifndef DRAGONFLYMOUNT_POLICY_RUN_TIMES_HPP
#define DRAGONFLYMOUNT_POLICY_RUN_TIMES_HPP

#include "dragonflymount/core.hpp"

#include <map>

namespace dragonflymount::policy {

/// \brief Exponentially weighted mean and mean absolute deviation of the run
/// times.
struct run_time_estimate {
    duration mean{};
    duration deviation{};
    std::uint64_t samples = 0;

    /// \returns a run time that most tasks reach or exceed.
    duration low() const;
    /// \returns a run time that most tasks don't exceed.
    duration high() const { return mean + 2 * deviation; }
};

/// \brief The run time estimates of all services and teams.
class run_time_table {
public:
    /// Samples and estimates are limited to this range.
    static constexpr duration shortest = std::chrono::milliseconds(1);
    static constexpr duration longest = std::chrono::hours(1);
    /// A sample is limited to this multiple of the mean.
    static constexpr std::int64_t largest_factor = 8;
    /// The weight of a new sample is 1/smoothing.
    static constexpr std::int64_t smoothing = 8;

    /// \param declared the run time in the rules, used without samples.
    run_time_estimate estimate(const service_id& service, const team_id& team,
        duration declared) const;
    void record(const service_id& service, const team_id& team, duration run);

private:
    std::map<std::pair<service_id, team_id>, run_time_estimate> estimates_;
};

} // namespace dragonflymount::policy

#endif
