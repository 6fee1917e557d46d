// Applies batches to the replicated state of the job scheduler and answers
// queries on it.
#include "dragonflymount/src/Jobs/State.hpp"

#include "dragonflymount/src/Jobs/JobMemory.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// How long an acknowledgement is stored after the last end from its life. By
// then the endpoint no longer reports ends that it covers.
constexpr std::uint64_t ack_retention_ms = 900'000;

template <class Index>
std::size_t find_index(const Index& index, const std::string& name) {
    const auto found = index.find(name);
    return found == index.end() ? static_cast<std::size_t>(-1) : found->second;
}

template <class Table>
std::map<std::string, std::size_t> index_names(const Table& table) {
    std::map<std::string, std::size_t> index;
    for (std::size_t k = 0; k < table.size(); ++k) {
        index.emplace(table[k]->name, k);
    }
    return index;
}

bool has_runs(const wire::StepTasksT& group) {
    return std::any_of(group.tasks.begin(), group.tasks.end(),
        [](const auto& task) { return !task->runs.empty(); });
}

bool has_runs(const wire::JobOccurrenceT& occurrence) {
    return std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
        [](const auto& group) { return has_runs(*group); });
}

bool is_done(const wire::JobOccurrenceT& occurrence) {
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
        [](const auto& group) { return group->done == group->tasks.size(); });
}

std::uint32_t occurrence_count(const wire::JobSpecT& spec) {
    return std::max(spec.repeats, 1U);
}

} // namespace

bool is_ready(
    const wire::JobOccurrenceT& occurrence, const wire::JobStepT& step) {
    return std::all_of(step.depends_on.begin(), step.depends_on.end(),
        [&](std::uint32_t earlier) {
            const auto& group = *occurrence.steps[earlier];
            return group.done == group.tasks.size();
        });
}

absl::flat_hash_set<std::string_view> finished_vms(
    const wire::MaintenanceWaveT& wave) {
    absl::flat_hash_set<std::string_view> finished;
    for (const auto& step : wave.steps) {
        if (step->phase >= wire::maintenance_phase::returned) {
            finished.insert(step->vm);
        }
    }
    return finished;
}

bool is_complete(const wire::MaintenanceWaveT& wave) {
    const auto finished = finished_vms(wave);
    return std::all_of(wave.vms.begin(), wave.vms.end(),
        [&](const std::string& vm) { return finished.contains(vm); });
}

// ---- Queries ---------------------------------------------------------------

const wire::JobQueueT* state::find_queue(const std::string& name) const {
    const std::size_t place = find_index(queue_index_, name);
    return place < catalogue_->queues.size() ? catalogue_->queues[place].get()
                                             : nullptr;
}

const wire::JobPoolT* state::find_pool(const std::string& name) const {
    const std::size_t place = find_index(pool_index_, name);
    return place < catalogue_->pools.size() ? catalogue_->pools[place].get()
                                            : nullptr;
}

const wire::JobTeamT* state::find_team(const std::string& name) const {
    const std::size_t place = find_index(team_index_, name);
    return place < catalogue_->teams.size() ? catalogue_->teams[place].get()
                                            : nullptr;
}

const wire::JobTeamT* state::team_of_key(const std::string& key) const {
    const std::size_t place = find_index(key_index_, key);
    return place < catalogue_->teams.size() ? catalogue_->teams[place].get()
                                            : nullptr;
}

const wire::JobT* state::find_job(job_id id) const {
    const auto found = jobs_.find(id.value());
    return found == jobs_.end() ? nullptr : found->second.get();
}

task_place state::find_task(const task_name& name) const {
    const auto found = jobs_.find(name.job.value());
    if (found == jobs_.end()) {
        return {};
    }
    wire::JobT& job = *found->second;
    if (!job.spec || name.step >= job.spec->steps.size()) {
        return {};
    }
    for (const auto& occurrence : job.occurrences) {
        if (occurrence->number != name.occurrence) {
            continue;
        }
        wire::StepTasksT& group = *occurrence->steps[name.step];
        if (name.index >= group.tasks.size()) {
            return {};
        }
        return {&job, occurrence.get(), job.spec->steps[name.step].get(),
            &group, group.tasks[name.index].get()};
    }
    return {};
}

const wire::TaskRunT* state::find_run(const run_ref& run) const {
    const task_place place = find_task(run.task);
    if (!place) {
        return nullptr;
    }
    for (const auto& record : place.task->runs) {
        if (record->number == run.run) {
            return record.get();
        }
    }
    return nullptr;
}

bool state::is_wanted(const run_ref& run) const {
    return jobs::is_wanted(find_task(run.task));
}

const endpoint_load* state::load_of(const endpoint_life& life) const {
    const auto found = load_of_life_.find(life);
    return found == load_of_life_.end() ? nullptr : found->second;
}

std::uint64_t state::acknowledged(const endpoint_life& life) const {
    const auto found = acks_.find(life);
    return found == acks_.end() ? 0 : found->second.number;
}

std::uint32_t state::pending_in(const std::string& queue) const {
    const auto found = pending_.find(queue);
    return found == pending_.end() ? 0 : found->second;
}

resources state::usage_of_team(const std::string& team) const {
    const auto found = team_usage_.find(team);
    return found == team_usage_.end() ? resources{} : found->second;
}

// ---- Batches ---------------------------------------------------------------

wire::ProposeReplyT state::apply(log_index, const bytes& command) {
    wire::ProposeReplyT reply;
    auto decoded = wire::decode_command(command);
    if (!decoded) {
        reply.result = wire::proposal_result::refused;
        reply.detail = decoded.error().message();
        return reply;
    }
    reply.result = wire::proposal_result::accepted;
    if (auto* batch = decoded->command.AsJobBatch()) {
        apply(*batch);
    }
    return reply;
}

void state::apply(wire::JobBatchT& batch) {
    time_ms_ = std::max(time_ms_, batch.time_ms);
    if (batch.catalogue && batch.catalogue->version > catalogue_->version) {
        set_catalogue(std::shared_ptr<const wire::CatalogueT>(
            std::move(batch.catalogue)));
    }
    for (auto& job : batch.submitted) {
        submit(std::move(*job));
    }
    for (const auto& order : batch.cancelled) {
        cancel(*order);
    }
    for (const auto& ended : batch.ended) {
        end(*ended);
    }
    for (const auto& due : batch.due) {
        const auto found = jobs_.find(due->job);
        if (found != jobs_.end() &&
            found->second->phase == wire::job_phase::active &&
            due->number == found->second->next_occurrence) {
            begin_occurrence(*found->second, due->number);
            index_startable(*found->second);
        }
    }
    for (const auto& order : batch.started) {
        start(*order);
    }
    for (auto& wave : batch.waves) {
        wave->started_ms = time_ms_;
        waves_.emplace(wave->number, std::move(*wave));
    }
    for (const auto& step : batch.maintained) {
        apply(*step);
    }
    for (const auto& change : batch.evacuations) {
        evacuations_.apply(*change, time_ms_);
    }
    remove_expired();
}

void state::set_catalogue(std::shared_ptr<const wire::CatalogueT> catalogue) {
    catalogue_ = std::move(catalogue);
    routes_.reset(*catalogue_);
    queue_index_ = index_names(catalogue_->queues);
    pool_index_ = index_names(catalogue_->pools);
    team_index_ = index_names(catalogue_->teams);
    key_index_.clear();
    for (std::size_t k = 0; k < catalogue_->teams.size(); ++k) {
        for (const std::string& key : catalogue_->teams[k]->keys) {
            key_index_.emplace(key, k);
        }
    }
}

void state::submit(wire::JobT job) {
    if (!job.spec || job.spec->steps.empty() || jobs_.contains(job.id)) {
        return;
    }
    job.accepted_ms = time_ms_;
    job.phase = wire::job_phase::active;
    const wire::JobTeamT* team = find_team(job.team);
    job.beyond_rate =
        team != nullptr && !rates_.spend(job.team, team->weight, time_ms_);
    const job_id id(job.id);
    auto& stored =
        *jobs_.emplace(id.value(), std::make_unique<wire::JobT>(std::move(job)))
             .first->second;
    job_memory_ += memory_of(stored);
    if (stored.spec->repeats == 0) {
        begin_occurrence(stored, 0);
    }
    index_active(stored);
}

template <class Change>
void state::change_job(wire::JobT& job, Change change) {
    job_memory_ -= memory_of(job);
    change();
    job_memory_ += memory_of(job);
}

void state::begin_occurrence(wire::JobT& job, std::uint32_t number) {
    auto occurrence = std::make_unique<wire::JobOccurrenceT>();
    occurrence->number = number;
    for (const auto& step : job.spec->steps) {
        auto group = std::make_unique<wire::StepTasksT>();
        for (std::uint32_t k = 0; k < step->count; ++k) {
            group->tasks.push_back(std::make_unique<wire::JobTaskT>());
        }
        occurrence->steps.push_back(std::move(group));
    }
    change_job(job, [&] { job.occurrences.push_back(std::move(occurrence)); });
    job.next_occurrence = number + 1;
}

void state::cancel(const wire::JobCancelT& order) {
    const auto found = jobs_.find(order.job);
    if (found != jobs_.end() &&
        found->second->phase == wire::job_phase::active) {
        finish_job(*found->second, wire::job_phase::cancelled);
    }
}

void state::start(const wire::RunStartT& order) {
    const run_ref run{from_wire(*order.task), order.run};
    const task_place place = find_task(run.task);
    if (!place || place.job->phase != wire::job_phase::active ||
        place.task->done || order.run <= place.task->last_run) {
        return;
    }
    auto record = std::make_unique<wire::TaskRunT>();
    record->number = order.run;
    record->endpoint = order.endpoint;
    record->life = order.life;
    record->started_ms = time_ms_;
    place.task->last_run = order.run;
    if (!place.job->begun) {
        place.job->begun = true;
        --pending_[place.job->queue];
    }
    add_run(run, *record, *place.job, *place.step);
    place.task->runs.push_back(std::move(record));
    index_startable(*place.job);
}

void state::end(const wire::RunEndT& ended) {
    const endpoint_life life{ended.endpoint, ended.life};
    if (ended.number > 0) {
        acknowledgement& ack = acks_[life];
        ack.number = std::max(ack.number, ended.number);
        ack.touched_ms = time_ms_;
    }
    if (!ended.task) {
        return;
    }
    const run_ref run{from_wire(*ended.task), ended.run};
    const task_place place = find_task(run.task);
    if (!place) {
        return;
    }
    auto& runs = place.task->runs;
    const auto found =
        std::find_if(runs.begin(), runs.end(), [&](const auto& record) {
            return record->number == ended.run &&
                record->endpoint == life.endpoint &&
                record->life == life.number;
        });
    if (found == runs.end()) {
        return;
    }
    remove_run(run, **found, *place.job, *place.step);
    runs.erase(found);
    if (place.job->phase == wire::job_phase::active) {
        record_outcome(place, ended);
    }
    if (place.job->phase != wire::job_phase::active) {
        remove_idle_occurrences(*place.job);
        return;
    }
    wire::JobT& job = *place.job;
    change_job(job, [&job] {
        std::erase_if(job.occurrences, [](const auto& occurrence) {
            return is_done(*occurrence) && !has_runs(*occurrence);
        });
    });
    index_startable(job);
}

void state::record_outcome(
    const task_place& place, const wire::RunEndT& ended) {
    if (place.task->done) {
        return;
    }
    if (!ended.checkpoint.empty()) {
        if (place.step->gang) {
            for (const auto& member : place.group->tasks) {
                member->checkpoint = ended.checkpoint;
            }
        } else {
            place.task->checkpoint = ended.checkpoint;
        }
    }
    if (count_crash(place, ended) || place.step->long_running) {
        return;
    }
    if (ended.how == wire::run_end::done) {
        finish_task(place);
    } else if (ended.how == wire::run_end::failed) {
        count_failure(place, ended);
    }
}

// The count is part of the replicated state, so that a change of leader doesn't
// begin it anew.
bool state::count_crash(const task_place& place, const wire::RunEndT& ended) {
    if (ended.crash == wire::crash_evidence::none) {
        return false;
    }
    wire::JobTaskT& task = *place.task;
    const crash_counts counts =
        jobs::count_crash(crash_counts_of(task), ended.crash);
    task.crashes = counts.crashes;
    task.start_crashes = counts.start_crashes;
    if (!is_suspect(task)) {
        suspects_.erase(from_wire(*ended.task));
        return false;
    }
    suspects_.insert(from_wire(*ended.task));
    if (!is_given_up(counts, ended.crash)) {
        return false;
    }
    finish_job(*place.job, wire::job_phase::failed);
    return true;
}

void state::count_failure(const task_place& place, const wire::RunEndT& ended) {
    std::uint32_t failures = 0;
    if (place.step->gang) {
        if (ended.run > place.group->gang_failed_run) {
            place.group->gang_failed_run = ended.run;
            ++place.group->gang_failures;
        }
        failures = place.group->gang_failures;
    } else {
        failures = ++place.task->failures;
    }
    const wire::JobQueueT* queue = find_queue(place.job->queue);
    if (queue != nullptr && failures >= queue->max_attempts) {
        finish_job(*place.job, wire::job_phase::failed);
    }
}

void state::finish_task(const task_place& place) {
    // The completion of one member completes the whole gang.
    if (place.step->gang) {
        for (const auto& member : place.group->tasks) {
            member->done = true;
        }
        place.group->done =
            static_cast<std::uint32_t>(place.group->tasks.size());
    } else {
        place.task->done = true;
        ++place.group->done;
    }
    clear_suspects(*place.job);
    if (!is_done(*place.occurrence)) {
        return;
    }
    wire::JobT& job = *place.job;
    const bool all_begun = job.next_occurrence >= occurrence_count(*job.spec);
    const bool all_done =
        std::all_of(job.occurrences.begin(), job.occurrences.end(),
            [](const auto& occurrence) { return is_done(*occurrence); });
    if (all_begun && all_done) {
        finish_job(job, wire::job_phase::complete);
    }
}

void state::finish_job(wire::JobT& job, wire::job_phase phase) {
    unindex_active(job);
    job.phase = phase;
    clear_suspects(job);
    job.ended_ms = time_ms_;
    ended_.emplace_back(time_ms_, job_id(job.id));
    remove_idle_occurrences(job);
}

// An occurrence of an ended job is stored until its last run has ended, since
// each run may still use capacity of a VM.
void state::remove_idle_occurrences(wire::JobT& job) {
    change_job(job, [&job] {
        std::erase_if(job.occurrences,
            [](const auto& occurrence) { return !has_runs(*occurrence); });
        if (job.occurrences.empty()) {
            job.spec = std::make_unique<wire::JobSpecT>();
        }
    });
}

void state::remove_expired() {
    while (!ended_.empty() && ended_.front().first + retention_ms < time_ms_) {
        const auto found = jobs_.find(ended_.front().second.value());
        if (found != jobs_.end() && found->second->occurrences.empty()) {
            job_memory_ -= memory_of(*found->second);
            jobs_.erase(found);
        } else if (found != jobs_.end()) {
            ended_.emplace_back(time_ms_, ended_.front().second);
        }
        ended_.pop_front();
    }
    if (acks_touched_from_ms_ + ack_retention_ms >= time_ms_) {
        return;
    }
    acks_touched_from_ms_ = time_ms_;
    std::erase_if(acks_, [this](const auto& entry) {
        const std::uint64_t touched_ms = entry.second.touched_ms;
        const bool expired = touched_ms + ack_retention_ms < time_ms_;
        if (!expired) {
            acks_touched_from_ms_ = std::min(acks_touched_from_ms_, touched_ms);
        }
        return expired;
    });
}

void state::apply(const wire::MaintenanceStepT& step) {
    const auto wave = waves_.find(step.wave);
    if (wave == waves_.end()) {
        return;
    }
    for (auto& existing : wave->second.steps) {
        if (existing->vm == step.vm) {
            *existing = step;
            return;
        }
    }
    wave->second.steps.push_back(
        std::make_unique<wire::MaintenanceStepT>(step));
}

} // namespace dragonflymount::jobs
