// The log store on a disk: one data folder per replica.
//
// Files: "identity"; "hard", the term and the vote; "snapshot-N", the state
// after record N; "log-K", segment K of the log. The first frame of a segment
// names the record before the segment's first one by index and term. Segments
// are only ever appended to: a record with an index that is already there
// discards the older one and all beyond it, and a segment that begins after a
// record that the log doesn't hold discards the whole log.
//
// Files other than segments are written under a temporary name, synced and
// renamed, and the folder is synced, so they are there whole or not at all.
#ifndef DRAGONFLYMOUNT_AGREEMENT_FILE_STORE_HPP
#define DRAGONFLYMOUNT_AGREEMENT_FILE_STORE_HPP

#include "dragonflymount/src/Agreement/Disk.hpp"
#include "dragonflymount/src/Agreement/Segments.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

/// \brief What \c file_store::open found.
struct opened_log {
    recovered_state state;
    /// Bytes of an unfinished write that were cut off the newest segment.
    std::size_t tail_bytes_cut = 0;
};

/// \brief What the store makes of unreadable bytes at the end of the log.
enum class tail_policy : std::uint8_t {
    /// Cuts only what a crash of the process can leave: a short last frame,
    /// or zeros. Anything else is damage, and the replica stays silent.
    refuse_damage,
    /// Cuts everything from the first unreadable frame of the newest segment
    /// on. For disks that tear unsynced writes at a power loss but never
    /// damage what was synced.
    cut_torn_writes,
};

/// \brief Keeps the log in a data folder.
///
/// After a failure every call fails: what it has left on the disk is unknown.
template <disk Disk>
class file_store {
public:
    /// A segment that has grown beyond this is closed.
    static constexpr std::size_t segment_bytes = 1U << 20U;

    explicit file_store(
        Disk& folder, tail_policy tail = tail_policy::refuse_damage)
        : folder_(&folder), tail_(tail) {}

    /// \brief Makes the files of an empty folder; refuses any other.
    result<done> initialize(
        replica_identity identity, const member_list& members);
    /// \returns whether the folder holds no file.
    result<bool> is_empty();
    /// \brief Reads the folder; fails with \c errc::damaged_log if a file
    /// that was synced doesn't hold what was written.
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
    // Invariant: the newest segment takes records only while this holds.
    bool is_open_ = false;
    // Invariant: follows the newest segment's number without a gap.
    std::uint64_t next_sequence_ = 1;
    // Frames that the newest segment lacks.
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
    // The identity comes last: without it the folder doesn't open.
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

// A process that was killed may have written records and not synced them.
// They are read back here and count from now on, so they must be durable.
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
        // A segment that was removed gives its number to the next one.
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
    // Without a record it replaces nothing; the crash came before its first
    // sync.
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
            // The first frame of a segment names the record before it.
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

// A segment that begins beyond a record can't discard it by itself: those
// before it may be removed.
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

// From the oldest on, each synced: a crash must not leave a gap.
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

// From the newest on: what a crash leaves must begin before the snapshot.
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
