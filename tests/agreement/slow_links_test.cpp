// Tests how replicas that are empty or behind get the state over slow links.
#include "tests/agreement/paced_group.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::agreement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What the users give a replaced machine.
constexpr duration catch_up = seconds(6);
// Much later a follower would stand for election.
constexpr duration latest_heartbeat = milliseconds(400);

struct link_case {
    std::string name;
    double rate;
    std::size_t log_records;
    duration load_interval;
    duration sync_time;
};

class paced_transfer : public testing::Test {
protected:
    paced_transfer() {
        EXPECT_TRUE(group_.run_until(
            [&] { return group_.leader().has_committed_in_term(); },
            seconds(10)));
    }
    void write_log(std::size_t records) {
        const log_index last(group_.leader().last_index().value() + records);
        group_.set_load(milliseconds(1));
        EXPECT_TRUE(group_.run_until(
            [&] { return group_.leader().commit_index() >= last; },
            seconds(60)));
        group_.set_load(duration::zero());
        group_.run(seconds(2));
    }
    bool is_whole(std::size_t k) {
        group_.settle_members();
        return group_.is_voter(k);
    }

    paced_group group_{3};
};

class slow_links : public paced_transfer,
                   public testing::WithParamInterface<link_case> {};

// Guards against a replaced replica that isn't whole in time because the leader
// sends history, one batch at a time, and sends it again behind itself.
TEST_P(slow_links, make_an_emptied_replica_whole_in_time) {
    write_log(GetParam().log_records);
    group_.set_load(GetParam().load_interval);
    group_.set_rate(GetParam().rate);
    group_.set_sync_time(GetParam().sync_time);
    group_.run(seconds(5));
    const std::size_t emptied = group_.follower();
    const log_term term = group_.leader().term();
    group_.take_latest_heartbeat();
    group_.empty(emptied);
    EXPECT_TRUE(group_.run_until([&] { return is_whole(emptied); }, catch_up));
    EXPECT_TRUE(group_.agree(emptied, group_.leads()));
    EXPECT_EQ(group_.leader().term(), term);
    EXPECT_LT(group_.take_latest_heartbeat(), latest_heartbeat);
    EXPECT_EQ(group_.transfer_to(emptied)->resent_bytes, 0U);
}

INSTANTIATE_TEST_SUITE_P(of, slow_links,
    testing::Values(link_case{"1_MB_300_records", 1e6, 300, milliseconds(20),
                        milliseconds(10)},
        link_case{
            "1_MB_3000_records", 1e6, 3000, milliseconds(20), milliseconds(10)},
        link_case{"250_kB_300_records", 250e3, 300, milliseconds(50),
            milliseconds(10)},
        link_case{"250_kB_3000_records", 250e3, 3000, milliseconds(50),
            milliseconds(10)},
        link_case{
            "slow_disks", 1e6, 3000, milliseconds(20), milliseconds(100)}),
    [](const auto& each) { return each.param.name; });

// Guards against a transfer that begins anew when its connection is closed.
TEST_F(paced_transfer, goes_on_from_what_is_held_after_a_closed_connection) {
    write_log(3000);
    group_.set_rate(250e3);
    const std::size_t emptied = group_.follower();
    group_.empty(emptied);
    std::size_t received = 0;
    const auto has_received = [&](std::size_t bytes) {
        group_.settle_members();
        const auto known = group_.transfer_to(emptied);
        received = known && known->installing ? known->image_received : 0;
        return received >= bytes;
    };
    ASSERT_TRUE(group_.run_until(
        [&] { return has_received(paced_group::image_bytes / 3); }, catch_up));
    const std::size_t before = received;
    group_.close_links(emptied);
    group_.run(milliseconds(400));
    has_received(0);
    EXPECT_GE(received, before);
    EXPECT_TRUE(group_.run_until([&] { return is_whole(emptied); }, catch_up));
    const auto known = group_.transfer_to(emptied);
    EXPECT_LE(known->resent_bytes, replica_options{}.part_bytes * 2);
}

// Guards against a whole image for a replica that lacks a few records, which
// the leader dropped when it saved its snapshot.
TEST_F(paced_transfer, sends_the_records_before_a_snapshot_to_a_late_replica) {
    const std::size_t late = group_.follower();
    group_.set_load(milliseconds(1));
    ASSERT_TRUE(group_.run_until(
        [&] { return group_.leader().log_bytes() > 3900U << 10U; },
        seconds(10)));
    const std::size_t before = group_.snapshots(group_.leads());
    for (int k = 0; k < 40; ++k) {
        group_.run(paced_group::step);
        group_.close_links(late);
    }
    EXPECT_GT(group_.snapshots(group_.leads()), before);
    EXPECT_LT(group_.core(late).last_index(), group_.leader().last_index());
    group_.set_load(duration::zero());
    bool installed = false;
    EXPECT_TRUE(group_.run_until(
        [&] {
            installed = installed || group_.transfer_to(late)->installing;
            return group_.core(late).commit_index() ==
                group_.leader().last_index();
        },
        seconds(1)));
    EXPECT_FALSE(installed);
}

} // namespace
} // namespace dragonflymount::agreement
