// The replica that keeps the control state.
#ifndef DRAGONFLYMOUNT_CONTROL_AGREEMENT_CONTROL_REPLICA_HPP
#define DRAGONFLYMOUNT_CONTROL_AGREEMENT_CONTROL_REPLICA_HPP

#include "dragonflymount/control.hpp"
#include "dragonflymount/hosting.hpp"

namespace dragonflymount::control_program {

using hosting::data_folder;
using hosting::name_of;
using hosting::replica_settings;
using replica_host = hosting::replica_host<control::state>;

} // namespace dragonflymount::control_program

#endif
