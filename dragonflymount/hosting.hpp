// Hosting module: runs a replica of the log in a process, with its data folder,
// its links to other replicas and its replicated state.
#ifndef DRAGONFLYMOUNT_HOSTING_HPP
#define DRAGONFLYMOUNT_HOSTING_HPP

#include "dragonflymount/src/Hosting/AppliedState.hpp"
#include "dragonflymount/src/Hosting/DataFolder.hpp"
#include "dragonflymount/src/Hosting/MemberSubject.hpp"
#include "dragonflymount/src/Hosting/ReplicaHost.hpp"
#include "dragonflymount/src/Hosting/Sender.hpp"
#include "dragonflymount/src/Hosting/TurnLog.hpp"

#endif
