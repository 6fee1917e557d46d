// Includes all headers of the job scheduler: the replicated job state, task
// placement, the leader's job engine and the VM manager.
#ifndef DRAGONFLYMOUNT_JOBS_HPP
#define DRAGONFLYMOUNT_JOBS_HPP

#include "dragonflymount/src/Jobs/AccountRates.hpp"
#include "dragonflymount/src/Jobs/Allocation.hpp"
#include "dragonflymount/src/Jobs/CrashCounts.hpp"
#include "dragonflymount/src/Jobs/Endpoints.hpp"
#include "dragonflymount/src/Jobs/Engine.hpp"
#include "dragonflymount/src/Jobs/Evacuations.hpp"
#include "dragonflymount/src/Jobs/JobMemory.hpp"
#include "dragonflymount/src/Jobs/Placement.hpp"
#include "dragonflymount/src/Jobs/RackForecast.hpp"
#include "dragonflymount/src/Jobs/RouteTable.hpp"
#include "dragonflymount/src/Jobs/State.hpp"
#include "dragonflymount/src/Jobs/StateImage.hpp"
#include "dragonflymount/src/Jobs/Types.hpp"
#include "dragonflymount/src/Jobs/UnconfirmedJobs.hpp"
#include "dragonflymount/src/Jobs/VmManager.hpp"

#endif
