// Estimates the remaining time of a wave from the VMs that are left and the
// maintenance time of one VM.
#ifndef DRAGONFLYMOUNT_FLEET_FORECAST_HPP
#define DRAGONFLYMOUNT_FLEET_FORECAST_HPP

#include "dragonflymount/src/Fleet/View.hpp"
#include "dragonflymount/src/Fleet/Waves.hpp"

#include <optional>

namespace dragonflymount::fleet {

/// \brief Estimates the remaining time of a wave.
///
/// The pool, rack or zone that needs the most rounds determines the number of
/// rounds. Time outside the maintenance window is added.
/// \param cycle the time of one VM from the start of its drain to its return.
/// \returns nothing if a pool with remaining VMs needs all of its VMs for its
/// minimum.
std::optional<duration> time_left(
    const fleet_view& view, const wave_record& wave, duration cycle);

} // namespace dragonflymount::fleet

#endif
