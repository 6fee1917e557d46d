// The measurement of roll-out times, in virtual time.
#ifndef DRAGONFLYMOUNT_LOAD_FLEET_ROLL_OUT_HPP
#define DRAGONFLYMOUNT_LOAD_FLEET_ROLL_OUT_HPP

#include <ostream>

namespace dragonflymount::load_program {

/// \brief Prints, per site, how long a wave over all VMs takes with as many
/// VMs at a time as the budgets allow, and with one at a time.
/// \returns whether every wave was finished.
bool print_roll_out(std::ostream& out);

} // namespace dragonflymount::load_program

#endif
