// Case 3: a second wave of upkeep names the machines of the first one. Some of
// them take no task any more, and jobs that need them wait for ever.
#include "review/standin/small_site.hpp"

#include <algorithm>
#include <iostream>
#include <thread>

namespace {

using namespace dragonflymount::review;

const char* const queue_name = "picking";
// The machines of this queue's service are part of both waves. With those of
// the other services they are a share of 0.47.
constexpr std::size_t wave_count = 8;
constexpr std::size_t worker_count = 17;
constexpr std::size_t workers_elsewhere = 3;
const std::vector<queue> queues{
    {queue_name}, {"returns"}, {"audit"}, {"manifest"}};
constexpr int task_cpu = 2300;
constexpr int task_memory_mb = 256;
constexpr std::int64_t work_ms = 1300;
constexpr std::int64_t between_jobs_ms = 250;
constexpr std::int64_t wave_s = 24;
constexpr std::size_t cap = 4;
constexpr std::int64_t between_waves_ms = 1000;
// Both waves are due by then, and the last upkeep has ended.
constexpr std::int64_t waves_ms = 32'000;
// 'finish_s'
constexpr std::int64_t finish_ms = 14'000;

bool send_wave(record& log, small_site& all, std::uint64_t wave) {
    nlohmann::json machines = nlohmann::json::array();
    for (std::size_t k = 0; k < wave_count; ++k) {
        machines.push_back(all.at(k).machine());
        all.platform().add_to_wave(wave, all.at(k).machine());
    }
    const nlohmann::json order{{"wave", wave}, {"machines", machines},
        {"duration_s", wave_s}, {"cap", cap}};
    caller calls(1000);
    return wait_for(log, start_limit_ms, [&] {
        const response got = calls.follow(all.system().control(0),
            {"POST", "/api/wave-start", order.dump(), {}});
        log.line("operator POST wave-start " + order.dump() + " -> " +
            std::to_string(got.status));
        return got.status == 200;
    });
}

void read_wave(record& log, small_site& all, std::uint64_t wave) {
    caller calls(1000);
    const response got = calls.follow(all.system().control(0),
        {"GET", "/api/wave-get/" + std::to_string(wave), {}, {}});
    log.line("operator GET wave-get/" + std::to_string(wave) + " -> " +
        std::to_string(got.status) + ' ' + got.body + ", upkeep begun on " +
        std::to_string(all.platform().maintained(wave).size()) + " of " +
        std::to_string(wave_count));
}

// A machine's worker ends with the order, and a new life begins after it.
void follow_platform(small_site& all) {
    all.platform().on_change(
        [&all](const std::string& machine, const std::string& pool, bool up) {
            for (std::size_t k = 0; k < worker_count; ++k) {
                worker& owner = all.at(k);
                if (owner.machine() != machine) {
                    continue;
                }
                if (up) {
                    owner.start(pool);
                    all.platform().set_id(machine, owner.id());
                } else {
                    owner.crash("ends for its upkeep");
                }
            }
        });
}

std::string rack_of(std::size_t k) {
    return "r1-" + std::to_string(k + 1);
}

/// The usual jobs: three tasks each, that any worker of the service may run.
std::thread hand_in_jobs(
    record& log, small_site& all, const std::atomic<bool>& stop) {
    return std::thread([&] {
        client caller(log, all.system().gateways(), "key-a");
        for (std::uint64_t k = 1; !stop; ++k) {
            caller.submit(queue_name, make_id(k),
                make_job({make_step(3, task_cpu, task_memory_mb, work_ms)}),
                start_limit_ms);
            sleep_ms(between_jobs_ms);
        }
    });
}

/// Hands in one job for each machine of the waves and waits for it.
/// \returns the number of jobs of which no task has been started.
std::size_t count_stuck(record& log, small_site& all) {
    client caller(log, all.system().gateways(), "key-a");
    constexpr std::uint64_t first_id = 1'000'000;
    for (std::size_t k = 0; k < wave_count; ++k) {
        nlohmann::json step = make_step(1, task_cpu, task_memory_mb, work_ms);
        step["required_label"] = rack_of(k);
        if (caller.submit(queue_name, make_id(first_id + k), make_job({step}),
                start_limit_ms) != 200) {
            return 0;
        }
    }
    sleep_ms(finish_ms);
    std::size_t stuck = 0;
    for (std::size_t k = 0; k < wave_count; ++k) {
        const std::string id = make_id(first_id + k);
        std::string state;
        caller.read(queue_name, id, state, 1000);
        const auto runs = all.runs().events();
        const bool begun = std::any_of(runs.begin(), runs.end(),
            [&](const run_event& run) { return run.task.rfind(id, 0) == 0; });
        // A machine that has moved to another service can't run it.
        const bool can_run =
            all.at(k).heard() && all.at(k).service() == queue_name;
        if (state != "complete" && !begun && can_run) {
            std::string line = "LOST: job " + id;
            line += " is " + state;
            line += ", nothing has run for " + std::to_string(finish_ms);
            line += " ms; " + all.at(k).machine();
            line += " is up and runs " + std::to_string(all.at(k).running());
            log.line(line);
            ++stuck;
        }
    }
    return stuck;
}

int play(record& log) {
    small_site all(log);
    if (!all.start(queues, {{"team-a", "key-a", 0}})) {
        return exit_not_run;
    }
    worker_settings settings;
    settings.work_ms = [](const std::string&) { return work_ms; };
    settings.cpu_of = [](const std::string&) { return task_cpu; };
    for (std::size_t k = 0; k < worker_count; ++k) {
        settings.service = k < wave_count
            ? queue_name
            : queues[1 + (k - wave_count) / workers_elsewhere].name;
        settings.rack = rack_of(k);
        all.add_worker(settings);
    }
    follow_platform(all);
    // Each service has machines of its own kind.
    all.platform().refuse_moves();
    std::atomic<bool> stop = false;
    std::thread clients = hand_in_jobs(log, all, stop);
    sleep_ms(2000);
    bool sent = send_wave(log, all, 1);
    if (has_trouble()) {
        sleep_ms(between_waves_ms);
        sent = sent && send_wave(log, all, 2);
    }
    sleep_ms(waves_ms);
    stop = true;
    clients.join();
    sleep_ms(3 * work_ms);
    read_wave(log, all, 1);
    read_wave(log, all, 2);
    std::size_t up = 0;
    for (std::size_t k = 0; k < worker_count; ++k) {
        up += all.at(k).heard() ? 1 : 0;
    }
    if (!sent || up < worker_count) {
        return exit_not_run;
    }
    const std::size_t stuck = count_stuck(log, all);
    std::cout << "jobs that nothing runs of " << stuck << " of " << wave_count
              << '\n';
    return stuck > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int, char** argv) {
    record log(argv[1]);
    return play(log);
}
