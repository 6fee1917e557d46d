// The segments of a data folder, the chain of their records, and file names.
#ifndef DRAGONFLYMOUNT_AGREEMENT_SEGMENTS_HPP
#define DRAGONFLYMOUNT_AGREEMENT_SEGMENTS_HPP

#include "dragonflymount/src/Agreement/RecordFile.hpp"

namespace dragonflymount::agreement {

/// \brief One file of the log.
struct segment {
    std::uint64_t sequence = 0;
    /// Index of the record before the segment's first one. All records in the
    /// segment have a higher index.
    log_index base;
    /// The highest index of a record in the segment, including discarded ones.
    log_index highest;
    /// In bytes.
    std::size_t size = 0;
};

/// \brief The indexes and terms of the log's records after all segments have
/// been read in order.
class log_chain {
public:
    log_chain() = default;
    log_chain(log_index base, log_term base_term)
        : base_(base), base_term_(base_term) {}

    log_index base() const { return base_; }
    log_index last() const;
    log_term last_term() const;
    bool holds(log_index index, log_term term) const;
    /// \brief Discards the records at \p index and beyond.
    void truncate(log_index index);
    /// \brief Adds a record, after discarding those at \p index and beyond.
    /// \returns false if \p index is at or before the base or leaves a gap.
    bool append(log_index index, log_term term);

private:
    log_index base_;
    log_term base_term_;
    // Invariant: terms_[k] is the term of the record at base_ + 1 + k.
    std::vector<log_term> terms_;
};

std::string segment_name(std::uint64_t sequence);
std::string snapshot_name(log_index index);
/// \returns the number in a name such as "log-7", if it has \p prefix.
std::optional<std::uint64_t> parse_file_number(
    const std::string& name, std::string_view prefix);
/// \returns the numbers of all names with \p prefix, in ascending order.
std::vector<std::uint64_t> file_numbers(
    const std::vector<std::string>& names, std::string_view prefix);

inline constexpr std::string_view segment_prefix = "log-";
inline constexpr std::string_view snapshot_prefix = "snapshot-";
inline constexpr const char* identity_file = "identity";
inline constexpr const char* hard_file = "hard";
/// Suffix of the temporary name of a file that is still being written.
inline constexpr std::string_view unfinished_suffix = ".new";

/// \brief Whether \p name is the final or temporary name of a store's file.
bool is_store_file(std::string_view name);

/// \returns a failure with \c errc::damaged_log for \p file.
failure damage_failure(const std::string& file, std::string detail);

} // namespace dragonflymount::agreement

#endif
