// A worker that runs many small tasks is cut off from the core for some
// seconds. Its tasks end meanwhile, and it lists their ends 500 at a time.
#include "cases.hpp"

namespace review {
namespace {

constexpr std::size_t workers = 6;
constexpr std::uint32_t jobs = 12;
constexpr std::uint32_t tasks_per_job = 300;
constexpr std::uint32_t cpu_of_task = 50;
constexpr int shortest_ms = 3500;
constexpr int job_step_ms = 100;
// More than the ends that one heartbeat lists.
constexpr std::size_t wanted_tasks = 560;
constexpr int cut_ms = 5500;
constexpr int settle_ms = 15000;
constexpr milliseconds start_limit{20000};

} // namespace

int list_many_ends(record& log, const case_settings& settings) {
    deployment site(log, 3, 1);
    run_log runs;
    if (!site.start() || !site.put_config(make_config(1), start_limit)) {
        return status_not_run;
    }
    const worker_group group(log, runs, site, workers);
    group.start();
    if (!group.wait_until_known(start_limit)) {
        return status_not_run;
    }
    for (std::uint32_t k = 0; k < jobs; ++k) {
        const int work_ms = shortest_ms + static_cast<int>(k) * job_step_ms;
        if (!submit(site, 0xa000 + k,
                make_job(std::to_string(work_ms), tasks_per_job, cpu_of_task,
                    static_cast<std::uint32_t>(work_ms)),
                start_limit)) {
            return status_not_run;
        }
    }
    log.note("all jobs accepted");
    worker& chosen = *group.all.front();
    const auto end = steady::now() + milliseconds(3000);
    while (chosen.listed() < wanted_tasks && steady::now() < end) {
        sleep_for(10);
    }
    log.note("w-1 runs " + std::to_string(chosen.running()) + " tasks");
    if (chosen.listed() < wanted_tasks) {
        return status_not_run;
    }
    if (settings.trouble) {
        log.note("w-1 is cut off from the core");
        chosen.set_cut(true);
    }
    sleep_for(cut_ms);
    if (settings.trouble) {
        log.note("w-1 is joined again, " + std::to_string(chosen.running()) +
            " tasks run");
        chosen.set_cut(false);
    }
    sleep_for(settle_ms);
    for (std::uint32_t k = 0; k < jobs; ++k) {
        const http_reply state = exchange(
            site.frontend(0), job_call("GET", 0xa000 + k), milliseconds(3000));
        log.note("job " + std::to_string(k) + ": " +
            std::to_string(state.status) + " " + state.body);
    }
    log.note(chosen.summary());
    const std::size_t broken = count_twice(log, runs.all());
    log.note(std::to_string(runs.all().size()) + " runs of " +
        std::to_string(jobs * tasks_per_job) +
        " tasks; tasks that broke "
        "TWICE: " +
        std::to_string(broken));
    return broken > 0 ? status_broken : status_held;
}

} // namespace review
