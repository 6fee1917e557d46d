// Runtime module: clock, connections and the supervisor of a process.
#ifndef DRAGONFLYMOUNT_RUNTIME_HPP
#define DRAGONFLYMOUNT_RUNTIME_HPP

#include "dragonflymount/src/Runtime/Client.hpp"
#include "dragonflymount/src/Runtime/Clock.hpp"
#include "dragonflymount/src/Runtime/Connection.hpp"
#include "dragonflymount/src/Runtime/Folder.hpp"
#include "dragonflymount/src/Runtime/Process.hpp"
#include "dragonflymount/src/Runtime/Supervisor.hpp"

#endif
