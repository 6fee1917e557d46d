// The part of the replicated log that a replica holds in memory.
#ifndef DRAGONFLYMOUNT_AGREEMENT_LOG_HPP
#define DRAGONFLYMOUNT_AGREEMENT_LOG_HPP

#include "dragonflymount/src/Agreement/Types.hpp"

namespace dragonflymount::agreement {

/// \brief Records after a snapshot, without gaps.
class memory_log {
public:
    memory_log() = default;
    memory_log(snapshot base, std::vector<log_record> records);

    log_index first_index() const { return base_.last_index.next(); }
    log_index last_index() const;
    log_term last_term() const;

    /// \returns the term of the record at \p index, or nothing if the record
    /// was compacted or doesn't exist yet.
    std::optional<log_term> term_at(log_index index) const;
    const log_record& at(log_index index) const;
    /// \returns up to \p max_count records starting at \p from; empty if there
    /// is no record at \p from.
    std::vector<log_record> slice(log_index from, std::size_t max_count) const;

    void append(log_record record);
    /// \brief Removes the records at \p from and beyond.
    void truncate(log_index from);
    /// \brief Replaces the records up to the snapshot's index by the snapshot.
    /// Later records remain only if the log holds the snapshot's last record.
    void compact(snapshot base);

    /// \returns the newest member list, committed or not. A change of members
    /// takes effect when its record is appended.
    const member_list& members() const { return members_; }
    const snapshot& base() const { return base_; }
    std::size_t size() const { return records_.size(); }
    /// \returns the index of the newest member record, zero if it was
    /// compacted.
    log_index members_index() const { return members_index_; }

private:
    void find_members();

    snapshot base_;
    // Invariant: records_[k].index == base_.last_index + 1 + k.
    std::vector<log_record> records_;
    // Invariant: the list in the newest member record, or base_.members if
    // records_ has none.
    member_list members_;
    log_index members_index_;
};

} // namespace dragonflymount::agreement

#endif
