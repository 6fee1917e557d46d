// Simulated machine for randomized tests: an endpoint that carries out orders,
// crashes, hangs and loses its connection. All times are milliseconds of
// virtual time.
#ifndef DRAGONFLYMOUNT_TESTS_JOBS_MACHINE_HPP
#define DRAGONFLYMOUNT_TESTS_JOBS_MACHINE_HPP

#include "tests/jobs/job_builder.hpp"

namespace dragonflymount::jobs::test {

inline const resources vm_capacity{32'000, 64'000, 0};

/// \brief A simulated machine with one endpoint.
struct machine {
    struct work {
        std::int64_t done_ms = 0;
        std::int64_t needed_ms = 0;
        bool fails = false;
        // A long-running task ends only by an order to stop it.
        bool long_running = false;
    };

    std::string name;
    std::string pool;
    std::uint64_t life = 1;
    std::uint64_t sequence = 0;
    std::uint64_t next_end = 1;
    std::map<run_ref, work> running;
    std::vector<ended_task> ended;
    std::int64_t next_report = 0;
    // When the call that waits for a reply was sent.
    std::optional<std::int64_t> call_sent;
    std::int64_t cut_off_until = 0;
    std::int64_t down_until = 0;
    std::int64_t stalled_until = 0;

    bool is_up(std::int64_t now) const { return now >= down_until; }
    bool is_reachable(std::int64_t now) const {
        return is_up(now) && now >= cut_off_until;
    }

    /// \brief Ends this life; the next one begins at \p restart_at.
    void restart(std::int64_t restart_at) {
        running.clear();
        ended.clear();
        call_sent.reset();
        ++life;
        sequence = 0;
        next_end = 1;
        down_until = restart_at;
        next_report = restart_at;
    }
    /// \brief Adds a run that has ended to the next reports.
    void end(std::int64_t now, const run_ref& run, wire::run_end how) {
        ended.push_back({next_end++, run, how, ""});
        next_report = now;
    }
    endpoint_report report() {
        endpoint_report made = make_report(name, ++sequence);
        made.life = {name, life};
        made.pool = pool_id(pool);
        made.capacity = vm_capacity;
        for (const auto& [run, work] : running) {
            running_task listed;
            listed.run = run;
            listed.percent = static_cast<std::uint32_t>(
                100 * work.done_ms / std::max<std::int64_t>(1, work.needed_ms));
            made.running.push_back(listed);
        }
        made.ended = ended;
        return made;
    }
};

} // namespace dragonflymount::jobs::test

#endif
