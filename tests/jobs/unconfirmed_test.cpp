// What callers are told of jobs whose first start hasn't reached its endpoint.
#include "tests/jobs/job_builder.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::jobs::test {
namespace {

/// An engine with one waiting job, 7, and the endpoint e1.
class waiting_job : public testing::Test {
protected:
    waiting_job() : engine_(jobs_.agreed, engine_options{}) {
        engine_.lead(log_term(3), now_);
        jobs_.submit(job_builder(7).step(1).build());
        report(make_report("e1", 1));
    }
    void report(const endpoint_report& made) {
        engine_.report(
            made, [](const auto&) {}, now_);
        settle();
    }
    void settle() {
        while (auto batch = engine_.take_batch(now_, jobs_.time_ms)) {
            jobs_.apply(std::move(*batch));
            engine_.batch_done(true, now_);
        }
    }
    endpoint_report second_report() const { return make_report("e1", 2); }
    wire::JobReplyT ask(const std::string& path) {
        wire::JobCallT call;
        call.verb = wire::job_verb::read;
        call.host = "host";
        call.path = "/q/" + path;
        call.key = "key";
        wire::JobReplyT answer;
        engine_.call(
            call, [&](wire::JobReplyT reply) { answer = std::move(reply); });
        return answer;
    }
    std::uint32_t pending() { return ask("").pending; }

    const run_ref first_run_{task(7), 1};
    agreed_jobs jobs_;
    instant now_ = at_ms(100'000);
    engine engine_;
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
