// What the crash of an endpoint's life shows about the runs on it.
//
// A task may crash each endpoint that starts it. Which run caused a crash isn't
// reported, so the age of each run at the last report serves as evidence: it is
// strong against a run that no report had listed yet, weak against one that had
// worked while nothing else was starting, and a run that had worked for long is
// innocent. The replicated state counts this evidence for each task. The end of
// a lease alone is no evidence, because it also occurs when an endpoint is cut
// off.
#include "dragonflymount/src/Jobs/Engine.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// Time for which a run must be observed before the task counts as harmless.
constexpr duration innocent_time = std::chrono::seconds(10);

// Time since its start, in log time, in which the end of a life becomes known
// at the latest: the longest lease, its margin and a report interval.
constexpr std::uint64_t detection_time_ms = 13'000;

} // namespace

void engine::set_reserved_vms(std::set<vm_id> vms) {
    // Crashes until now belong to the orders of the former set.
    endpoints_.excuse_crashes(reserved_);
    reserved_ = std::move(vms);
}

// \param view the last view of the life, or null if this leader had none.
wire::crash_evidence engine::evidence_of(
    const run_ref& run, const endpoint_view* view) const {
    const wire::TaskRunT* record = agreed_.find_run(run);
    if (record == nullptr || unsent_starts_.contains(run) ||
        (view != nullptr && view->ended.contains(run))) {
        return wire::crash_evidence::none;
    }
    if (view == nullptr || !view->running.contains(run)) {
        // The leader may have changed since the start, and the reports to the
        // former one are unknown. Log time may jump ahead, which makes a run
        // look older and only weakens the evidence.
        const bool is_recent =
            agreed_.time_ms() - record->started_ms <= detection_time_ms;
        return is_recent ? wire::crash_evidence::at_start
                         : wire::crash_evidence::none;
    }
    return observed_time(*view, run) >= innocent_time
        ? wire::crash_evidence::worked_long
        : wire::crash_evidence::at_work;
}

std::vector<engine::run_evidence> engine::evidence_of(
    const endpoint_life& life, const endpoint_load& load) const {
    const bool crashed = endpoints_.how_ended(life) == life_end::crashed;
    const endpoint_view* view = endpoints_.find_crashed(life);
    std::vector<run_evidence> evidence;
    for (const run_ref& run : load.runs) {
        evidence.push_back({run,
            crashed ? evidence_of(run, view) : wire::crash_evidence::none});
    }
    const auto is_at_start = [](const run_evidence& each) {
        return each.crash == wire::crash_evidence::at_start;
    };
    const auto at_start =
        std::count_if(evidence.begin(), evidence.end(), is_at_start);
    if (at_start == 0) {
        return evidence;
    }
    // The runs that had just been started explain the crash.
    for (run_evidence& each : evidence) {
        if (each.crash == wire::crash_evidence::at_work) {
            each.crash = wire::crash_evidence::none;
        } else if (is_at_start(each) && at_start == 1) {
            each.crash = wire::crash_evidence::alone_at_start;
        }
    }
    return evidence;
}

} // namespace dragonflymount::jobs
