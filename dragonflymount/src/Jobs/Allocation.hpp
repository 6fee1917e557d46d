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

/// \brief An amount of work and the time that it should take.
struct timed_work {
    /// Time from now until the work should be done.
    std::uint64_t within_ms = 0;
    /// Number of VMs that the work occupies, multiplied by the time in
    /// milliseconds for which it occupies them.
    double vm_ms = 0;
};

/// \brief What a pool has to do soon.
struct work_outlook {
    /// Work that has arrived.
    std::vector<timed_work> present;
    /// Rate at which further work arrives: the number of VMs that it keeps
    /// busy.
    double arrival_rate = 0;
    /// Mean time that arriving work should take.
    double arriving_within_ms = 0;
};

/// \brief The VMs that can do it, and when further ones can help.
struct vm_supply {
    /// VMs that work in the pool now.
    double working = 0;
    /// Time from an order until a further VM takes tasks.
    double order_ms = 0;
};

/// \brief Computes how many VMs a pool needs once further ones can be there.
///
/// Load pattern: the demand of a queue rises within a second to several times
/// its mean and stays there for some seconds. VMs that are ordered when the
/// waiting work fills them come after the turn. Therefore the work that will
/// arrive until an ordered VM takes tasks counts as well, and what is left then
/// is to be done in the time that each part should take, the most urgent part
/// first.
/// \returns the minimum number of VMs, not rounded; 0 if those that work now
/// finish everything before another can help.
double vms_in_time(work_outlook outlook, const vm_supply& supply);

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
