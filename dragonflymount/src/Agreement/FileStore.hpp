// Stores the log of one replica in a data folder.
//
// The files are "identity", the replica's identity; "hard", the term and the
// vote; "snapshot-N", the state after record N; and "log-K", segment K of the
// log. The first frame of a segment gives the index and the term of the record
// before the segment's first one. Writes only append to segments. A record
// whose index is already in the log discards the older record and all beyond
// it. A segment that begins after a record missing in the log discards the log.
//
// Other files are written under a temporary name, synced and renamed, then the
// folder is synced. Such a file is therefore complete or missing.
#ifndef DRAGONFLYMOUNT_AGREEMENT_FILE_STORE_HPP
#define DRAGONFLYMOUNT_AGREEMENT_FILE_STORE_HPP

#include "dragonflymount/src/Agreement/Disk.hpp"
#include "dragonflymount/src/Agreement/Segments.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

/// \brief The result of \c file_store::open.
struct opened_log {
    recovered_state state;
    /// Bytes of an incomplete write that were cut from the newest segment.
    std::size_t tail_bytes_cut = 0;
};

/// \brief How the store handles unreadable bytes at the end of the log.
enum class tail_policy : std::uint8_t {
    /// Cuts only what a crash of the process can leave: an incomplete last
    /// frame, or zeros. Other unreadable bytes are damage: \c open fails, and
    /// the replica must send no messages.
    refuse_damage,
    /// Cuts the newest segment at its first unreadable frame. For disks that
    /// tear unsynced writes at a power loss but never damage synced data.
    cut_torn_writes,
};

/// \brief Stores the log, the hard state and the snapshot in a data folder.
///
/// After a failure \c append, \c save and \c sync fail too, because the content
/// of the disk is then unknown.
template <disk Disk>
class file_store {
public:
    /// A segment larger than this takes no further records.
    static constexpr std::size_t segment_bytes = 1U << 20U;

    explicit file_store(
        Disk& folder, tail_policy tail = tail_policy::refuse_damage)
        : folder_(&folder), tail_(tail) {}

    /// \brief Creates the files; fails with \c errc::conflict if there are any.
    result<done> initialize(
        replica_identity identity, const member_list& members);
    /// \returns whether the folder holds no file.
    result<bool> is_empty();
    /// \brief Reads the folder; fails with \c errc::damaged_log if synced data
    /// is missing or unreadable.
    result<opened_log> open();

    result<done> append(std::span<const log_record> records);
    result<done> save(const hard_state& hard);
    result<done> save(const snapshot& image);
    result<done> sync();

private:
    result<done> record_failure(result<done> status);
    result<done> write_file(
        const std::string& name, std::span<const std::uint8_t> payload);
    result<bytes> read_file(const std::string& name);
    result<done> read_segments(
        const std::vector<std::string>& names, opened_log& opened);
    result<done> read_segment(
        std::uint64_t sequence, bool newest, opened_log& opened);
    result<done> read_snapshot(
        const std::vector<std::string>& names, opened_log& opened);
    result<done> sync_recovered_files();
    bool fits_newest_segment(log_index index) const;
    result<done> begin_segment();
    result<done> remove_covered_segments();
    result<done> remove_all_segments();
    result<done> remove_synced(const std::string& name);

    Disk* folder_;
    tail_policy tail_;
    log_chain chain_;
    log_index base_;
    std::vector<segment> segments_;
    // False while the next record must begin a new segment.
    bool is_open_ = false;
    // Invariant: the newest segment's number plus one, if there is a segment.
    std::uint64_t next_sequence_ = 1;
    // Frames of the newest segment that are not yet written to the disk.
    bytes unwritten_;
    std::optional<failure> failed_;
};

template <disk Disk>
result<done> file_store<Disk>::record_failure(result<done> status) {
    if (!status && !failed_) {
        failed_ = status.error();
    }
    return status;
}

template <disk Disk>
result<bool> file_store<Disk>::is_empty() {
    auto names = folder_->list();
    if (!names) {
        return names.error();
    }
    return names->empty();
}

template <disk Disk>
result<done> file_store<Disk>::initialize(
    replica_identity identity, const member_list& members) {
    const auto empty = is_empty();
    if (!empty) {
        return empty.error();
    }
    if (!*empty) {
        return failure{make_error_code(errc::conflict), "initialize", {},
            "the data folder holds files"};
    }
    snapshot first;
    first.members = members;
    result<done> status =
        write_file(snapshot_name(log_index(0)), encode_snapshot(first));
    if (status) {
        status = write_file(hard_file, encode_hard_state({}));
    }
    // The identity is written last: a folder without it can't be opened.
    if (status) {
        status = write_file(identity_file, encode_identity(identity));
    }
    return record_failure(std::move(status));
}

template <disk Disk>
result<done> file_store<Disk>::write_file(
    const std::string& name, std::span<const std::uint8_t> payload) {
    const std::string unfinished = name + std::string(unfinished_suffix);
    bytes content;
    append_frame(content, payload);
    result<done> status = folder_->append(unfinished, content);
    if (status) {
        status = folder_->sync(unfinished);
    }
    if (status) {
        status = folder_->rename(unfinished, name);
    }
    if (status) {
        status = folder_->sync_folder();
    }
    return status;
}

template <disk Disk>
result<bytes> file_store<Disk>::read_file(const std::string& name) {
    auto content = folder_->read(name);
    if (!content) {
        return content.error();
    }
    const frame_scan scan = scan_frames(*content);
    if (scan.condition != file_condition::whole || scan.payloads.size() != 1) {
        return damage_failure(name, "the checksum doesn't fit");
    }
    const auto payload = scan.payloads.front();
    return bytes(payload.begin(), payload.end());
}

template <disk Disk>
result<opened_log> file_store<Disk>::open() {
    auto names = folder_->list();
    if (!names) {
        return names.error();
    }
    for (const char* needed : {identity_file, hard_file}) {
        if (std::find(names->begin(), names->end(), needed) == names->end()) {
            return damage_failure(needed, "the file is missing");
        }
    }
    // A killed process may have left a new name that isn't durable yet. Files
    // that it replaces are removed below.
    const result<done> durable = folder_->sync_folder();
    if (!durable) {
        return durable.error();
    }
    opened_log opened;
    const auto identity_bytes = read_file(identity_file);
    if (!identity_bytes) {
        return identity_bytes.error();
    }
    const auto identity = decode_identity(*identity_bytes);
    const auto hard_bytes = read_file(hard_file);
    if (!identity || !hard_bytes) {
        return identity ? hard_bytes.error() : identity.error();
    }
    const auto hard = decode_hard_state(*hard_bytes);
    if (!hard) {
        return hard.error();
    }
    opened.state.identity = *identity;
    opened.state.hard = *hard;
    result<done> status = read_segments(*names, opened);
    if (status) {
        status = read_snapshot(*names, opened);
    }
    for (const std::string& name : *names) {
        if (status && name.ends_with(unfinished_suffix)) {
            status = remove_synced(name);
        }
    }
    if (status) {
        status = sync_recovered_files();
    }
    if (!record_failure(status)) {
        return status.error();
    }
    return opened;
}

// A killed process may have left written but unsynced records. The replica uses
// all records that it has read, so they are synced first.
template <disk Disk>
result<done> file_store<Disk>::sync_recovered_files() {
    for (const segment& found : segments_) {
        result<done> status = folder_->sync(segment_name(found.sequence));
        if (!status) {
            return status;
        }
    }
    return folder_->sync_folder();
}

template <disk Disk>
result<done> file_store<Disk>::read_segments(
    const std::vector<std::string>& names, opened_log& opened) {
    const auto sequences = file_numbers(names, segment_prefix);
    for (const std::uint64_t sequence : sequences) {
        if (sequence != sequences.front() && sequence != next_sequence_) {
            return damage_failure(
                segment_name(next_sequence_), "segment is missing");
        }
        result<done> status =
            read_segment(sequence, sequence == sequences.back(), opened);
        if (!status) {
            return status;
        }
        // The number of a removed segment is used for the next one.
        const bool kept =
            !segments_.empty() && segments_.back().sequence == sequence;
        next_sequence_ = kept ? sequence + 1 : sequence;
    }
    return done{};
}

template <disk Disk>
result<done> file_store<Disk>::read_segment(
    std::uint64_t sequence, bool newest, opened_log& opened) {
    const std::string name = segment_name(sequence);
    auto content = folder_->read(name);
    if (!content) {
        return content.error();
    }
    const frame_scan scan = scan_frames(*content);
    const bool torn = scan.condition == file_condition::torn_tail ||
        (tail_ == tail_policy::cut_torn_writes && newest &&
            scan.condition == file_condition::damaged);
    if ((scan.condition == file_condition::damaged && !torn) ||
        (torn && !newest)) {
        return damage_failure(
            name, "no valid frame at byte " + std::to_string(scan.valid_bytes));
    }
    // The crash came before the segment's first sync. Without records it
    // replaces nothing and can be removed.
    const bool has_records = scan.payloads.size() > 1;
    if (newest && !has_records) {
        opened.tail_bytes_cut = content->size();
        return remove_synced(name);
    }
    if (scan.payloads.empty()) {
        return damage_failure(name, "segment is empty");
    }
    if (torn) {
        opened.tail_bytes_cut = content->size() - scan.valid_bytes;
        result<done> status = folder_->truncate(name, scan.valid_bytes);
        if (status) {
            status = folder_->sync(name);
        }
        if (!status) {
            return status;
        }
    }
    segment read{sequence, log_index(0), log_index(0), scan.valid_bytes};
    std::vector<log_record>& records = opened.state.records;
    for (const auto payload : scan.payloads) {
        auto record = decode_record(payload);
        if (!record) {
            return damage_failure(name, record.error().detail);
        }
        if (payload.data() == scan.payloads.front().data()) {
            read.base = record->index;
            if (has_records && !chain_.holds(record->index, record->term)) {
                chain_ = log_chain(record->index, record->term);
                records.clear();
            }
            continue;
        }
        if (!chain_.append(record->index, record->term)) {
            return damage_failure(name, "a record is missing");
        }
        records.resize(record->index.value() - chain_.base().value() - 1);
        read.highest = std::max(read.highest, record->index);
        records.push_back(std::move(*record));
    }
    segments_.push_back(read);
    return done{};
}

template <disk Disk>
result<done> file_store<Disk>::read_snapshot(
    const std::vector<std::string>& names, opened_log& opened) {
    const auto numbers = file_numbers(names, snapshot_prefix);
    if (numbers.empty()) {
        return damage_failure(
            snapshot_name(log_index(0)), "no snapshot is there");
    }
    const std::string newest = snapshot_name(log_index(numbers.back()));
    const auto payload = read_file(newest);
    if (!payload) {
        return payload.error();
    }
    auto image = decode_snapshot(*payload);
    if (!image) {
        return damage_failure(newest, image.error().detail);
    }
    base_ = image->last_index;
    std::vector<log_record>& records = opened.state.records;
    if (!segments_.empty() && chain_.base() > base_) {
        return damage_failure(newest, "records after the snapshot are missing");
    }
    if (chain_.holds(base_, image->last_term)) {
        std::erase_if(records,
            [&](const log_record& record) { return record.index <= base_; });
    } else {
        chain_ = log_chain(base_, image->last_term);
        records.clear();
    }
    opened.state.base = std::move(*image);
    for (const std::uint64_t number : numbers) {
        if (number != numbers.back()) {
            result<done> status =
                remove_synced(snapshot_name(log_index(number)));
            if (!status) {
                return status;
            }
        }
    }
    return done{};
}

template <disk Disk>
result<done> file_store<Disk>::append(std::span<const log_record> records) {
    for (const log_record& record : records) {
        if (failed_) {
            return *failed_;
        }
        if (!fits_newest_segment(record.index)) {
            // begin_segment writes the chain's last record to the first frame;
            // it must be the record before this one.
            chain_.truncate(record.index);
            result<done> status = record_failure(begin_segment());
            if (!status) {
                return status;
            }
        }
        if (!chain_.append(record.index, record.term)) {
            return record_failure(failure{make_error_code(errc::damaged_log),
                "append record", {}, "it leaves a gap"});
        }
        const std::size_t before = unwritten_.size();
        append_frame(unwritten_, encode_record(record));
        segment& newest = segments_.back();
        newest.highest = std::max(newest.highest, record.index);
        newest.size += unwritten_.size() - before;
    }
    return done{};
}

// A record at or before the newest segment's base needs a new segment: the
// newest one must be readable after the earlier ones are removed.
template <disk Disk>
bool file_store<Disk>::fits_newest_segment(log_index index) const {
    return is_open_ && segments_.back().size <= segment_bytes &&
        segments_.back().base < index;
}

template <disk Disk>
result<done> file_store<Disk>::begin_segment() {
    result<done> status = sync();
    if (!status) {
        return status;
    }
    segments_.push_back({next_sequence_, chain_.last(), log_index(0), 0});
    ++next_sequence_;
    is_open_ = true;
    bytes first;
    append_frame(first,
        encode_record(
            {chain_.last_term(), chain_.last(), record_kind::command, {}}));
    status = folder_->append(segment_name(segments_.back().sequence), first);
    return status ? folder_->sync_folder() : status;
}

template <disk Disk>
result<done> file_store<Disk>::sync() {
    if (failed_) {
        return *failed_;
    }
    if (unwritten_.empty()) {
        return done{};
    }
    const std::string name = segment_name(segments_.back().sequence);
    result<done> status = folder_->append(name, unwritten_);
    unwritten_.clear();
    if (status) {
        status = folder_->sync(name);
    }
    return record_failure(std::move(status));
}

template <disk Disk>
result<done> file_store<Disk>::save(const hard_state& hard) {
    if (failed_) {
        return *failed_;
    }
    return record_failure(write_file(hard_file, encode_hard_state(hard)));
}

template <disk Disk>
result<done> file_store<Disk>::save(const snapshot& image) {
    result<done> status = sync();
    if (!status || image.last_index <= base_) {
        return status;
    }
    status =
        write_file(snapshot_name(image.last_index), encode_snapshot(image));
    if (status) {
        status = remove_synced(snapshot_name(base_));
    }
    base_ = image.last_index;
    is_open_ = false;
    const bool fits = chain_.holds(image.last_index, image.last_term);
    if (!fits) {
        chain_ = log_chain(image.last_index, image.last_term);
    }
    if (status) {
        status = fits ? remove_covered_segments() : remove_all_segments();
    }
    return record_failure(std::move(status));
}

// Oldest segment first, each removal synced, so that a crash leaves no gap.
template <disk Disk>
result<done> file_store<Disk>::remove_covered_segments() {
    while (!segments_.empty() && segments_.front().highest <= base_) {
        result<done> status =
            remove_synced(segment_name(segments_.front().sequence));
        if (!status) {
            return status;
        }
        segments_.erase(segments_.begin());
    }
    return done{};
}

// Removes the newest segment first, so that the segments that remain after a
// crash begin before the snapshot.
template <disk Disk>
result<done> file_store<Disk>::remove_all_segments() {
    while (!segments_.empty()) {
        result<done> status =
            remove_synced(segment_name(segments_.back().sequence));
        if (!status) {
            return status;
        }
        segments_.pop_back();
    }
    return done{};
}

template <disk Disk>
result<done> file_store<Disk>::remove_synced(const std::string& name) {
    result<done> status = folder_->remove(name);
    return status ? folder_->sync_folder() : status;
}

} // namespace dragonflymount::agreement

#endif
