// Waits for a near place: many jobs want the same rack, which is full.
#include "tests/jobs/leading_engine.hpp"

namespace dragonflymount::jobs::test {
namespace {

// ---- The decision ----------------------------------------------------------

TEST(place_wait, pays_while_the_task_ends_earlier) {
    EXPECT_TRUE(wait_pays({500, 1000, 3, 0}));
    EXPECT_FALSE(wait_pays({500, 100, 3, 0}));
    EXPECT_FALSE(wait_pays({500, 1000, 1, 0}));
    EXPECT_FALSE(wait_pays({500, 1000, 1.5, 0}));
}

TEST(place_wait, is_bounded_however_long_the_task_runs) {
    EXPECT_TRUE(wait_pays({1000, 100'000, 3, 0}));
    EXPECT_FALSE(wait_pays({2000, 100'000, 3, 0}));
    EXPECT_FALSE(wait_pays({1000, 100'000, 3, 1000}));
}

TEST(rack_forecast, finds_the_first_release_that_makes_enough_room) {
    rack_forecast forecast;
    forecast.add_endpoint({500, 0, 0},
        {{900, {1000, 0, 0}}, {300, {400, 0, 0}}, {600, {500, 0, 0}}});
    EXPECT_EQ(forecast.earliest({500, 0, 0})->in_ms, 0);
    EXPECT_EQ(forecast.earliest({900, 0, 0})->in_ms, 300);
    EXPECT_EQ(forecast.earliest({1400, 0, 0})->in_ms, 600);
    EXPECT_EQ(forecast.earliest({2400, 0, 0})->in_ms, 900);
    EXPECT_FALSE(forecast.earliest({2500, 0, 0}));
    EXPECT_FALSE(rack_forecast().earliest({1, 0, 0}));
}

TEST(rack_forecast, gives_the_next_task_a_longer_wait) {
    rack_forecast forecast;
    forecast.add_endpoint({}, {{100, {1000, 0, 0}}});
    forecast.add_endpoint({}, {{200, {1000, 0, 0}}});
    const resources need{1000, 0, 0};
    std::vector<double> waits;
    for (int k = 0; k < 4; ++k) {
        const auto place = forecast.earliest(need);
        ASSERT_TRUE(place);
        waits.push_back(place->in_ms);
        forecast.book(*place, need, 1000);
    }
    EXPECT_EQ(waits[0], 100);
    EXPECT_EQ(waits[1], 200);
    EXPECT_GE(waits[2], 1100);
    EXPECT_GE(waits[3], waits[2]);
}

// ---- Under load and under failure ------------------------------------------

engine_options waiting_options() {
    engine_options options;
    options.remote_factor = 3;
    return options;
}

class waiting_tasks : public testing::Test {
protected:
    waiting_tasks() : engine_(jobs_.agreed, waiting_options()) {
        engine_.lead(log_term(3), now_);
    }
    // "near" has one VM, "far" another; each has room for four tasks.
    void report(const std::string& rack, std::uint32_t percent = 0) {
        endpoint_report made = make_report(rack, ++sequence_);
        made.labels = {"kind", rack};
        if (const auto* load = jobs_.agreed.load_of(made.life)) {
            for (const run_ref& run : load->runs) {
                running_task listed;
                listed.run = run;
                listed.percent = percent;
                made.running.push_back(listed);
            }
        }
        engine_.report(
            made, [](const auto&) {}, now_);
        settle();
    }
    void settle() {
        for (int k = 0; k < 10; ++k) {
            auto batch = engine_.take_batch(now_, jobs_.time_ms);
            if (!batch) {
                return;
            }
            jobs_.apply(std::move(*batch));
            engine_.batch_done(true, now_);
        }
    }
    void advance(std::int64_t ms) {
        now_ += std::chrono::milliseconds(ms);
        jobs_.time_ms += static_cast<std::uint64_t>(ms);
        engine_.tick(now_);
        settle();
    }
    void submit(std::uint64_t id, std::uint32_t tasks, const std::string& rack,
        std::uint32_t run_ms) {
        auto job = job_builder(id).step(tasks).build();
        job->spec->steps[0]->preferred_rack = rack;
        job->spec->steps[0]->estimate_ms = run_ms;
        jobs_.submit(std::move(job));
    }
    /// Fills the near VM with tasks that run for \p run_ms.
    void fill_near(std::uint32_t run_ms) {
        report("near");
        submit(100, 4, "near", run_ms);
        advance(1);
        ASSERT_EQ(count_at(100, "near"), 4U);
        report("near");
        report("far");
    }
    std::size_t count_at(std::uint64_t job, const std::string& rack) const {
        const auto* load = jobs_.agreed.load_of({rack, 1});
        return load == nullptr
            ? 0
            : static_cast<std::size_t>(std::count_if(load->runs.begin(),
                  load->runs.end(), [&](const run_ref& run) {
                      return run.task.job == job_id(job);
                  }));
    }
    void end_near_tasks() {
        for (std::uint32_t k = 0; k < 4; ++k) {
            jobs_.end(task(100, 0, k), 1, wire::run_end::done, 0, {"near", 1});
        }
    }

    agreed_jobs jobs_;
    instant now_ = at_ms(100'000);
    engine engine_;
    std::uint64_t sequence_ = 0;
};

TEST_F(waiting_tasks, start_near_their_data_once_it_has_room) {
    fill_near(400);
    submit(1, 2, "near", 1000);
    advance(100);
    EXPECT_EQ(count_at(1, "far"), 0U);
    EXPECT_EQ(engine_.steps_waited(), 1U);
    end_near_tasks();
    report("near");
    advance(40);
    EXPECT_EQ(count_at(1, "near"), 2U);
}

TEST_F(waiting_tasks, start_elsewhere_if_the_rack_stays_full) {
    fill_near(5000);
    submit(1, 2, "near", 1000);
    advance(100);
    EXPECT_EQ(count_at(1, "far"), 2U);
    EXPECT_EQ(engine_.steps_waited(), 0U);
}

// Of a long queue for the rack only those wait who get a place soon.
TEST_F(waiting_tasks, are_only_as_many_as_the_rack_can_take) {
    fill_near(400);
    submit(1, 8, "near", 1000);
    advance(100);
    EXPECT_EQ(count_at(1, "far"), 4U);
}

// The runs near the data overrun their declared time by far.
TEST_F(waiting_tasks, wait_no_longer_than_the_bound) {
    fill_near(400);
    submit(1, 1, "near", 1000);
    for (int passed = 0; passed < 1600; passed += 100) {
        report("near");
        report("far");
        advance(100);
    }
    EXPECT_EQ(count_at(1, "far"), 1U);
}

TEST_F(waiting_tasks, do_not_wait_for_an_endpoint_that_is_lost) {
    fill_near(400);
    submit(1, 1, "near", 1000);
    advance(100);
    ASSERT_EQ(count_at(1, "far"), 0U);
    engine_.endpoints().end_life({"near", 1});
    advance(100);
    EXPECT_EQ(count_at(1, "far"), 1U);
}

TEST_F(waiting_tasks, start_under_a_new_leader) {
    fill_near(400);
    submit(1, 1, "near", 1000);
    advance(1000);
    ASSERT_EQ(count_at(1, "far"), 0U);
    engine_.resign();
    engine_.lead(log_term(4), now_);
    for (int passed = 0; passed < 1700; passed += 100) {
        report("near");
        report("far");
        advance(100);
    }
    EXPECT_EQ(count_at(1, "far"), 1U);
}

TEST_F(waiting_tasks, go_to_a_rack_that_takes_the_whole_group) {
    report("near");
    report("far");
    submit(100, 2, "", 1000);
    jobs_.start(task(100, 0, 0), 1, {"far", 1});
    jobs_.start(task(100, 0, 1), 1, {"far", 1});
    auto job = job_builder(1).step(4).build();
    job->spec->steps[0]->rack_local = true;
    jobs_.submit(std::move(job));
    advance(10);
    EXPECT_EQ(count_at(1, "near"), 4U);
}

TEST(waiting_tasks_without_a_factor, do_not_wait) {
    EXPECT_EQ(engine_options{}.remote_factor, 1);
    EXPECT_FALSE(wait_pays({0, 1000, engine_options{}.remote_factor, 0}));
}

} // namespace
} // namespace dragonflymount::jobs::test
