// A wave is late, so that a machine gets its upkeep while tasks run on it. One
// of them ends just before, and the heartbeat that lists its end arrives just
// after the platform's answer.
#include "cases.hpp"

namespace review {
namespace {

constexpr std::size_t workers = 3;
constexpr std::uint32_t cpu_of_task = 4000;
constexpr std::uint64_t long_job = 0xa001;
constexpr std::uint64_t short_job = 0xa002;
constexpr std::uint64_t small_jobs = 0xb000;
constexpr int small_job_interval_ms = 300;
constexpr int long_ms = 60'000;
constexpr int wave_ms = 24'000;
constexpr milliseconds upkeep_limit{32'000};
constexpr int maintenance_ms = 2000;
constexpr int settle_ms = 4000;
// From the pages: one way between two zones.
constexpr std::chrono::microseconds zone_travel{1400};
constexpr milliseconds start_limit{20'000};

// \returns the worker that runs the task, or null.
worker* find_runner(const worker_group& group, const std::string& task) {
    for (const auto& each : group.all) {
        if (each->runs(task)) {
            return each.get();
        }
    }
    return nullptr;
}

bool start_wave(deployment& site, const std::string& machine) {
    nlohmann::json wave = nlohmann::json::parse(R"({"wave": 1, "cap": 1})");
    wave["machines"].push_back(machine);
    wave["duration_s"] = wave_ms / 1000;
    const auto end = steady::now() + milliseconds(3000);
    for (std::size_t k = 0; steady::now() < end; ++k) {
        if (call_control(site.control(k % site.controls().size()),
                {"POST", "/api/wave-start", {}, wave.dump(), {}},
                milliseconds(1000))
                .status == 200) {
            return true;
        }
    }
    return false;
}

} // namespace

int end_before_upkeep(record& log, const case_settings& settings) {
    deployment site(log, 3, 1);
    run_log runs;
    if (!site.start() || !site.put_config(make_config(1), start_limit)) {
        return status_not_run;
    }
    worker_group group(log, runs, site, workers);
    for (const auto& each : group.all) {
        each->set_travel_time(zone_travel);
    }
    group.start();
    // Both tasks work until the upkeep; the second one just ends then.
    const std::string long_task = "000000000000a001.0.0.";
    const std::string short_task = "000000000000a002.0.0.";
    const auto job =
        make_job(std::to_string(long_ms), workers, cpu_of_task, long_ms);
    if (!group.wait_until_known(start_limit) ||
        !submit(site, long_job, job, start_limit) ||
        !submit(site, short_job, job, start_limit)) {
        return status_not_run;
    }
    sleep_for(1500);
    worker* chosen = nullptr;
    std::string ending;
    for (std::size_t k = 0; k < workers && chosen == nullptr; ++k) {
        ending = short_task + std::to_string(k);
        worker* const runner = find_runner(group, ending);
        for (std::size_t n = 0; n < workers && runner != nullptr; ++n) {
            if (runner->runs(long_task + std::to_string(n))) {
                chosen = runner;
            }
        }
    }
    if (chosen == nullptr) {
        return status_not_run;
    }
    std::atomic<bool> done{false};
    std::int64_t listed = -1;
    site.on_upkeep([&](const std::string& machine) {
        if (done.exchange(true)) {
            return;
        }
        log.note(
            "upkeep of " + machine + " is ordered; task " + ending + " ends");
        const std::uint64_t end = chosen->end_task(ending);
        while (chosen->sent_end() < end) {
            std::this_thread::yield();
        }
        listed = log.now();
        log.note("a heartbeat that lists the end is on its way; " + machine +
            " goes down");
        site.set_machine(machine, "upkeep", "");
        chosen->lose_machine();
    });
    if (settings.trouble) {
        if (!start_wave(site, chosen->machine())) {
            return status_not_run;
        }
        log.note("a wave of 24 s over " + chosen->machine() + " has started");
    }
    const auto end = steady::now() +
        (settings.trouble ? upkeep_limit : milliseconds(wave_ms));
    // Small jobs meanwhile, as the traffic of a usual day.
    const auto small = make_job("100", 1, 500, 100);
    for (std::uint64_t id = small_jobs; !done && steady::now() < end; ++id) {
        submit(site, id, small, start_limit);
        sleep_for(small_job_interval_ms);
    }
    if (!settings.trouble) {
        chosen->end_task(ending);
        log.note("task " + ending + " ends");
    } else if (!done) {
        return status_not_run;
    }
    worker next(log, runs, "w-next", chosen->machine(), "127.0.0.1:9100",
        site.controls());
    if (settings.trouble) {
        sleep_for(maintenance_ms);
        site.set_machine(chosen->machine(), "up", "w-next");
        next.set_travel_time(zone_travel);
        next.start();
    }
    sleep_for(settle_ms);
    std::size_t broken = 0;
    std::int64_t ended = -1;
    for (const seen_run& each : runs.all()) {
        if (each.task != ending) {
            continue;
        }
        log.note("run " + std::to_string(each.run) + " of " + ending + " on " +
            each.worker + " from " + std::to_string(each.began) + " ms, " +
            (each.how.empty() ? "runs" : each.how) + " at " +
            std::to_string(each.ended) +
            " ms, acknowledged: " + (each.acknowledged ? "yes" : "no"));
        broken += ended >= 0 && each.began > ended ? 1 : 0;
        ended = each.how == "done" ? each.ended : ended;
    }
    if (settings.trouble) {
        log.note("the end was listed at " + std::to_string(listed) + " ms");
    }
    site.note_ended();
    log.note("starts after the end done: " + std::to_string(broken));
    return broken > 0 ? status_broken : status_held;
}

} // namespace review
