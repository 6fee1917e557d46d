// Large jobs come at once: together they are more than a frame between two
// schedulers may hold.
#include "cases.hpp"

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

constexpr std::size_t workers = 6;
constexpr std::size_t gateways = 6;
constexpr std::size_t default_clients = 240;
constexpr std::uint32_t steps = 1400;
constexpr std::size_t image_bytes = 90;
constexpr int work_ms = 4000;
constexpr std::uint32_t width = 6;
constexpr std::uint64_t first_job = 0xf001;
// finish_s is 14.
constexpr milliseconds finish_limit{14000};
constexpr std::int64_t idle_ms = 3000;
constexpr int poll_ms = 20;
constexpr int tries = 5;
constexpr milliseconds start_limit{20000};
constexpr milliseconds client_limit{3000};

// A pipeline of many steps, each after the one before; no longer than
// max_body_bytes.
nlohmann::json make_large_job() {
    nlohmann::json job = make_job("10", 1, 10, 10);
    for (std::uint32_t k = 1; k < steps; ++k) {
        nlohmann::json step = nlohmann::json::parse(
            R"({"count": 1, "cpu": 10, "mem_mb": 1, "estimate_ms": 10})");
        step["depends_on"].push_back(k - 1);
        step["image"] = std::string(image_bytes, 'i') + std::to_string(k);
        job["steps"].push_back(std::move(step));
    }
    return job;
}

nlohmann::json make_two_steps() {
    nlohmann::json job = make_job(std::to_string(work_ms), width, 500, work_ms);
    nlohmann::json second = job["steps"][0];
    second["depends_on"].push_back(0);
    job["steps"].push_back(std::move(second));
    return job;
}

std::size_t client_count() {
    const char* stated = std::getenv("CLIENTS");
    return stated == nullptr ? default_clients
                             : std::strtoul(stated, nullptr, 10);
}

} // namespace

int send_large_batch(record& log, const case_settings& settings) {
    deployment site(log, 3, gateways);
    run_log runs;
    if (!site.start() || !site.put_config(make_config(1), start_limit)) {
        return status_not_run;
    }
    const worker_group group(log, runs, site, workers);
    group.start();
    if (!group.wait_until_known(start_limit) ||
        !submit(site, first_job, make_two_steps(), start_limit)) {
        return status_not_run;
    }
    log.note("a job of two steps is accepted");
    sleep_for(1000);
    const http_call large = job_call("POST", 0, make_large_job());
    log.note("large job: " + std::to_string(large.body.size()) + " bytes");
    std::atomic<int> accepted{0};
    const auto client = [&](std::uint64_t id) {
        http_call call = large;
        call.target = job_call("POST", id).target;
        for (int k = 0; k < tries; ++k) {
            const int status =
                exchange(site.frontend(id % gateways), call, client_limit)
                    .status;
            if (status == 200) {
                ++accepted;
                return;
            }
            sleep_for(1000);
        }
    };
    std::vector<std::thread> clients;
    for (std::uint64_t k = 0; k < client_count(); ++k) {
        clients.emplace_back(client, 0x10000 + k);
        if (!settings.trouble) {
            clients.back().join();
        }
    }
    for (std::thread& each : clients) {
        if (each.joinable()) {
            each.join();
        }
    }
    log.note("large jobs accepted: " + std::to_string(accepted));
    sleep_for(static_cast<int>(finish_limit.count()));
    const http_reply state =
        exchange(site.frontend(0), job_call("GET", first_job), client_limit);
    log.note("the job of two steps: " + std::to_string(state.status) + " " +
        state.body);
    std::int64_t idle_since = log.now();
    std::int64_t longest_idle = 0;
    const auto end = steady::now() + milliseconds(2 * idle_ms);
    while (steady::now() < end) {
        idle_since = group.running() > 0 ? log.now() : idle_since;
        longest_idle = std::max(longest_idle, log.now() - idle_since);
        sleep_for(poll_ms);
    }
    log.note("longest time without a running task: " +
        std::to_string(longest_idle) + " ms");
    log.note("new configuration acknowledged: " +
        std::string(site.put_config(make_config(2), milliseconds(4000))
                ? "yes"
                : "no"));
    for (std::size_t k = 0; k < 3; ++k) {
        const std::string output = site.output(k);
        log.note("core-" + std::to_string(k) + ": commit " +
            std::to_string(
                static_cast<long>(site.metric(k, "dfm_replica_commit"))) +
            ", leads " +
            std::to_string(
                static_cast<long>(site.metric(k, "dfm_replica_leads"))) +
            (output.find("frame_refused") == std::string::npos
                    ? ""
                    : ", has refused frames"));
    }
    const bool complete = state.body.find("complete") != std::string::npos;
    return !complete && longest_idle >= idle_ms ? status_broken : status_held;
}

} // namespace review
