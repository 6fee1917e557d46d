// Tests what the leader reports of members that aren't whole.
#include "dragonflymount/jobs.hpp"
#include "programs/scheduler/member_report.hpp"
#include "tests/hosting/replica_group.hpp"

namespace dragonflymount::scheduler_program::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration catch_up = seconds(6);
constexpr duration step = milliseconds(200);

class member_reports : public testing::Test {
protected:
    /// Lets the member stay in \p gap for \p span.
    void stay(member_gap gap, duration span, std::uint64_t sent_bytes = 0) {
        group_view seen;
        member_view& member = seen.others.emplace_back();
        member.subject.id = replica_id("c1");
        member.gap = gap;
        member.sent.sent_bytes = sent_bytes;
        for (const instant end = now_ + span; now_ < end; now_ += step) {
            for (auto& line : report_.update(seen, now_)) {
                lines_.push_back(line);
            }
        }
    }
    std::ptrdiff_t count(event number) const {
        return std::count_if(lines_.begin(), lines_.end(),
            [&](const auto& line) { return line.number == number; });
    }

    member_report report_{catch_up};
    std::vector<member_line> lines_;
    instant now_{seconds(100)};
};

// Guards against a lost disk that nothing in the log tells of, or no figure.
TEST_F(member_reports, tell_a_lost_disk_until_it_is_whole) {
    stay(member_gap::new_disk, seconds(1), 700);
    EXPECT_EQ(count(event::replica_behind), 1);
    EXPECT_EQ(report_.behind_for(replica_id("c1"), now_), seconds(1));
    stay(member_gap::no_vote, milliseconds(2200), 900);
    EXPECT_EQ(count(event::replica_behind), 2);
    EXPECT_EQ(count(event::replica_whole), 0);
    stay(member_gap::none, seconds(9), 900);
    ASSERT_EQ(count(event::replica_whole), 1);
    EXPECT_EQ(lines_.back().lasted, milliseconds(3200));
    EXPECT_EQ(lines_.back().sent_bytes, 200U);
    EXPECT_EQ(lines_.size(), 3U);
    EXPECT_EQ(report_.behind_for(replica_id("c1"), now_), duration::zero());
}

// Guards against figures below zero: an admission begins the counts anew.
TEST_F(member_reports, count_bytes_from_the_admission_on) {
    stay(member_gap::new_disk, step, 700);
    stay(member_gap::no_vote, step, 50);
    stay(member_gap::none, step, 60);
    EXPECT_EQ(lines_.back().sent_bytes, 60U);
}

// Guards against a group that bears too few losses and doesn't say so.
TEST_F(member_reports, say_once_that_a_member_is_late) {
    stay(member_gap::no_vote, catch_up);
    EXPECT_EQ(count(event::catch_up_late), 0);
    stay(member_gap::no_vote, seconds(60));
    EXPECT_EQ(count(event::catch_up_late), 1);
}

// Guards against lines on each pause of a member, and none on a long one.
TEST_F(member_reports, keep_quiet_about_a_pause) {
    stay(member_gap::lagging, milliseconds(800));
    stay(member_gap::none, step);
    stay(member_gap::silent, milliseconds(800));
    stay(member_gap::none, step);
    EXPECT_TRUE(lines_.empty());
    stay(member_gap::silent, seconds(2));
    EXPECT_EQ(count(event::replica_behind), 1);
}

// Guards against a log that a machine which is gone for good fills.
TEST_F(member_reports, are_few_for_a_member_that_is_gone) {
    stay(member_gap::silent, std::chrono::hours(1));
    EXPECT_LE(lines_.size(), 90U);
    EXPECT_GE(lines_.size(), 60U);
}

// Guards against an operator who is told that a disk may be lost when it may
// not.
TEST(spare_disks, are_none_while_a_voter_is_silent) {
    hosting_test::replica_group<jobs::state> group;
    group.start();
    ASSERT_TRUE(group.has_leader());
    const auto& leader = group.leader()->host().replica();
    const auto see = [&] {
        return view_group(leader, 3, runtime::system_clock::now());
    };
    EXPECT_TRUE(group.run_until([&] { return see().spare_disks == 1; }));
    auto& nodes = group.nodes();
    auto& follower = group.leader() == &nodes[0] ? nodes[1] : nodes[0];
    follower.host().stop();
    follower.close_connections();
    EXPECT_TRUE(group.run_until([&] { return see().spare_disks == 0; }));
    const group_view seen = see();
    EXPECT_EQ(seen.voters, 3U);
    EXPECT_EQ(
        std::count_if(seen.others.begin(), seen.others.end(),
            [](const auto& peer) { return peer.gap == member_gap::silent; }),
        1);
}

} // namespace
} // namespace dragonflymount::scheduler_program::test
