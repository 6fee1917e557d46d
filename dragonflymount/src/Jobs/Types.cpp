// Converts the identifiers of jobs and tasks to and from text.
#include "dragonflymount/src/Jobs/Types.hpp"

#include <absl/strings/str_cat.h>

#include <charconv>

namespace dragonflymount::jobs {
namespace {

constexpr std::size_t job_digits = 16;

} // namespace

std::string to_string(job_id job) {
    return absl::StrCat(absl::Hex(job.value(), absl::kZeroPad16));
}

std::string to_string(const task_name& name) {
    return absl::StrCat(to_string(name.job), ".", name.occurrence, ".",
        name.step, ".", name.index);
}

std::optional<job_id> parse_job_id(std::string_view text) {
    if (text.size() != job_digits) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, value, 16);
    if (code != std::errc() || rest != end) {
        return std::nullopt;
    }
    return job_id(value);
}

std::optional<task_name> parse_task_name(std::string_view text) {
    const auto parts = split(text, '.');
    if (parts.size() != 4) {
        return std::nullopt;
    }
    const auto job = parse_job_id(parts[0]);
    const auto occurrence = parse_number<std::uint32_t>(parts[1]);
    const auto step = parse_number<std::uint32_t>(parts[2]);
    const auto index = parse_number<std::uint32_t>(parts[3]);
    if (!job || !occurrence || !step || !index) {
        return std::nullopt;
    }
    return task_name{*job, *occurrence, *step, *index};
}

} // namespace dragonflymount::jobs
