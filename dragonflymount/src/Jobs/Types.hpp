// Names and amounts that the job scheduler works with.
#ifndef DRAGONFLYMOUNT_JOBS_TYPES_HPP
#define DRAGONFLYMOUNT_JOBS_TYPES_HPP

#include "dragonflymount/wire.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>

namespace dragonflymount::jobs {

/// \brief Chosen by the caller; unique over all queues.
using job_id = strong_number<struct job_tag>;
/// \brief Milliseconds since 1970 as the leader's wall clock gave them; log
/// time never goes back, but it may jump ahead.
using log_time_ms = strong_number<struct log_time_tag>;

/// \brief One task: the same tasks run again in each occurrence of a job.
struct task_name {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_name&, const task_name&) = default;
    friend bool operator<(const task_name& left, const task_name& right) {
        return std::tie(left.job, left.occurrence, left.step, left.index) <
            std::tie(right.job, right.occurrence, right.step, right.index);
    }
};

/// \brief One life of an endpoint: it ends with a crash, a restart or a move
/// of its VM, and nothing that ran in it goes on.
struct endpoint_life {
    std::string endpoint;
    /// Start of this life on the endpoint's own wall clock, in milliseconds
    /// since 1970; a later life of the same endpoint has a larger number.
    std::uint64_t number = 0;

    friend bool operator==(
        const endpoint_life&, const endpoint_life&) = default;
    friend bool operator<(
        const endpoint_life& left, const endpoint_life& right) {
        return std::tie(left.endpoint, left.number) <
            std::tie(right.endpoint, right.number);
    }
};

/// \brief What tasks use and VMs offer.
struct resources {
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t gpus = 0;

    resources& operator+=(const resources& other) {
        cpu_milli += other.cpu_milli;
        memory_mb += other.memory_mb;
        gpus += other.gpus;
        return *this;
    }
    resources& operator-=(const resources& other) {
        cpu_milli -= other.cpu_milli;
        memory_mb -= other.memory_mb;
        gpus -= other.gpus;
        return *this;
    }
    friend resources operator+(resources left, const resources& right) {
        return left += right;
    }
    friend resources operator-(resources left, const resources& right) {
        return left -= right;
    }
    friend bool operator==(const resources&, const resources&) = default;

    /// \returns whether this fits into \p room in every respect.
    bool fits(const resources& room) const {
        return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb &&
            gpus <= room.gpus;
    }
};

/// \brief What one task of \p step takes from a VM's capacity. A task that
/// fills left-over processor time takes none of it.
inline resources room_of(const wire::JobStepT& step) {
    return {step.fills ? 0 : static_cast<std::int64_t>(step.cpu_milli),
        static_cast<std::int64_t>(step.memory_mb),
        static_cast<std::int64_t>(step.gpus)};
}

/// \brief What one task of \p step counts for against its team's limit.
inline resources usage_of(const wire::JobStepT& step) {
    return {static_cast<std::int64_t>(step.cpu_milli),
        static_cast<std::int64_t>(step.memory_mb),
        static_cast<std::int64_t>(step.gpus)};
}

inline wire::TaskNameT to_wire(const task_name& name) {
    wire::TaskNameT packed;
    packed.job = name.job.value();
    packed.occurrence = name.occurrence;
    packed.step = name.step;
    packed.index = name.index;
    return packed;
}

inline task_name from_wire(const wire::TaskNameT& packed) {
    return {job_id(packed.job), packed.occurrence, packed.step, packed.index};
}

/// \brief Writes the name as it stands in logs: JOB.OCCURRENCE.STEP.INDEX,
/// the job in 16 hexadecimal digits.
std::string to_string(const task_name& name);
std::string to_string(job_id job);
/// \returns the job that 16 hexadecimal digits name, or nothing.
std::optional<job_id> parse_job_id(std::string_view text);
std::optional<task_name> parse_task_name(std::string_view text);

} // namespace dragonflymount::jobs

#endif
