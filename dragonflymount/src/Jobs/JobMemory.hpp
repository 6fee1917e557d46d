// What accepted jobs take up in the memory of each scheduler.
#ifndef DRAGONFLYMOUNT_JOBS_JOB_MEMORY_HPP
#define DRAGONFLYMOUNT_JOBS_JOB_MEMORY_HPP

#include "dragonflymount/wire.hpp"

#include <cstdint>

namespace dragonflymount::jobs {

/// \returns about how many bytes the job takes up besides its runs: the larger
/// part is its tasks. A job whose first occurrence is still to begin counts as
/// if it had begun; one that is over and has no run counts little.
std::uint64_t memory_of(const wire::JobT& job);

} // namespace dragonflymount::jobs

#endif
