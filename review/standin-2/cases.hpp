// The scenarios of the cases. Each returns the exit status of its script.
#ifndef DRAGONFLYMOUNT_REVIEW_CASES_HPP
#define DRAGONFLYMOUNT_REVIEW_CASES_HPP

#include "worker.hpp"

#include <memory>

namespace review {

constexpr int status_held = 0;
constexpr int status_broken = 1;
constexpr int status_not_run = 2;

struct case_settings {
    /// False if the same has to be done without the disruption.
    bool trouble = true;
    /// Where record.txt is written.
    std::string folder;
};

int send_large_jobs_at_once(record& log, const case_settings& settings);
int list_read_before_wave(record& log, const case_settings& settings);
int end_before_upkeep(record& log, const case_settings& settings);
int restart_gateway_and_leader(record& log, const case_settings& settings);

/// \brief Workers w-1, w-2 and so on, each on a machine of its own.
struct worker_group {
    std::vector<std::unique_ptr<worker>> all;

    worker_group(
        record& log, run_log& runs, deployment& site, std::size_t count);
    void start() const;
    /// \brief Waits until each has been answered.
    bool wait_until_known(milliseconds limit) const;
    /// \returns the number of tasks at work.
    std::size_t running() const;
};

/// \returns a job of one step.
nlohmann::json make_job(const std::string& spec, std::uint32_t tasks,
    std::uint32_t cpu, std::uint32_t estimate_ms);
/// \returns a call of the tenant on the job.
http_call job_call(const std::string& method, std::uint64_t job,
    const nlohmann::json& body = nullptr);
/// \brief Sends the job until it is accepted, as a client does.
bool submit(deployment& site, std::uint64_t job, const nlohmann::json& body,
    milliseconds limit);

} // namespace review

#endif
