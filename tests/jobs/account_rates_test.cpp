// Rates of client accounts: one account sends many times its usual.
#include "tests/jobs/leading_engine.hpp"

namespace dragonflymount::jobs::test {
namespace {

TEST(account_rates, admit_a_burst_and_then_the_rate) {
    account_rates rates;
    int within = 0;
    // 50 jobs a second for 3 s, at a rate of 10.
    for (std::uint64_t ms = 0; ms < 3000; ms += 20) {
        within += rates.spend("a", 10, first_time_ms + ms) ? 1 : 0;
    }
    EXPECT_GE(within, 10 + 29);
    EXPECT_LE(within, 10 + 30);
}

TEST(account_rates, are_counted_for_each_account) {
    account_rates rates;
    EXPECT_TRUE(rates.spend("a", 1, first_time_ms));
    EXPECT_FALSE(rates.spend("a", 1, first_time_ms));
    EXPECT_TRUE(rates.spend("b", 1, first_time_ms));
}

TEST(account_rates, admit_a_single_job_at_any_weight) {
    account_rates rates;
    EXPECT_TRUE(rates.spend("slow", 0.1, first_time_ms));
    EXPECT_FALSE(rates.spend("slow", 0.1, first_time_ms + 5000));
    EXPECT_TRUE(rates.spend("slow", 0.1, first_time_ms + 10'100));
    EXPECT_TRUE(rates.spend("none", 0, first_time_ms));
    EXPECT_TRUE(rates.spend("none", 0, first_time_ms));
    EXPECT_TRUE(rates.spend("huge", 1e300, first_time_ms));
}

TEST(account_rates, survive_a_time_that_goes_back) {
    account_rates rates;
    EXPECT_TRUE(rates.spend("a", 1, first_time_ms));
    EXPECT_FALSE(rates.spend("a", 1, first_time_ms - 5000));
}

// The objective of the test's queue, 3 s after a job was accepted, is missed by
// then; what ends within three times of it isn't useless yet.
constexpr std::uint64_t late_after_ms = 4000;

class hot_account : public leading_engine {
protected:
    hot_account() {
        auto catalogue = std::make_unique<wire::CatalogueT>(make_catalogue(2));
        catalogue->teams[0]->weight = 2;
        auto other = std::make_unique<wire::JobTeamT>(*catalogue->teams[0]);
        other->name = "other";
        other->keys = {"other key"};
        catalogue->teams.push_back(std::move(other));
        wire::JobBatchT batch;
        batch.catalogue = std::move(catalogue);
        jobs_.apply(std::move(batch));
    }
    void submit(std::uint64_t id, const std::string& team) {
        jobs_.submit(job_builder(id).team(team).step(1, 4000).build());
    }
    /// Six jobs of one account, of which two are within its rate, and then one
    /// of another.
    void submit_burst() {
        for (std::uint64_t id = 1; id <= 6; ++id) {
            submit(id, "team");
        }
        jobs_.time_ms += 100;
        submit(7, "other");
        EXPECT_FALSE(is_beyond(2));
        EXPECT_TRUE(is_beyond(3));
        EXPECT_FALSE(is_beyond(7));
    }
    bool is_beyond(std::uint64_t id) const {
        return jobs_.agreed.find_job(job_id(id))->beyond_rate;
    }
    /// \returns the jobs in the order in which a VM with room for one at a time
    /// serves them.
    std::vector<std::uint64_t> serve(std::size_t count) {
        std::vector<std::uint64_t> served;
        for (std::uint64_t sequence = 1; served.size() < count; ++sequence) {
            report(make_report("e1", sequence));
            advance(50);
            const auto* load = jobs_.agreed.load_of({"e1", 1});
            if (load == nullptr) {
                break;
            }
            const run_ref run = load->runs.front();
            served.push_back(run.task.job.value());
            jobs_.end(run.task, run.run, wire::run_end::done);
        }
        return served;
    }
};

TEST_F(hot_account, goes_behind_the_others_once_all_are_late) {
    submit_burst();
    jobs_.time_ms += late_after_ms;
    wire::JobBatchT nothing;
    jobs_.apply(std::move(nothing));
    EXPECT_EQ(serve(7), (std::vector<std::uint64_t>{1, 2, 7, 3, 4, 5, 6}));
}

TEST_F(hot_account, keeps_its_place_while_all_can_be_in_time) {
    submit_burst();
    EXPECT_EQ(serve(7), (std::vector<std::uint64_t>{1, 2, 3, 4, 5, 6, 7}));
}

// A job that is handed in again, after a lost reply, counts once.
TEST_F(hot_account, is_not_charged_for_repeated_calls) {
    for (int sent = 0; sent < 5; ++sent) {
        submit(1, "team");
    }
    submit(2, "team");
    EXPECT_FALSE(is_beyond(2));
}

TEST_F(hot_account, is_known_to_the_next_leader) {
    submit(1, "team");
    submit(2, "team");
    state loaded;
    ASSERT_TRUE(loaded.load(jobs_.agreed.save()));
    wire::JobBatchT batch;
    batch.time_ms = jobs_.time_ms;
    batch.submitted.push_back(job_builder(3).step(1).build());
    loaded.apply(log_index(100), wire::encode_command(std::move(batch)));
    EXPECT_TRUE(loaded.find_job(job_id(3))->beyond_rate);
}

} // namespace
} // namespace dragonflymount::jobs::test
