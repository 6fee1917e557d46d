// Calls of job owners and commands of operators.
#include "dragonflymount/src/Jobs/Engine.hpp"

#include "dragonflymount/src/Core/MemoryShare.hpp"
#include "dragonflymount/src/Jobs/JobMemory.hpp"
#include "dragonflymount/src/Jobs/JobReply.hpp"

namespace dragonflymount::jobs {
namespace {

using internal::reply_of;

// Retry delay for callers while no catalogue is in force: about the duration of
// an election.
constexpr std::uint32_t unready_retry_ms = 1000;

// Retry delay for callers whose job there is no memory for: jobs end meanwhile.
constexpr std::uint32_t full_retry_ms = 5000;

} // namespace

// ---- Calls -----------------------------------------------------------------

void engine::call(const wire::JobCallT& call, call_handler on_reply) {
    if (!agreed_.has_catalogue()) {
        wire::JobReplyT reply = reply_of(wire::job_status::not_accepted);
        reply.retry_after_ms = unready_retry_ms;
        reply.detail = "no catalogue is in force yet";
        on_reply(std::move(reply));
        return;
    }
    const wire::JobQueueT* queue = agreed_.route(call.host, call.path);
    if (queue == nullptr) {
        on_reply(reply_of(wire::job_status::not_found));
        return;
    }
    const std::string subpath = call.path.substr(queue->path_prefix.size());
    const wire::JobTeamT* team = agreed_.team_of_key(call.key);
    if (team == nullptr && !queue->open) {
        on_reply(reply_of(wire::job_status::unauthorized));
        return;
    }
    if (subpath.empty() && call.verb == wire::job_verb::read) {
        count_pending(*queue, on_reply);
        return;
    }
    const auto id = parse_job_id(subpath);
    if (!id) {
        on_reply(reply_of(call.verb == wire::job_verb::submit
                ? wire::job_status::malformed
                : wire::job_status::unknown_job));
        return;
    }
    const wire::JobT* known = agreed_.find_job(*id);
    if (known != nullptr && team != nullptr && known->team != team->name) {
        on_reply(reply_of(wire::job_status::forbidden));
        return;
    }
    switch (call.verb) {
    case wire::job_verb::submit:
        submit(call, *queue, team, *id, std::move(on_reply));
        break;
    case wire::job_verb::cancel:
        cancel(*id, std::move(on_reply));
        break;
    default:
        read(*id, on_reply);
    }
}

void engine::submit(const wire::JobCallT& call, const wire::JobQueueT& queue,
    const wire::JobTeamT* team, job_id id, call_handler on_reply) {
    if (agreed_.find_job(id) != nullptr) {
        on_reply(reply_of(wire::job_status::accepted));
        return;
    }
    if (!call.spec || call.spec->steps.empty()) {
        on_reply(reply_of(wire::job_status::malformed));
        return;
    }
    if (const auto waiting = submitters_.find(id);
        waiting != submitters_.end()) {
        waiting->second.push_back(std::move(on_reply));
        return;
    }
    auto job = std::make_unique<wire::JobT>();
    job->id = id.value();
    job->queue = queue.name;
    job->team = team == nullptr ? "" : team->name;
    job->spec = std::make_unique<wire::JobSpecT>(*call.spec);
    const std::uint64_t memory = memory_of(*job);
    if (!fits_share(memory, job_memory(), options_.job_memory)) {
        ++jobs_refused_;
        wire::JobReplyT reply = reply_of(wire::job_status::not_accepted);
        reply.retry_after_ms = full_retry_ms;
        reply.detail = "the jobs so far leave too little memory for this one";
        on_reply(std::move(reply));
        return;
    }
    submitters_[id].push_back(std::move(on_reply));
    submitted_memory_ += memory;
    submitted_.push_back(std::move(job));
}

std::uint64_t engine::job_memory() const {
    return agreed_.job_memory() + memory_in_flight_ + submitted_memory_;
}

void engine::read(job_id id, const call_handler& on_reply) const {
    const wire::JobT* job = agreed_.find_job(id);
    if (job == nullptr) {
        on_reply(reply_of(wire::job_status::unknown_job));
        return;
    }
    wire::JobReplyT reply = reply_of(wire::job_status::state);
    reply.phase = job->phase;
    reply.begun = job->begun && !unconfirmed_.contains(id);
    on_reply(std::move(reply));
}

void engine::cancel(job_id id, call_handler on_reply) {
    const wire::JobT* job = agreed_.find_job(id);
    if (job == nullptr) {
        on_reply(reply_of(wire::job_status::unknown_job));
        return;
    }
    if (job->phase != wire::job_phase::active) {
        on_reply(reply_of(wire::job_status::accepted));
        return;
    }
    cancellers_[id].push_back(std::move(on_reply));
    if (!cancels_in_flight_.contains(id)) {
        cancelled_.insert(id);
    }
}

void engine::count_pending(
    const wire::JobQueueT& queue, const call_handler& on_reply) const {
    wire::JobReplyT reply = reply_of(wire::job_status::pending);
    reply.pending = agreed_.pending_in(queue.name) +
        unconfirmed_.count_in(queue.name, agreed_);
    on_reply(std::move(reply));
}

// ---- Operators -------------------------------------------------------------

void engine::put_catalogue(
    wire::CatalogueT catalogue, commit_handler on_commit) {
    if (catalogue.version <= agreed_.catalogue().version) {
        on_commit(true);
        return;
    }
    committers_.push_back(std::move(on_commit));
    if (!catalogue_ || catalogue.version > catalogue_->version) {
        catalogue_ = std::make_unique<wire::CatalogueT>(std::move(catalogue));
    }
}

void engine::start_wave(wire::MaintenanceWaveT wave, commit_handler on_commit) {
    if (agreed_.waves().contains(wave.number)) {
        on_commit(true);
        return;
    }
    committers_.push_back(std::move(on_commit));
    waves_.push_back(std::make_unique<wire::MaintenanceWaveT>(std::move(wave)));
}

// While another change is under way, even a change that the agreed state
// already satisfies is proposed, so that the last one of several operators
// counts.
void engine::evacuate(
    const wire::EvacuationChangeT& change, const commit_handler& on_commit) {
    if (evacuations_.empty() && !evacuations_in_flight_ &&
        agreed_.evacuated_zones().satisfies(change)) {
        on_commit(true);
        return;
    }
    committers_.push_back(on_commit);
    evacuations_.push_back(std::make_unique<wire::EvacuationChangeT>(change));
}

void engine::note_maintenance(const wire::MaintenanceStepT& step) {
    maintained_.push_back(std::make_unique<wire::MaintenanceStepT>(step));
}

} // namespace dragonflymount::jobs
