// Converts between records and the entries of an append request.
#include "dragonflymount/src/Agreement/Batch.hpp"

#include "dragonflymount/src/Agreement/Log.hpp"
#include "dragonflymount/src/Wire/Deflate.hpp"

namespace dragonflymount::agreement {
namespace {

using entry_list = std::vector<std::unique_ptr<wire::LogEntryT>>;

std::vector<log_record> to_records(const entry_list& entries) {
    std::vector<log_record> records;
    records.reserve(entries.size());
    for (const auto& entry : entries) {
        records.push_back({log_term(entry->term), log_index(entry->index),
            static_cast<record_kind>(entry->kind), entry->payload});
    }
    return records;
}

} // namespace

std::size_t put_records(std::vector<log_record> records, bool packed,
    wire::AppendRequestT& request) {
    wire::LogEntriesT list;
    std::size_t plain = 0;
    for (log_record& record : records) {
        plain += size_of(record);
        auto entry = std::make_unique<wire::LogEntryT>();
        entry->term = record.term.value();
        entry->index = record.index.value();
        entry->kind = static_cast<wire::record_kind>(record.kind);
        entry->payload = std::move(record.payload);
        list.entries.push_back(std::move(entry));
    }
    if (packed && plain >= least_packed_bytes && plain <= most_packed_bytes) {
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(wire::LogEntries::Pack(builder, &list));
        if (auto smaller = wire::deflate(
                {builder.GetBufferPointer(), builder.GetSize()})) {
            request.packed = std::move(*smaller);
            request.packed_bytes = builder.GetSize();
            return request.packed.size();
        }
    }
    request.entries = std::move(list.entries);
    return plain;
}

std::optional<std::vector<log_record>> take_records(
    const wire::AppendRequestT& request) {
    if (request.packed.empty()) {
        return to_records(request.entries);
    }
    const auto whole = wire::inflate(request.packed, request.packed_bytes);
    if (!whole) {
        return std::nullopt;
    }
    flatbuffers::Verifier verifier(whole->data(), whole->size());
    if (!verifier.VerifyBuffer<wire::LogEntries>(nullptr)) {
        return std::nullopt;
    }
    wire::LogEntriesT list;
    flatbuffers::GetRoot<wire::LogEntries>(whole->data())->UnPackTo(&list);
    return to_records(list.entries);
}

} // namespace dragonflymount::agreement
