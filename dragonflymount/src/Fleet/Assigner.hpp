// Which pool a new VM joins, and when a VM that is gone is forgotten.
#ifndef DRAGONFLYMOUNT_FLEET_ASSIGNER_HPP
#define DRAGONFLYMOUNT_FLEET_ASSIGNER_HPP

#include "dragonflymount/src/Fleet/View.hpp"

#include <vector>

namespace dragonflymount::fleet {

/// \brief Chooses a pool for each VM that has none.
///
/// A pinned VM joins its pool. Any other joins the pool that has the lowest
/// part of its size; among equals, the one with fewest VMs in that zone, then
/// in that rack, so that the loss of either takes few VMs of one pool.
/// \returns the commands, in order of VM.
std::vector<wire::AssignVmT> assign_new_vms(const fleet_view& view);

/// \brief Forgets VMs that are gone for good.
///
/// The time runs while the VM's zone is heard of and its coordinator counts
/// no task there: a zone that is cut off loses none of its VMs.
class absent_vm_remover {
public:
    explicit absent_vm_remover(duration removal_delay = std::chrono::hours(1))
        : removal_delay_(removal_delay) {}

    std::vector<wire::ForgetVmT> decide(const fleet_view& view, instant now);
    void reset() { absent_since_.clear(); }

private:
    duration removal_delay_;
    std::map<vm_id, instant> absent_since_;
};

} // namespace dragonflymount::fleet

#endif
