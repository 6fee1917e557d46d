// The description of waves and VMs for operators.
#ifndef DRAGONFLYMOUNT_CONTROL_SERVICE_WAVE_DESCRIPTION_HPP
#define DRAGONFLYMOUNT_CONTROL_SERVICE_WAVE_DESCRIPTION_HPP

#include "dragonflymount/control.hpp"

#include <nlohmann/json.hpp>

namespace dragonflymount::control_program {

/// \returns each wave with its forecast, and each VM with what it waits for.
nlohmann::json describe_waves(
    const control::state& agreed, const control::planner& planner);

} // namespace dragonflymount::control_program

#endif
