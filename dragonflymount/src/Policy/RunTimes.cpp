// Implements run time estimates as bounded moving averages.
#include "dragonflymount/src/Policy/RunTimes.hpp"

#include <algorithm>

namespace dragonflymount::policy {

duration run_time_estimate::low() const {
    return std::max(run_time_table::shortest, mean - 2 * deviation);
}

run_time_estimate run_time_table::estimate(
    const service_id& service, const team_id& team, duration declared) const {
    const auto found = estimates_.find({service, team});
    if (found != estimates_.end()) {
        return found->second;
    }
    // Without samples the deviation is as large as the mean, so low() is the
    // minimum. Requests are not shed on the declared time alone.
    const duration mean = std::clamp(declared, shortest, longest);
    return {mean, mean, 0};
}

void run_time_table::record(
    const service_id& service, const team_id& team, duration run) {
    run_time_estimate& known = estimates_[{service, team}];
    duration sample = std::clamp(run, shortest, longest);
    if (known.samples++ == 0) {
        known.mean = sample;
        known.deviation = sample / 2;
        return;
    }
    sample = std::min(sample, known.mean * largest_factor);
    const duration error = sample - known.mean;
    known.mean = std::max(shortest, known.mean + error / smoothing);
    known.deviation += (std::chrono::abs(error) - known.deviation) / smoothing;
}

} // namespace dragonflymount::policy
