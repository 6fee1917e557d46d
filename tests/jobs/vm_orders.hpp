// Fixture for tests of the VM manager: an engine and a manager in virtual time,
// with endpoints that report what they run.
#ifndef DRAGONFLYMOUNT_TESTS_JOBS_VM_ORDERS_HPP
#define DRAGONFLYMOUNT_TESTS_JOBS_VM_ORDERS_HPP

#include "tests/jobs/job_builder.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::jobs::test {

class vm_orders : public testing::Test {
protected:
    vm_orders()
        : engine_(jobs_.agreed, engine_options{}),
          manager_(engine_, vm_manager_options{}) {
        engine_.lead(log_term(1), now_);
        manager_.reset(now_);
    }
    void commit_batches() {
        for (int k = 0; k < 10; ++k) {
            auto batch = engine_.take_batch(now_, jobs_.time_ms);
            if (!batch) {
                return;
            }
            jobs_.apply(std::move(*batch));
            engine_.batch_done(true, now_);
        }
    }
    void report(const std::string& endpoint, std::uint64_t life = 1,
        const std::set<run_ref>& unbegun = {}) {
        endpoint_report built = make_report(endpoint, ++sequence_);
        built.life = {endpoint, life};
        if (endpoint.starts_with('i')) {
            built.pool = pool_id("idle pool");
        }
        const endpoint_load* load = jobs_.agreed.load_of(built.life);
        if (load != nullptr) {
            for (const run_ref& run : load->runs) {
                running_task listed;
                listed.run = run;
                listed.percent = unbegun.contains(run) ? 0 : 100;
                built.running.push_back(listed);
            }
        }
        engine_.report(
            built, [](const auto&) {}, now_);
        commit_batches();
    }
    /// Lists the VMs of \p endpoints in "pool" and \p standby on standby, as a
    /// list requested just now, or at \p requested, shows them.
    void list_vms(const std::vector<std::string>& endpoints,
        const std::vector<std::string>& standby,
        std::optional<instant> requested = std::nullopt) {
        std::vector<vm_record> list;
        list.reserve(endpoints.size() + standby.size());
        for (const std::string& endpoint : endpoints) {
            list.push_back({vm_id("vm-" + endpoint), pool_id("pool"),
                vm_condition::up, endpoint, {4000, 4000, 0}});
        }
        for (const std::string& vm : standby) {
            list.push_back({vm_id(vm), pool_id("standby"), vm_condition::up, "",
                {4000, 4000, 0}});
        }
        manager_.update_list(std::move(list), requested.value_or(now_), now_);
    }
    void start_wave(const std::vector<std::string>& vms, std::uint32_t most,
        std::uint64_t number = 1) {
        wire::MaintenanceWaveT wave;
        wave.number = number;
        wave.vms = vms;
        wave.duration_ms = 20'000;
        wave.most_down = most;
        engine_.start_wave(std::move(wave), [](bool) {});
        commit_batches();
    }
    /// Advances the time in steps of 100 ms. In each step every one of
    /// \p endpoints reports. Returns the orders given.
    std::vector<vm_order> run_for(
        std::int64_t ms, const std::vector<std::string>& endpoints) {
        std::vector<vm_order> given;
        for (std::int64_t passed = 0; passed < ms; passed += 100) {
            now_ += std::chrono::milliseconds(100);
            jobs_.time_ms += 100;
            for (const std::string& endpoint : endpoints) {
                report(endpoint);
            }
            for (vm_order& order : manager_.decide(now_)) {
                given.push_back(std::move(order));
            }
            commit_batches();
        }
        return given;
    }

    /// Returns the names PREFIX0, PREFIX1 and so on.
    static std::vector<std::string> names(
        const std::string& prefix, int count) {
        std::vector<std::string> made;
        made.reserve(static_cast<std::size_t>(count));
        for (int k = 0; k < count; ++k) {
            made.push_back(prefix + std::to_string(k));
        }
        return made;
    }

    agreed_jobs jobs_;
    instant now_ = at_ms(100'000);
    engine engine_;
    vm_manager manager_;
    std::uint64_t sequence_ = 0;
};

} // namespace dragonflymount::jobs::test

#endif
