// Tests that the replicated state refuses conflicting changes, repeats the
// reply to a resent submission, respects limits and grants a claim only once.
#include "dragonflymount/control.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::control {
namespace {

const std::string rules_text = "pool sync size=2 # M\n"
                               "service timing pool=sync # M\n"
                               "team archive share=100% limit=5 # M\n";

class state_test : public testing::Test {
protected:
    template <class Content>
    wire::ProposeReplyT apply(Content content) {
        index_ = index_.next();
        return state_.apply(index_, wire::encode_command(std::move(content)));
    }

    wire::ProposeReplyT apply_rules(std::uint64_t base,
        const std::string& submission, const std::string& text = rules_text) {
        wire::ApplyRulesT command;
        command.base_version = base;
        command.text = text;
        command.author = "Mette";
        command.submission = submission;
        return apply(std::move(command));
    }

    zone_epoch appoint(const std::string& zone) {
        wire::AppointCoordinatorT command;
        command.zone = zone;
        command.entry = "e1";
        const auto held =
            state_.coordinators().find(availability_zone_id(zone));
        command.epoch = held == state_.coordinators().end()
            ? 0
            : held->second.epoch.value();
        apply(command);
        return state_.coordinators().at(availability_zone_id(zone)).epoch;
    }

    wire::ProposeReplyT set_grant(
        const std::string& zone, zone_epoch epoch, std::uint32_t amount) {
        wire::SetGrantT command;
        command.zone = zone;
        command.team = "archive";
        command.amount = amount;
        command.zone_epoch = epoch.value();
        const auto held = state_.grants().find(
            {availability_zone_id(zone), team_id("archive")});
        command.sequence =
            held == state_.grants().end() ? 0 : held->second.sequence.value();
        return apply(command);
    }

    wire::ProposeReplyT claim(const std::string& zone, zone_epoch epoch,
        std::uint64_t task, bool clean = false) {
        wire::ClaimBatchT batch;
        batch.zone = zone;
        batch.zone_epoch = epoch.value();
        batch.clean = clean;
        auto wanted = std::make_unique<wire::ClaimT>();
        wanted->team = "archive";
        wanted->id = "r1";
        wanted->task = task;
        batch.claims.push_back(std::move(wanted));
        return apply(std::move(batch));
    }

    void end_claim(const std::string& zone, std::uint64_t task) {
        wire::EndClaimsT command;
        command.zone = zone;
        auto end = std::make_unique<wire::ClaimEndT>();
        end->team = "archive";
        end->id = "r1";
        end->task = task;
        end->outcome = wire::outcome::not_run;
        command.ends.push_back(std::move(end));
        apply(std::move(command));
    }

    void assign_vm(const std::string& zone, std::uint64_t incarnation) {
        wire::AssignVmT command;
        command.vm = "w1";
        command.zone = zone;
        command.pool = "sync";
        command.incarnation = incarnation;
        const auto held = state_.vms().find(vm_id("w1"));
        command.epoch =
            held == state_.vms().end() ? 0 : held->second.epoch.value();
        apply(std::move(command));
    }

    state state_;
    log_index index_;
};

using wire::proposal_result;

TEST_F(state_test, second_change_to_the_same_base_version_conflicts) {
    EXPECT_EQ(apply_rules(0, "a").result, proposal_result::accepted);
    const auto reply = apply_rules(0, "b");
    EXPECT_EQ(reply.result, proposal_result::conflict);
    EXPECT_EQ(reply.version, 1U);
    EXPECT_EQ(state_.version(), rules_version(1));
}

TEST_F(state_test, resent_submission_gets_the_same_reply) {
    const auto first = apply_rules(0, "a");
    const auto second = apply_rules(0, "a");
    EXPECT_EQ(first.result, second.result);
    EXPECT_EQ(first.version, second.version);
    EXPECT_EQ(state_.version(), rules_version(1));
}

TEST_F(state_test, refused_rules_change_nothing) {
    apply_rules(0, "a");
    const auto reply = apply_rules(1, "b", "pool broken\n");
    EXPECT_EQ(reply.result, proposal_result::refused);
    EXPECT_EQ(state_.rules_text(), rules_text);
}

TEST_F(state_test, rules_that_admit_a_withdrawn_key_are_refused) {
    apply_rules(0, "a");
    wire::WithdrawKeyT command;
    command.digest = std::string(64, 'a');
    command.author = "Anders";
    EXPECT_EQ(apply(command).result, proposal_result::accepted);
    const auto reply = apply_rules(
        2, "b", rules_text + "key archive sha256=" + command.digest + " # M\n");
    EXPECT_EQ(reply.result, proposal_result::refused);
}

TEST_F(state_test, grants_never_exceed_the_limit) {
    apply_rules(0, "a");
    const zone_epoch first = appoint("z1");
    const zone_epoch second = appoint("z2");
    EXPECT_EQ(set_grant("z1", first, 3).result, proposal_result::accepted);
    EXPECT_EQ(set_grant("z2", second, 3).result, proposal_result::refused);
    EXPECT_EQ(set_grant("z2", second, 2).result, proposal_result::accepted);
    EXPECT_EQ(state_.granted(team_id("archive")), 5U);
}

TEST_F(state_test, grant_from_an_earlier_epoch_conflicts) {
    apply_rules(0, "a");
    const zone_epoch first = appoint("z1");
    appoint("z1");
    EXPECT_EQ(set_grant("z1", first, 1).result, proposal_result::conflict);
}

TEST_F(state_test, request_is_claimed_once) {
    const zone_epoch first = appoint("z1");
    const zone_epoch second = appoint("z2");
    EXPECT_EQ(claim("z1", first, 7).granted, bytes{1});
    EXPECT_EQ(claim("z1", first, 7).granted, bytes{1});
    const auto denied = claim("z2", second, 8);
    EXPECT_EQ(denied.granted, bytes{0});
    EXPECT_EQ(denied.owners, std::vector<std::string>{"z1"});
}

TEST_F(state_test, claim_applied_after_its_end_is_refused) {
    const zone_epoch epoch = appoint("z1");
    end_claim("z1", 7);
    EXPECT_EQ(claim("z1", epoch, 7).granted, bytes{0});
    EXPECT_EQ(claim("z1", epoch, 8).granted, bytes{1});
    EXPECT_EQ(claim("z1", epoch, 7).granted, bytes{0});
}

TEST_F(state_test, clean_coordinator_replaces_a_claim_of_an_earlier_epoch) {
    const std::uint64_t first_task = appoint("z1").value() << 32U;
    claim("z1", state_.coordinators().begin()->second.epoch, first_task);
    const zone_epoch second = appoint("z1");
    const std::uint64_t task = second.value() << 32U;
    EXPECT_EQ(claim("z1", second, task, false).granted, bytes{0});
    EXPECT_EQ(claim("z1", second, task, true).granted, bytes{1});
    EXPECT_EQ(claim("z1", second, task + 1, true).granted, bytes{0});
}

TEST_F(state_test, claim_is_kept_if_a_vm_restarted_after_it) {
    const zone_epoch first = appoint("z1");
    assign_vm("z1", 1);
    claim("z1", first, first.value() << 32U);
    assign_vm("z1", 2);
    const zone_epoch second = appoint("z1");
    EXPECT_EQ(
        claim("z1", second, second.value() << 32U, true).granted, bytes{0});
    state copy;
    ASSERT_TRUE(copy.load(state_.save()));
    EXPECT_EQ(copy.save(), state_.save());
}

TEST_F(state_test, loaded_image_restores_the_state) {
    apply_rules(0, "a");
    const zone_epoch epoch = appoint("z1");
    set_grant("z1", epoch, 3);
    state copy;
    ASSERT_TRUE(copy.load(state_.save()));
    EXPECT_EQ(copy.save(), state_.save());
    EXPECT_EQ(copy.granted(team_id("archive")), 3U);
}

} // namespace
} // namespace dragonflymount::control
