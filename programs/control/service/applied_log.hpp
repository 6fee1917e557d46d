// Events of the commands that operators and the planner have brought about.
#ifndef DRAGONFLYMOUNT_CONTROL_SERVICE_APPLIED_LOG_HPP
#define DRAGONFLYMOUNT_CONTROL_SERVICE_APPLIED_LOG_HPP

#include "dragonflymount/control.hpp"

namespace dragonflymount::control_program {

/// \brief Logs what became of \p command; commands that are too many to log,
/// such as claims, are passed over.
/// \param agreed the state after the command.
void log_applied(const bytes& command, const wire::ProposeReplyT& reply,
    const control::state& agreed);

} // namespace dragonflymount::control_program

#endif
