// Tests of tasks that crash each endpoint that starts them: how often they are
// started, what is given up, and that innocent tasks beside them aren't. The
// endpoints of these tests crash, return and shrink.
#include "tests/jobs/job_builder.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace dragonflymount::jobs::test {
namespace {

using wire::crash_evidence;
using wire::job_phase;

constexpr std::int64_t report_interval_ms = 100;
constexpr std::int64_t reply_timeout_ms = 1'000;
constexpr std::int64_t return_time_ms = 2'000;

/// A pool of endpoints that run what they are told to, and an engine with a
/// replica that can take over. Each endpoint reports every report_interval_ms.
class crashing_pool : public testing::Test {
protected:
    struct endpoint {
        std::string name;
        std::uint64_t life = 1;
        std::uint64_t sequence = 0;
        std::uint64_t ends = 0;
        resources capacity{4000, 4000, 0};
        // As its last report stated it.
        resources reported;
        // What runs there, and how long it still takes.
        std::map<run_ref, std::int64_t> running;
        std::vector<ended_task> ended;
        std::int64_t back_at_ms = 0;
        // When it stops waiting for the reply to its last report.
        std::int64_t waits_until_ms = 0;
    };

    crashing_pool() : engine_(jobs_.agreed, engine_options{}) {
        engine_.lead(log_term(3), now());
    }
    void add_endpoints(std::size_t count) {
        for (std::size_t k = 1; k <= count; ++k) {
            endpoint added;
            added.name = "e" + std::to_string(k);
            endpoints_.push_back(added);
        }
    }
    instant now() const { return at_ms(now_ms_); }
    void settle() {
        for (int k = 0; k < 10; ++k) {
            auto batch = engine_.take_batch(now(), jobs_.time_ms);
            if (!batch) {
                return;
            }
            jobs_.apply(std::move(*batch));
            engine_.batch_done(true, now());
        }
    }
    /// A replica with the same log takes over; it knows nothing else.
    void change_leader(log_term term) {
        engine_.resign();
        const bytes image = jobs_.agreed.save();
        ASSERT_TRUE(jobs_.agreed.load(image));
        engine_.lead(term, now());
    }
    /// The other members of a gang end once one of them is gone.
    void break_gangs_of(const endpoint& crashed) {
        for (const auto& entry_lost : crashed.running) {
            const run_ref& lost = entry_lost.first;
            if (!gangs_.contains(lost.task.job)) {
                continue;
            }
            for (endpoint& other : endpoints_) {
                std::erase_if(other.running, [&](const auto& entry) {
                    const run_ref& run = entry.first;
                    const bool breaks = other.name != crashed.name &&
                        run.task.job == lost.task.job && run.run == lost.run;
                    if (breaks) {
                        other.ended.push_back(
                            {++other.ends, run, wire::run_end::broken, ""});
                    }
                    return breaks;
                });
            }
        }
    }
    void crash(endpoint& crashed) {
        break_gangs_of(crashed);
        crashed.running.clear();
        crashed.ended.clear();
        crashed.ends = 0;
        crashed.sequence = 0;
        ++crashed.life;
        crashed.waits_until_ms = 0;
        crashed.back_at_ms = now_ms_ + return_time_ms;
    }
    void begin(endpoint& place, const start_order& order) {
        if (place.running.contains(order.run)) {
            return;
        }
        ++starts_[order.run.task];
        place.running[order.run] = run_ms_(order.run.task);
        EXPECT_LE(place.running.size() * 1000,
            static_cast<std::size_t>(place.reported.cpu_milli))
            << place.name << " " << now_ms_;
        if (is_deadly_(order.run.task)) {
            death_of_[place.name] = {now_ms_ + deadly_after_ms_, place.life};
        }
    }
    endpoint_report report_of(endpoint& place) {
        endpoint_report made = make_report(place.name, ++place.sequence);
        made.life.number = place.life;
        made.capacity = place.capacity;
        place.reported = place.capacity;
        for (const auto& [run, left] : place.running) {
            const std::int64_t total =
                std::max<std::int64_t>(run_ms_(run.task), 1);
            made.running.push_back({run, "",
                static_cast<std::uint32_t>(100 - 100 * left / total), 0});
        }
        made.ended = place.ended;
        return made;
    }
    void report(endpoint& place) {
        endpoint* target = &place;
        const std::uint64_t life = place.life;
        place.waits_until_ms = now_ms_ + reply_timeout_ms;
        engine_.report(
            report_of(place),
            [this, target, life](const std::optional<endpoint_orders>& orders) {
                if (!orders || target->life != life ||
                    now_ms_ < target->back_at_ms) {
                    return;
                }
                target->waits_until_ms = 0;
                std::erase_if(target->ended, [&](const ended_task& ended) {
                    return ended.number <= orders->acknowledged;
                });
                for (const run_ref& run : orders->stops) {
                    if (target->running.erase(run) > 0) {
                        target->ended.push_back(
                            {++target->ends, run, wire::run_end::stopped, ""});
                    }
                }
                for (const start_order& order : orders->starts) {
                    begin(*target, order);
                }
            },
            now());
        settle();
    }
    void work(endpoint& place) {
        std::vector<run_ref> finished;
        for (auto& [run, left] : place.running) {
            left -= step_ms;
            if (left <= 0 && !is_deadly_(run.task)) {
                finished.push_back(run);
            }
        }
        for (const run_ref& run : finished) {
            place.running.erase(run);
            place.ended.push_back({++place.ends, run, wire::run_end::done, ""});
        }
    }
    void advance(std::int64_t ms) {
        for (const std::int64_t end = now_ms_ + ms; now_ms_ < end;) {
            now_ms_ += step_ms;
            jobs_.time_ms += step_ms;
            for (endpoint& place : endpoints_) {
                if (now_ms_ < place.back_at_ms) {
                    continue;
                }
                const auto death = death_of_.find(place.name);
                if (death != death_of_.end() &&
                    death->second.second == place.life &&
                    now_ms_ >= death->second.first) {
                    crash(place);
                    continue;
                }
                work(place);
            }
            engine_.tick(now());
            settle();
            if (now_ms_ % report_interval_ms == 0) {
                for (endpoint& place : endpoints_) {
                    if (now_ms_ >= place.back_at_ms &&
                        now_ms_ >= place.waits_until_ms) {
                        report(place);
                    }
                }
            }
        }
    }
    std::uint32_t starts_of(const task_name& name) const {
        const auto found = starts_.find(name);
        return found == starts_.end() ? 0 : found->second;
    }
    std::uint32_t most_starts_of_job(std::uint64_t id) const {
        std::uint32_t most = 0;
        for (const auto& [name, count] : starts_) {
            most = name.job == job_id(id) ? std::max(most, count) : most;
        }
        return most;
    }

    static constexpr std::int64_t step_ms = 10;

    agreed_jobs jobs_;
    std::int64_t now_ms_ = 100'000;
    engine engine_;
    std::vector<endpoint> endpoints_;
    std::function<bool(const task_name&)> is_deadly_ = [](const task_name&) {
        return false;
    };
    std::function<std::int64_t(const task_name&)> run_ms_ =
        [](const task_name&) { return 1'000; };
    // Jobs whose step is a gang.
    std::set<job_id> gangs_;
    std::int64_t deadly_after_ms_ = 10;
    std::map<task_name, std::uint32_t> starts_;
    // When a life ends by a deadly task, and the number of that life.
    std::map<std::string, std::pair<std::int64_t, std::uint64_t>> death_of_;
};

// The most starts that the users' platform allows: three crashes, and fewer
// than three starts after them.
constexpr std::uint32_t most_allowed_starts = 5;

TEST_F(crashing_pool, gives_up_a_task_that_ends_every_life) {
    add_endpoints(8);
    is_deadly_ = [](const task_name& name) { return name == task(7, 0, 2); };
    advance(200);
    jobs_.submit(job_builder(7).step(6).build());
    advance(40'000);
    EXPECT_LE(starts_of(task(7, 0, 2)), most_allowed_starts);
    EXPECT_EQ(jobs_.phase(7), job_phase::failed);
    EXPECT_TRUE(jobs_.agreed.suspects().empty());
}

TEST_F(crashing_pool, completes_the_jobs_beside_deadly_ones) {
    add_endpoints(8);
    is_deadly_ = [](const task_name& name) {
        return name.job.value() % 4 == 0 && name.index == 1;
    };
    for (std::uint64_t id = 1; id <= 60; ++id) {
        jobs_.submit(job_builder(id).step(4).build());
        advance(250);
    }
    advance(60'000);
    for (std::uint64_t id = 1; id <= 60; ++id) {
        EXPECT_EQ(jobs_.phase(id),
            id % 4 == 0 ? job_phase::failed : job_phase::complete)
            << id;
        if (id % 4 == 0) {
            EXPECT_LE(most_starts_of_job(id), most_allowed_starts) << id;
        }
    }
}

TEST_F(crashing_pool, counts_on_over_changes_of_leader) {
    add_endpoints(8);
    is_deadly_ = [](const task_name& name) { return name == task(7); };
    jobs_.submit(job_builder(7).step(1).build());
    std::uint32_t seen = 0;
    std::uint64_t term = 4;
    for (int k = 0; k < 400; ++k) {
        advance(100);
        // At once after each start, before the crash is known.
        if (starts_of(task(7)) > seen) {
            seen = starts_of(task(7));
            change_leader(log_term(term++));
        }
    }
    EXPECT_LE(starts_of(task(7)), most_allowed_starts);
    EXPECT_EQ(jobs_.phase(7), job_phase::failed);
}

TEST_F(crashing_pool, gives_up_a_deadly_member_of_a_gang) {
    add_endpoints(8);
    // A gang ends as a whole, so none of it ends while one member can't work.
    run_ms_ = [](const task_name&) { return 1'000'000; };
    is_deadly_ = [](const task_name& name) { return name == task(7, 0, 1); };
    gangs_.insert(job_id(7));
    jobs_.submit(job_builder(7).step(4).gang().build());
    advance(40'000);
    EXPECT_LE(starts_of(task(7, 0, 1)), most_allowed_starts);
    EXPECT_EQ(jobs_.phase(7), job_phase::failed);
}

TEST_F(crashing_pool, gives_up_a_deadly_long_running_task) {
    add_endpoints(8);
    run_ms_ = [](const task_name&) { return 1'000'000; };
    is_deadly_ = [](const task_name& name) { return name == task(7, 0, 1); };
    jobs_.submit(job_builder(7).step(3).long_running(1).build());
    jobs_.submit(job_builder(8).step(3).long_running(1).build());
    advance(60'000);
    EXPECT_LE(starts_of(task(7, 0, 1)), most_allowed_starts);
    EXPECT_EQ(jobs_.phase(7), job_phase::failed);
    EXPECT_EQ(jobs_.phase(8), job_phase::active);
}

TEST_F(crashing_pool, gives_up_a_task_that_crashes_after_some_seconds) {
    add_endpoints(8);
    deadly_after_ms_ = 3'000;
    run_ms_ = [](const task_name& name) {
        return name.job == job_id(7) ? 1'000'000 : 1'000;
    };
    is_deadly_ = [](const task_name& name) { return name == task(7); };
    jobs_.submit(job_builder(7).step(1).long_running(1).build());
    for (std::uint64_t id = 100; id < 200; ++id) {
        jobs_.submit(job_builder(id).step(4).build());
        advance(400);
    }
    advance(20'000);
    EXPECT_LE(starts_of(task(7)), most_allowed_starts);
    EXPECT_EQ(jobs_.phase(7), job_phase::failed);
}

// Endpoints crash for reasons of their own, over and over, whatever runs there.
TEST_F(crashing_pool, keeps_long_running_tasks_through_many_crashes) {
    add_endpoints(6);
    run_ms_ = [](const task_name&) { return 100'000'000; };
    jobs_.submit(job_builder(7).step(3).long_running(1).build());
    advance(1'000);
    for (int k = 0; k < 60; ++k) {
        crash(endpoints_[static_cast<std::size_t>(k) % endpoints_.size()]);
        advance(15'000);
    }
    EXPECT_EQ(jobs_.phase(7), job_phase::active);
}

// All endpoints lose power at once while they start tasks, twice.
TEST_F(crashing_pool, keeps_what_ran_when_all_endpoints_crashed_at_once) {
    add_endpoints(6);
    for (std::uint64_t id = 1; id <= 12; ++id) {
        jobs_.submit(job_builder(id).step(4).build());
    }
    for (int k = 0; k < 2; ++k) {
        advance(300);
        for (endpoint& place : endpoints_) {
            crash(place);
        }
        advance(return_time_ms);
    }
    advance(60'000);
    for (std::uint64_t id = 1; id <= 12; ++id) {
        EXPECT_EQ(jobs_.phase(id), job_phase::complete) << id;
    }
}

TEST_F(crashing_pool, does_not_count_a_lease_that_expired) {
    add_endpoints(2);
    run_ms_ = [](const task_name&) { return 1'000'000; };
    jobs_.submit(job_builder(7).step(1).long_running(1).build());
    for (int k = 0; k < 6; ++k) {
        advance(300);
        for (endpoint& place : endpoints_) {
            if (!place.running.empty()) {
                // Silent for longer than any lease; its runs end by themselves.
                place.running.clear();
                place.back_at_ms = now_ms_ + 15'000;
            }
        }
        advance(16'000);
    }
    EXPECT_EQ(jobs_.phase(7), job_phase::active);
    EXPECT_TRUE(jobs_.agreed.suspects().empty());
}

TEST_F(crashing_pool, does_not_count_a_planned_end) {
    add_endpoints(2);
    jobs_.submit(job_builder(7).step(1).build());
    run_ms_ = [](const task_name&) { return 1'000'000; };
    for (int k = 0; k < 6; ++k) {
        advance(300);
        for (endpoint& place : endpoints_) {
            if (!place.running.empty()) {
                engine_.remove_endpoint(place.name);
                crash(place);
            }
        }
        advance(3'000);
    }
    EXPECT_EQ(jobs_.phase(7), job_phase::active);
    EXPECT_TRUE(jobs_.agreed.suspects().empty());
}

TEST_F(crashing_pool, does_not_count_the_end_of_a_vm_that_was_about_to_move) {
    add_endpoints(2);
    jobs_.submit(job_builder(7).step(1).build());
    run_ms_ = [](const task_name&) { return 1'000'000; };
    advance(300);
    std::set<vm_id> reserved;
    for (endpoint& place : endpoints_) {
        if (!place.running.empty()) {
            reserved.insert(vm_id("vm-" + place.name));
            crash(place);
        }
    }
    ASSERT_EQ(reserved.size(), 1U);
    engine_.set_reserved_vms(reserved);
    advance(3'000);
    EXPECT_TRUE(jobs_.agreed.suspects().empty());
}

TEST_F(crashing_pool, starts_a_suspect_where_nothing_else_starts) {
    add_endpoints(4);
    advance(200);
    jobs_.submit(job_builder(7).step(1).build());
    jobs_.start(task(7), 1, {"gone", 1});
    jobs_.crash(task(7), 1, crash_evidence::at_start, {"gone", 1});
    jobs_.submit(job_builder(8).step(8).build());
    advance(300);
    const wire::TaskRunT* suspect = jobs_.agreed.find_run({task(7), 2});
    ASSERT_NE(suspect, nullptr);
    EXPECT_EQ(
        jobs_.agreed.load_of({suspect->endpoint, suspect->life})->runs.size(),
        1U);
    EXPECT_EQ(starts_.size(), 9U);
}

// ---- Capacity that changes -------------------------------------------------

// The start was agreed, and the endpoint's capacity shrank before the reply.
TEST_F(crashing_pool, sends_no_start_that_no_longer_fits) {
    jobs_.submit(job_builder(7).step(1, 3000).build());
    jobs_.start(task(7), 1, {"e1", 1});
    add_endpoints(1);
    endpoints_[0].capacity = {2000, 4000, 0};
    advance(1'000);
    EXPECT_EQ(starts_of(task(7)), 0U);
    EXPECT_EQ(jobs_.agreed.find_run({task(7), 1}), nullptr);
    endpoints_[0].capacity = {4000, 4000, 0};
    advance(500);
    EXPECT_EQ(starts_of(task(7)), 1U);
}

TEST_F(crashing_pool, places_nothing_on_a_vm_that_shrank_below_its_load) {
    add_endpoints(1);
    run_ms_ = [](const task_name&) { return 4'000; };
    jobs_.submit(job_builder(7).step(3).build());
    advance(500);
    EXPECT_EQ(endpoints_[0].running.size(), 3U);
    endpoints_[0].capacity = {1500, 4000, 0};
    jobs_.submit(job_builder(8).step(2).build());
    advance(2'000);
    EXPECT_EQ(starts_of(task(8, 0, 0)), 0U);
    EXPECT_EQ(endpoints_[0].running.size(), 3U);
    endpoints_[0].capacity = {5000, 4000, 0};
    advance(500);
    EXPECT_EQ(endpoints_[0].running.size(), 5U);
}

// begin() checks each start against the capacity that the last report stated.
TEST_F(crashing_pool, keeps_within_a_capacity_that_changes_all_the_time) {
    add_endpoints(3);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        jobs_.submit(job_builder(id).step(4).build());
    }
    for (int k = 0; k < 300; ++k) {
        endpoint& changed = endpoints_[static_cast<std::size_t>(k) % 3];
        changed.capacity = {500 + (k * 7919) % 4500, 4000, 0};
        advance(100);
    }
    for (endpoint& place : endpoints_) {
        place.capacity = {4000, 4000, 0};
    }
    advance(30'000);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        EXPECT_EQ(jobs_.phase(id), job_phase::complete) << id;
    }
}

} // namespace
} // namespace dragonflymount::jobs::test
