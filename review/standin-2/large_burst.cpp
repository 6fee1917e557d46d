// Large jobs come at once: their starts for one worker are more than the reply
// to a heartbeat may hold.
#include "cases.hpp"

#include <algorithm>

namespace review {
namespace {

constexpr std::size_t workers = 3;
constexpr std::uint32_t jobs = 8;
constexpr std::uint32_t tasks_per_job = 1000;
constexpr std::uint32_t cpu_of_task = 5;
constexpr std::size_t spec_bytes = 4000;
constexpr int work_ms = 300;
// finish_s is 14.
constexpr milliseconds finish_limit{14000};
// For this long nothing may run while tasks wait.
constexpr std::int64_t idle_ms = 3000;
constexpr int poll_ms = 20;
// The dose of the site file: 1.04 jobs a second x 5 x 2.6.
constexpr int between_jobs_ms = 75;
constexpr milliseconds start_limit{20000};

bool is_complete(deployment& site, std::uint64_t job) {
    const http_reply state =
        exchange(site.frontend(0), job_call("GET", job), milliseconds(3000));
    return state.status == 200 &&
        state.body.find("complete") != std::string::npos;
}

std::size_t count_complete(deployment& site) {
    std::size_t count = 0;
    for (std::uint32_t k = 0; k < jobs; ++k) {
        count += is_complete(site, 0xe000 + k) ? 1 : 0;
    }
    return count;
}

} // namespace

int send_large_jobs_at_once(record& log, const case_settings& settings) {
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
    std::string spec = std::to_string(work_ms);
    spec.resize(spec_bytes, ' ');
    const nlohmann::json job =
        make_job(spec, tasks_per_job, cpu_of_task, work_ms);
    for (std::uint32_t k = 0; k < jobs; ++k) {
        if (!submit(site, 0xe000 + k, job, start_limit)) {
            return status_not_run;
        }
        log.note("job " + std::to_string(k) + " accepted");
        sleep_for(between_jobs_ms);
        const auto end = steady::now() + finish_limit;
        while (!settings.trouble && steady::now() < end &&
            !is_complete(site, 0xe000 + k)) {
            sleep_for(poll_ms);
        }
    }
    const auto traffic_ended = steady::now();
    std::this_thread::sleep_until(traffic_ended + finish_limit);
    std::size_t complete = count_complete(site);
    log.note("jobs complete after finish_s: " + std::to_string(complete) +
        " of " + std::to_string(jobs));
    std::int64_t idle_since = log.now();
    std::int64_t longest_idle = 0;
    const auto end = steady::now() + 2 * finish_limit;
    while (complete < jobs && steady::now() < end) {
        idle_since = group.running() > 0 ? log.now() : idle_since;
        longest_idle = std::max(longest_idle, log.now() - idle_since);
        sleep_for(poll_ms);
    }
    complete = count_complete(site);
    log.note("jobs complete at the end: " + std::to_string(complete) +
        "; longest time without a running task: " +
        std::to_string(longest_idle) +
        " ms; runs seen: " + std::to_string(runs.all().size()) + " of " +
        std::to_string(jobs * tasks_per_job) + " tasks");
    for (const auto& each : group.all) {
        log.note(each->summary());
    }
    site.note_ended();
    return complete < jobs && longest_idle >= idle_ms ? status_broken
                                                      : status_held;
}

} // namespace review
