// The scheduler's settings file.
#ifndef DRAGONFLYMOUNT_SCHEDULER_SETTINGS_HPP
#define DRAGONFLYMOUNT_SCHEDULER_SETTINGS_HPP

#include "programs/scheduler/scheduler.hpp"

namespace dragonflymount::scheduler_program {

/// \brief What every scheduler takes; a program may add sections.
settings::schema_builder scheduler_settings_of();

scheduler_settings make_scheduler_settings(const settings::values& read);

} // namespace dragonflymount::scheduler_program

#endif
