// Tests the log store under crashes at every call, torn writes, damaged files
// and full disks.
#include "dragonflymount/agreement.hpp"
#include "tests/agreement/memory_disk.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflymount::agreement {
namespace {

using store_type = file_store<memory_disk>;

log_record record_at(std::uint64_t index, std::uint64_t term = 1) {
    return {log_term(term), log_index(index), record_kind::command,
        to_bytes("record " + std::to_string(index))};
}

snapshot image_at(std::uint64_t index, std::uint64_t term = 1) {
    return {log_index(index), log_term(term),
        {{replica_id("c0"), "", availability_zone_id("z"), initial_identity,
            true}},
        to_bytes("state")};
}

std::vector<log_record> records_from(std::uint64_t first, std::uint64_t last) {
    std::vector<log_record> records;
    for (std::uint64_t index = first; index <= last; ++index) {
        records.push_back(record_at(index));
    }
    return records;
}

memory_disk initialized_disk() {
    memory_disk disk;
    EXPECT_TRUE(store_type(disk).initialize(initial_identity, {}));
    return disk;
}

void write_records(store_type& store, std::uint64_t first, std::uint64_t last) {
    ASSERT_TRUE(store.append(records_from(first, last)));
    ASSERT_TRUE(store.sync());
}

TEST(file_store, restores_synced_state) {
    memory_disk disk = initialized_disk();
    store_type store(disk);
    ASSERT_TRUE(store.open());
    write_records(store, 1, 9);
    ASSERT_TRUE(store.save(hard_state{log_term(4), replica_id("c1")}));
    ASSERT_TRUE(store.append(records_from(10, 12)));
    disk.crash();
    const auto opened = store_type(disk).open();
    ASSERT_TRUE(opened);
    EXPECT_EQ(opened->state.records, records_from(1, 9));
    EXPECT_EQ(opened->state.hard, (hard_state{log_term(4), replica_id("c1")}));
    EXPECT_EQ(opened->state.identity, initial_identity);
}

TEST(file_store, record_at_an_existing_index_discards_later_records) {
    memory_disk disk = initialized_disk();
    store_type store(disk);
    ASSERT_TRUE(store.open());
    write_records(store, 1, 9);
    const std::vector<log_record> other{record_at(5, 2)};
    ASSERT_TRUE(store.append(other));
    ASSERT_TRUE(store.sync());
    const auto opened = store_type(disk).open();
    ASSERT_TRUE(opened);
    ASSERT_EQ(opened->state.records.size(), 5U);
    EXPECT_EQ(opened->state.records.back(), record_at(5, 2));
}

TEST(file_store, snapshot_replaces_the_log_before_it) {
    memory_disk disk = initialized_disk();
    store_type store(disk);
    ASSERT_TRUE(store.open());
    write_records(store, 1, 9);
    ASSERT_TRUE(store.save(image_at(6)));
    write_records(store, 10, 11);
    const auto opened = store_type(disk).open();
    ASSERT_TRUE(opened);
    EXPECT_EQ(opened->state.base.last_index, log_index(6));
    EXPECT_EQ(opened->state.records, records_from(7, 11));
}

TEST(file_store, snapshot_of_another_term_discards_the_log) {
    memory_disk disk = initialized_disk();
    store_type store(disk);
    ASSERT_TRUE(store.open());
    write_records(store, 1, 9);
    ASSERT_TRUE(store.save(image_at(6, 3)));
    const auto opened = store_type(disk).open();
    ASSERT_TRUE(opened);
    EXPECT_TRUE(opened->state.records.empty());
}

TEST(file_store, cuts_a_torn_tail) {
    memory_disk disk = initialized_disk();
    store_type store(disk);
    ASSERT_TRUE(store.open());
    write_records(store, 1, 3);
    disk.fail_after(1);
    ASSERT_TRUE(store.append(records_from(4, 6)));
    ASSERT_FALSE(store.sync());
    disk.crash(20);
    const auto opened = store_type(disk).open();
    ASSERT_TRUE(opened);
    EXPECT_EQ(opened->tail_bytes_cut, 20U);
    EXPECT_EQ(opened->state.records, records_from(1, 3));
    const auto again = store_type(disk).open();
    ASSERT_TRUE(again);
    EXPECT_EQ(again->tail_bytes_cut, 0U);
}

// Guards against a gap in the segment numbers. A segment that a crash left
// empty is removed; if its number isn't used again, the next start reports a
// missing segment.
TEST(file_store, opens_after_a_crash_before_a_segments_first_sync) {
    memory_disk disk = initialized_disk();
    {
        store_type store(disk);
        ASSERT_TRUE(store.open());
        write_records(store, 1, 3);
    }
    {
        store_type store(disk);
        ASSERT_TRUE(store.open());
        ASSERT_TRUE(store.append(records_from(4, 6)));
        disk.crash();
    }
    {
        store_type store(disk);
        ASSERT_TRUE(store.open());
        write_records(store, 4, 6);
    }
    const auto opened = store_type(disk).open();
    ASSERT_TRUE(opened) << opened.error().message();
    EXPECT_EQ(opened->state.records, records_from(1, 6));
}

// A new leader may discard records of an earlier segment. After a snapshot has
// removed that segment, the newest one must be readable without it.
TEST(file_store, opens_after_discarding_records_of_a_removed_segment) {
    memory_disk disk = initialized_disk();
    {
        store_type store(disk);
        ASSERT_TRUE(store.open());
        write_records(store, 1, 5);
    }
    store_type store(disk);
    ASSERT_TRUE(store.open());
    write_records(store, 6, 8);
    const std::vector<log_record> other{
        record_at(4, 2), record_at(5, 2), record_at(6, 2)};
    ASSERT_TRUE(store.append(other));
    ASSERT_TRUE(store.sync());
    ASSERT_TRUE(store.save(image_at(5, 2)));
    const auto opened = store_type(disk).open();
    ASSERT_TRUE(opened) << opened.error().message();
    ASSERT_EQ(opened->state.records.size(), 1U);
    EXPECT_EQ(opened->state.records.back(), record_at(6, 2));
}

// Guards against the loss of synced records. A crash leaves the first frame of
// a segment that should replace records, but none of the new records. The older
// records must then remain valid, also after a snapshot has removed segments.
TEST(file_store, keeps_synced_records_when_their_replacement_is_lost) {
    memory_disk disk = initialized_disk();
    for (const std::uint64_t first : {1, 4}) {
        store_type store(disk);
        ASSERT_TRUE(store.open());
        write_records(store, first, first + 2);
    }
    {
        constexpr std::size_t calls_to_begin_a_segment = 2;
        store_type store(disk);
        ASSERT_TRUE(store.open());
        disk.fail_after(calls_to_begin_a_segment);
        const std::vector<log_record> other{record_at(2, 2)};
        ASSERT_TRUE(store.append(other));
        ASSERT_FALSE(store.sync());
    }
    disk.repair();
    {
        store_type store(disk);
        ASSERT_TRUE(store.open());
        ASSERT_TRUE(store.save(image_at(4)));
    }
    const auto opened = store_type(disk).open();
    ASSERT_TRUE(opened) << opened.error().message();
    EXPECT_EQ(opened->state.records, records_from(5, 6));
}

// A leader's snapshot that conflicts with the log discards all segments, one
// call after another. The folder must open after a failure at each call.
TEST(file_store, opens_after_a_crash_while_a_snapshot_discards_the_log) {
    bool saved = false;
    for (std::size_t calls = 0; !saved; ++calls) {
        SCOPED_TRACE(testing::Message() << "calls " << calls);
        memory_disk disk = initialized_disk();
        for (const std::uint64_t first : {1, 4, 7}) {
            store_type store(disk);
            ASSERT_TRUE(store.open());
            write_records(store, first, first + 2);
        }
        store_type store(disk);
        ASSERT_TRUE(store.open());
        disk.fail_after(calls);
        saved = static_cast<bool>(store.save(image_at(2, 5)));
        disk.repair();
        const auto opened = store_type(disk).open();
        ASSERT_TRUE(opened) << opened.error().message();
        const bool installed = opened->state.base.last_index == log_index(2);
        EXPECT_TRUE(installed || !saved);
        EXPECT_EQ(opened->state.records,
            installed ? std::vector<log_record>() : records_from(1, 9));
    }
}

TEST(file_store, refuses_a_folder_that_holds_files) {
    memory_disk disk = initialized_disk();
    EXPECT_FALSE(store_type(disk).initialize(initial_identity, {}));
}

TEST(file_store, rejects_all_calls_after_a_full_disk) {
    memory_disk disk = initialized_disk();
    store_type store(disk);
    ASSERT_TRUE(store.open());
    write_records(store, 1, 3);
    disk.set_free_bytes(30);
    ASSERT_TRUE(store.append(records_from(4, 6)));
    EXPECT_FALSE(store.sync());
    disk.set_free_bytes(1000000);
    EXPECT_FALSE(store.sync());
    EXPECT_FALSE(store.append(records_from(4, 6)));
    EXPECT_FALSE(store.save(hard_state{}));
    EXPECT_FALSE(store.save(image_at(3)));
}

/// What a store had confirmed as durable before the disk failed.
struct confirmed_state {
    std::size_t steps = 0;
    std::uint64_t synced = 0;
    hard_state hard;
    std::uint64_t base = 0;
};

confirmed_state run_until_failure(memory_disk& disk) {
    confirmed_state confirmed;
    store_type store(disk);
    if (!store.open()) {
        return confirmed;
    }
    for (std::uint64_t step = 1; step <= 12; ++step, ++confirmed.steps) {
        const std::uint64_t first = confirmed.synced + 1;
        if (!store.append(records_from(first, first + 2)) || !store.sync()) {
            break;
        }
        confirmed.synced += 3;
        const hard_state hard{log_term(step), replica_id("c0")};
        if (step % 3 == 0) {
            if (!store.save(hard)) {
                break;
            }
            confirmed.hard = hard;
        }
        if (step % 4 == 0) {
            if (!store.save(image_at(confirmed.synced - 1))) {
                break;
            }
            confirmed.base = confirmed.synced - 1;
        }
    }
    return confirmed;
}

TEST(file_store, keeps_synced_state_after_a_crash_at_any_call) {
    for (std::size_t calls = 0;; ++calls) {
        for (const std::size_t torn : {0U, 1U, 13U, 40U, 1000U}) {
            memory_disk disk = initialized_disk();
            disk.fail_after(calls);
            const confirmed_state confirmed = run_until_failure(disk);
            disk.crash(torn);
            SCOPED_TRACE(
                testing::Message() << "calls " << calls << " torn " << torn);
            const auto opened = store_type(disk).open();
            ASSERT_TRUE(opened) << opened.error().message();
            const recovered_state& state = opened->state;
            const std::uint64_t base = state.base.last_index.value();
            EXPECT_GE(base, confirmed.base);
            EXPECT_GE(state.hard.term, confirmed.hard.term);
            ASSERT_GE(base + state.records.size(), confirmed.synced);
            EXPECT_EQ(state.records,
                records_from(base + 1, base + state.records.size()));
            if (confirmed.steps == 12) {
                return;
            }
        }
    }
}

/// Opens a folder with changed bytes: the store must fail or return only
/// records that were written.
void expect_prefix_or_refusal(memory_disk& disk) {
    const auto opened = store_type(disk).open();
    if (!opened) {
        return;
    }
    const auto& records = opened->state.records;
    const std::uint64_t base = opened->state.base.last_index.value();
    RC_ASSERT(records == records_from(base + 1, base + records.size()));
}

RC_GTEST_PROP(log_reader, accepts_only_what_was_written,
    (std::uint16_t file, std::uint16_t place, std::uint8_t mask,
        std::uint8_t length)) {
    memory_disk disk;
    RC_ASSERT(
        static_cast<bool>(store_type(disk).initialize(initial_identity, {})));
    run_until_failure(disk);
    bytes& content = disk.content_at(file % disk.file_count());
    for (std::size_t k = 0; k <= length % 8U; ++k) {
        content[(place + k) % content.size()] ^= mask;
    }
    expect_prefix_or_refusal(disk);
}

RC_GTEST_PROP(log_reader, reports_a_changed_byte,
    (std::uint16_t file, std::uint16_t place)) {
    memory_disk disk;
    RC_ASSERT(
        static_cast<bool>(store_type(disk).initialize(initial_identity, {})));
    run_until_failure(disk);
    bytes& content = disk.content_at(file % disk.file_count());
    content[place % content.size()] ^= *rc::gen::inRange(1, 256);
    const auto opened = store_type(disk).open();
    RC_ASSERT(!opened);
    RC_ASSERT(opened.error().code == make_error_code(errc::damaged_log));
}

RC_GTEST_PROP(log_reader, scans_arbitrary_bytes, (const bytes& content)) {
    const frame_scan scan = scan_frames(content);
    RC_ASSERT(scan.valid_bytes <= content.size());
    for (const auto payload : scan.payloads) {
        const auto record = decode_record(payload);
        RC_ASSERT(!record || record->payload.size() <= content.size());
    }
}

} // namespace
} // namespace dragonflymount::agreement
