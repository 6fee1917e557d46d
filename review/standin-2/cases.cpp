// What the scenarios share.
#include "cases.hpp"

#include <algorithm>

namespace review {
namespace {

constexpr milliseconds client_limit{3000};

} // namespace

worker_group::worker_group(
    record& log, run_log& runs, deployment& site, std::size_t count) {
    std::vector<listed_machine> machines;
    for (std::size_t k = 1; k <= count; ++k) {
        const std::string number = std::to_string(k);
        all.push_back(
            std::make_unique<worker>(log, runs, "w-" + number, "m-" + number,
                "127.0.0.1:" + std::to_string(9000 + k), site.controls()));
        machines.push_back({"m-" + number, "pool-a", "w-" + number});
    }
    site.set_machines(std::move(machines));
}

void worker_group::start() const {
    for (const auto& each : all) {
        each->start();
    }
}

bool worker_group::wait_until_known(milliseconds limit) const {
    const auto end = steady::now() + limit;
    const auto is_known = [](const auto& each) {
        return !each->leader().empty();
    };
    while (!std::all_of(all.begin(), all.end(), is_known)) {
        if (steady::now() > end) {
            return false;
        }
        sleep_for(20);
    }
    return true;
}

std::size_t worker_group::running() const {
    std::size_t count = 0;
    for (const auto& each : all) {
        count += each->running();
    }
    return count;
}

nlohmann::json make_job(const std::string& spec, std::uint32_t tasks,
    std::uint32_t cpu, std::uint32_t estimate_ms) {
    nlohmann::json job =
        nlohmann::json::parse(R"({"spec": "", "steps": [{"mem_mb": 10}]})");
    job["spec"] = spec;
    job["steps"][0]["count"] = tasks;
    job["steps"][0]["cpu"] = cpu;
    job["steps"][0]["estimate_ms"] = estimate_ms;
    return job;
}

http_call job_call(
    const std::string& method, std::uint64_t job, const nlohmann::json& body) {
    char id[17];
    std::snprintf(
        id, sizeof id, "%016llx", static_cast<unsigned long long>(job));
    return {method, std::string("/q/") + id, "jobs.example",
        body.is_null() ? std::string() : body.dump(), "key-one"};
}

bool submit(deployment& site, std::uint64_t job, const nlohmann::json& body,
    milliseconds limit) {
    const auto end = steady::now() + limit;
    while (steady::now() < end) {
        if (exchange(
                site.frontend(0), job_call("POST", job, body), client_limit)
                .status == 200) {
            return true;
        }
        sleep_for(100);
    }
    return false;
}

} // namespace review
