// Checks the final answer to a request whose task failed or whose VM was lost.
#include "dragonflymount/zone.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::zone {
namespace {

using std::chrono::seconds;

class coordinator_answer_test : public testing::Test {
protected:
    void SetUp() override {
        const auto parsed = rules::parse("pool p size=1 # M\n"
                                         "service s pool=p expected=1s # M\n"
                                         "team a share=100% limit=8 # M\n");
        ASSERT_TRUE(parsed.ok()) << parsed.message();
        rules_ = parsed.rules;
        wire::AnnounceT announce;
        announce.vm = "vm";
        announce.rack = "r";
        announce.slots = 1;
        announce.connections = 8;
        announce.zone_epoch = 1;
        coordinator_.announce(announce, now_);
        lease();
        now_ += seconds(20);
        coordinator_.announce(announce, now_);
        lease();
        coordinator_.tick(now_);
    }

    void lease() {
        wire::EntryLeaseT lease;
        lease.zone_epoch = 1;
        lease.zone_lease_ms = 100'000;
        auto part = std::make_unique<wire::GrantStateT>();
        part->team = "a";
        part->amount = part->target = 8;
        part->sequence = 1;
        lease.grants.push_back(std::move(part));
        auto assignment = std::make_unique<wire::AssignmentT>();
        assignment->vm = "vm";
        assignment->pool = "p";
        assignment->epoch = 1;
        lease.assignments.push_back(std::move(assignment));
        coordinator_.receive(lease, rules_, now_, now_);
    }

    void submit() {
        wire::SubmitT submit;
        submit.request = std::make_unique<wire::RequestT>();
        submit.request->team = "a";
        submit.request->id = "1";
        submit.request->service = "s";
        submit.request->idempotent = true;
        submit.request->deadline_ms = 60'000;
        submit.request->body = {1};
        coordinator_.submit(origin_id(1), submit, now_);
    }

    std::uint64_t started_task() {
        for (const coordinator_action& action : coordinator_.take_actions()) {
            const auto* order = std::get_if<send_endpoint>(&action);
            if (order != nullptr && order->content.body.AsStartTask()) {
                return order->content.body.AsStartTask()->task;
            }
        }
        return 0;
    }

    wire::outcome final_outcome() {
        for (const coordinator_action& action : coordinator_.take_actions()) {
            const auto* answer = std::get_if<send_origin>(&action);
            if (answer != nullptr && answer->content.body.AsAnswer()) {
                return answer->content.body.AsAnswer()->outcome;
            }
        }
        return wire::outcome::none;
    }

    rules::rule_set rules_;
    instant now_ = instant() + seconds(100);
    coordinator coordinator_{{}, zone_epoch(1), now_};
};

TEST_F(coordinator_answer_test, lost_attempt_is_answered_as_unknown) {
    submit();
    ASSERT_NE(started_task(), 0U);
    coordinator_.disconnect(vm_id("vm"));
    now_ += seconds(20);
    coordinator_.tick(now_);
    now_ += seconds(60);
    coordinator_.tick(now_);
    EXPECT_EQ(final_outcome(), wire::outcome::unknown);
}

TEST_F(coordinator_answer_test, failed_idempotent_request_is_retried) {
    submit();
    wire::TaskEndedT ended;
    ended.task = started_task();
    ASSERT_NE(ended.task, 0U);
    coordinator_.receive(vm_id("vm"), ended, now_);
    const std::uint64_t again = started_task();
    EXPECT_NE(again, 0U);
    EXPECT_NE(again, ended.task);
}

TEST_F(coordinator_answer_test, failed_attempt_is_answered_as_failed) {
    submit();
    wire::TaskEndedT ended;
    ended.task = started_task();
    coordinator_.disconnect(vm_id("vm"));
    coordinator_.receive(vm_id("vm"), ended, now_);
    now_ += seconds(61);
    coordinator_.tick(now_);
    EXPECT_EQ(final_outcome(), wire::outcome::failed);
}

} // namespace
} // namespace dragonflymount::zone
