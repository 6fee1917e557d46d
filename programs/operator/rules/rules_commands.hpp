// Commands on the rules: check, diff, apply, rules, history.
#ifndef DRAGONFLYMOUNT_OPERATOR_RULES_RULES_COMMANDS_HPP
#define DRAGONFLYMOUNT_OPERATOR_RULES_RULES_COMMANDS_HPP

#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

std::vector<command> rules_commands();

} // namespace dragonflymount::operator_program

#endif
