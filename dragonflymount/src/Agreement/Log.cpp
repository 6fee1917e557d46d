// Implements the in-memory log and its compaction.
#include "dragonflymount/src/Agreement/Log.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

namespace {

// Bytes that a record takes beside its payload, about.
constexpr std::size_t record_overhead = 32;

} // namespace

std::size_t size_of(const log_record& record) {
    return record.payload.size() + record_overhead;
}

memory_log::memory_log(
    snapshot base, std::vector<log_record> records, kept_records kept)
    : kept_(kept), base_(std::move(base)), before_(base_.last_index),
      before_term_(base_.last_term) {
    for (log_record& record : records) {
        append(std::move(record));
    }
    find_members();
}

log_index memory_log::last_index() const {
    return log_index(before_.value() + records_.size());
}

log_term memory_log::last_term() const {
    return records_.empty() ? before_term_ : records_.back().term;
}

std::optional<log_term> memory_log::term_at(log_index index) const {
    if (index == before_) {
        return before_term_;
    }
    if (index < before_ || index > last_index()) {
        return std::nullopt;
    }
    return at(index).term;
}

const log_record& memory_log::at(log_index index) const {
    return records_.at(index.value() - first_index().value());
}

std::size_t memory_log::size() const {
    return last_index().value() - base_.last_index.value();
}

std::uint64_t memory_log::end_of(log_index index) const {
    if (index <= before_ || records_.empty()) {
        return end_before_;
    }
    return ends_.at(
        std::min(index, last_index()).value() - first_index().value());
}

std::size_t memory_log::bytes_between(log_index index, log_index last) const {
    return index >= last ? 0 : end_of(last) - end_of(index);
}

std::vector<log_record> memory_log::slice(
    log_index from, std::size_t max_count) const {
    if (from < first_index() || from > last_index()) {
        return {};
    }
    const auto begin = records_.begin() +
        static_cast<std::ptrdiff_t>(from.value() - first_index().value());
    const auto left = static_cast<std::size_t>(records_.end() - begin);
    return {
        begin, begin + static_cast<std::ptrdiff_t>(std::min(max_count, left))};
}

void memory_log::append(log_record record) {
    if (record.kind == record_kind::members) {
        if (auto list = decode_members(record.payload)) {
            members_ = *list;
            members_index_ = record.index;
        }
    }
    ends_.push_back(end_of(last_index()) + size_of(record));
    records_.push_back(std::move(record));
}

void memory_log::truncate(log_index from) {
    if (from > last_index()) {
        return;
    }
    const std::size_t left = from.value() - first_index().value();
    records_.resize(left);
    ends_.resize(left);
    if (members_index_ >= from) {
        find_members();
    }
}

void memory_log::compact(snapshot base) {
    if (base.last_index <= base_.last_index) {
        return;
    }
    const bool holds_last = term_at(base.last_index) == base.last_term;
    base_ = std::move(base);
    if (holds_last) {
        drop_covered();
    } else {
        end_before_ = end_of(last_index());
        records_.clear();
        ends_.clear();
        before_ = base_.last_index;
        before_term_ = base_.last_term;
    }
    find_members();
}

void memory_log::drop_covered() {
    while (before_ < base_.last_index &&
        (bytes_between(before_, base_.last_index) > kept_.bytes ||
            base_.last_index.value() - before_.value() > kept_.count)) {
        before_ = before_.next();
        before_term_ = records_.front().term;
        end_before_ = ends_.front();
        records_.pop_front();
        ends_.pop_front();
    }
}

void memory_log::find_members() {
    members_ = base_.members;
    members_index_ = log_index(0);
    const auto newest = std::find_if(
        records_.rbegin(), records_.rend(), [this](const log_record& record) {
            return record.kind == record_kind::members &&
                record.index > base_.last_index;
        });
    if (newest == records_.rend()) {
        return;
    }
    if (auto list = decode_members(newest->payload)) {
        members_ = *list;
        members_index_ = newest->index;
    }
}

} // namespace dragonflymount::agreement
