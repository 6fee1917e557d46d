// Commands on processes: status, entries and dump.
#ifndef DRAGONFLYMOUNT_OPERATOR_STATE_STATE_COMMANDS_HPP
#define DRAGONFLYMOUNT_OPERATOR_STATE_STATE_COMMANDS_HPP

#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

std::vector<command> state_commands();

} // namespace dragonflymount::operator_program

#endif
