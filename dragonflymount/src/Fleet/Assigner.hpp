// Assigns new VMs to pools, and removes the records of VMs that stay absent.
#ifndef DRAGONFLYMOUNT_FLEET_ASSIGNER_HPP
#define DRAGONFLYMOUNT_FLEET_ASSIGNER_HPP

#include "dragonflymount/src/Fleet/View.hpp"

#include <vector>

namespace dragonflymount::fleet {

/// \brief Chooses a pool for each VM that has no record.
///
/// A pinned VM joins the pool of its pin. Any other VM joins the pool that is
/// filled to the lowest fraction of its size. Ties go to the pool with fewest
/// VMs in the VM's zone, then in its rack, so that the loss of a zone or a rack
/// costs each pool few VMs.
/// \returns one command per assigned VM, ordered by VM name.
std::vector<wire::AssignVmT> assign_new_vms(const fleet_view& view);

/// \brief Removes the records of VMs that have been absent for long.
///
/// A VM is absent while its zone reports and the report doesn't list it, or
/// lists it as lost without running tasks. Time without reports of the zone
/// doesn't count, and restarts the delay, so a zone that is cut off loses none
/// of its VMs.
class absent_vm_remover {
public:
    explicit absent_vm_remover(duration removal_delay = std::chrono::hours(1))
        : removal_delay_(removal_delay) {}

    /// \returns a command for each VM that was absent for the whole delay.
    std::vector<wire::ForgetVmT> decide(const fleet_view& view, instant now);
    /// \brief Discards all observations; call when leadership begins.
    void reset() { absent_since_.clear(); }

private:
    duration removal_delay_;
    std::map<vm_id, instant> absent_since_;
};

} // namespace dragonflymount::fleet

#endif
