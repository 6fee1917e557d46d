// Identifiers of jobs, tasks and endpoint lives, and resource amounts.
#ifndef DRAGONFLYMOUNT_JOBS_TYPES_HPP
#define DRAGONFLYMOUNT_JOBS_TYPES_HPP

#include "dragonflymount/wire.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

namespace dragonflymount::jobs {

/// \brief The ID of a job, chosen by the caller and unique over all queues.
using job_id = strong_number<struct job_tag>;
/// \brief Log time: milliseconds since 1970 by the leader's wall clock. It
/// never decreases, but it may jump ahead.
using log_time_ms = strong_number<struct log_time_tag>;

/// \brief Identifies a task of one occurrence of a job. Each occurrence runs
/// all steps and tasks of the job again.
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

/// \brief One life (incarnation) of an endpoint. It ends when the endpoint
/// crashes or restarts or its VM is moved; no run continues after that.
struct endpoint_life {
    std::string endpoint;
    /// Start of this life in milliseconds since 1970 by the endpoint's own
    /// wall clock. A later life of the same endpoint has a larger number.
    std::uint64_t number = 0;

    friend bool operator==(
        const endpoint_life&, const endpoint_life&) = default;
    friend bool operator<(
        const endpoint_life& left, const endpoint_life& right) {
        return std::tie(left.endpoint, left.number) <
            std::tie(right.endpoint, right.number);
    }
    template <class Hash>
    friend Hash AbslHashValue(Hash hash, const endpoint_life& life) {
        return Hash::combine(std::move(hash), life.endpoint, life.number);
    }
};

/// \brief Amounts of the resources that tasks use and VMs provide.
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

    /// \returns whether no amount exceeds that of \p room.
    bool fits(const resources& room) const {
        return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb &&
            gpus <= room.gpus;
    }
};

/// \brief The part of a VM's capacity that one task of \p step reserves. A task
/// that runs in left-over processor time reserves no processor time.
inline resources room_of(const wire::JobStepT& step) {
    return {step.fills ? 0 : static_cast<std::int64_t>(step.cpu_milli),
        static_cast<std::int64_t>(step.memory_mb),
        static_cast<std::int64_t>(step.gpus)};
}

/// \brief The amounts that one task of \p step adds to its team's usage, which
/// is compared with the team's limits.
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

/// \returns the task's name as logs show it: JOB.OCCURRENCE.STEP.INDEX, the
/// job in 16 hexadecimal digits.
std::string to_string(const task_name& name);
/// \returns the job's ID in 16 hexadecimal digits.
std::string to_string(job_id job);
/// \param text 16 hexadecimal digits.
/// \returns the job's ID, or nothing if \p text has another form.
std::optional<job_id> parse_job_id(std::string_view text);
/// \param text a name as \c to_string writes it.
/// \returns the task's name, or nothing if \p text has another form.
std::optional<task_name> parse_task_name(std::string_view text);

} // namespace dragonflymount::jobs

#endif
