// An engine that leads, whose batches are committed at once.
#ifndef DRAGONFLYMOUNT_TESTS_JOBS_LEADING_ENGINE_HPP
#define DRAGONFLYMOUNT_TESTS_JOBS_LEADING_ENGINE_HPP

#include "tests/jobs/job_builder.hpp"

#include <gtest/gtest.h>

#include <list>

namespace dragonflymount::jobs::test {

class leading_engine : public testing::Test {
protected:
    leading_engine() : engine_(jobs_.agreed, engine_options{}) {
        engine_.lead(log_term(3), now_);
    }
    /// \returns where the orders stand once the report is answered.
    std::optional<endpoint_orders>& report(const endpoint_report& made) {
        auto& place = orders_.emplace_back();
        engine_.report(
            made, [&place](const auto& sent) { place = sent; }, now_);
        settle();
        return place;
    }
    void settle() {
        while (auto batch = engine_.take_batch(now_, jobs_.time_ms)) {
            jobs_.apply(std::move(*batch));
            engine_.batch_done(true, now_);
        }
    }
    void advance(duration passed) {
        now_ += passed;
        engine_.tick(now_);
        settle();
    }
    /// \returns the reply to a read of \p path, below the queue's prefix.
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

    agreed_jobs jobs_;
    instant now_ = at_ms(100'000);
    engine engine_;

private:
    std::list<std::optional<endpoint_orders>> orders_;
};

} // namespace dragonflymount::jobs::test

#endif
