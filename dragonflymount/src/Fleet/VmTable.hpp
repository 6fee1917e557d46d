// Holds the agreed record of each VM: its pool, and whether it is to drain and
// restart.
//
// A VM is in exactly one pool. Its pool changes only while the VM is draining,
// and only if the current coordinator of its zone has reported that no task of
// the old pool runs or may start on it. Every command names the epoch of the
// record that it changes, and the change creates a new epoch, so a late or
// duplicate command is refused.
#ifndef DRAGONFLYMOUNT_FLEET_VM_TABLE_HPP
#define DRAGONFLYMOUNT_FLEET_VM_TABLE_HPP

#include "dragonflymount/wire.hpp"

#include <map>
#include <string>

namespace dragonflymount::fleet {

struct vm_record {
    availability_zone_id zone;
    rack_id rack;
    pool_id pool;
    /// The log index of the command that set this record.
    assignment_epoch epoch;
    /// The VM accepts no new tasks.
    bool draining = false;
    /// The VM is to be restarted once no task runs on it.
    bool reboot = false;
    /// The last recorded incarnation. A reboot applies only to this one.
    std::uint64_t incarnation = 0;
    /// Log time in ms of the last return from maintenance; zero for never.
    std::uint64_t maintained_ms = 0;
};

/// \brief Why a command on a VM or a wave was refused; empty if it was
/// applied.
using refusal = std::string;

class vm_table {
public:
    /// \brief Adds a record for a new VM, or changes an existing record.
    /// \param index the command's log index, which becomes the record's epoch.
    /// \param coordinator the epoch of the zone's current coordinator.
    /// \returns why the command was refused, or an empty string.
    refusal assign(const wire::AssignVmT& command, log_index index,
        zone_epoch coordinator);
    /// \brief Removes the record of a VM.
    /// \returns why the command was refused, or an empty string.
    refusal forget(const wire::ForgetVmT& command);

    const std::map<vm_id, vm_record>& all() const { return vms_; }
    /// \returns a null pointer if \p vm has no record.
    const vm_record* find(const vm_id& vm) const;

    void save(wire::ControlImageT& image) const;
    void load(const wire::ControlImageT& image);

private:
    std::map<vm_id, vm_record> vms_;
};

/// \returns a command with the values of \p record; the sender changes the
/// fields that it wants to set.
/// \param time_ms the log time of the command.
wire::AssignVmT command_for(
    const vm_id& vm, const vm_record& record, std::uint64_t time_ms);

} // namespace dragonflymount::fleet

#endif
