// Checks commands on VMs and applies them to the agreed records.
#include "dragonflymount/src/Fleet/VmTable.hpp"

namespace dragonflymount::fleet {
namespace {

refusal check_change(const vm_record& current, const wire::AssignVmT& command,
    zone_epoch coordinator) {
    if (current.zone.str() != command.zone) {
        return "the VM belongs to zone " + current.zone.str();
    }
    if (current.pool.str() == command.pool) {
        return {};
    }
    if (!current.draining) {
        return "the VM is not draining";
    }
    // A superseded coordinator may not know which tasks its successor started.
    if (command.zone_epoch == 0 || command.zone_epoch != coordinator.value()) {
        return "no word of the current coordinator that the VM is drained";
    }
    return {};
}

// The VM was to restart, and the command records a new incarnation.
bool completes_reboot(
    const vm_record& current, const wire::AssignVmT& command) {
    return current.reboot && !command.reboot &&
        command.incarnation != current.incarnation && command.incarnation != 0;
}

} // namespace

refusal vm_table::assign(
    const wire::AssignVmT& command, log_index index, zone_epoch coordinator) {
    const vm_id vm(command.vm);
    const auto found = vms_.find(vm);
    const vm_record current = found == vms_.end() ? vm_record{} : found->second;
    if (command.epoch != current.epoch.value()) {
        return "epoch has passed";
    }
    if (found != vms_.end()) {
        refusal reason = check_change(current, command, coordinator);
        if (!reason.empty()) {
            return reason;
        }
    }
    vm_record changed;
    changed.zone = availability_zone_id(command.zone);
    changed.rack = rack_id(command.rack);
    changed.pool = pool_id(command.pool);
    changed.epoch = assignment_epoch(index.value());
    changed.draining = command.draining;
    changed.reboot = command.reboot;
    changed.incarnation =
        command.incarnation == 0 ? current.incarnation : command.incarnation;
    changed.maintained_ms = completes_reboot(current, command)
        ? command.time_ms
        : current.maintained_ms;
    vms_[vm] = std::move(changed);
    return {};
}

refusal vm_table::forget(const wire::ForgetVmT& command) {
    const auto found = vms_.find(vm_id(command.vm));
    if (found == vms_.end() || found->second.epoch.value() != command.epoch) {
        return "epoch has passed";
    }
    vms_.erase(found);
    return {};
}

const vm_record* vm_table::find(const vm_id& vm) const {
    const auto found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

void vm_table::save(wire::ControlImageT& image) const {
    for (const auto& [vm, record] : vms_) {
        auto saved =
            std::make_unique<wire::AssignVmT>(command_for(vm, record, 0));
        saved->maintained_ms = record.maintained_ms;
        image.vms.push_back(std::move(saved));
    }
}

void vm_table::load(const wire::ControlImageT& image) {
    vms_.clear();
    for (const auto& saved : image.vms) {
        vms_[vm_id(saved->vm)] = {availability_zone_id(saved->zone),
            rack_id(saved->rack), pool_id(saved->pool),
            assignment_epoch(saved->epoch), saved->draining, saved->reboot,
            saved->incarnation, saved->maintained_ms};
    }
}

wire::AssignVmT command_for(
    const vm_id& vm, const vm_record& record, std::uint64_t time_ms) {
    wire::AssignVmT command;
    command.vm = vm.str();
    command.zone = record.zone.str();
    command.rack = record.rack.str();
    command.pool = record.pool.str();
    command.epoch = record.epoch.value();
    command.draining = record.draining;
    command.reboot = record.reboot;
    command.incarnation = record.incarnation;
    command.time_ms = time_ms;
    return command;
}

} // namespace dragonflymount::fleet
