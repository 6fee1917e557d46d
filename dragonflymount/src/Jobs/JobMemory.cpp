// Estimates the memory of jobs from the sizes of their records.
#include "dragonflymount/src/Jobs/JobMemory.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// Of a record that is allocated by itself: its pointer in a vector that grows
// by doubling, and what the allocator adds.
constexpr std::uint64_t record_bytes = 32;
// Of a job in the indexes of the state.
constexpr std::uint64_t index_bytes = 200;

constexpr std::uint64_t job_bytes = sizeof(wire::JobT) +
    sizeof(wire::JobSpecT) + 2 * record_bytes + index_bytes;
constexpr std::uint64_t step_bytes = sizeof(wire::JobStepT) + record_bytes;
constexpr std::uint64_t occurrence_bytes =
    sizeof(wire::JobOccurrenceT) + record_bytes;
constexpr std::uint64_t group_bytes = sizeof(wire::StepTasksT) + record_bytes;
constexpr std::uint64_t task_bytes = sizeof(wire::JobTaskT) + record_bytes;

std::uint64_t memory_of(const wire::JobStepT& step) {
    return step_bytes + step.depends_on.size() * sizeof(std::uint32_t) +
        step.required_label.size() + step.preferred_rack.size() +
        step.image.size();
}

} // namespace

std::uint64_t memory_of(const wire::JobT& job) {
    const wire::JobSpecT& spec = *job.spec;
    std::uint64_t bytes = job_bytes + spec.payload.size();
    std::uint64_t of_occurrence = occurrence_bytes;
    for (const auto& step : spec.steps) {
        bytes += memory_of(*step);
        of_occurrence += group_bytes + step->count * task_bytes;
    }
    // The spec of a job that is over and has no run is empty.
    const std::uint64_t occurrences = spec.steps.empty()
        ? 0
        : std::max<std::uint64_t>(1, job.occurrences.size());
    return bytes + occurrences * of_occurrence;
}

} // namespace dragonflymount::jobs
