// The scheduler's settings file.
#ifndef DRAGONFLYMOUNT_SCHEDULER_SETTINGS_HPP
#define DRAGONFLYMOUNT_SCHEDULER_SETTINGS_HPP

#include "programs/scheduler/scheduler.hpp"

namespace dragonflymount::scheduler_program {

settings::schema scheduler_schema();

scheduler_settings make_scheduler_settings(const settings::values& read);

} // namespace dragonflymount::scheduler_program

#endif
