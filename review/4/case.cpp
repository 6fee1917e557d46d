// Case 4: two workers lose power one after the other and are back after two
// seconds each. A job whose start was sent to both meanwhile is given up,
// although no worker has ever begun its task.
#include "review/standin/small_site.hpp"

#include <iostream>

namespace {

using namespace dragonflymount::review;

// Two of these are down at once: less than the share 0.14 of the site file.
constexpr std::size_t worker_count = 15;
constexpr int task_cpu = 2300;
constexpr int task_memory_mb = 256;
constexpr std::int64_t work_ms = 1300;
constexpr std::int64_t down_ms = 2000;
// From the first crash until the job is handed in, and until the second crash.
constexpr std::int64_t submit_at_ms = 150;
constexpr std::int64_t second_crash_ms = 1300;
constexpr std::int64_t finish_ms = 14'000;

int play(record& log) {
    small_site all(log);
    const queue only{"picking"};
    if (!all.start({only}, {{"team-a", "key-a", 0}})) {
        return exit_not_run;
    }
    worker_settings settings;
    settings.service = only.name;
    settings.work_ms = [](const std::string&) { return work_ms; };
    settings.cpu_of = [](const std::string&) { return task_cpu; };
    for (std::size_t k = 0; k < worker_count; ++k) {
        all.add_worker(settings);
    }
    worker& first = all.at(0);
    worker& second = all.at(1);
    client caller(log, all.system().gateways(), "key-a");
    sleep_ms(2000);
    const std::int64_t begin = log.now();
    const auto sleep_until = [&](std::int64_t span) {
        sleep_ms(std::max<std::int64_t>(0, begin + span - log.now()));
    };
    const auto power = [&](const worker& owner, const char* machine, bool on) {
        all.platform().set_state(machine, on ? "up" : "down");
        all.platform().set_id(machine, on ? owner.id() : "");
    };
    if (has_trouble()) {
        power(first, "m-a", false);
        first.crash();
    }
    sleep_until(submit_at_ms);
    const std::string id = make_id(1);
    if (caller.submit(only.name, id,
            make_job({make_step(1, task_cpu, task_memory_mb, work_ms)}),
            start_limit_ms) != 200) {
        return exit_not_run;
    }
    if (has_trouble()) {
        sleep_until(second_crash_ms);
        power(second, "m-b", false);
        second.crash();
        sleep_until(down_ms);
        first.start();
        power(first, "m-a", true);
        sleep_until(second_crash_ms + down_ms);
        second.start();
        power(second, "m-b", true);
    }
    std::string state;
    wait_for(log, finish_ms, [&] {
        sleep_ms(300);
        caller.read(only.name, id, state, 1000);
        return state == "complete" || state == "failed";
    });
    std::size_t crashed = 0;
    std::size_t failed = 0;
    const auto runs = all.runs().events();
    for (const run_event& run : runs) {
        crashed += run.how == "crash" ? 1 : 0;
        failed += run.how == "failed" ? 1 : 0;
    }
    // A cause would be 'max_attempts' ends as failed, or two workers that
    // crashed under the task.
    const bool broken = state == "failed" && failed == 0 && crashed < 2;
    const std::string seen = "state " + state + ", runs begun " +
        std::to_string(runs.size()) + ", ended failed " +
        std::to_string(failed) + ", ended by a crash " +
        std::to_string(crashed);
    log.line((broken ? "LOST: without cause: " : "held: ") + seen);
    std::cout << seen << '\n';
    return broken ? exit_broken : exit_held;
}

} // namespace

int main(int, char** argv) {
    record log(argv[1]);
    return play(log);
}
