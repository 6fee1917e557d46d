// Evacuations of zones: what is agreed, what starts, and what moves away.
#include "tests/jobs/leading_engine.hpp"
#include "tests/jobs/vm_orders.hpp"

namespace dragonflymount::jobs::test {
namespace {

wire::EvacuationChangeT change_of(const std::string& zone, bool ends = false) {
    wire::EvacuationChangeT change;
    change.zone = zone;
    change.ends = ends;
    return change;
}

void apply(agreed_jobs& jobs, const wire::EvacuationChangeT& change) {
    wire::JobBatchT batch;
    batch.evacuations.push_back(
        std::make_unique<wire::EvacuationChangeT>(change));
    jobs.apply(std::move(batch));
}

const availability_zone_id zone_a("a");

// ---- The agreed state ------------------------------------------------------

TEST(evacuated_zones, keep_the_time_of_the_first_request) {
    agreed_jobs jobs;
    apply(jobs, change_of("a"));
    jobs.time_ms += 1000;
    apply(jobs, change_of("a"));
    EXPECT_EQ(jobs.agreed.evacuated_zones().zones().at(zone_a).since_ms,
        first_time_ms);
    apply(jobs, change_of("a", true));
    apply(jobs, change_of("a", true));
    EXPECT_TRUE(jobs.agreed.evacuated_zones().empty());
}

TEST(evacuated_zones, are_part_of_an_image) {
    agreed_jobs jobs;
    apply(jobs, change_of("a"));
    state loaded;
    ASSERT_TRUE(loaded.load(jobs.agreed.save()));
    EXPECT_EQ(
        loaded.evacuated_zones().zones().at(zone_a).since_ms, first_time_ms);
    EXPECT_EQ(loaded.save(), jobs.agreed.save());
}

TEST(evacuated_zones, are_none_in_an_image_of_a_former_version) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::CreateSchedulerImage(builder, 17));
    state loaded;
    ASSERT_TRUE(loaded.load({builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()}));
    EXPECT_EQ(loaded.time_ms(), 17U);
    EXPECT_TRUE(loaded.evacuated_zones().empty());
}

// ---- Starts ----------------------------------------------------------------

class evacuation : public leading_engine {
protected:
    endpoint_report report_of(const std::string& endpoint,
        const std::string& zone, std::uint64_t sequence) {
        endpoint_report made = make_report(endpoint, sequence);
        made.zone = availability_zone_id(zone);
        return made;
    }
    /// \returns where it is noted whether the change was committed.
    std::optional<bool>& evacuate(const wire::EvacuationChangeT& change) {
        outcomes_.emplace_back();
        auto& place = outcomes_.back();
        engine_.evacuate(
            change, [&place](bool committed) { place = committed; });
        return place;
    }
    bool is_evacuated() const {
        return jobs_.agreed.evacuated_zones().contains(zone_a);
    }
    void commit(wire::JobBatchT batch) {
        jobs_.apply(std::move(batch));
        engine_.batch_done(true, now_);
    }
    std::vector<std::string> started_at(std::uint64_t job) const {
        std::vector<std::string> endpoints;
        for (const auto& [life, load] : jobs_.agreed.loads()) {
            for (const run_ref& run : load.runs) {
                if (run.task.job == job_id(job)) {
                    endpoints.push_back(life.endpoint);
                }
            }
        }
        return endpoints;
    }

    std::list<std::optional<bool>> outcomes_;
};

TEST_F(evacuation, is_acknowledged_only_once_agreed) {
    const auto& outcome = evacuate(change_of("a"));
    auto batch = engine_.take_batch(now_, jobs_.time_ms);
    ASSERT_TRUE(batch);
    EXPECT_FALSE(outcome);
    commit(std::move(*batch));
    EXPECT_EQ(outcome, true);
    EXPECT_EQ(evacuate(change_of("a")), true);
}

TEST_F(evacuation, is_not_acknowledged_when_the_lead_is_lost) {
    const auto& waiting = evacuate(change_of("a"));
    ASSERT_TRUE(engine_.take_batch(now_, jobs_.time_ms));
    const auto& queued = evacuate(change_of("b"));
    engine_.resign();
    EXPECT_EQ(waiting, false);
    EXPECT_EQ(queued, false);
}

// Two operators: the evacuation is under way when the other one withdraws it,
// although the agreed state is as the withdrawal wants it.
TEST_F(evacuation, ends_by_a_withdrawal_that_comes_before_it_is_agreed) {
    evacuate(change_of("a"));
    auto batch = engine_.take_batch(now_, jobs_.time_ms);
    const auto& withdrawn = evacuate(change_of("a", true));
    EXPECT_FALSE(withdrawn);
    commit(std::move(*batch));
    EXPECT_TRUE(is_evacuated());
    EXPECT_FALSE(withdrawn);
    settle();
    EXPECT_EQ(withdrawn, true);
    EXPECT_FALSE(is_evacuated());
}

TEST_F(evacuation, counts_the_last_of_several_requests_in_one_batch) {
    evacuate(change_of("a"));
    evacuate(change_of("a", true));
    evacuate(change_of("a"));
    settle();
    EXPECT_TRUE(is_evacuated());
}

TEST_F(evacuation, starts_tasks_in_other_zones_only) {
    evacuate(change_of("a"));
    settle();
    report(report_of("e1", "a", 1));
    report(report_of("e2", "b", 1));
    jobs_.submit(job_builder(7).step(3).build());
    advance(100);
    EXPECT_EQ(started_at(7), (std::vector<std::string>(3, "e2")));
}

TEST_F(evacuation, of_the_last_zone_lets_tasks_wait_until_it_ends) {
    report(report_of("e1", "a", 1));
    evacuate(change_of("a"));
    settle();
    jobs_.submit(job_builder(7).step(1).build());
    advance(100);
    EXPECT_TRUE(started_at(7).empty());
    EXPECT_EQ(jobs_.phase(7), wire::job_phase::active);
    evacuate(change_of("a", true));
    settle();
    EXPECT_EQ(started_at(7), std::vector<std::string>{"e1"});
}

// The start is agreed, and its endpoint's report waits for no reply: the
// evacuation comes before the start is sent.
TEST_F(evacuation, sends_no_start_that_was_agreed_before) {
    report(report_of("e1", "a", 1));
    report(report_of("e1", "a", 2));
    jobs_.submit(job_builder(7).step(1).build());
    jobs_.start(task(7), 1);
    evacuate(change_of("a"));
    settle();
    const auto& orders = report(report_of("e1", "a", 3));
    advance(1000);
    ASSERT_TRUE(orders);
    EXPECT_TRUE(orders->starts.empty());
    EXPECT_TRUE(started_at(7).empty());
    report(report_of("e2", "b", 1));
    advance(100);
    EXPECT_EQ(started_at(7), std::vector<std::string>{"e2"});
}

TEST_F(evacuation, holds_under_a_new_leader) {
    evacuate(change_of("a"));
    settle();
    engine next(jobs_.agreed, engine_options{});
    next.lead(log_term(4), now_);
    next.report(
        report_of("e1", "a", 1), [](const auto&) {}, now_);
    jobs_.submit(job_builder(7).step(1).build());
    next.tick(now_);
    auto batch = next.take_batch(now_, jobs_.time_ms);
    EXPECT_TRUE(!batch || batch->started.empty());
}

TEST_F(evacuation, stops_a_gang_of_which_a_member_does_not_start) {
    report(report_of("e1", "a", 1));
    report(report_of("e2", "b", 1));
    jobs_.submit(job_builder(7).step(2).gang().build());
    jobs_.start(task(7, 0, 0), 1, {"e1", 1});
    jobs_.start(task(7, 0, 1), 1, {"e2", 1});
    evacuate(change_of("a"));
    settle();
    endpoint_report begun = report_of("e2", "b", 2);
    running_task member;
    member.run = {task(7, 0, 1), 1};
    begun.running.push_back(member);
    report(begun);
    report(report_of("e1", "a", 2));
    advance(700);
    begun.sequence = 3;
    const auto& orders = report(begun);
    advance(700);
    ASSERT_TRUE(orders);
    EXPECT_EQ(orders->stops, std::vector<run_ref>{member.run});
}

// ---- VMs -------------------------------------------------------------------

class evacuated_vms : public vm_orders {
protected:
    void report_all() {
        for (const auto& [endpoint, zone] : zones_) {
            if (moved_.contains(endpoint)) {
                continue;
            }
            endpoint_report built = make_report(endpoint, ++sequence_);
            built.zone = availability_zone_id(zone);
            if (const auto* load = jobs_.agreed.load_of(built.life)) {
                for (const run_ref& run : load->runs) {
                    running_task listed;
                    listed.run = run;
                    listed.percent = 100;
                    built.running.push_back(listed);
                }
            }
            engine_.report(
                built,
                [this, life = built.life](const auto& orders) {
                    for (const run_ref& run :
                        orders ? orders->stops : std::vector<run_ref>{}) {
                        stopped_.emplace_back(life, run);
                    }
                },
                now_);
            commit_batches();
        }
    }
    /// Advances in steps of 100 ms; stops end with the next step.
    /// \returns the most tasks of job 1 that were away at once.
    std::uint32_t run(std::int64_t ms) {
        std::uint32_t most_away = 0;
        for (std::int64_t passed = 0; passed < ms; passed += 100) {
            now_ += std::chrono::milliseconds(100);
            jobs_.time_ms += 100;
            report_all();
            for (vm_order& order : manager_.decide(now_)) {
                if (order.what == vm_order::kind::move) {
                    moved_[order.vm.str().substr(3)] = order.pool.str();
                }
                manager_.order_done(order, vm_verdict::done, now_);
            }
            engine_.tick(now_);
            commit_batches();
            for (const auto& [life, run] : std::exchange(stopped_, {})) {
                jobs_.end(run.task, run.run, wire::run_end::stopped, 0, life);
            }
            most_away = std::max(most_away, tasks_away());
        }
        return most_away;
    }
    /// \returns the tasks of job 1 that have no run.
    std::uint32_t tasks_away() const {
        const wire::JobT* job = jobs_.agreed.find_job(job_id(1));
        if (job == nullptr || job->occurrences.empty()) {
            return 0;
        }
        const auto& tasks = job->occurrences[0]->steps[0]->tasks;
        return static_cast<std::uint32_t>(std::count_if(tasks.begin(),
            tasks.end(), [](const auto& each) { return each->runs.empty(); }));
    }
    std::size_t tasks_in(const std::string& zone) const {
        std::size_t count = 0;
        for (const auto& [life, load] : jobs_.agreed.loads()) {
            count += zones_.at(life.endpoint) == zone ? load.runs.size() : 0;
        }
        return count;
    }
    void list_all() {
        std::vector<vm_record> list;
        for (const auto& [endpoint, zone] : zones_) {
            list.push_back(
                {vm_id("vm-" + endpoint), pool_id("pool"), vm_condition::up,
                    endpoint, {4000, 4000, 0}, availability_zone_id(zone)});
        }
        for (const auto& [vm, zone] : standby_) {
            list.push_back(
                {vm_id("vm-" + vm), pool_id("standby"), vm_condition::up, "",
                    {4000, 4000, 0}, availability_zone_id(zone)});
        }
        manager_.update_list(std::move(list), now_, now_);
    }

    std::map<std::string, std::string> zones_;
    std::map<std::string, std::string> standby_;
    // The pools that VMs were moved to.
    std::map<std::string, std::string> moved_;
    std::vector<std::pair<endpoint_life, run_ref>> stopped_;
};

TEST_F(evacuated_vms, move_long_running_tasks_within_the_budget) {
    zones_ = {{"e1", "a"}, {"e2", "a"}, {"e3", "b"}, {"e4", "b"}, {"e5", "b"}};
    report_all();
    list_all();
    jobs_.submit(job_builder(1).step(2).long_running(1).build());
    jobs_.start(task(1, 0, 0), 1, {"e1", 1});
    jobs_.start(task(1, 0, 1), 1, {"e2", 1});
    run(500);
    apply(jobs_, change_of("a"));
    EXPECT_EQ(run(5000), 1U);
    EXPECT_EQ(tasks_in("a"), 0U);
    EXPECT_EQ(tasks_in("b"), 2U);
}

TEST_F(evacuated_vms, keep_long_running_tasks_that_find_no_other_place) {
    zones_ = {{"e1", "a"}, {"e2", "b"}};
    report_all();
    list_all();
    jobs_.submit(job_builder(1).step(2, 3000).long_running(1).build());
    jobs_.start(task(1, 0, 0), 1, {"e1", 1});
    jobs_.start(task(1, 0, 1), 1, {"e2", 1});
    run(500);
    apply(jobs_, change_of("a"));
    EXPECT_EQ(run(3000), 0U);
    EXPECT_EQ(tasks_in("a"), 1U);
}

// Guards against tasks that are stopped for one place together: each of them
// counted only the runs that were agreed before.
TEST_F(evacuated_vms, stop_no_more_tasks_than_there_are_other_places) {
    zones_ = {{"e1", "a"}, {"e2", "a"}, {"e3", "b"}};
    report_all();
    list_all();
    jobs_.submit(job_builder(1).step(2).long_running(2).build());
    jobs_.start(task(1, 0, 0), 1, {"e1", 1});
    jobs_.start(task(1, 0, 1), 1, {"e2", 1});
    run(500);
    apply(jobs_, change_of("a"));
    EXPECT_EQ(run(5000), 1U);
    EXPECT_EQ(tasks_in("a"), 1U);
    EXPECT_EQ(tasks_in("b"), 1U);
}

TEST_F(evacuated_vms, go_to_standby_once_empty) {
    zones_ = {{"e1", "a"}, {"e2", "a"}, {"e3", "b"}};
    report_all();
    list_all();
    jobs_.submit(job_builder(1).step(1).build());
    jobs_.start(task(1), 1, {"e1", 1});
    run(500);
    apply(jobs_, change_of("a"));
    run(1000);
    EXPECT_EQ(moved_.count("e1"), 0U);
    EXPECT_EQ(moved_["e2"], "standby");
    jobs_.end(task(1), 1, wire::run_end::done);
    run(500);
    EXPECT_EQ(moved_["e1"], "standby");
    EXPECT_EQ(moved_.count("e3"), 0U);
}

TEST_F(evacuated_vms, are_not_taken_from_standby) {
    zones_ = {{"e1", "a"}, {"e2", "b"}};
    standby_ = {{"i1", "a"}, {"i2", "b"}, {"i3", "b"}};
    apply(jobs_, change_of("a"));
    report_all();
    list_all();
    jobs_.submit(job_builder(1).step(60).build());
    run(2000);
    EXPECT_EQ(moved_.count("i1"), 0U);
    EXPECT_EQ(moved_["i2"], "pool");
    EXPECT_EQ(moved_["i3"], "pool");
}

} // namespace
} // namespace dragonflymount::jobs::test
