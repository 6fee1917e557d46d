// The decisions of a leader at the largest site: 1,100 VMs, 4 pools of 200
// endpoints each, and more work than fits.
//
// The test plays a moment of it in virtual time. By hand, it compares two
// versions: DFM_LOAD_MS sets the length of the play, DFM_LOAD_SEED its random
// choices, and with DFM_LOAD_PRINT=1 it prints the time that each kind of
// decision took and a digest of all decisions. A change that only makes
// decisions cheaper leaves the digest as it is.
#include "tests/jobs/machine.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <random>

namespace dragonflymount::jobs::test {
namespace {

constexpr int pool_count = 4;
constexpr int pool_endpoints = 200;
constexpr int standby_vms = 300;
constexpr int racks = 12;
constexpr int teams = 60;
constexpr int long_running_jobs = 4;
constexpr int first_jobs = 1900;
constexpr int wave_count = 3;
constexpr int wave_vms = 250;
// VMs of a wave that were maintained before the play.
constexpr int returned_vms = 120;
constexpr std::int64_t tick_ms = 10;
constexpr std::int64_t engine_tick_ms = 20;
constexpr std::int64_t decide_ms = 150;
constexpr std::int64_t commit_ms = 20;
constexpr std::int64_t arrival_ms = 20;
constexpr std::int64_t move_ms = 1500;
constexpr std::int64_t maintenance_ms = 2000;
// Long enough for a few hundred reports and several rounds of each kind.
constexpr std::int64_t usual_play_ms = 450;

std::uint64_t setting(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

std::string pool_name(int pool) {
    return "pool-" + std::to_string(pool);
}

/// \brief Calls of one kind of decision, and the time that they took.
struct cost {
    std::uint64_t calls = 0;
    std::chrono::steady_clock::duration took{};
};

/// \brief A digest over the texts of all decisions (FNV-1a, 64 bits).
class decision_digest {
public:
    void add(const std::string& text) {
        for (const char each : text) {
            value_ =
                (value_ ^ static_cast<unsigned char>(each)) * 1099511628211;
        }
    }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 14695981039346656037ULL;
};

class large_site {
public:
    explicit large_site(std::uint64_t seed)
        : random_(seed), engine_(jobs_.agreed, engine_options{}),
          manager_(engine_, vm_manager_options{}) {
        put_catalogue();
        for (int k = 0; k < pool_count * pool_endpoints + standby_vms; ++k) {
            const int pool = k / pool_endpoints;
            machine made;
            made.name = "e" + std::to_string(k);
            made.pool = pool < pool_count ? pool_name(pool) : "standby";
            made.next_report = pick(0, 300);
            machines_.push_back(std::move(made));
        }
        engine_.lead(log_term(1), time());
        manager_.reset(time());
        for (int k = 0; k < pool_count * long_running_jobs; ++k) {
            submit_long_running(k);
        }
        for (int k = 0; k < first_jobs; ++k) {
            submit();
        }
        put_waves();
    }

    void play(std::int64_t length_ms) {
        for (; now_ < length_ms; now_ += tick_ms) {
            jobs_.time_ms = first_time_ms + static_cast<std::uint64_t>(now_);
            if (now_ % arrival_ms == 0) {
                submit();
            }
            work();
            report();
            commit();
            if (now_ % engine_tick_ms == 0) {
                measure("tick", [this] { engine_.tick(time()); });
                take_batch();
            }
            if (now_ % decide_ms == 0) {
                manage();
            }
        }
    }

    void print() const {
        for (const auto& [name, spent] : costs_) {
            std::cout
                << name << ": " << spent.calls << " calls, "
                << std::chrono::duration<double, std::milli>(spent.took).count()
                << " ms\n";
        }
        std::cout << "starts: " << starts_
                  << ", jobs: " << jobs_.agreed.active_jobs().size()
                  << " active, " << jobs_.agreed.startable_jobs().size()
                  << " startable, decisions: " << std::hex << digest_.value()
                  << std::dec << "\n";
    }

    std::uint64_t calls(const std::string& name) const {
        return costs_.at(name).calls;
    }
    std::uint64_t starts() const { return starts_; }
    const state& agreed() const { return jobs_.agreed; }
    const vm_manager& manager() const { return manager_; }
    std::uint64_t digest() const { return digest_.value(); }

private:
    int pick(int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random_);
    }
    instant time() const { return at_ms(100'000 + now_); }

    template <class Decision>
    void measure(const std::string& name, Decision decide) {
        const auto began = std::chrono::steady_clock::now();
        decide();
        cost& spent = costs_[name];
        spent.took += std::chrono::steady_clock::now() - began;
        ++spent.calls;
    }

    // ---- What operators and callers send

    void put_catalogue() {
        auto made = make_catalogue(2);
        for (int k = 0; k < pool_count; ++k) {
            auto pool = std::make_unique<wire::JobPoolT>();
            pool->name = pool_name(k);
            made.pools.push_back(std::move(pool));
            auto queue = std::make_unique<wire::JobQueueT>(*made.queues[0]);
            queue->name = "queue-" + std::to_string(k);
            queue->pool = pool_name(k);
            queue->priority = static_cast<std::uint32_t>(k % 2);
            made.queues.push_back(std::move(queue));
        }
        for (int k = 0; k < teams; ++k) {
            auto team = std::make_unique<wire::JobTeamT>();
            team->name = "team-" + std::to_string(k);
            team->cpu_limit = 600'000;
            made.teams.push_back(std::move(team));
        }
        wire::JobBatchT batch;
        batch.catalogue = std::make_unique<wire::CatalogueT>(std::move(made));
        jobs_.apply(std::move(batch));
    }

    void put_waves() {
        wire::JobBatchT batch;
        for (int k = 0; k < wave_count; ++k) {
            auto wave = std::make_unique<wire::MaintenanceWaveT>();
            wave->number = static_cast<std::uint64_t>(k) + 1;
            wave->duration_ms = 60'000;
            wave->most_down = 8;
            for (int vm = 0; vm < wave_vms; ++vm) {
                wave->vms.push_back(
                    "vm-e" + std::to_string(vm * wave_count + k));
                if (vm % 2 == 0 && vm < 2 * returned_vms) {
                    wave->steps.push_back(
                        std::make_unique<wire::MaintenanceStepT>());
                    wave->steps.back()->wave = wave->number;
                    wave->steps.back()->vm = wave->vms.back();
                    wave->steps.back()->phase =
                        wire::maintenance_phase::returned;
                }
            }
            batch.waves.push_back(std::move(wave));
        }
        jobs_.apply(std::move(batch));
    }

    std::string pick_team() {
        return "team-" + std::to_string(pick(0, teams - 1));
    }

    void submit_long_running(int number) {
        auto made = job_builder(++last_job_)
                        .team(pick_team())
                        .step(24, 2000)
                        .long_running(2)
                        .anti_affinity(2)
                        .build();
        made->queue = "queue-" + std::to_string(number % pool_count);
        jobs_.submit(std::move(made));
    }

    void submit() {
        job_builder job(++last_job_);
        job.team(pick_team());
        if (pick(0, 1) == 0) {
            job.step(8, 9700).step(8, 9700).after(0);
        } else {
            job.step(8, 4500);
        }
        auto made = job.build();
        made->queue = "queue-" + std::to_string(pick(0, pool_count - 1));
        for (auto& step : made->spec->steps) {
            step->estimate_ms = static_cast<std::uint32_t>(pick(600, 6000));
            if (pick(0, 2) == 0) {
                step->preferred_rack =
                    "rack-" + std::to_string(pick(0, racks - 1));
            }
        }
        jobs_.submit(std::move(made));
    }

    // ---- Endpoints

    machine& find(const std::string& name) {
        return machines_[std::stoul(name.substr(1))];
    }

    void work() {
        for (machine& each : machines_) {
            for (auto run = each.running.begin(); run != each.running.end();) {
                machine::work& work = run->second;
                work.done_ms += tick_ms;
                if (work.long_running || work.done_ms < work.needed_ms) {
                    ++run;
                    continue;
                }
                each.end(now_, run->first, wire::run_end::done);
                run = each.running.erase(run);
            }
        }
    }

    endpoint_report report_of(std::size_t number) {
        endpoint_report made = machines_[number].report();
        made.labels = {"kind", "rack-" + std::to_string(number % racks)};
        // A few endpoints are still warming up.
        if (number % 40 == 0) {
            made.warmup_left = std::chrono::seconds(2);
        }
        return made;
    }

    void report() {
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            machine& each = machines_[k];
            if (each.call_sent || each.pool == "standby" || !each.is_up(now_) ||
                now_ < each.next_report) {
                continue;
            }
            each.call_sent = now_;
            const endpoint_report made = report_of(k);
            measure("report", [&] {
                engine_.report(
                    made,
                    [this, k, life = each.life](const auto& orders) {
                        if (orders && machines_[k].life == life) {
                            carry_out(machines_[k], *orders);
                        }
                    },
                    time());
            });
            take_batch();
        }
    }

    void carry_out(machine& each, const endpoint_orders& orders) {
        each.call_sent.reset();
        digest_.add(each.name + " " + std::to_string(orders.acknowledged) +
            " " + std::to_string(orders.retry.count()));
        std::erase_if(each.ended, [&](const ended_task& ended) {
            return ended.number <= orders.acknowledged;
        });
        each.next_report = std::max(now_ + tick_ms,
            now_ +
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    orders.retry)
                    .count());
        for (const start_order& start : orders.starts) {
            digest_.add("start " + to_string(start.run.task));
            begin(each, start.run);
        }
        for (const run_ref& run : orders.stops) {
            digest_.add("stop " + to_string(run.task));
            if (each.running.erase(run) > 0) {
                each.end(now_, run, wire::run_end::stopped);
            }
        }
    }

    void begin(machine& each, const run_ref& run) {
        const task_place place = jobs_.agreed.find_task(run.task);
        if (!place || each.running.contains(run)) {
            return;
        }
        machine::work work;
        work.needed_ms = place.step->estimate_ms;
        work.long_running = place.step->long_running;
        work.fails = false;
        each.running.emplace(run, work);
    }

    // ---- The leader

    void take_batch() {
        if (batch_) {
            return;
        }
        measure("take_batch",
            [this] { batch_ = engine_.take_batch(time(), jobs_.time_ms); });
        agreed_at_ = now_ + commit_ms;
        if (!batch_) {
            return;
        }
        starts_ += batch_->started.size();
        for (const auto& order : batch_->started) {
            digest_.add(to_string(from_wire(*order->task)) + "." +
                std::to_string(order->run) + " " + order->endpoint);
        }
        for (const auto& ended : batch_->ended) {
            digest_.add(ended->endpoint + std::to_string(ended->number));
        }
    }

    void commit() {
        if (!batch_ || now_ < agreed_at_) {
            return;
        }
        wire::JobBatchT batch = std::move(*batch_);
        batch_.reset();
        batch.time_ms = jobs_.time_ms;
        const bytes command = wire::encode_command(std::move(batch));
        measure("apply",
            [&] { jobs_.agreed.apply(log_index(++jobs_.index), command); });
        measure("batch_done", [this] { engine_.batch_done(true, time()); });
        take_batch();
    }

    void manage() {
        if (manager_.wants_list(time())) {
            std::vector<vm_record> list;
            for (const machine& each : machines_) {
                list.push_back({vm_id("vm-" + each.name), pool_id(each.pool),
                    each.is_up(now_) ? vm_condition::up : vm_condition::down,
                    each.name, vm_capacity});
            }
            manager_.update_list(std::move(list), time(), time());
        }
        std::vector<vm_order> orders;
        measure("decide", [&] { orders = manager_.decide(time()); });
        for (const vm_order& order : orders) {
            machine& each = find(order.vm.str().substr(3));
            const bool moves = order.what == vm_order::kind::move;
            digest_.add((moves ? "move " : "maintain ") + order.vm.str() + " " +
                order.pool.str());
            each.restart(now_ + (moves ? move_ms : maintenance_ms));
            each.pool = moves ? order.pool.str() : each.pool;
            manager_.order_done(order, vm_verdict::done, time());
        }
        for (const pool_summary& pool : manager_.pools()) {
            digest_.add(pool.pool + " " + std::to_string(pool.held) + " " +
                std::to_string(pool.wanted) + " " +
                std::to_string(pool.demand.timely) + " " +
                std::to_string(pool.demand.all));
        }
    }

    std::mt19937_64 random_;
    agreed_jobs jobs_;
    engine engine_;
    vm_manager manager_;
    std::vector<machine> machines_;
    std::optional<wire::JobBatchT> batch_;
    std::int64_t now_ = 0;
    std::int64_t agreed_at_ = 0;
    std::uint64_t last_job_ = 0;
    std::uint64_t starts_ = 0;
    std::map<std::string, cost> costs_;
    decision_digest digest_;
};

TEST(leader_load, decides_for_the_largest_site) {
    large_site site(setting("DFM_LOAD_SEED", 1));
    site.play(static_cast<std::int64_t>(setting("DFM_LOAD_MS", usual_play_ms)));
    EXPECT_GE(site.calls("report"), pool_count * pool_endpoints);
    EXPECT_GE(site.calls("decide"), 3);
    // The work fills the pools, and the rest of it waits.
    EXPECT_GT(site.starts(), 2 * pool_count * pool_endpoints);
    EXPECT_GT(site.agreed().startable_jobs().size(), first_jobs / 2);
    if (setting("DFM_LOAD_PRINT", 0) != 0) {
        site.print();
    }
}

} // namespace
} // namespace dragonflymount::jobs::test
