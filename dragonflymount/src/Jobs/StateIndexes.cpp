// Indexes over the replicated jobs: updated with each change, and rebuilt when
// an image is loaded.
#include "dragonflymount/src/Jobs/State.hpp"

#include "dragonflymount/src/Jobs/JobMemory.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

bool is_startable(
    const wire::JobOccurrenceT& occurrence, const wire::JobSpecT& spec) {
    for (std::size_t k = 0; k < occurrence.steps.size(); ++k) {
        const wire::StepTasksT& group = *occurrence.steps[k];
        if (group.done < group.tasks.size() &&
            is_ready(occurrence, *spec.steps[k]) &&
            std::any_of(group.tasks.begin(), group.tasks.end(),
                [](const auto& task) { return is_waiting(*task); })) {
            return true;
        }
    }
    return false;
}

} // namespace

void state::rebuild_indexes() {
    active_.clear();
    startable_.clear();
    repeating_.clear();
    suspects_.clear();
    pending_.clear();
    loads_.clear();
    load_of_life_.clear();
    team_usage_.clear();
    ended_.clear();
    job_memory_ = 0;
    for (const auto& [id, job] : jobs_) {
        job_memory_ += memory_of(*job);
        if (job->phase == wire::job_phase::active) {
            index_active(*job);
        } else {
            ended_.emplace_back(job->ended_ms, job_id(id));
        }
        for (const auto& occurrence : job->occurrences) {
            for (std::uint32_t s = 0; s < occurrence->steps.size(); ++s) {
                const auto& tasks = occurrence->steps[s]->tasks;
                for (std::uint32_t k = 0; k < tasks.size(); ++k) {
                    index_suspect({job_id(id), occurrence->number, s, k}, *job,
                        *tasks[k]);
                    for (const auto& record : tasks[k]->runs) {
                        add_run({{job_id(id), occurrence->number, s, k},
                                    record->number},
                            *record, *job, *job->spec->steps[s]);
                    }
                }
            }
        }
    }
    std::sort(ended_.begin(), ended_.end());
}

void state::index_suspect(
    const task_name& name, const wire::JobT& job, const wire::JobTaskT& task) {
    if (job.phase == wire::job_phase::active && !task.done &&
        is_suspect(task)) {
        suspects_.insert(name);
    }
}

// Removes the suspects of a job that are done, or all of them if the job has
// ended.
void state::clear_suspects(const wire::JobT& job) {
    const auto begin = suspects_.lower_bound({job_id(job.id), 0, 0, 0});
    for (auto each = begin;
         each != suspects_.end() && each->job == job_id(job.id);) {
        const task_place place = find_task(*each);
        const bool stays =
            job.phase == wire::job_phase::active && place && !place.task->done;
        each = stays ? std::next(each) : suspects_.erase(each);
    }
}

void state::index_active(const wire::JobT& job) {
    active_.insert(job_id(job.id));
    if (!job.begun) {
        ++pending_[job.queue];
    }
    index_startable(job);
}

void state::unindex_active(const wire::JobT& job) {
    const job_id id(job.id);
    if (active_.erase(id) > 0 && !job.begun) {
        --pending_[job.queue];
    }
    startable_.erase(id);
    repeating_.erase(id);
}

void state::index_startable(const wire::JobT& job) {
    const job_id id(job.id);
    const bool startable = std::any_of(job.occurrences.begin(),
        job.occurrences.end(), [&](const auto& occurrence) {
            return is_startable(*occurrence, *job.spec);
        });
    if (startable) {
        startable_.insert(id);
    } else {
        startable_.erase(id);
    }
    if (job.next_occurrence < job.spec->repeats) {
        repeating_.insert(id);
    } else {
        repeating_.erase(id);
    }
}

void state::add_run(const run_ref& run, const wire::TaskRunT& record,
    const wire::JobT& job, const wire::JobStepT& step) {
    endpoint_load*& known = load_of_life_[{record.endpoint, record.life}];
    if (known == nullptr) {
        known = &loads_[{record.endpoint, record.life}];
    }
    endpoint_load& load = *known;
    load.used += room_of(step);
    load.runs.push_back(run);
    load.long_running_runs += step.long_running ? 1 : 0;
    team_usage_[job.team] += usage_of(step);
}

void state::remove_run(const run_ref& run, const wire::TaskRunT& record,
    const wire::JobT& job, const wire::JobStepT& step) {
    team_usage_[job.team] -= usage_of(step);
    const endpoint_life life{record.endpoint, record.life};
    const auto found = load_of_life_.find(life);
    if (found == load_of_life_.end()) {
        return;
    }
    endpoint_load& load = *found->second;
    load.used -= room_of(step);
    std::erase(load.runs, run);
    load.long_running_runs -= step.long_running ? 1 : 0;
    if (load.runs.empty()) {
        load_of_life_.erase(found);
        loads_.erase(life);
    }
}

} // namespace dragonflymount::jobs
