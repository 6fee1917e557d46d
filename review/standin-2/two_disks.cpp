// Many jobs are accepted that are due later. Then one core machine loses its
// disk, and long after it is back another one does.
#include "cases.hpp"

#include <cstdlib>

namespace review {
namespace {

constexpr std::size_t spec_bytes = 4000;
constexpr std::size_t default_jobs = 5000;
constexpr std::size_t clients = 4;
// The schedulers replace their logs by a snapshot after 4096 records.
constexpr double records_until_snapshot = 4300;
constexpr int due_in_ms = 3'600'000;
// catch_up_s is 4 and contact_ms 3000.
constexpr int between_losses_ms = 9000;
constexpr int ask_ms = 14000;
constexpr std::size_t asked_jobs = 20;
constexpr milliseconds start_limit{20000};
constexpr milliseconds submit_limit{50000};

std::size_t job_count() {
    const char* stated = std::getenv("JOBS");
    return stated == nullptr ? default_jobs : std::strtoul(stated, nullptr, 10);
}

nlohmann::json make_due_job() {
    nlohmann::json job = make_job(std::string(spec_bytes, 's'), 1, 500, 900);
    job["repeats"] = 1;
    job["interval_ms"] = 1000;
    job["start_at_ms"] =
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count() +
        due_in_ms;
    return job;
}

// \returns the number of jobs that were accepted.
std::size_t submit_jobs(deployment& site, std::size_t count) {
    const nlohmann::json job = make_due_job();
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> accepted{0};
    const auto end = steady::now() + submit_limit;
    std::vector<std::thread> threads;
    for (std::size_t k = 0; k < clients; ++k) {
        threads.emplace_back([&] {
            http_connection connection;
            for (std::size_t id = next++; id < count && steady::now() < end;
                 id = next++) {
                if (!connection.is_open()) {
                    connection.open(site.frontend(0), milliseconds(1000));
                }
                const http_reply reply = connection.exchange(
                    job_call("POST", 0xd000 + id, job), milliseconds(3000));
                accepted += reply.status == 200 ? 1 : 0;
            }
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    return accepted;
}

// \returns the last acknowledged version.
std::uint64_t fill_log(deployment& site, std::size_t leader) {
    std::uint64_t version = 1;
    while (site.metric(leader, "dfm_replica_commit") < records_until_snapshot) {
        for (int k = 0; k < 100; ++k) {
            if (call_control(site.control(leader),
                    {"PUT", "/api/config", {}, make_config(version + 1).dump(),
                        {}},
                    milliseconds(1000))
                    .status != 200) {
                return version;
            }
            ++version;
        }
    }
    return version;
}

std::string lines_with(const std::string& text, const std::string& word) {
    std::size_t count = 0;
    for (std::size_t at = text.find(word); at != std::string::npos;
         at = text.find(word, at + 1)) {
        ++count;
    }
    return std::to_string(count);
}

void note_replicas(record& log, const deployment& site) {
    for (std::size_t k = 0; k < site.controls().size(); ++k) {
        const auto metric = [&](const char* name) {
            return std::to_string(static_cast<long>(site.metric(k, name)));
        };
        const std::string output = site.output(k);
        log.note("core-" + std::to_string(k) + ": commit " +
            metric("dfm_replica_commit") + ", catalogue " +
            metric("dfm_catalogue_version") + ", leads " +
            metric("dfm_replica_leads") + "; events snapshot_saved " +
            lines_with(output, "snapshot_saved") + ", snapshot_installed " +
            lines_with(output, "snapshot_installed") + ", frame_refused " +
            lines_with(output, "frame_refused"));
    }
}

// \returns the number of jobs that are known within the time.
std::size_t ask_for_jobs(record& log, deployment& site) {
    std::set<std::size_t> known;
    const auto end = steady::now() + milliseconds(ask_ms);
    std::map<int, int> answers;
    while (known.size() < asked_jobs && steady::now() < end) {
        for (std::size_t k = 0; k < asked_jobs && steady::now() < end; ++k) {
            if (known.contains(k)) {
                continue;
            }
            const http_reply reply = exchange(site.frontend(0),
                job_call("GET", 0xd000 + k), milliseconds(3000));
            ++answers[reply.status];
            if (reply.status == 200) {
                known.insert(k);
            }
        }
        sleep_for(200);
    }
    for (const auto& [status, count] : answers) {
        log.note(
            "answers " + std::to_string(status) + ": " + std::to_string(count));
    }
    log.note("known jobs: " + std::to_string(known.size()) + " of " +
        std::to_string(asked_jobs) + " asked for");
    return known.size();
}

} // namespace

int lose_two_disks_in_turn(record& log, const case_settings& settings) {
    deployment site(log, 3, 1);
    if (!site.start() || !site.put_config(make_config(1), start_limit)) {
        return status_not_run;
    }
    const std::size_t accepted = submit_jobs(site, job_count());
    log.note("jobs accepted: " + std::to_string(accepted));
    const int leader = site.wait_for_leader(start_limit);
    if (accepted < asked_jobs || leader < 0) {
        return status_not_run;
    }
    log.note("configuration " +
        std::to_string(fill_log(site, static_cast<std::size_t>(leader))) +
        " acknowledged");
    sleep_for(2000);
    note_replicas(log, site);
    if (ask_for_jobs(log, site) < asked_jobs) {
        return status_not_run;
    }
    for (std::size_t k = 0; k < 3; ++k) {
        if (static_cast<int>(k) == leader) {
            continue;
        }
        if (settings.trouble) {
            site.lose_disk(k);
        }
        sleep_for(between_losses_ms);
        note_replicas(log, site);
    }
    return ask_for_jobs(log, site) < asked_jobs ? status_broken : status_held;
}

} // namespace review
