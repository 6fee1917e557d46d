// Includes the policy module, which decides which request starts next and on
// which VM.
#ifndef DRAGONFLYMOUNT_POLICY_HPP
#define DRAGONFLYMOUNT_POLICY_HPP

#include "dragonflymount/src/Policy/Dispatcher.hpp"

#endif
