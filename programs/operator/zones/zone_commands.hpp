// Commands on availability zones.
#ifndef DRAGONFLYMOUNT_OPERATOR_ZONES_ZONE_COMMANDS_HPP
#define DRAGONFLYMOUNT_OPERATOR_ZONES_ZONE_COMMANDS_HPP

#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

std::vector<command> zone_commands();

} // namespace dragonflymount::operator_program

#endif
