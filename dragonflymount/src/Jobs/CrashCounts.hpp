// How often endpoints crashed under a task, and when the task is given up.
#ifndef DRAGONFLYMOUNT_JOBS_CRASHCOUNTS_HPP
#define DRAGONFLYMOUNT_JOBS_CRASHCOUNTS_HPP

#include "dragonflymount/wire.hpp"

#include <cstdint>

namespace dragonflymount::jobs {

/// \brief Crashes of endpoints under one task.
struct crash_counts {
    std::uint32_t crashes = 0;
    /// Those of them soon after the task's start.
    std::uint32_t start_crashes = 0;

    friend bool operator==(const crash_counts&, const crash_counts&) = default;
};

/// \returns the counts after one more crash with this evidence.
crash_counts count_crash(crash_counts before, wire::crash_evidence evidence);

/// \brief Whether a task with these counts is given up.
/// \param last evidence of the last crash, which the counts include.
bool is_given_up(crash_counts counts, wire::crash_evidence last);

/// \returns the counts in the task's record.
inline crash_counts crash_counts_of(const wire::JobTaskT& task) {
    return {task.crashes, task.start_crashes};
}

} // namespace dragonflymount::jobs

#endif
