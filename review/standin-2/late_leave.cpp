// A worker leaves while it is cut off and starts again under its id. What it
// sent before its end arrives after the heartbeat of its new incarnation.
#include "cases.hpp"

namespace review {
namespace {

constexpr std::size_t workers = 6;
constexpr std::uint32_t tasks = 24;
constexpr std::uint32_t cpu_of_task = 4000;
constexpr int work_ms = 5000;
constexpr int drain_ms = 2000;
constexpr int wait_for_ack_ms = 2000;
constexpr int restart_ms = 500;
constexpr int cut_rest_ms = 2000;
// From the end of the cut until the held-up bytes are sent again.
constexpr int resend_ms = 800;
constexpr int settle_ms = 14000;
constexpr milliseconds start_limit{20000};

} // namespace

int deliver_leave_late(record& log, const case_settings& settings) {
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
    worker& old_life = *group.all.front();
    http_connection connection;
    if (!connection.open(old_life.leader(), milliseconds(1000))) {
        return status_not_run;
    }
    old_life.drain();
    const auto end = steady::now() + milliseconds(5000);
    while (!old_life.is_drain_acknowledged() && steady::now() < end) {
        sleep_for(10);
    }
    log.note("w-1 drains, acknowledged");
    sleep_for(drain_ms);
    const http_call leave{"DELETE", "/api/instances/w-1", {}, {}, {}};
    if (settings.trouble) {
        log.note("w-1 is cut off from the core, sends DELETE: held up");
        old_life.set_cut(true);
        sleep_for(wait_for_ack_ms);
    } else {
        const http_reply reply = connection.exchange(leave, milliseconds(1000));
        log.note("w-1 sends DELETE: " + std::to_string(reply.status));
    }
    old_life.stop();
    sleep_for(restart_ms);
    worker new_life(log, runs, "w-1", "m-1", "127.0.0.1:9001", site.controls());
    new_life.set_cut(settings.trouble);
    new_life.start();
    sleep_for(cut_rest_ms);
    log.note("the cut has ended");
    new_life.set_cut(false);
    const auto joined_at = steady::now();
    while (new_life.leader().empty() &&
        steady::now() < joined_at + milliseconds(2000)) {
        sleep_for(5);
    }
    if (!submit(site, 0xb001,
            make_job(std::to_string(work_ms), tasks, cpu_of_task, work_ms),
            start_limit)) {
        return status_not_run;
    }
    while (new_life.running() == 0 &&
        steady::now() < joined_at + milliseconds(3000)) {
        sleep_for(10);
    }
    log.note("the new life of w-1 runs " + std::to_string(new_life.running()) +
        " tasks");
    if (new_life.running() == 0) {
        return status_not_run;
    }
    std::this_thread::sleep_until(joined_at + milliseconds(resend_ms));
    if (settings.trouble) {
        connection.send(leave);
        log.note("the DELETE of the old life arrives");
        const http_reply reply = connection.receive(milliseconds(100));
        log.note("its answer: " + std::to_string(reply.status));
        connection.close();
    }
    sleep_for(settle_ms);
    const http_reply state =
        exchange(site.frontend(0), job_call("GET", 0xb001), milliseconds(3000));
    log.note("job: " + std::to_string(state.status) + " " + state.body);
    const std::size_t broken = count_twice(log, runs.all());
    log.note(std::to_string(runs.all().size()) + " runs of " +
        std::to_string(tasks) +
        " tasks; tasks that broke TWICE: " + std::to_string(broken));
    return broken > 0 ? status_broken : status_held;
}

} // namespace review
