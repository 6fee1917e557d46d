// Counts crashes under a task by the evidence that each one gives.
#include "dragonflymount/src/Jobs/CrashCounts.hpp"

namespace dragonflymount::jobs {
namespace {

// Number of crashes under a task after which it is given up, whatever else ran
// on the endpoints: the users' platform allows two further starts after the
// third crash. Less would end tasks that only ran beside the cause.
constexpr std::uint32_t most_crashes = 5;
// Number of crashes soon after the task's start after which it is given up. The
// users' platform allows that after two; one of these starts may have been lost
// on the way to an endpoint that was just losing power.
constexpr std::uint32_t most_start_crashes = 4;
// The same if nothing else had been started there shortly before the last one.
constexpr std::uint32_t most_clear_start_crashes = 3;

} // namespace

crash_counts count_crash(crash_counts before, wire::crash_evidence evidence) {
    switch (evidence) {
    case wire::crash_evidence::none:
        return before;
    case wire::crash_evidence::worked_long:
        return {};
    case wire::crash_evidence::at_start:
    case wire::crash_evidence::alone_at_start:
        return {before.crashes + 1, before.start_crashes + 1};
    case wire::crash_evidence::at_work:
    case wire::crash_evidence::unclear_start:
        break;
    }
    return {before.crashes + 1, before.start_crashes};
}

bool is_given_up(crash_counts counts, wire::crash_evidence last) {
    const bool is_clear = last == wire::crash_evidence::alone_at_start &&
        counts.start_crashes >= most_clear_start_crashes;
    return is_clear || counts.start_crashes >= most_start_crashes ||
        counts.crashes >= most_crashes;
}

} // namespace dragonflymount::jobs
