// The platform is slow: its list arrives after machines that it doesn't hold
// yet were added and became part of a wave.
#include "cases.hpp"

#include <algorithm>

namespace review {
namespace {

constexpr std::size_t workers = 3;
constexpr milliseconds slow_answer{2500};
constexpr int maintenance_ms = 2000;
constexpr milliseconds list_limit{6000};
constexpr milliseconds watch_limit{14'000};
constexpr milliseconds start_limit{20'000};

const std::vector<std::string> added = {"m-4", "m-5"};

http_reply call_any(deployment& site, const http_call& call) {
    http_reply reply;
    for (const std::string& control : site.controls()) {
        reply = call_control(control, call, milliseconds(1000));
        if (reply.status == 200) {
            break;
        }
    }
    return reply;
}

} // namespace

int list_read_before_wave(record& log, const case_settings& settings) {
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
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<worker>> lives;
    std::set<std::string> begun;
    std::vector<std::unique_ptr<worker>> earlier;
    const auto begin_life = [&](const std::string& machine,
                                const std::string& id) {
        auto life = std::make_unique<worker>(log, runs, id, machine,
            "127.0.0.1:910" + machine.substr(2), site.controls());
        life->start();
        return life;
    };
    std::vector<std::thread> returns;
    site.on_upkeep([&](const std::string& machine) {
        const std::lock_guard lock(mutex);
        if (!begun.insert(machine).second || !lives.contains(machine)) {
            return;
        }
        log.note("upkeep of " + machine + " begins");
        site.set_machine(machine, "upkeep", "");
        lives[machine]->lose_machine();
        returns.emplace_back([&, machine] {
            sleep_for(maintenance_ms);
            const std::string id = "w-" + machine.substr(2) + "-b";
            site.set_machine(machine, "up", id);
            auto next = begin_life(machine, id);
            const std::lock_guard inner(mutex);
            earlier.push_back(std::move(lives[machine]));
            lives[machine] = std::move(next);
        });
    });
    site.set_list_delay(settings.trouble ? slow_answer : milliseconds(0));
    const std::size_t read_before = site.lists_read();
    const auto list_end = steady::now() + list_limit;
    while (site.lists_read() == read_before && steady::now() < list_end) {
        sleep_for(5);
    }
    log.note("the platform reads its list");
    std::vector<listed_machine> machines;
    for (std::size_t k = 1; k <= workers + added.size(); ++k) {
        const std::string number = std::to_string(k);
        machines.push_back({"m-" + number, "pool-a", "w-" + number});
    }
    site.set_machines(std::move(machines));
    for (const std::string& machine : added) {
        auto life = begin_life(machine, "w-" + machine.substr(2));
        const std::lock_guard lock(mutex);
        lives[machine] = std::move(life);
    }
    sleep_for(300);
    nlohmann::json wave =
        nlohmann::json::parse(R"({"wave": 1, "duration_s": 24, "cap": 1})");
    wave["machines"] = added;
    if (call_any(site, {"POST", "/api/wave-start", {}, wave.dump(), {}})
            .status != 200) {
        return status_not_run;
    }
    log.note("a wave over " + wave["machines"].dump() + " is acknowledged");
    bool broken = false;
    bool complete = false;
    const auto end = steady::now() + watch_limit;
    while (!complete && steady::now() < end) {
        const http_reply state =
            call_any(site, {"GET", "/api/wave-get/1", {}, {}, {}});
        complete = state.body.find("complete") != std::string::npos;
        const std::lock_guard lock(mutex);
        broken = complete && begun.size() < added.size();
        if (complete) {
            log.note("the wave is " + state.body +
                ", machines that have begun "
                "their upkeep: " +
                std::to_string(begun.size()) + " of " +
                std::to_string(added.size()));
        }
        sleep_for(50);
    }
    sleep_for(broken ? 8000 : 0);
    log.note("upkeeps begun at the end: " + std::to_string(begun.size()));
    for (const auto& [machine, life] : lives) {
        log.note(machine + ": " + life->summary() + ", last answered by " +
            life->leader());
    }
    site.note_ended();
    site.on_upkeep(nullptr);
    for (std::thread& each : returns) {
        each.join();
    }
    return broken ? status_broken : status_held;
}

} // namespace review
