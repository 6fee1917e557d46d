// Keeps the jobs whose first start no report has confirmed.
#include "dragonflymount/src/Jobs/UnconfirmedJobs.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

bool is_active(const wire::JobT* job) {
    return job != nullptr && job->phase == wire::job_phase::active;
}

bool has_outcome(const wire::StepTasksT& group) {
    return group.done > 0 || group.gang_failures > 0 ||
        std::any_of(
            group.tasks.begin(), group.tasks.end(), [](const auto& task) {
                return task->failures > 0 || !task->checkpoint.empty();
            });
}

// Whether an end of one of its runs shows that a task of the job has started.
// Occurrences that are done are forgotten, so one that is missing shows it too.
bool has_outcome(const wire::JobT& job) {
    return job.occurrences.size() < job.next_occurrence ||
        std::any_of(job.occurrences.begin(), job.occurrences.end(),
            [](const auto& occurrence) {
                return std::any_of(occurrence->steps.begin(),
                    occurrence->steps.end(),
                    [](const auto& group) { return has_outcome(*group); });
            });
}

} // namespace

void unconfirmed_jobs::reset(const state& agreed) {
    clear();
    for (const job_id id : agreed.active_jobs()) {
        const wire::JobT& job = *agreed.find_job(id);
        if (job.begun && !has_outcome(job)) {
            jobs_.insert(id);
        }
    }
}

void unconfirmed_jobs::clear() {
    jobs_.clear();
    proposed_.clear();
}

void unconfirmed_jobs::commit() {
    jobs_.insert(proposed_.begin(), proposed_.end());
    proposed_.clear();
}

void unconfirmed_jobs::confirm(const endpoint_report& report) {
    if (jobs_.empty()) {
        return;
    }
    for (const running_task& listed : report.running) {
        jobs_.erase(listed.run.task.job);
    }
    for (const ended_task& listed : report.ended) {
        if (listed.how != wire::run_end::refused) {
            jobs_.erase(listed.run.task.job);
        }
    }
}

void unconfirmed_jobs::erase_ended(const state& agreed) {
    std::erase_if(
        jobs_, [&](job_id id) { return !is_active(agreed.find_job(id)); });
}

std::uint32_t unconfirmed_jobs::count_in(
    const std::string& queue, const state& agreed) const {
    return static_cast<std::uint32_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [&](job_id id) {
            const wire::JobT* job = agreed.find_job(id);
            return is_active(job) && job->queue == queue;
        }));
}

} // namespace dragonflymount::jobs
