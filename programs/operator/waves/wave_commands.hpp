// Commands on waves: wave start, pause, resume, stop and status.
#ifndef DRAGONFLYMOUNT_OPERATOR_WAVES_WAVE_COMMANDS_HPP
#define DRAGONFLYMOUNT_OPERATOR_WAVES_WAVE_COMMANDS_HPP

#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

std::vector<command> wave_commands();

} // namespace dragonflymount::operator_program

#endif
