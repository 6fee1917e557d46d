// Wire module: messages between processes, and their framing.
#ifndef DRAGONFLYMOUNT_WIRE_HPP
#define DRAGONFLYMOUNT_WIRE_HPP

#include "dragonflymount/src/Wire/Codec.hpp"

#endif
