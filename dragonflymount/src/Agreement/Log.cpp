// Implements the in-memory log and its compaction.
#include "dragonflymount/src/Agreement/Log.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

memory_log::memory_log(snapshot base, std::vector<log_record> records)
    : base_(std::move(base)), records_(std::move(records)) {
    find_members();
}

log_index memory_log::last_index() const {
    return log_index(base_.last_index.value() + records_.size());
}

log_term memory_log::last_term() const {
    return records_.empty() ? base_.last_term : records_.back().term;
}

std::optional<log_term> memory_log::term_at(log_index index) const {
    if (index == base_.last_index) {
        return base_.last_term;
    }
    if (index < base_.last_index || index > last_index()) {
        return std::nullopt;
    }
    return at(index).term;
}

const log_record& memory_log::at(log_index index) const {
    return records_.at(index.value() - first_index().value());
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
    records_.push_back(std::move(record));
}

void memory_log::truncate(log_index from) {
    if (from > last_index()) {
        return;
    }
    records_.resize(from.value() - first_index().value());
    if (members_index_ >= from) {
        find_members();
    }
}

void memory_log::compact(snapshot base) {
    if (base.last_index <= base_.last_index) {
        return;
    }
    const std::optional<log_term> term = term_at(base.last_index);
    if (term == base.last_term) {
        const auto count = base.last_index.value() - base_.last_index.value();
        records_.erase(records_.begin(),
            records_.begin() + static_cast<std::ptrdiff_t>(count));
    } else {
        records_.clear();
    }
    base_ = std::move(base);
    find_members();
}

void memory_log::find_members() {
    members_ = base_.members;
    members_index_ = log_index(0);
    const auto newest = std::find_if(
        records_.rbegin(), records_.rend(), [](const log_record& record) {
            return record.kind == record_kind::members;
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
