// Public header of the Agreement module, which replicates a log by Raft and
// stores it on disk.
#ifndef DRAGONFLYMOUNT_AGREEMENT_HPP
#define DRAGONFLYMOUNT_AGREEMENT_HPP

#include "dragonflymount/src/Agreement/DiskProbe.hpp"
#include "dragonflymount/src/Agreement/FileStore.hpp"
#include "dragonflymount/src/Agreement/Log.hpp"
#include "dragonflymount/src/Agreement/MemberPlan.hpp"
#include "dragonflymount/src/Agreement/MemoryStore.hpp"
#include "dragonflymount/src/Agreement/Replica.hpp"
#include "dragonflymount/src/Agreement/Types.hpp"

#endif
