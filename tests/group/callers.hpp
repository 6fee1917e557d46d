// Callers that hold their connections open, submit jobs and cancel most of
// them a while later, and remember what was acknowledged.
#ifndef DRAGONFLYMOUNT_TESTS_GROUP_CALLERS_HPP
#define DRAGONFLYMOUNT_TESTS_GROUP_CALLERS_HPP

#include "tests/group/machine_group.hpp"

#include <atomic>
#include <deque>
#include <mutex>
#include <random>

namespace dragonflymount::group_test {

struct call_pattern {
    double jobs_per_s = 55;
    std::size_t spec_bytes = 3900;
    milliseconds cancel_after = seconds(1); ///< zero: no job is cancelled
    std::size_t kept_each = 20;             ///< one of so many isn't cancelled
};

/// \returns arguments of a task: varied text, about \p size bytes of it.
inline std::string draw_arguments(std::mt19937_64& draws, std::size_t size) {
    static constexpr std::array kinds = {"manifest", "shelf", "pick-plan",
        "invoice", "telemetry", "thumbnail", "forecast", "audit"};
    std::string text = R"({"inputs":[)";
    while (text.size() + 150 < size) {
        std::ostringstream entry;
        entry << R"({"path":"/stores/)" << kinds[draws() % kinds.size()] << '/'
              << 2020 + draws() % 7 << "/part-" << draws() % 100'000
              << R"(.parquet","digest":")" << std::hex << draws() << std::dec
              << R"(","rows":)" << draws() % 1'000'000 << R"(,"weight":)"
              << static_cast<double>(draws() % 10'000) / 10'000 << "},";
        text += entry.str();
    }
    return text + R"({}],"retries":)" + std::to_string(draws() % 5) + "}";
}

class callers {
public:
    callers(const machine_group& group, std::uint64_t seed)
        : group_(group), seed_(seed) {}
    ~callers() { stop(); }
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;

    void start(const call_pattern& pattern) {
        pattern_ = pattern;
        period_ms_ = per_thread(pattern.jobs_per_s);
        for (std::size_t k = 0; k < threads; ++k) {
            running_.emplace_back([this, k] { run(k); });
        }
    }
    void set_rate(double jobs_per_s) { period_ms_ = per_thread(jobs_per_s); }
    void stop() {
        stopped_ = true;
        for (std::thread& thread : running_) {
            thread.join();
        }
        running_.clear();
    }

    /// \returns the ids of all jobs that were acknowledged until now.
    std::vector<std::string> acknowledged() {
        const std::scoped_lock lock(mutex_);
        return acknowledged_;
    }

    /// \returns the status of a read at any gateway, 0 if there was no answer.
    int read(const std::string& id) {
        int status = 0;
        for (std::size_t k = 0; k < gateway_count && !is_clear(status); ++k) {
            const auto reply = make_client(group_.gateway_ip(k), http_port)
                                   ->Get(path(id), host());
            status = reply ? reply->status : 0;
        }
        return status;
    }
    /// \returns whether a new job is accepted at one of the gateways.
    bool accepts_job() {
        std::mt19937_64 draws(++further_);
        for (std::size_t k = 0; k < gateway_count; ++k) {
            const auto client = make_client(group_.gateway_ip(k), http_port);
            if (submit(*client, job_id(threads, further_), draws)) {
                return true;
            }
        }
        return false;
    }
    /// \returns the acknowledged jobs that aren't known any more, of every
    /// \p step-th; those without an answer within \p limit count as such.
    std::vector<std::string> find_lost(std::size_t step, milliseconds limit) {
        std::vector<std::string> lost;
        const auto ids = acknowledged();
        const auto end = steady::now() + limit;
        for (std::size_t k = 0; k < ids.size(); k += step) {
            int status = 0;
            while (!is_clear(status) && steady::now() < end) {
                status = read(ids[k]);
            }
            if (status != 200) {
                lost.push_back(ids[k] + ": " + std::to_string(status));
            }
        }
        return lost;
    }

private:
    static constexpr std::size_t threads = 24;

    // 16 digits.
    static std::string job_id(std::size_t thread, std::uint64_t number) {
        const std::string digits = std::to_string(number);
        return std::to_string(100 + thread) +
            std::string(13 - digits.size(), '0') + digits;
    }
    static bool is_clear(int status) { return status > 0 && status < 500; }
    static std::string path(const std::string& id) { return "/q/" + id; }
    static httplib::Headers host() { return {{"Host", "h"}}; }
    static double per_thread(double jobs_per_s) {
        return 1000.0 * threads / jobs_per_s;
    }

    bool submit(httplib::Client& client, const std::string& id,
        std::mt19937_64& draws) const {
        const nlohmann::json body = {
            {"spec", draw_arguments(draws, pattern_.spec_bytes)},
            {"steps", {{{"count", 1}, {"cpu", 500}, {"estimate_ms", 900}}}}};
        const auto reply =
            client.Post(path(id), host(), body.dump(), "application/json");
        return reply && reply->status == 200;
    }
    // A connection stays open until its gateway is gone.
    void run(std::size_t number) {
        std::mt19937_64 draws(seed_ * threads + number);
        const auto client =
            make_client(group_.gateway_ip(number % gateway_count), http_port);
        std::deque<std::pair<steady::time_point, std::string>> open;
        auto due = steady::now();
        for (std::size_t k = 0; !stopped_; ++k) {
            const std::string id = job_id(number, k);
            if (submit(*client, id, draws)) {
                open.emplace_back(steady::now(), id);
                const std::scoped_lock lock(mutex_);
                acknowledged_.push_back(id);
            }
            while (pattern_.cancel_after > milliseconds(0) && !open.empty() &&
                open.front().first + pattern_.cancel_after < steady::now()) {
                if (draws() % pattern_.kept_each != 0) {
                    client->Delete(path(open.front().second), host());
                }
                open.pop_front();
            }
            due = std::max(due +
                    std::chrono::duration_cast<milliseconds>(
                        std::chrono::duration<double, std::milli>(period_ms_)),
                steady::now() - seconds(1));
            std::this_thread::sleep_until(due);
        }
    }

    const machine_group& group_;
    const std::uint64_t seed_;
    call_pattern pattern_;
    std::atomic<double> period_ms_ = 0;
    std::atomic<bool> stopped_ = false;
    std::vector<std::thread> running_;
    std::mutex mutex_;
    std::vector<std::string> acknowledged_;
    std::uint64_t further_ = 0;
};

} // namespace dragonflymount::group_test

#endif
