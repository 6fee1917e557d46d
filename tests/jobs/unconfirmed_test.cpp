// What callers are told of jobs whose first start hasn't reached its endpoint.
#include "tests/jobs/leading_engine.hpp"

namespace dragonflymount::jobs::test {
namespace {

/// An engine with one waiting job, 7, and the endpoint e1.
class waiting_job : public leading_engine {
protected:
    waiting_job() {
        jobs_.submit(job_builder(7).step(1).build());
        report(make_report("e1", 1));
    }
    endpoint_report second_report() const { return make_report("e1", 2); }
    std::uint32_t pending() { return ask("").pending; }

    const run_ref first_run_{task(7), 1};
};

TEST_F(waiting_job, is_pending_while_its_start_has_not_reached_the_endpoint) {
    ASSERT_NE(jobs_.agreed.find_run(first_run_), nullptr);
    EXPECT_EQ(pending(), 1U);
    EXPECT_FALSE(ask(to_string(job_id(7))).begun);
}

TEST_F(waiting_job, is_not_pending_once_the_endpoint_lists_its_run) {
    endpoint_report made = second_report();
    made.running.push_back({first_run_, "", 0, 0});
    report(made);
    EXPECT_EQ(pending(), 0U);
    EXPECT_TRUE(ask(to_string(job_id(7))).begun);
}

TEST_F(waiting_job, is_pending_while_its_run_was_only_refused) {
    endpoint_report made = second_report();
    made.ended.push_back({1, first_run_, wire::run_end::refused, ""});
    report(made);
    EXPECT_EQ(pending(), 1U);
}

TEST_F(waiting_job, is_pending_under_the_next_leader_too) {
    engine_.lead(log_term(4), now_);
    EXPECT_EQ(pending(), 1U);
    endpoint_report made = second_report();
    made.running.push_back({first_run_, "", 0, 0});
    report(made);
    EXPECT_EQ(pending(), 0U);
}

TEST_F(waiting_job, is_not_pending_after_its_cancelling) {
    jobs_.cancel(7);
    EXPECT_EQ(pending(), 0U);
}

} // namespace
} // namespace dragonflymount::jobs::test
