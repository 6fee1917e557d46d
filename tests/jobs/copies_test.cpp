// Copies of lagging tasks whose step allows several runs at once.
#include "tests/jobs/leading_engine.hpp"

namespace dragonflymount::jobs::test {
namespace {

class lagging_task : public leading_engine {
protected:
    void submit(bool speculative) {
        auto job = job_builder(7).step(1, 4000).build();
        job->spec->steps[0]->speculative = speculative;
        jobs_.submit(std::move(job));
    }
    // Its task of 1 s makes 1 % of progress in 200 ms at "e1".
    void lag(std::uint32_t until_percent) {
        for (; percent_ <= until_percent; ++percent_) {
            orders_of_first_ = &report(running(++sequence_, task(7), percent_));
            advance(200);
        }
    }
    void start_first() {
        report(make_report("e1", ++sequence_));
        advance(10);
        ASSERT_EQ(runs(), 1U);
    }
    void add_second_endpoint() { report(make_report("e2", ++sequence_)); }
    std::size_t runs() const {
        return jobs_.agreed.find_task(task(7)).task->runs.size();
    }

    std::uint64_t sequence_ = 0;
    std::uint32_t percent_ = 1;
    std::optional<endpoint_orders>* orders_of_first_ = nullptr;
};

TEST_F(lagging_task, gets_a_copy_and_runs_on) {
    submit(true);
    start_first();
    lag(4);
    add_second_endpoint();
    lag(6);
    EXPECT_EQ(runs(), 2U);
    EXPECT_EQ(engine_.copies_started(), 1U);
    ASSERT_TRUE(*orders_of_first_);
    EXPECT_TRUE((*orders_of_first_)->stops.empty());
    lag(12);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(lagging_task, is_stopped_once_its_copy_is_done) {
    submit(true);
    start_first();
    lag(4);
    add_second_endpoint();
    lag(6);
    ASSERT_EQ(runs(), 2U);
    jobs_.end(task(7), 2, wire::run_end::done, 0, {"e2", 1});
    EXPECT_EQ(jobs_.phase(7), wire::job_phase::complete);
    lag(7);
    ASSERT_TRUE(*orders_of_first_);
    EXPECT_EQ((*orders_of_first_)->stops, (std::vector<run_ref>{{task(7), 1}}));
}

TEST_F(lagging_task, runs_on_if_its_copy_is_lost) {
    submit(true);
    start_first();
    lag(4);
    add_second_endpoint();
    lag(6);
    ASSERT_EQ(runs(), 2U);
    engine_.endpoints().end_life({"e2", 1});
    lag(7);
    EXPECT_EQ(runs(), 1U);
    EXPECT_EQ(jobs_.phase(7), wire::job_phase::active);
}

TEST_F(lagging_task, gets_no_copy_on_its_own_endpoint) {
    submit(true);
    start_first();
    lag(12);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(lagging_task, gets_no_copy_while_others_wait_for_room) {
    submit(true);
    start_first();
    lag(4);
    jobs_.submit(job_builder(8).step(2, 4000).build());
    add_second_endpoint();
    lag(6);
    EXPECT_EQ(runs(), 1U);
    EXPECT_FALSE(jobs_.agreed.find_task(task(8)).task->runs.empty());
}

TEST_F(lagging_task, is_moved_if_its_step_allows_no_copies) {
    submit(false);
    start_first();
    lag(4);
    add_second_endpoint();
    lag(6);
    EXPECT_EQ(engine_.copies_started(), 0U);
    ASSERT_TRUE(*orders_of_first_);
    EXPECT_FALSE((*orders_of_first_)->stops.empty());
}

TEST_F(lagging_task, keeps_its_copy_under_a_new_leader) {
    submit(true);
    start_first();
    lag(4);
    add_second_endpoint();
    lag(6);
    ASSERT_EQ(runs(), 2U);
    engine_.resign();
    engine_.lead(log_term(4), now_);
    lag(9);
    EXPECT_EQ(runs(), 2U);
}

class lagging_tasks : public leading_engine {
protected:
    // Two tasks of three run at "e1" and lag, the third runs well at "e2".
    void lag() {
        for (std::uint32_t percent = 1; percent <= 8; ++percent) {
            endpoint_report first = make_report("e1", percent + 1);
            add_running(first, 0, percent);
            add_running(first, 1, percent);
            report(first);
            endpoint_report second = make_report("e2", percent + 1);
            add_running(second, 2, percent * 11);
            report(second);
            advance(200);
        }
    }
    static void add_running(
        endpoint_report& made, std::uint32_t index, std::uint32_t percent) {
        running_task listed;
        listed.run = {task(7, 0, index), 1};
        listed.percent = percent;
        made.running.push_back(listed);
    }
};

// Guards against copies that crowd an endpoint: each of two in one round
// counted only the runs that were agreed before.
TEST_F(lagging_tasks, get_no_more_copies_than_their_step_may_have_together) {
    auto job = job_builder(7).step(3).anti_affinity(2).build();
    job->spec->steps[0]->speculative = true;
    jobs_.submit(std::move(job));
    report(make_report("e1", 1));
    advance(10);
    report(make_report("e2", 1));
    advance(10);
    ASSERT_EQ(jobs_.agreed.load_of({"e1", 1})->runs.size(), 2U);
    ASSERT_EQ(jobs_.agreed.load_of({"e2", 1})->runs.size(), 1U);
    lag();
    EXPECT_EQ(engine_.copies_started(), 1U);
    EXPECT_EQ(jobs_.agreed.load_of({"e2", 1})->runs.size(), 2U);
}

// As above, with a task that is started again in the same round.
TEST_F(lagging_tasks, count_the_starts_beside_their_copies) {
    auto job = job_builder(7).step(3).anti_affinity(2).build();
    job->spec->steps[0]->speculative = true;
    jobs_.submit(std::move(job));
    jobs_.start(task(7, 0, 0), 1);
    jobs_.start(task(7, 0, 1), 1);
    jobs_.start(task(7, 0, 2), 1, {"e2", 1});
    std::uint32_t sequence = 0;
    for (std::uint32_t percent = 1; percent <= 3; ++percent) {
        endpoint_report first = make_report("e1", ++sequence);
        add_running(first, 0, percent);
        add_running(first, 1, percent * 20);
        report(first);
        endpoint_report second = make_report("e2", sequence);
        add_running(second, 2, percent * 11);
        report(second);
        advance(200);
    }
    // From this report on, one task lags and the other one has failed.
    endpoint_report last = make_report("e1", ++sequence);
    add_running(last, 0, 4);
    last.ended.push_back({1, {task(7, 0, 1), 1}, wire::run_end::failed, ""});
    report(last);
    EXPECT_EQ(jobs_.agreed.load_of({"e2", 1})->runs.size(), 2U);
    EXPECT_EQ(engine_.copies_started(), 0U);
}

} // namespace
} // namespace dragonflymount::jobs::test
