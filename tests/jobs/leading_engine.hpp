// An engine that leads, whose batches are committed by the test.
#ifndef DRAGONFLYMOUNT_TESTS_JOBS_LEADING_ENGINE_HPP
#define DRAGONFLYMOUNT_TESTS_JOBS_LEADING_ENGINE_HPP

#include "tests/jobs/job_builder.hpp"

#include <gtest/gtest.h>

#include <list>

namespace dragonflymount::jobs::test {

/// An engine whose batches are committed by the test.
class leading_engine : public testing::Test {
protected:
    leading_engine() : engine_(jobs_.agreed, engine_options{}) {
        engine_.lead(log_term(3), now_);
    }
    /// Commits batches until the engine has no further one.
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
    /// Commits batches up to one that starts a run, and leaves that one
    /// uncommitted in \c waiting_.
    void settle_until_start() {
        while ((waiting_ = engine_.take_batch(now_, jobs_.time_ms))) {
            if (!waiting_->started.empty()) {
                return;
            }
            jobs_.apply(std::move(*waiting_));
            engine_.batch_done(true, now_);
        }
    }
    void advance(duration passed) {
        now_ += passed;
        engine_.tick(now_);
        settle();
    }
    void advance(std::int64_t ms) { advance(std::chrono::milliseconds(ms)); }
    wire::JobCallT call(
        wire::job_verb verb, std::uint64_t id, const std::string& key = "key") {
        wire::JobCallT made;
        made.verb = verb;
        made.host = "host";
        made.path = "/q/" + to_string(job_id(id));
        made.key = key;
        if (verb == wire::job_verb::submit) {
            made.spec = std::make_unique<wire::JobSpecT>(
                *job_builder(id).step(1).build()->spec);
        }
        return made;
    }
    std::optional<wire::JobReplyT>& send_call(const wire::JobCallT& made) {
        replies_.emplace_back();
        auto& place = replies_.back();
        engine_.call(made,
            [&place](wire::JobReplyT reply) { place = std::move(reply); });
        return place;
    }
    /// \returns the reply to a read of \p path, below the queue's prefix.
    wire::JobReplyT ask(const std::string& path) {
        wire::JobCallT made;
        made.verb = wire::job_verb::read;
        made.host = "host";
        made.path = "/q/" + path;
        made.key = "key";
        return *send_call(made);
    }
    /// \returns where the orders stand once the report is answered.
    std::optional<endpoint_orders>& report(const endpoint_report& made) {
        orders_.emplace_back();
        auto& place = orders_.back();
        engine_.report(
            made,
            [&place](const std::optional<endpoint_orders>& sent_orders) {
                place = sent_orders;
            },
            now_);
        settle();
        return place;
    }
    endpoint_report running(
        std::uint64_t sequence, const task_name& name, std::uint32_t percent) {
        endpoint_report made = make_report("e1", sequence);
        running_task listed;
        listed.run = {name, 1};
        listed.percent = percent;
        made.running.push_back(listed);
        return made;
    }

    agreed_jobs jobs_;
    instant now_ = at_ms(100'000);
    engine engine_;
    std::optional<wire::JobBatchT> waiting_;
    std::list<std::optional<wire::JobReplyT>> replies_;
    std::list<std::optional<endpoint_orders>> orders_;
};

} // namespace dragonflymount::jobs::test

#endif
