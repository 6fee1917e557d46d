// Reads and writes frames with checksums and the FlatBuffers tables in them.
#include "dragonflymount/src/Agreement/RecordFile.hpp"

#include <algorithm>

namespace dragonflymount::agreement {
namespace {

constexpr std::size_t checksummed_header_bytes = 8;

void put_number(bytes& file, std::uint32_t number) {
    for (unsigned shift = 0; shift < 32; shift += 8) {
        file.push_back(static_cast<std::uint8_t>(number >> shift));
    }
}

std::uint32_t get_number(std::span<const std::uint8_t> data) {
    std::uint32_t number = 0;
    for (unsigned k = 0; k < 4; ++k) {
        number |= static_cast<std::uint32_t>(data[k]) << (8 * k);
    }
    return number;
}

bool is_zero(std::span<const std::uint8_t> data) {
    return std::all_of(data.begin(), data.end(),
        [](std::uint8_t value) { return value == 0; });
}

bool is_header_valid(std::span<const std::uint8_t> header) {
    return wire::checksum(header.first(checksummed_header_bytes)) ==
        get_number(header.subspan(checksummed_header_bytes));
}

template <class Table>
bytes pack(const typename Table::NativeTableType& content) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &content));
    return {builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

template <class Table>
result<typename Table::NativeTableType> unpack(
    std::span<const std::uint8_t> payload, const char* step) {
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        return failure{
            make_error_code(errc::damaged_log), step, {}, "not a valid table"};
    }
    typename Table::NativeTableType content;
    flatbuffers::GetRoot<Table>(payload.data())->UnPackTo(&content);
    return content;
}

} // namespace

void append_frame(bytes& file, std::span<const std::uint8_t> payload) {
    bytes header;
    put_number(header, static_cast<std::uint32_t>(payload.size()));
    put_number(header, wire::checksum(payload));
    put_number(header, wire::checksum(header));
    file.insert(file.end(), header.begin(), header.end());
    file.insert(file.end(), payload.begin(), payload.end());
}

frame_scan scan_frames(std::span<const std::uint8_t> file) {
    frame_scan scan;
    while (scan.valid_bytes < file.size()) {
        const auto rest = file.subspan(scan.valid_bytes);
        if (rest.size() < record_header_bytes || is_zero(rest)) {
            scan.condition = file_condition::torn_tail;
            return scan;
        }
        const auto header = rest.first(record_header_bytes);
        if (!is_header_valid(header)) {
            scan.condition = file_condition::damaged;
            return scan;
        }
        const std::size_t length = get_number(header);
        if (rest.size() - record_header_bytes < length) {
            scan.condition = file_condition::torn_tail;
            return scan;
        }
        const auto payload = rest.subspan(record_header_bytes, length);
        if (wire::checksum(payload) != get_number(header.subspan(4))) {
            scan.condition = file_condition::damaged;
            return scan;
        }
        scan.payloads.push_back(payload);
        scan.valid_bytes += record_header_bytes + length;
    }
    return scan;
}

bytes encode_record(const log_record& record) {
    wire::LogEntryT entry;
    entry.term = record.term.value();
    entry.index = record.index.value();
    entry.kind = static_cast<wire::record_kind>(record.kind);
    entry.payload = record.payload;
    return pack<wire::LogEntry>(entry);
}

result<log_record> decode_record(std::span<const std::uint8_t> payload) {
    auto entry = unpack<wire::LogEntry>(payload, "read record");
    if (!entry) {
        return entry.error();
    }
    return log_record{log_term(entry->term), log_index(entry->index),
        static_cast<record_kind>(entry->kind), std::move(entry->payload)};
}

bytes encode_hard_state(const hard_state& hard) {
    wire::HardStateT content;
    content.term = hard.term.value();
    content.vote = hard.vote.str();
    return pack<wire::HardState>(content);
}

result<hard_state> decode_hard_state(std::span<const std::uint8_t> payload) {
    auto content = unpack<wire::HardState>(payload, "read hard state");
    if (!content) {
        return content.error();
    }
    return hard_state{log_term(content->term), replica_id(content->vote)};
}

bytes encode_identity(replica_identity identity) {
    wire::DataFolderT content;
    content.identity = identity.value();
    return pack<wire::DataFolder>(content);
}

result<replica_identity> decode_identity(
    std::span<const std::uint8_t> payload) {
    auto content = unpack<wire::DataFolder>(payload, "read identity");
    if (!content) {
        return content.error();
    }
    return replica_identity(content->identity);
}

bytes encode_snapshot(const snapshot& image) {
    return pack<wire::SnapshotImage>(to_wire(image));
}

result<snapshot> decode_snapshot(std::span<const std::uint8_t> payload) {
    auto content = unpack<wire::SnapshotImage>(payload, "read snapshot");
    if (!content) {
        return content.error();
    }
    return from_wire(*content);
}

} // namespace dragonflymount::agreement
