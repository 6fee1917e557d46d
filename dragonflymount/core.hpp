// Core module: ids, units, time, errors, digests and log events.
#ifndef DRAGONFLYMOUNT_CORE_HPP
#define DRAGONFLYMOUNT_CORE_HPP

#include "dragonflymount/src/Core/Digest.hpp"
#include "dragonflymount/src/Core/Error.hpp"
#include "dragonflymount/src/Core/Event.hpp"
#include "dragonflymount/src/Core/Id.hpp"
#include "dragonflymount/src/Core/Text.hpp"
#include "dragonflymount/src/Core/Time.hpp"

#endif
