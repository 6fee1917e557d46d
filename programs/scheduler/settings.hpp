// Reads the scheduler's settings from its settings file.
#ifndef DRAGONFLYMOUNT_SCHEDULER_SETTINGS_HPP
#define DRAGONFLYMOUNT_SCHEDULER_SETTINGS_HPP

#include "programs/scheduler/scheduler.hpp"

namespace dragonflymount::scheduler_program {

/// \returns the schema of the settings that every scheduler has; a program may
/// add sections of its own.
settings::schema_builder scheduler_settings_of();

/// \returns the replicas that the settings name, as members of a new site.
agreement::member_list seeds_of(const settings::values& read);

/// \param read values that were checked against the scheduler's schema.
scheduler_settings make_scheduler_settings(const settings::values& read);

} // namespace dragonflymount::scheduler_program

#endif
