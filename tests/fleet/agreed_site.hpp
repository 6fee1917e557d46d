// Provides an agreed state with one zone and one VM, for tests of VM records.
#ifndef DRAGONFLYMOUNT_TESTS_FLEET_AGREED_SITE_HPP
#define DRAGONFLYMOUNT_TESTS_FLEET_AGREED_SITE_HPP

#include "dragonflymount/control.hpp"

namespace dragonflymount::fleet {

inline const std::string rules_text = "pool sync size=1 # M\n"
                                      "pool render size=1 # M\n"
                                      "service sync pool=sync # M\n"
                                      "service render pool=render # M\n"
                                      "team archive share=100% limit=50 # M\n";

/// An agreed state with zone z1 and two pools, and commands on VM v1 as a
/// leader proposes them. The VM has no record until a command creates it.
class agreed_site {
public:
    agreed_site() {
        wire::ApplyRulesT command;
        command.text = rules_text;
        command.author = "Mette";
        apply(command);
        appoint();
    }

    template <class Content>
    wire::proposal_result apply(const Content& content) {
        index_ = index_.next();
        return state_.apply(index_, wire::encode_command(Content(content)))
            .result;
    }

    /// Replaces the coordinator of the zone.
    /// Returns the epoch of the new one.
    zone_epoch appoint() {
        wire::AppointCoordinatorT command;
        command.zone = "z1";
        command.entry = "e1";
        command.epoch = coordinator().value();
        apply(command);
        return coordinator();
    }

    zone_epoch coordinator() const {
        const auto appointed =
            state_.coordinators().find(availability_zone_id("z1"));
        return appointed == state_.coordinators().end()
            ? zone_epoch()
            : appointed->second.epoch;
    }

    /// A command that leaves the record of the VM as it is.
    wire::AssignVmT command() const {
        wire::AssignVmT command;
        command.vm = "v1";
        command.zone = "z1";
        command.rack = "r1";
        command.pool = record().pool.empty() ? "sync" : record().pool.str();
        command.epoch = record().epoch.value();
        command.draining = record().draining;
        command.reboot = record().reboot;
        command.incarnation = record().incarnation;
        return command;
    }

    control::vm_record record() const {
        const auto found = state_.vms().find(vm_id("v1"));
        return found == state_.vms().end() ? control::vm_record{}
                                           : found->second;
    }

    const control::state& agreed() const { return state_; }

private:
    control::state state_;
    log_index index_;
};

} // namespace dragonflymount::fleet

#endif
