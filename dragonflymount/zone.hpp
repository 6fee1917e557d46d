// Includes the public headers of the zone module: the handling of callers in
// an entry, and the coordinator of an availability zone.
#ifndef DRAGONFLYMOUNT_ZONE_HPP
#define DRAGONFLYMOUNT_ZONE_HPP

#include "dragonflymount/src/Zone/Coordinator.hpp"
#include "dragonflymount/src/Zone/Endpoints.hpp"
#include "dragonflymount/src/Zone/Face.hpp"
#include "dragonflymount/src/Zone/Grants.hpp"

#endif
