// Divides the VMs of a fleet among its pools; functions without side effects.
//
// Queues have bursts at different times, and the backlog of one burst still
// needs VMs when the next burst begins. Demand for work that can be on time, in
// any pool, is therefore met before demand for late work. A backlog in one pool
// then takes no VMs from callers of another pool.
#ifndef DRAGONFLYMOUNT_JOBS_ALLOCATION_HPP
#define DRAGONFLYMOUNT_JOBS_ALLOCATION_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dragonflymount::jobs {

/// \brief Demand of one pool, in VMs.
struct pool_demand {
    /// VMs that the pool keeps even if it has no work.
    std::size_t least = 0;
    /// VMs for work that can still be on time; includes \c least.
    std::size_t timely = 0;
    /// VMs for late work as well; includes \c timely.
    std::size_t all = 0;

    friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

/// \brief An amount of work with a time limit.
struct timed_work {
    /// Time until the work is due.
    std::uint64_t within_ms = 0;
    /// Number of VMs that the work occupies, multiplied by the time in
    /// milliseconds for which it occupies them.
    double vm_ms = 0;
};

/// \brief Computes how many VMs finish each part of \p work within its time, if
/// the most urgent part is done first.
///
/// The jobs of a burst can wait for some seconds. VMs for all of them at once
/// would be idle soon after.
/// \returns the minimum number of VMs, not rounded; 0 without work.
double vms_in_time(std::vector<timed_work> work);

/// \brief Divides \p vms among pools: first \c least of each pool, then
/// \c timely, then \c all. If the VMs don't suffice for one of these classes,
/// each pool gets the same fraction of what it lacks, so that no pool is left
/// without VMs.
/// \returns the VMs of each pool, in the order of \p demands; together at most
/// \p vms.
std::vector<std::size_t> divide_vms(
    const std::vector<pool_demand>& demands, std::size_t vms);

} // namespace dragonflymount::jobs

#endif
