// Commands on keys: withdraw.
#ifndef DRAGONFLYMOUNT_OPERATOR_KEYS_KEY_COMMANDS_HPP
#define DRAGONFLYMOUNT_OPERATOR_KEYS_KEY_COMMANDS_HPP

#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

std::vector<command> key_commands();

} // namespace dragonflymount::operator_program

#endif
