// The verbs of the command "replica" for a group of schedulers: its status, and
// its election without lost members.
#ifndef DRAGONFLYMOUNT_OPERATOR_REPLICAS_GROUP_COMMANDS_HPP
#define DRAGONFLYMOUNT_OPERATOR_REPLICAS_GROUP_COMMANDS_HPP

#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

/// \brief Asks the given replicas and those that they name.
outcome show_group(const options& given);
/// \brief Asks the replica with the newest log to go on without members that
/// are gone.
outcome reform_group(const options& given);

} // namespace dragonflymount::operator_program

#endif
