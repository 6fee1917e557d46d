// Batches of the job engine, what they change, and the callbacks that wait for
// them.
#include "dragonflymount/src/Jobs/Engine.hpp"

#include "dragonflymount/src/Jobs/BatchRoom.hpp"
#include "dragonflymount/src/Jobs/JobMemory.hpp"
#include "dragonflymount/src/Jobs/JobReply.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// The most tasks and occurrences of one job that are stored at once. A short
// interval, or a start long ago, makes many occurrences due at once; a schedule
// of four billion would use up the memory of each leader in turn.
constexpr std::size_t max_open_tasks = 20'000;
constexpr std::size_t max_open_occurrences = 1000;

bool has_room_for_occurrence(const wire::JobT& job) {
    std::size_t tasks = 0;
    for (const auto& step : job.spec->steps) {
        tasks += step->count;
    }
    const std::size_t open = job.occurrences.size();
    return open == 0 ||
        (open < max_open_occurrences && (open + 1) * tasks <= max_open_tasks);
}

// Bytes of the calls and the reported ends in a batch. Each has half, so that
// neither waits for the other.
constexpr std::size_t most_batch_bytes = 256U << 10U;

// Interval at which evidence about finished tasks is dropped.
constexpr duration cleanup_interval = std::chrono::seconds(1);

using internal::reply_of;

template <class Handlers>
void answer_all(Handlers& waiting, const wire::JobReplyT& reply) {
    const auto handlers = std::move(waiting);
    waiting.clear();
    for (const auto& [job, list] : handlers) {
        for (const auto& handler : list) {
            handler(reply);
        }
    }
}

void answer_all(std::vector<engine::commit_handler>& waiting, bool committed) {
    const auto handlers = std::move(waiting);
    waiting.clear();
    for (const auto& handler : handlers) {
        handler(committed);
    }
}

} // namespace

engine::engine(const state& agreed, engine_options options)
    : agreed_(agreed), options_(options), endpoints_(options.endpoints) {
    waits_.remote_factor = options.remote_factor;
}

void engine::lead(log_term term, instant now) {
    resign();
    leads_ = true;
    term_ = term;
    endpoints_.reset(now);
    report_delay_ = {};
    unconfirmed_.reset(agreed_);
    placement_due_ = true;
    reset_scan_limits();
}

void engine::resign() {
    leads_ = false;
    batch_in_flight_ = false;
    submitted_.clear();
    submitted_memory_ = 0;
    memory_in_flight_ = 0;
    cancelled_.clear();
    ended_.clear();
    catalogue_.reset();
    waves_.clear();
    maintained_.clear();
    evacuations_.clear();
    evacuations_in_flight_ = false;
    vanished_.clear();
    ends_in_flight_.clear();
    submits_in_flight_.clear();
    cancels_in_flight_.clear();
    collected_ends_.clear();
    stop_requests_.clear();
    unconfirmed_.clear();
    avoided_.clear();
    waits_.begun.clear();
    copies_wanted_.clear();
    reserved_.clear();
    short_pools_.clear();
    answer_all(submitters_, reply_of(wire::job_status::interrupted));
    answer_all(cancellers_, reply_of(wire::job_status::interrupted));
    answer_all(committers_, false);
    answer_all(committers_in_flight_, false);
    held_with_ends_.clear();
    changed_endpoints_.clear();
    changed_in_flight_.clear();
    changed_jobs_.clear();
    declared_ended_.clear();
    next_lapse_check_ = {};
    next_cleanup_ = {};
    const auto held = std::move(held_);
    held_.clear();
    for (const auto& [endpoint, report] : held) {
        report.handler(std::nullopt);
    }
}

// ---- Batches ---------------------------------------------------------------

std::optional<wire::JobBatchT> engine::take_batch(
    instant now, std::uint64_t wall_ms) {
    if (!leads_ || batch_in_flight_) {
        return std::nullopt;
    }
    wire::JobBatchT batch;
    batch.time_ms = wall_ms;
    batch.catalogue = std::move(catalogue_);
    batch.waves = std::move(waves_);
    waves_.clear();
    batch.maintained = std::move(maintained_);
    maintained_.clear();
    batch.evacuations = std::move(evacuations_);
    evacuations_.clear();
    collect_calls(batch);
    if (collect_reported_ends(batch)) {
        collect_declared_ends(batch, now);
    }
    collect_due(batch, wall_ms);
    // No starts in a batch that replaces the catalogue or evacuates a zone:
    // they were chosen under the old limits and zones.
    if (!batch.catalogue && batch.evacuations.empty() && placement_due_) {
        placement_due_ = false;
        ++placement_rounds_;
        collect_starts(batch, now);
        futile_rounds_ += batch.started.empty() ? 1 : 0;
    }
    const bool empty = !batch.catalogue && batch.submitted.empty() &&
        batch.cancelled.empty() && batch.ended.empty() && batch.due.empty() &&
        batch.started.empty() && batch.waves.empty() &&
        batch.maintained.empty() && batch.evacuations.empty() &&
        committers_.empty();
    if (empty) {
        reply_to_acknowledged(now);
        return std::nullopt;
    }
    note_changed_endpoints(batch);
    committers_in_flight_ = std::move(committers_);
    committers_.clear();
    batch_in_flight_ = true;
    evacuations_in_flight_ = !batch.evacuations.empty();
    return batch;
}

// What doesn't fit waits for the next batch, in the order of arrival.
void engine::collect_calls(wire::JobBatchT& batch) {
    batch_room room(most_batch_bytes / 2);
    if (batch.catalogue) {
        room.take(*batch.catalogue);
    }
    while (!cancelled_.empty()) {
        auto order = std::make_unique<wire::JobCancelT>();
        order->job = cancelled_.begin()->value();
        if (!room.take(*order)) {
            return;
        }
        batch.cancelled.push_back(std::move(order));
        cancels_in_flight_.insert(cancelled_.extract(cancelled_.begin()));
    }
    while (!submitted_.empty() && room.take(*submitted_.front())) {
        const wire::JobT& job = *submitted_.front();
        const std::uint64_t memory = memory_of(job);
        submitted_memory_ -= memory;
        memory_in_flight_ += memory;
        submits_in_flight_.insert(job_id(job.id));
        batch.submitted.push_back(std::move(submitted_.front()));
        submitted_.pop_front();
    }
}

void engine::add_end(wire::JobBatchT& batch, const run_ref& run,
    const endpoint_life& life, wire::run_end how) const {
    auto ended = std::make_unique<wire::RunEndT>();
    ended->task = std::make_unique<wire::TaskNameT>(to_wire(run.task));
    ended->run = run.run;
    ended->how = how;
    ended->endpoint = life.endpoint;
    ended->life = life.number;
    batch.ended.push_back(std::move(ended));
}

// \returns whether the batch has all ends that endpoints have reported.
bool engine::collect_reported_ends(wire::JobBatchT& batch) {
    batch_room room(most_batch_bytes / 2);
    while (!ended_.empty()) {
        const std::size_t before = batch.ended.size();
        add_reported_end(batch, ended_.front());
        const bool fits = std::all_of(
            batch.ended.begin() + static_cast<std::ptrdiff_t>(before),
            batch.ended.end(),
            [&room](const auto& added) { return room.take(*added); });
        if (!fits && before != 0) {
            batch.ended.resize(before);
            return false;
        }
        ends_in_flight_.push_back(std::move(ended_.front()));
        ended_.pop_front();
    }
    return true;
}

void engine::add_reported_end(
    wire::JobBatchT& batch, const pending_end& pending) const {
    add_end(batch, pending.end.run, pending.life, pending.end.how);
    batch.ended.back()->checkpoint = pending.end.checkpoint;
    batch.ended.back()->number = pending.end.number;
    // The number belongs to the life that listed the end, the run to the one
    // that the log names.
    const run_ref& run = pending.end.run;
    if (const wire::TaskRunT* record =
            find_former_run(agreed_, pending.life, run)) {
        add_end(batch, run, {record->endpoint, record->life}, pending.end.how);
        batch.ended.back()->checkpoint = pending.end.checkpoint;
    }
}

// Not before all ends that were reported are agreed or in the same batch: a run
// that is declared lost or lapsed is started again.
void engine::collect_declared_ends(wire::JobBatchT& batch, instant now) {
    const auto vanished = std::move(vanished_);
    vanished_.clear();
    for (const run_ref& run : vanished) {
        if (const wire::TaskRunT* record = agreed_.find_run(run)) {
            declared_ended_.insert(run);
            add_end(batch, run, {record->endpoint, record->life},
                wire::run_end::lost);
        }
    }
    const bool early = ended_lives_ != endpoints_.ended_lives() &&
        early_lapse_checks_ < options_.max_futile_scans;
    if (now >= next_lapse_check_ || early) {
        early_lapse_checks_ += early ? 1 : 0;
        next_lapse_check_ = now + options_.lapse_check_interval;
        ended_lives_ = endpoints_.ended_lives();
        collect_lapsed(batch, now);
    }
}

void engine::collect_lapsed(wire::JobBatchT& batch, instant now) {
    ++lapse_checks_;
    endpoints_.excuse_crashes(reserved_);
    std::set<endpoint_life> kept;
    for (const auto& [life, load] : agreed_.loads()) {
        if (!endpoints_.is_over(life, now)) {
            continue;
        }
        const endpoint_view* view = endpoints_.find_life(life);
        for (const auto& [run, crash] : evidence_of(life, load)) {
            if (endpoints_.may_run_in_next_life(life, run, now)) {
                kept.insert(life);
                continue;
            }
            declared_ended_.insert(run);
            add_end(batch, run, life, wire::run_end::lapsed);
            batch.ended.back()->crash = crash;
            if (view != nullptr && view->running.contains(run)) {
                batch.ended.back()->checkpoint =
                    view->running.at(run).checkpoint;
            }
        }
    }
    endpoints_.forget_crashes(kept, now);
}

void engine::collect_due(wire::JobBatchT& batch, std::uint64_t wall_ms) const {
    for (const job_id id : agreed_.repeating_jobs()) {
        const wire::JobT& job = *agreed_.find_job(id);
        if (start_time_ms(*job.spec, job.next_occurrence) <= wall_ms &&
            has_room_for_occurrence(job) &&
            (job.occurrences.empty() || job_memory() < options_.job_memory)) {
            auto order = std::make_unique<wire::OccurrenceDueT>();
            order->job = id.value();
            order->number = job.next_occurrence;
            batch.due.push_back(std::move(order));
        }
    }
}

void engine::collect_starts(wire::JobBatchT& batch, instant now) {
    placement round(agreed_, endpoints_, avoided_, reserved_, waits_, now);
    for (const placed_run& placed : round.plan(options_.most_starts)) {
        const job_id job = placed.run.task.job;
        if (!agreed_.find_job(job)->begun) {
            unconfirmed_.propose(job);
        }
        add_start(batch, placed);
    }
    short_pools_ = round.short_pools();
    const std::size_t most_copies = options_.most_starts -
        std::min(options_.most_starts, batch.started.size());
    for (const placed_run& placed :
        round.plan_copies(copies_wanted_, most_copies)) {
        copies_wanted_.erase(placed.run.task);
        ++copies_started_;
        add_start(batch, placed);
    }
    for (const step_key& step : round.waiting_steps()) {
        steps_waited_ += waits_.begun.try_emplace(step, now).second ? 1 : 0;
    }
}

void engine::add_start(wire::JobBatchT& batch, const placed_run& placed) {
    auto order = std::make_unique<wire::RunStartT>();
    order->task = std::make_unique<wire::TaskNameT>(to_wire(placed.run.task));
    order->run = placed.run.run;
    order->endpoint = placed.life.endpoint;
    order->life = placed.life.number;
    batch.started.push_back(std::move(order));
}

void engine::batch_done(bool agreed, instant now) {
    if (!batch_in_flight_) {
        return;
    }
    if (!agreed) {
        resign();
        return;
    }
    batch_in_flight_ = false;
    evacuations_in_flight_ = false;
    memory_in_flight_ = 0;
    unconfirmed_.commit();
    placement_due_ = true;
    reset_scan_limits();
    ++agreed_batches_;
    for (const pending_end& pending : ends_in_flight_) {
        const run_ref& run = pending.end.run;
        endpoints_.note_end(pending.life, run, pending.end.how, now);
        // For a run that was moved, the time of avoidance counts from its end,
        // not from the order to stop it.
        const auto known = avoided_.find(run.task);
        const bool was_moved = known != avoided_.end() &&
            known->second.contains(pending.life.endpoint);
        if (pending.end.how == wire::run_end::failed ||
            pending.end.how == wire::run_end::refused || was_moved) {
            avoided_[run.task][pending.life.endpoint] = now;
        }
        stop_requests_.erase(run);
    }
    ends_in_flight_.clear();
    const auto accepted = reply_of(wire::job_status::accepted);
    for (const job_id id : std::exchange(submits_in_flight_, {})) {
        for (const auto& handler : std::exchange(submitters_[id], {})) {
            handler(accepted);
        }
        submitters_.erase(id);
    }
    for (const job_id id : std::exchange(cancels_in_flight_, {})) {
        for (const auto& handler : std::exchange(cancellers_[id], {})) {
            handler(accepted);
        }
        cancellers_.erase(id);
    }
    answer_all(committers_in_flight_, true);
    declared_ended_.clear();
    changed_endpoints_.merge(changed_in_flight_);
    changed_in_flight_.clear();
    mark_endpoints_of_changed_jobs();
    changed_endpoints_.insert(held_with_ends_.begin(), held_with_ends_.end());
    reply_to_changed_endpoints(now);
}

// ---- Effects of a batch ----------------------------------------------------

void engine::note_changed_endpoints(const wire::JobBatchT& batch) {
    for (const auto& order : batch.started) {
        changed_in_flight_.insert(order->endpoint);
    }
    for (const auto& order : batch.cancelled) {
        changed_jobs_.insert(job_id(order->job));
    }
    for (const auto& ended : batch.ended) {
        changed_jobs_.insert(job_id(ended->task->job));
    }
}

void engine::mark_endpoints_of(const wire::JobT& job) {
    for (const auto& occurrence : job.occurrences) {
        for (const auto& group : occurrence->steps) {
            for (const auto& task : group->tasks) {
                for (const auto& run : task->runs) {
                    changed_endpoints_.insert(run->endpoint);
                }
            }
        }
    }
}

// The endpoints of a job that was cancelled or failed must get orders to stop
// its runs; likewise if a task is done that has further runs.
void engine::mark_endpoints_of_changed_jobs() {
    for (const job_id id : std::exchange(changed_jobs_, {})) {
        if (const wire::JobT* job = agreed_.find_job(id)) {
            mark_endpoints_of(*job);
        }
    }
}

void engine::request_stop(const run_ref& run) {
    stop_requests_.insert(run);
    if (const wire::TaskRunT* record = agreed_.find_run(run)) {
        changed_endpoints_.insert(record->endpoint);
    }
}

void engine::erase_settled_tasks(instant now) {
    if (now < next_cleanup_) {
        return;
    }
    next_cleanup_ = now + cleanup_interval;
    unconfirmed_.erase_ended(agreed_);
    std::erase_if(avoided_, [this](const auto& entry) {
        const task_place place = agreed_.find_task(entry.first);
        return !place || place.task->done;
    });
    std::erase_if(waits_.begun, [this](const auto& entry) {
        const wire::JobT* job = agreed_.find_job(entry.first.job);
        return job == nullptr || job->phase != wire::job_phase::active;
    });
    std::erase_if(copies_wanted_, [this](const task_name& name) {
        const task_place place = agreed_.find_task(name);
        return !is_wanted(place) || place.task->runs.empty();
    });
    const auto has_ended = [this](const run_ref& run) {
        return agreed_.find_run(run) == nullptr;
    };
    std::erase_if(stop_requests_, has_ended);
}

} // namespace dragonflymount::jobs
