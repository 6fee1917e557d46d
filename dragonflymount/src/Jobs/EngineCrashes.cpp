// What the crash of an endpoint's life shows about the runs on it.
//
// A task may crash each endpoint that starts it. Which run caused a crash isn't
// reported, so the age of each run at the last report serves as evidence: it is
// strong against a run that no report had listed yet, weak against one that had
// worked while nothing else was starting, and a run that had worked for long is
// innocent.
//
// A start that was sent shows that the run began only if the endpoint was still
// there to receive it. A reply may be sent long after its report, and an
// endpoint that has lost power meanwhile looks the same as one that the task
// crashes. So a start counts as begun only if the report that it answered was
// fresh. The start of a suspect is sent only in reply to a fresh report, so
// that a task that does crash its endpoints is found after few starts.
//
// The replicated state counts the evidence for each task. The end of
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

// An earlier leader placed the run on a life that this leader hasn't heard:
// whether and when the start was sent isn't known. Log time may jump ahead,
// which makes a run look older and only weakens the evidence.
wire::crash_evidence engine::evidence_of_unheard(
    const wire::TaskRunT& record) const {
    const bool is_recent =
        agreed_.time_ms() - record.started_ms <= detection_time_ms;
    return is_recent ? wire::crash_evidence::unclear_start
                     : wire::crash_evidence::none;
}

// \param view the last view of the life, or null if this leader had none.
wire::crash_evidence engine::evidence_of(
    const run_ref& run, const endpoint_view* view) const {
    const wire::TaskRunT* record = agreed_.find_run(run);
    if (record == nullptr) {
        return wire::crash_evidence::none;
    }
    if (view == nullptr) {
        return evidence_of_unheard(*record);
    }
    if (view->running.contains(run)) {
        return observed_time(*view, run) >= innocent_time
            ? wire::crash_evidence::worked_long
            : wire::crash_evidence::at_work;
    }
    if (!view->sent_starts.contains(run)) {
        return wire::crash_evidence::none;
    }
    return view->reply_age <= fresh_report_age
        ? wire::crash_evidence::at_start
        : wire::crash_evidence::unclear_start;
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
    const auto started = std::count_if(
        evidence.begin(), evidence.end(), [](const run_evidence& each) {
            return each.crash == wire::crash_evidence::at_start ||
                each.crash == wire::crash_evidence::unclear_start;
        });
    if (started == 0) {
        return evidence;
    }
    // The runs that had just been started explain the crash.
    for (run_evidence& each : evidence) {
        if (each.crash == wire::crash_evidence::at_work) {
            each.crash = wire::crash_evidence::none;
        } else if (each.crash == wire::crash_evidence::at_start &&
            started == 1) {
            each.crash = wire::crash_evidence::alone_at_start;
        }
    }
    return evidence;
}

} // namespace dragonflymount::jobs
