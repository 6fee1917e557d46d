// JSON of waves and VMs.
#include "programs/control/service/wave_description.hpp"

#include "dragonflymount/runtime.hpp"
#include "programs/control/planning/planner_loop.hpp"

namespace dragonflymount::control_program {
namespace {

nlohmann::json describe_vms(const fleet::fleet_view& view,
    const fleet::wave_record& wave, const fleet::wave_planner& planner) {
    nlohmann::json vms = nlohmann::json::array();
    for (const auto& [vm, record] : view.vms.all()) {
        if (!wave.covers(record.pool)) {
            continue;
        }
        const fleet::vm_progress progress = planner.progress_of(view, wave, vm);
        vms.push_back({{"vm", vm.str()}, {"pool", record.pool.str()},
            {"zone", record.zone.str()}, {"rack", record.rack.str()},
            {"phase", fleet::name_of(progress.phase)},
            {"reason", progress.reason},
            {"maintained_ms", record.maintained_ms}});
    }
    return vms;
}

nlohmann::json describe_wave(const fleet::fleet_view& view, const wave_id& id,
    const fleet::wave_record& wave, const fleet::wave_planner& planner) {
    nlohmann::json failures = nlohmann::json::array();
    for (const auto& [vm, time_ms] : wave.failures) {
        failures.push_back(vm.str());
    }
    nlohmann::json described = {{"wave", id.str()},
        {"pool", wave.pool.empty() ? "all" : wave.pool.str()},
        {"state", fleet::name_of(wave.state)}, {"author", wave.author},
        {"reason", wave.reason}, {"started_ms", wave.started_ms},
        {"ended_ms", wave.ended_ms}, {"failures", std::move(failures)}};
    if (wave.is_over()) {
        return described;
    }
    const auto left = fleet::time_left(view, wave, planner.mean_cycle());
    if (left) {
        described["left_s"] =
            std::chrono::duration_cast<std::chrono::seconds>(*left).count();
    }
    described["vms"] = describe_vms(view, wave, planner);
    return described;
}

} // namespace

nlohmann::json describe_waves(
    const control::state& agreed, const control::planner& planner) {
    const fleet::fleet_view view =
        planner.view_of(agreed, runtime::system_clock::now(), time_of_day());
    nlohmann::json waves = nlohmann::json::array();
    for (const auto& [id, wave] : agreed.waves().all()) {
        waves.push_back(describe_wave(view, id, wave, planner.fleet().waves()));
    }
    return {{"log_time_ms", view.log_time_ms}, {"waves", std::move(waves)}};
}

} // namespace dragonflymount::control_program
