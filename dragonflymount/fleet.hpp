// Includes the whole fleet module, which assigns VMs to pools, limits how many
// may be down, and plans maintenance waves.
#ifndef DRAGONFLYMOUNT_FLEET_HPP
#define DRAGONFLYMOUNT_FLEET_HPP

#include "dragonflymount/src/Fleet/Assigner.hpp"
#include "dragonflymount/src/Fleet/Budget.hpp"
#include "dragonflymount/src/Fleet/FleetPlanner.hpp"
#include "dragonflymount/src/Fleet/Forecast.hpp"
#include "dragonflymount/src/Fleet/View.hpp"
#include "dragonflymount/src/Fleet/VmTable.hpp"
#include "dragonflymount/src/Fleet/WavePlanner.hpp"
#include "dragonflymount/src/Fleet/Waves.hpp"

#endif
