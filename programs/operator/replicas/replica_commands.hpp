// Commands on replicas: replica status, reform, admit, promote and remove.
#ifndef DRAGONFLYMOUNT_OPERATOR_REPLICAS_REPLICA_COMMANDS_HPP
#define DRAGONFLYMOUNT_OPERATOR_REPLICAS_REPLICA_COMMANDS_HPP

#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

std::vector<command> replica_commands();

} // namespace dragonflymount::operator_program

#endif
