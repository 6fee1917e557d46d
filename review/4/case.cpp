// Case 4: the DELETE of a worker that has left arrives late, when the worker
// has begun its next life under the same id. What that life runs is started
// once more elsewhere.
#include "review/standin/small_site.hpp"

#include <iostream>

namespace {

using namespace dragonflymount::review;
using review_caller = dragonflymount::review::caller;

// One of them is cut off: a share of 0.125.
constexpr std::size_t worker_count = 8;
constexpr int task_count = 40;
constexpr int task_cpu = 2300;
constexpr int task_memory_mb = 256;
constexpr std::int64_t work_ms = 6000;
constexpr std::int64_t drain_ms = 2000;
// The worker's link is cut when it leaves. TCP sends what was lost again after
// 0.2, 0.6, 1.4 and 3 s: the DELETE arrives 1.5 s after the cut has ended.
constexpr std::int64_t cut_ms = 1500;
constexpr std::int64_t arrival_ms = 3000;
constexpr std::int64_t run_limit_ms = 10'000;
constexpr std::int64_t finish_ms = 14'000;

int play(record& log) {
    small_site all(log);
    if (!all.start({{"picking"}}, {{"team-a", "key-a", 0}})) {
        return exit_not_run;
    }
    worker_settings settings;
    settings.service = "picking";
    settings.work_ms = [](const std::string&) { return work_ms; };
    settings.cpu_of = [](const std::string&) { return task_cpu; };
    worker& leaving = all.add_worker(settings);
    for (std::size_t k = 1; k < worker_count; ++k) {
        all.add_worker(settings);
    }
    client caller(log, all.system().gateways(), "key-a");
    sleep_ms(1500);

    // A planned shutdown, as the protocol describes it.
    leaving.drain();
    if (!wait_for(
            log, run_limit_ms, [&] { return leaving.drain_acknowledged(); })) {
        return exit_not_run;
    }
    sleep_ms(drain_ms);
    const std::string leader = leaving.target();
    const std::int64_t left = log.now();
    const auto leave = [&] {
        review_caller calls(1000);
        const response got = calls.follow(
            leader, {"DELETE", "/api/instances/" + leaving.id(), "", {}});
        log.line("worker " + leaving.id() + " DELETE, sent at " +
            std::to_string(left) + ", arrives -> " +
            std::to_string(got.status));
    };
    if (has_trouble()) {
        log.line("cut begins");
        leaving.cut(true);
    } else {
        leave();
    }
    leaving.leave();
    leaving.start();
    if (has_trouble()) {
        sleep_ms(left + cut_ms - log.now());
        log.line("cut ends");
        leaving.cut(false);
    }
    // The new life reports before the job comes.
    if (!wait_for(log, run_limit_ms, [&] { return leaving.heard(); })) {
        return exit_not_run;
    }
    const std::string id = make_id(1);
    if (caller.submit("picking", id,
            make_job(
                {make_step(task_count, task_cpu, task_memory_mb, work_ms)}),
            start_limit_ms) != 200 ||
        !wait_for(log, run_limit_ms, [&] { return leaving.running() > 0; })) {
        return exit_not_run;
    }
    if (has_trouble()) {
        while (log.now() < left + arrival_ms) {
            sleep_ms(10);
        }
        leave();
    }
    std::string state;
    wait_for(log, finish_ms, [&] {
        sleep_ms(300);
        caller.read("picking", id, state, 1000);
        return state == "complete";
    });
    const std::size_t broken = count_twice(log, all.runs().events());
    std::cout << "state " << state << ", started twice " << broken << '\n';
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int, char** argv) {
    record log(argv[1]);
    return play(log);
}
