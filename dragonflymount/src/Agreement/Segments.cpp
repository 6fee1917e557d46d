// Implements the chain of records and the file names of a data folder.
#include "dragonflymount/src/Agreement/Segments.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

log_index log_chain::last() const {
    return log_index(base_.value() + terms_.size());
}

log_term log_chain::last_term() const {
    return terms_.empty() ? base_term_ : terms_.back();
}

bool log_chain::holds(log_index index, log_term term) const {
    if (index == base_) {
        return term == base_term_;
    }
    if (index < base_ || index > last()) {
        return false;
    }
    return terms_[index.value() - base_.value() - 1] == term;
}

void log_chain::truncate(log_index index) {
    if (index <= last()) {
        terms_.resize(index.value() - base_.value() - 1);
    }
}

bool log_chain::append(log_index index, log_term term) {
    if (index <= base_ || index > last().next()) {
        return false;
    }
    truncate(index);
    terms_.push_back(term);
    return true;
}

std::string segment_name(std::uint64_t sequence) {
    return std::string(segment_prefix) + std::to_string(sequence);
}

std::string snapshot_name(log_index index) {
    return std::string(snapshot_prefix) + std::to_string(index.value());
}

std::optional<std::uint64_t> parse_file_number(
    const std::string& name, std::string_view prefix) {
    if (!name.starts_with(prefix)) {
        return std::nullopt;
    }
    return parse_number<std::uint64_t>(
        std::string_view(name).substr(prefix.size()));
}

std::vector<std::uint64_t> file_numbers(
    const std::vector<std::string>& names, std::string_view prefix) {
    std::vector<std::uint64_t> numbers;
    for (const std::string& name : names) {
        if (const auto number = parse_file_number(name, prefix)) {
            numbers.push_back(*number);
        }
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

bool is_store_file(std::string_view name) {
    if (name.ends_with(unfinished_suffix)) {
        name.remove_suffix(unfinished_suffix.size());
    }
    const std::string whole(name);
    return whole == identity_file || whole == hard_file ||
        parse_file_number(whole, segment_prefix) ||
        parse_file_number(whole, snapshot_prefix);
}

failure damage_failure(const std::string& file, std::string detail) {
    return {make_error_code(errc::damaged_log), "read log", file,
        std::move(detail)};
}

} // namespace dragonflymount::agreement
