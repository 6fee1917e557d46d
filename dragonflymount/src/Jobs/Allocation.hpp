// How the VMs of a fleet are divided among its pools.
//
// Pure. Load pattern: the queues have their bursts in turn, and the work that
// one burst leaves behind still asks for room when the next begins. What can
// be in time anywhere goes before what is late anywhere, so a pool's backlog
// never keeps VMs that another pool's callers are waiting for.
#ifndef DRAGONFLYMOUNT_JOBS_ALLOCATION_HPP
#define DRAGONFLYMOUNT_JOBS_ALLOCATION_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dragonflymount::jobs {

/// \brief What one pool can use, in VMs.
struct pool_demand {
    /// VMs that it keeps however little work it has.
    std::size_t least = 0;
    /// VMs for work that can still be in time; includes \c least.
    std::size_t timely = 0;
    /// VMs for late work as well; at least \c timely.
    std::size_t all = 0;

    friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

/// \brief Work that should be done within some time.
struct timed_work {
    std::uint64_t within_ms = 0;
    /// VMs that it fills, times the milliseconds for which it fills them.
    double vm_ms = 0;
};

/// \brief The fewest VMs that do each part of \p work within its time, if
/// the most urgent is done first.
///
/// Load pattern: a burst of some seconds, whose jobs can each wait for some
/// seconds. Room for all of them at once would stand idle soon after.
double vms_in_time(std::vector<timed_work> work);

/// \brief Divides \p vms: first what each pool keeps, then room for work that
/// can be in time, then room for late work. Where one of them can't be met,
/// each pool gets the same part of what it lacks, so none stands empty.
/// \returns the VMs of each pool, in the order of \p demands; together at most
/// \p vms.
std::vector<std::size_t> divide_vms(
    const std::vector<pool_demand>& demands, std::size_t vms);

} // namespace dragonflymount::jobs

#endif
