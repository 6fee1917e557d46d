// The part of the replicated log that a replica holds in memory.
#ifndef DRAGONFLYMOUNT_AGREEMENT_LOG_HPP
#define DRAGONFLYMOUNT_AGREEMENT_LOG_HPP

#include "dragonflymount/src/Agreement/Types.hpp"

#include <deque>

namespace dragonflymount::agreement {

/// \returns what \p record takes in a message or in memory, in bytes.
std::size_t size_of(const log_record& record);

/// \brief Bounds the records before the end of a snapshot that stay in memory.
struct kept_records {
    std::size_t bytes = 1U << 20U;
    std::size_t count = 1024;
};

/// \brief Records after a snapshot, without gaps, and some before its end: a
/// replica that is a little behind needs these, not the whole image.
class memory_log {
public:
    memory_log() = default;
    memory_log(
        snapshot base, std::vector<log_record> records, kept_records kept = {});

    /// \returns the index of the first record in memory, which may be one that
    /// the snapshot covers.
    log_index first_index() const { return before_.next(); }
    log_index last_index() const;
    log_term last_term() const;

    /// \returns the term of the record at \p index, or nothing if the record
    /// is no longer in memory or doesn't exist yet.
    std::optional<log_term> term_at(log_index index) const;
    const log_record& at(log_index index) const;
    /// \returns up to \p max_count records starting at \p from; empty if there
    /// is no record at \p from.
    std::vector<log_record> slice(log_index from, std::size_t max_count) const;

    void append(log_record record);
    /// \brief Removes the records at \p from and beyond.
    void truncate(log_index from);
    /// \brief Replaces the records up to the snapshot's index by the snapshot,
    /// but for the newest of them, within the bounds for kept records. They
    /// and later records remain only if the log holds the snapshot's last
    /// record.
    void compact(snapshot base);

    /// \returns the newest member list, committed or not. A change of members
    /// takes effect when its record is appended.
    const member_list& members() const { return members_; }
    const snapshot& base() const { return base_; }
    /// \returns the number of records after the snapshot.
    std::size_t size() const;
    /// \returns the bytes of the records after \p index up to \p last, as far
    /// as they are in memory. Takes constant time.
    std::size_t bytes_between(log_index index, log_index last) const;
    /// \returns the index of the newest member record, zero if it was
    /// compacted.
    log_index members_index() const { return members_index_; }

private:
    void find_members();
    void drop_covered();
    std::uint64_t end_of(log_index index) const;

    kept_records kept_;
    snapshot base_;
    // The record before the first one in memory, and its term.
    // Invariant: before_ <= base_.last_index <= last_index().
    log_index before_;
    log_term before_term_;
    // Invariant: records_[k].index == before_ + 1 + k.
    std::deque<log_record> records_;
    // The bytes of all records ever held up to before_, and up to each one in
    // records_.
    std::uint64_t end_before_ = 0;
    std::deque<std::uint64_t> ends_;
    // Invariant: the list in the newest member record after the snapshot, or
    // base_.members if there is none.
    member_list members_;
    log_index members_index_;
};

} // namespace dragonflymount::agreement

#endif
