// One event per kind of command.
#include "programs/control/service/applied_log.hpp"

#include <glog/logging.h>

namespace dragonflymount::control_program {
namespace {

void log_rules(
    const wire::ApplyRulesT& rules, const wire::ProposeReplyT& reply) {
    if (reply.result == wire::proposal_result::accepted) {
        LOG(INFO) << event::rules_accepted << "version=" << reply.version
                  << " author=" << rules.author;
        return;
    }
    LOG(INFO) << event::rules_refused << "author=" << rules.author
              << " result=" << wire::EnumNameproposal_result(reply.result)
              << " detail=" << reply.detail;
}

void log_assignment(
    const wire::AssignVmT& command, const control::state& agreed) {
    LOG(INFO) << event::vm_assigned << "vm=" << command.vm
              << " pool=" << command.pool << " draining=" << command.draining
              << " reboot=" << command.reboot;
    const fleet::vm_record* record = agreed.vm_table().find(vm_id(command.vm));
    // The table dates a VM's maintenance by the command that ends it.
    if (record != nullptr && command.time_ms != 0 &&
        record->maintained_ms == command.time_ms) {
        LOG(INFO) << event::vm_maintained << "vm=" << command.vm;
    }
}

void log_wave(const wire::WaveCommandT& command) {
    const bool runs = command.verb == "start" || command.verb == "resume";
    LOG(INFO) << (runs ? event::wave_started : event::wave_paused)
              << "wave=" << command.wave << " verb=" << command.verb
              << " author=" << command.author;
}

} // namespace

void log_applied(const bytes& command, const wire::ProposeReplyT& reply,
    const control::state& agreed) {
    const auto decoded = wire::decode_command(command);
    if (!decoded) {
        return;
    }
    const wire::CommandUnion& content = decoded->command;
    if (const auto* rules = content.AsApplyRules()) {
        log_rules(*rules, reply);
        return;
    }
    if (reply.result != wire::proposal_result::accepted) {
        return;
    }
    if (const auto* assignment = content.AsAssignVm()) {
        log_assignment(*assignment, agreed);
    } else if (const auto* wave = content.AsWaveCommand()) {
        log_wave(*wave);
    } else if (const auto* progress = content.AsWaveProgress()) {
        if (progress->vm.empty()) {
            LOG(INFO) << event::wave_finished << "wave=" << progress->wave;
        }
    }
}

} // namespace dragonflymount::control_program
