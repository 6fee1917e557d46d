// A site with its platform and its workers, as most cases use it.
#ifndef DRAGONFLYMOUNT_REVIEW_STANDIN_SMALL_SITE_HPP
#define DRAGONFLYMOUNT_REVIEW_STANDIN_SMALL_SITE_HPP

#include "review/standin/cloud.hpp"
#include "review/standin/operator.hpp"
#include "review/standin/site.hpp"
#include "review/standin/worker.hpp"

namespace dragonflymount::review {

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;
inline constexpr std::size_t most_workers = 20;
inline constexpr std::int64_t start_limit_ms = 20'000;

/// \brief Three schedulers, two gateways and workers in one pool.
class small_site {
public:
    explicit small_site(record& log)
        : log_(log), system_(log, 3, 2), vm_service_(system_.next_address()),
          platform_(log, vm_service_) {
        // A hook of the platform reads the list while workers are added.
        workers_.reserve(most_workers);
    }

    /// \brief Starts all and puts a configuration with these queues.
    bool start(
        const std::vector<queue>& queues, const std::vector<tenant>& tenants) {
        platform_.start();
        system_.start(vm_service_);
        return put_configuration(log_, system_.controls(),
            make_configuration(1, queues, tenants), start_limit_ms);
    }
    /// \brief Adds a worker, with its machine, and starts it.
    worker& add_worker(worker_settings settings) {
        // One letter each, so that names sort as they are added.
        const std::string letter(1, static_cast<char>('a' + workers_.size()));
        settings.id = "i-" + letter;
        settings.machine = "m-" + letter;
        settings.address = system_.next_address();
        settings.controls = system_.controls();
        platform_.add(settings.machine,
            {settings.service, "up", settings.id, settings.cpu,
                settings.memory_mb});
        workers_.push_back(std::make_unique<worker>(log_, runs_, settings));
        workers_.back()->start();
        return *workers_.back();
    }
    worker& at(std::size_t k) { return *workers_[k]; }
    site& system() { return system_; }
    cloud& platform() { return platform_; }
    run_log& runs() { return runs_; }

private:
    record& log_;
    run_log runs_;
    site system_;
    std::string vm_service_;
    std::vector<std::unique_ptr<worker>> workers_;
    // Ends before the workers, which its hook may start.
    cloud platform_;
};

/// \brief Waits until the predicate holds.
/// \returns false after \p limit_ms.
template <class Predicate>
bool wait_for(record& log, std::int64_t limit_ms, Predicate holds) {
    const std::int64_t end = log.now() + limit_ms;
    while (!holds()) {
        if (log.now() >= end) {
            return false;
        }
        sleep_ms(5);
    }
    return true;
}

} // namespace dragonflymount::review

#endif
