// Tests the parts of a transfer: the window, the kept records and packing.
#include "dragonflymount/agreement.hpp"
#include "dragonflymount/src/Agreement/Batch.hpp"
#include "dragonflymount/src/Wire/Deflate.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::agreement {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t message_bytes = 64U << 10U;
constexpr duration prompt = milliseconds(100);

/// Fills \p window; round 1 is the first one ever sent.
std::uint64_t fill(send_window& window, std::uint64_t round) {
    while (window.has_room(message_bytes)) {
        flight message;
        message.round = ++round;
        message.bytes = message_bytes;
        window.add(message);
    }
    return round;
}

// Guards against a queue that delays heartbeats on a slow connection, and
// against a fast one that is idle.
TEST(send_window, follows_the_delay_of_the_answers) {
    send_window window(message_bytes, prompt);
    std::uint64_t round = fill(window, 0);
    EXPECT_EQ(window.bytes_in_flight(), message_bytes);
    for (int k = 0; k < 10; ++k) {
        window.answer(round, prompt / 2);
        round = fill(window, round);
    }
    EXPECT_EQ(window.bytes_in_flight(), 1U << 20U);
    // All answers to one full window count as one sign of delay.
    for (std::uint64_t answered = round - 3; answered <= round; ++answered) {
        window.answer(answered, prompt * 3);
    }
    EXPECT_EQ(window.size(), 1U << 19U);
    for (int k = 0; k < 10; ++k) {
        round = fill(window, round);
        window.answer(round, prompt * 3);
    }
    EXPECT_EQ(window.size(), message_bytes);
}

// Guards against a burst after light load, which says nothing about what a
// connection carries.
TEST(send_window, does_not_grow_while_it_is_not_used) {
    send_window window(message_bytes, prompt);
    for (std::uint64_t round = 1; round < 1000; ++round) {
        flight message;
        message.round = round;
        message.bytes = 100;
        message.is_partial = true;
        window.add(message);
        window.answer(round, prompt / 10);
    }
    EXPECT_EQ(window.size(), message_bytes);
}

std::vector<log_record> records_of(std::size_t count, std::size_t size) {
    std::vector<log_record> records;
    for (std::size_t k = 1; k <= count; ++k) {
        records.push_back({log_term(k), log_index(k), record_kind::command,
            bytes(size, static_cast<std::uint8_t>(k))});
    }
    return records;
}

TEST(memory_log, keeps_the_newest_records_before_a_snapshot_within_bounds) {
    memory_log log({}, records_of(10, 100), {1000, 3});
    log.compact({log_index(8), log_term(8), {}, {}});
    EXPECT_EQ(log.first_index(), log_index(6));
    EXPECT_EQ(log.size(), 2U);
    EXPECT_EQ(log.term_at(log_index(5)), log_term(5));
    EXPECT_EQ(log.term_at(log_index(4)), std::nullopt);
    EXPECT_EQ(log.at(log_index(6)).term, log_term(6));
    EXPECT_EQ(log.bytes_between(log_index(8), log_index(10)),
        2 * size_of(log.at(log_index(9))));
    log.truncate(log_index(10));
    EXPECT_EQ(log.last_index(), log_index(9));
    // A snapshot of another log replaces all.
    log.compact({log_index(20), log_term(30), {}, {}});
    EXPECT_EQ(log.first_index(), log_index(21));
    EXPECT_EQ(log.last_index(), log_index(20));
    EXPECT_EQ(log.last_term(), log_term(30));
}

TEST(batch, returns_the_records_that_were_packed) {
    for (const bool packed : {false, true}) {
        wire::AppendRequestT request;
        const auto records = records_of(20, 1000);
        const std::size_t size = put_records(records, packed, request);
        EXPECT_EQ(request.packed.empty(), !packed);
        EXPECT_EQ(size < message_bytes / 16, packed);
        EXPECT_EQ(take_records(request), records);
    }
}

// Guards against a peer that makes a replica crash or allocate what it claims.
TEST(batch, refuses_malformed_records) {
    wire::AppendRequestT whole;
    put_records(records_of(20, 1000), true, whole);
    const auto is_refused = [](const bytes& packed, std::uint32_t size) {
        wire::AppendRequestT request;
        request.packed = packed;
        request.packed_bytes = size;
        return !take_records(request);
    };
    const std::uint32_t size = whole.packed_bytes;
    EXPECT_FALSE(is_refused(whole.packed, size));
    EXPECT_TRUE(is_refused(whole.packed, 0));
    EXPECT_TRUE(is_refused(whole.packed, size - 1));
    EXPECT_TRUE(is_refused(whole.packed, size + 1));
    EXPECT_TRUE(is_refused(whole.packed, 0xffffffffU));
    bytes cut = whole.packed;
    cut.pop_back();
    EXPECT_TRUE(is_refused(cut, size));
    // Sound data that isn't a list of records.
    const auto noise = wire::deflate(bytes(5000, 0xff));
    ASSERT_TRUE(noise);
    EXPECT_TRUE(is_refused(*noise, 5000));
    incoming_snapshot incoming;
    wire::SnapshotPartT part;
    part.last_index = 3;
    part.state_bytes = 5000;
    part.data = cut;
    part.packed_bytes = 5000;
    incoming.add(part);
    EXPECT_EQ(incoming.size(), 0U);
    EXPECT_EQ(incoming.last_index(), log_index(0));
}

// Guards against a replica of a former version that can't read what it is sent.
TEST(batch, is_plain_for_a_peer_that_does_not_say_that_it_reads_packed_ones) {
    const snapshot image{log_index(3), log_term(1), {}, bytes(5000, 7)};
    EXPECT_EQ(make_part(image, 0, 5000, false).data, image.state);
    progress state(message_bytes, prompt);
    EXPECT_FALSE(state.reads_packed);
    wire::AppendReplyT reply;
    reply.reads_packed = true;
    state.note_answer(reply, 0, instant{});
    EXPECT_TRUE(state.reads_packed);
}

} // namespace
} // namespace dragonflymount::agreement
