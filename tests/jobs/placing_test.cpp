// Randomized simulation of the job engine and the VM manager in virtual time:
// no task that could start waits long while there is free room, and no start
// exceeds an endpoint's room, a team's limit or a step's anti-affinity.
//
// DFM_PLACING_SEED replaces the seeds of the test by another one.
#include "tests/jobs/machine.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <random>

namespace dragonflymount::jobs::test {
namespace {

constexpr std::int64_t tick_ms = 20;
constexpr std::int64_t traffic_ms = 20'000;
constexpr std::int64_t end_ms = 45'000;
// Least total run time of a scenario's tasks; with less work the test would
// prove nothing.
constexpr std::int64_t least_work_ms = 1'000'000;
// Longest time that a task may wait while there is free room.
constexpr std::int64_t longest_wait_ms = 3000;
// Time after the start of a leader during which waiting doesn't count.
constexpr std::int64_t learning_time_ms = 2000;
// Time after which an endpoint abandons a call without reply.
constexpr std::int64_t call_timeout_ms = 1000;
constexpr std::int64_t move_ms = 1500;
constexpr std::uint32_t least_machines_of_pool = 3;

enum class traffic : std::uint8_t {
    usual,
    // Steps whose tasks end by themselves may have copies, and only some of
    // their tasks may run on one machine.
    with_copies,
};

class random_scenario {
public:
    random_scenario(std::uint64_t seed, traffic kind)
        : seed_(seed), kind_(kind), random_(seed),
          engine_(jobs_.agreed, engine_options{}),
          manager_(engine_, vm_manager_options{}) {
        put_catalogue();
        const int count = pick(9, 24);
        for (int k = 0; k < count; ++k) {
            machine made;
            made.name = "e" + std::to_string(k);
            made.pool = k % 3 == 0 ? "second" : "pool";
            made.next_report = pick(0, 200);
            machines_.push_back(std::move(made));
        }
        lead();
    }

    void run() {
        for (; now_ < end_ms && !testing::Test::HasFailure(); now_ += tick_ms) {
            jobs_.time_ms = first_time_ms + static_cast<std::uint64_t>(now_);
            inject_faults();
            if (now_ < traffic_ms) {
                submit();
            }
            work();
            report();
            if (leads() && now_ >= paused_until_) {
                run_leader();
            }
            check_waiting_jobs();
        }
        EXPECT_GT(worked_ms_, least_work_ms);
        if (kind_ == traffic::with_copies) {
            EXPECT_GT(engine_.copies_started(), 0U);
        }
    }

private:
    struct message {
        endpoint_report report;
        std::int64_t sent = 0;
    };

    int pick(int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random_);
    }
    // Whether an event with the mean interval \p mean_ms occurs in this tick.
    bool occurs(std::int64_t mean_ms) {
        return pick(1, static_cast<int>(mean_ms / tick_ms)) == 1;
    }
    instant time() const { return at_ms(100'000 + now_); }
    bool leads() const { return engine_.leads(); }

    void put_catalogue() {
        wire::JobBatchT batch;
        auto made = make_catalogue(2, 60'000);
        auto pool = std::make_unique<wire::JobPoolT>();
        pool->name = "second";
        made.pools.push_back(std::move(pool));
        auto queue = std::make_unique<wire::JobQueueT>(*made.queues[0]);
        queue->name = "second";
        queue->pool = "second";
        made.queues.push_back(std::move(queue));
        auto team = std::make_unique<wire::JobTeamT>();
        team->name = "other";
        team->cpu_limit = 200'000;
        made.teams.push_back(std::move(team));
        batch.catalogue = std::make_unique<wire::CatalogueT>(std::move(made));
        jobs_.apply(std::move(batch));
    }

    void lead() {
        engine_.lead(log_term(++term_), time());
        manager_.reset(time());
        check_from_ = now_ + learning_time_ms;
    }

    // ---- Faults

    void inject_faults() {
        if (!leads() && now_ >= leader_from_) {
            lead();
        } else if (leads() && occurs(15'000)) {
            engine_.resign();
            batch_.reset();
            inbox_.clear();
            leader_from_ = now_ + pick(100, 900);
        } else if (leads() && occurs(10'000)) {
            paused_until_ = now_ + pick(200, 2500);
            check_from_ = std::max(check_from_, paused_until_);
        }
        if (occurs(20'000)) {
            hang_pool();
        }
        for (machine& each : machines_) {
            if (occurs(60'000)) {
                each.restart(now_ + pick(500, 6000));
            } else if (occurs(60'000)) {
                each.cut_off_until = now_ + pick(500, 6000);
            } else if (occurs(60'000)) {
                each.stalled_until = now_ + pick(500, 6000);
            }
        }
    }

    // A resource that a pool's machines share, such as a file server, hangs.
    void hang_pool() {
        const std::string pool = pick(0, 1) == 0 ? "pool" : "second";
        const std::int64_t until = now_ + pick(500, 3000);
        for (machine& each : machines_) {
            if (each.pool == pool) {
                each.stalled_until = until;
            }
        }
        check_from_ = std::max(check_from_, until);
    }

    // ---- Traffic: bursts of small, wide, large and long-running jobs

    void submit() {
        if (occurs(2000)) {
            burst_until_ = now_ + pick(200, 2500);
            burst_queue_ = pick(0, 1);
            burst_team_ = pick(0, 2);
        }
        const bool bursts = now_ < burst_until_;
        if (!bursts && !occurs(400)) {
            return;
        }
        const std::uint64_t id = ++last_job_;
        job_builder job(id);
        const bool limited = (bursts ? burst_team_ : pick(0, 2)) == 0;
        job.team(limited ? "team" : "other");
        const int kind = pick(0, 9);
        if (kind < 5) {
            job.step(static_cast<std::uint32_t>(pick(1, 6)),
                static_cast<std::uint32_t>(pick(200, 3000)));
        } else if (kind < 8) {
            job.step(1, 2000).step(2, 12'400).after(0);
        } else if (kind < 9) {
            job.step(static_cast<std::uint32_t>(pick(2, 4)), 6000).gang();
        } else {
            job.step(static_cast<std::uint32_t>(pick(2, 30)), 4000);
        }
        // Two long-running jobs for the whole scenario.
        if (id <= 2) {
            job = job_builder(id);
            job.team("other").step(5, 2000).long_running(1);
        }
        auto made = job.build();
        made->queue =
            (bursts ? burst_queue_ : pick(0, 1)) == 0 ? "queue" : "second";
        for (auto& step : made->spec->steps) {
            const bool takes_long = step->cpu_milli < 1000 || pick(0, 5) == 0;
            step->estimate_ms = static_cast<std::uint32_t>(
                takes_long ? pick(5000, 15'000) : pick(200, 2000));
            if (kind_ == traffic::with_copies) {
                allow_copies(*step);
            }
        }
        jobs_.submit(std::move(made));
    }

    // The tasks find room together on the fewest machines that a pool has.
    void allow_copies(wire::JobStepT& step) {
        if (step.gang || step.long_running) {
            return;
        }
        step.speculative = true;
        step.anti_affinity = step.count / least_machines_of_pool +
            static_cast<std::uint32_t>(pick(1, 2));
    }

    // ---- Machines

    void work() {
        for (machine& each : machines_) {
            if (!each.is_up(now_) || now_ < each.stalled_until) {
                continue;
            }
            for (auto run = each.running.begin(); run != each.running.end();) {
                machine::work& work = run->second;
                worked_ms_ += tick_ms;
                work.done_ms += tick_ms;
                if (work.long_running || work.done_ms < work.needed_ms) {
                    ++run;
                    continue;
                }
                each.end(now_, run->first,
                    work.fails ? wire::run_end::failed : wire::run_end::done);
                run = each.running.erase(run);
            }
        }
    }

    void report() {
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            machine& each = machines_[k];
            if (each.call_sent && now_ - *each.call_sent > call_timeout_ms) {
                each.call_sent.reset();
                each.next_report = now_;
            }
            if (each.call_sent || !each.is_reachable(now_) ||
                now_ < each.next_report || each.pool == "standby") {
                continue;
            }
            if (!leads()) {
                each.next_report = now_ + 200;
                continue;
            }
            each.call_sent = now_;
            inbox_.push_back({each.report(), now_});
        }
    }

    machine& find(const std::string& name) {
        return machines_[std::stoul(name.substr(1))];
    }

    void carry_out(const message& call, const endpoint_orders& orders) {
        machine& each = find(call.report.life.endpoint);
        if (each.life != call.report.life.number || !each.call_sent ||
            *each.call_sent != call.sent || !each.is_reachable(now_)) {
            return;
        }
        each.call_sent.reset();
        std::erase_if(each.ended, [&](const ended_task& ended) {
            return ended.number <= orders.acknowledged;
        });
        each.next_report = std::max(now_ + tick_ms,
            now_ +
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    orders.retry)
                    .count());
        for (const start_order& start : orders.starts) {
            begin(each, start.run);
        }
        for (const run_ref& run : orders.stops) {
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
        work.needed_ms = place.step->estimate_ms * pick(80, 130) / 100;
        work.long_running = place.step->long_running;
        work.fails = pick(0, 29) == 0;
        each.running.emplace(run, work);
        const auto used = used_at(each);
        EXPECT_TRUE(used.fits(vm_capacity));
        check_spread(each, run.task, *place.step);
        check_limit(place.job->team);
    }

    void check_spread(const machine& each, const task_name& name,
        const wire::JobStepT& step) const {
        const auto together = std::count_if(each.running.begin(),
            each.running.end(), [&name](const auto& entry) {
                const task_name& other = entry.first.task;
                return other.job == name.job &&
                    other.occurrence == name.occurrence &&
                    other.step == name.step;
            });
        EXPECT_TRUE(step.anti_affinity == 0 || together <= step.anti_affinity)
            << "seed " << seed_ << ", " << now_ << " ms: " << to_string(name)
            << " begins on " << each.name << ", which has " << together
            << " of its step, at most " << step.anti_affinity;
    }

    void check_limit(const std::string& name) const {
        const wire::JobTeamT* team = jobs_.agreed.find_team(name);
        std::int64_t used = 0;
        for (const machine& each : machines_) {
            for (const auto& [run, work] : each.running) {
                const task_place place = jobs_.agreed.find_task(run.task);
                if (place && place.job->team == name) {
                    used += usage_of(*place.step).cpu_milli;
                }
            }
        }
        EXPECT_TRUE(team->cpu_limit == 0 ||
            used <= static_cast<std::int64_t>(team->cpu_limit))
            << "seed " << seed_ << ", " << now_ << " ms: " << name << " uses "
            << used;
    }

    // ---- The leader

    void run_leader() {
        for (auto& call : std::exchange(inbox_, {})) {
            engine_.report(
                call.report,
                [this, call](const std::optional<endpoint_orders>& orders) {
                    if (orders) {
                        carry_out(call, *orders);
                    }
                },
                time());
        }
        engine_.tick(time());
        if (batch_ && now_ >= agreed_at_) {
            jobs_.apply(std::move(*batch_));
            batch_.reset();
            engine_.batch_done(true, time());
        }
        if (!batch_) {
            batch_ = engine_.take_batch(time(), jobs_.time_ms);
            agreed_at_ = now_ + pick(0, 3) * tick_ms;
        }
        if (now_ % 100 == 0) {
            manage();
        }
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
        for (const vm_order& order : manager_.decide(time())) {
            machine& each = find(order.vm.str().substr(3));
            if (!each.is_up(now_)) {
                manager_.order_done(order, vm_verdict::busy, time());
                continue;
            }
            each.restart(now_ + move_ms);
            each.pool = order.pool.str();
            manager_.order_done(order, vm_verdict::done, time());
        }
    }

    // ---- Check for waiting jobs

    resources used_at(const machine& each) const {
        resources used;
        for (const auto& [run, work] : each.running) {
            if (const task_place place = jobs_.agreed.find_task(run.task)) {
                used += room_of(*place.step);
            }
        }
        return used;
    }

    static std::int64_t max_runs(const resources& need, const resources& room) {
        if (!need.fits(room)) {
            return 0;
        }
        return std::min(
            room.cpu_milli / std::max<std::int64_t>(1, need.cpu_milli),
            room.memory_mb / std::max<std::int64_t>(1, need.memory_mb));
    }

    bool has_room_twice(const std::string& pool, const wire::JobStepT& step) {
        const std::int64_t tasks = 2 * (step.gang ? step.count : 1);
        std::int64_t places = 0;
        resources used;
        resources all;
        for (const machine& each : machines_) {
            if (each.pool != pool || !each.is_up(now_)) {
                continue;
            }
            const resources here = used_at(each);
            used += here;
            all += vm_capacity;
            if (each.is_reachable(now_) && now_ >= each.stalled_until &&
                now_ - each.down_until > 1000) {
                places += max_runs(room_of(step), vm_capacity - here);
            }
        }
        return places >= tasks && 2 * used.cpu_milli < all.cpu_milli &&
            2 * used.memory_mb < all.memory_mb;
    }

    bool team_has_room(const std::string& name) const {
        const wire::JobTeamT* team = jobs_.agreed.find_team(name);
        const auto used = jobs_.agreed.usage_of_team(name).cpu_milli;
        return team == nullptr || team->cpu_limit == 0 ||
            2 * used < static_cast<std::int64_t>(team->cpu_limit);
    }

    // Runs at unreachable endpoints count: the leader can't know their end.
    bool runs_anywhere(const wire::JobT& job) {
        for (const machine& each : machines_) {
            for (const auto& [run, work] : each.running) {
                if (run.task.job.value() == job.id) {
                    return true;
                }
            }
        }
        for (const auto& [life, load] : jobs_.agreed.loads()) {
            if (find(life.endpoint).is_reachable(now_)) {
                continue;
            }
            for (const run_ref& run : load.runs) {
                if (run.task.job.value() == job.id) {
                    return true;
                }
            }
        }
        return false;
    }

    // Returns a step of \p job that could start but hasn't, or null.
    const wire::JobStepT* find_idle_step(const wire::JobT& job) {
        const std::string& pool = jobs_.agreed.find_queue(job.queue)->pool;
        if (runs_anywhere(job) || !team_has_room(job.team)) {
            return nullptr;
        }
        for (const auto& occurrence : job.occurrences) {
            for (std::size_t k = 0; k < occurrence->steps.size(); ++k) {
                const auto& group = *occurrence->steps[k];
                const wire::JobStepT& step = *job.spec->steps[k];
                if (group.done < group.tasks.size() &&
                    is_ready(*occurrence, step) && has_room_twice(pool, step)) {
                    return &step;
                }
            }
        }
        return nullptr;
    }

    void check_waiting_jobs() {
        if (now_ % 100 != 0) {
            return;
        }
        std::map<job_id, std::int64_t> idle;
        for (const job_id id : jobs_.agreed.active_jobs()) {
            const wire::JobT& job = *jobs_.agreed.find_job(id);
            if (!leads() || now_ < check_from_ || !find_idle_step(job)) {
                continue;
            }
            const auto known = idle_since_.find(id);
            idle[id] = known == idle_since_.end() ? now_ : known->second;
            if (now_ - idle[id] >= longest_wait_ms) {
                ADD_FAILURE() << describe(job);
            }
        }
        idle_since_ = std::move(idle);
    }

    std::string describe(const wire::JobT& job) {
        const wire::JobStepT& step = *find_idle_step(job);
        std::string text = "seed " + std::to_string(seed_) + ", " +
            std::to_string(now_) + " ms: " + to_string(job_id(job.id)) +
            " of " + job.team + " in " + job.queue + " needs " +
            std::to_string(step.count) + " x " +
            std::to_string(step.cpu_milli) + ", accepted at " +
            std::to_string(job.accepted_ms - first_time_ms) + "; " +
            std::to_string(jobs_.agreed.startable_jobs().size()) +
            " jobs wait\n";
        for (const pool_summary& pool : manager_.pools()) {
            text += pool.pool + ": held " + std::to_string(pool.held) +
                ", wanted " + std::to_string(pool.wanted) + "\n";
        }
        const std::string& pool = jobs_.agreed.find_queue(job.queue)->pool;
        for (const machine& each : machines_) {
            if (each.pool != pool) {
                continue;
            }
            const endpoint_view* view = engine_.endpoints().find(each.name);
            const auto* load = jobs_.agreed.load_of({each.name, each.life});
            text += each.name + ": used " +
                std::to_string(used_at(each).cpu_milli) + ", agreed " +
                std::to_string(load == nullptr ? 0 : load->used.cpu_milli) +
                (each.is_reachable(now_) ? "" : ", unreachable") +
                (view == nullptr ? ", unknown"
                        : engine_.endpoints().can_take_tasks(*view, time()) ? ""
                        : time() < view->quarantined_until ? ", quarantined"
                                                           : ", silent") +
                "\n";
        }
        return text;
    }

    std::uint64_t seed_;
    traffic kind_;
    std::mt19937_64 random_;
    agreed_jobs jobs_;
    engine engine_;
    vm_manager manager_;
    std::vector<machine> machines_;
    std::deque<message> inbox_;
    std::optional<wire::JobBatchT> batch_;
    std::int64_t now_ = 0;
    std::int64_t agreed_at_ = 0;
    std::int64_t leader_from_ = 0;
    std::int64_t paused_until_ = 0;
    std::int64_t check_from_ = 0;
    std::int64_t burst_until_ = 0;
    int burst_queue_ = 0;
    int burst_team_ = 0;
    std::int64_t worked_ms_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t last_job_ = 0;
    // Since when each job could have started a step but hasn't.
    std::map<job_id, std::int64_t> idle_since_;
};

class placing : public testing::TestWithParam<std::uint64_t> {
protected:
    static void run(traffic kind) {
        const char* chosen = std::getenv("DFM_PLACING_SEED");
        random_scenario(
            chosen == nullptr ? GetParam() : std::stoull(chosen), kind)
            .run();
    }
};

TEST_P(placing, leaves_no_task_waiting_beside_free_room) {
    run(traffic::usual);
}

// ROUTE: copies of one round exceeded the anti-affinity of their step.
TEST_P(placing, keeps_copies_within_the_limits_of_their_step) {
    run(traffic::with_copies);
}

INSTANTIATE_TEST_SUITE_P(
    seeds, placing, testing::Values(11, 23, 47, 93, 216, 224, 237, 345));

} // namespace
} // namespace dragonflymount::jobs::test
