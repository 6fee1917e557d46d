// Control module: the replicated state, and the leader's decisions from it.
#ifndef DRAGONFLYMOUNT_CONTROL_HPP
#define DRAGONFLYMOUNT_CONTROL_HPP

#include "dragonflymount/src/Control/Claims.hpp"
#include "dragonflymount/src/Control/Planner.hpp"
#include "dragonflymount/src/Control/State.hpp"

#endif
