// Tests the parts of a transfer: the kept records.
#include "dragonflymount/agreement.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::agreement {
namespace {

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

} // namespace
} // namespace dragonflymount::agreement
