// The entry's page of metrics.
#include "programs/entry/coordination/node.hpp"

namespace dragonflymount::entry_program {

std::string node::metrics() const {
    runtime::metrics_page page;
    page.metric(
        "dfm_answers_total", "counter", "Final answers to callers by outcome.");
    for (const auto& [outcome, count] : outcomes_) {
        page.value(static_cast<double>(count),
            {{"outcome", wire::EnumNameoutcome(outcome)}});
    }
    page.metric("dfm_call_seconds", "summary",
            "Time from a caller's request to its final answer.")
        .value(call_times_);
    const auto gauge = [&page](const char* name, const char* help, auto value) {
        page.metric(name, "gauge", help).value(static_cast<double>(value));
    };
    gauge("dfm_waiting_requests", "Requests that callers wait for.",
        face_.waiting());
    gauge("dfm_endpoints", "Connected endpoints.", endpoints_.size());
    gauge("dfm_rules_version", "Version of the rules in force.",
        face_.version().value());
    gauge("dfm_rules_fresh", "1 while the entry may take new work.",
        face_.is_fresh(runtime::system_clock::now()) ? 1 : 0);
    if (coordinator_) {
        gauge("dfm_queued_requests", "Requests in the zone's queues.",
            coordinator_->queued());
        gauge("dfm_running_tasks", "Tasks that run in the zone.",
            coordinator_->running());
    }
    return page.text();
}

} // namespace dragonflymount::entry_program
