// Builders of jobs, catalogues and reports for tests of the job scheduler.
#ifndef DRAGONFLYMOUNT_TESTS_JOBS_JOB_BUILDER_HPP
#define DRAGONFLYMOUNT_TESTS_JOBS_JOB_BUILDER_HPP

#include "dragonflymount/jobs.hpp"

namespace dragonflymount::jobs::test {

inline constexpr std::uint64_t first_time_ms = 1'000'000;

/// \brief Builds a job of one or more steps.
class job_builder {
public:
    explicit job_builder(std::uint64_t id) {
        job_.id = id;
        job_.queue = "queue";
        job_.team = "team";
        job_.spec = std::make_unique<wire::JobSpecT>();
        job_.spec->payload = "payload";
    }
    job_builder& team(const std::string& name) {
        job_.team = name;
        return *this;
    }
    job_builder& step(std::uint32_t count, std::uint32_t cpu_milli = 1000) {
        auto added = std::make_unique<wire::JobStepT>();
        added->count = count;
        added->cpu_milli = cpu_milli;
        added->memory_mb = 100;
        added->estimate_ms = 1000;
        job_.spec->steps.push_back(std::move(added));
        return *this;
    }
    job_builder& after(std::uint32_t earlier) {
        last().depends_on.push_back(earlier);
        return *this;
    }
    job_builder& gang() {
        last().gang = true;
        return *this;
    }
    job_builder& long_running(std::uint32_t max_unavailable) {
        last().long_running = true;
        last().max_unavailable = max_unavailable;
        last().anti_affinity = 1;
        return *this;
    }
    job_builder& anti_affinity(std::uint32_t most) {
        last().anti_affinity = most;
        return *this;
    }
    job_builder& label(const std::string& name) {
        last().required_label = name;
        return *this;
    }
    job_builder& repeats(
        std::uint32_t count, std::uint64_t start_ms, std::uint64_t interval) {
        job_.spec->repeats = count;
        job_.spec->start_at_ms = start_ms;
        job_.spec->interval_ms = interval;
        return *this;
    }
    std::unique_ptr<wire::JobT> build() const {
        return std::make_unique<wire::JobT>(job_);
    }

private:
    wire::JobStepT& last() { return *job_.spec->steps.back(); }

    wire::JobT job_;
};

/// \brief One queue "queue" at "host/q/", served by "pool", and one team.
inline wire::CatalogueT make_catalogue(std::uint64_t version,
    std::uint64_t cpu_limit = 0, std::uint32_t max_attempts = 3) {
    wire::CatalogueT catalogue;
    catalogue.version = version;
    auto pool = std::make_unique<wire::JobPoolT>();
    pool->name = "pool";
    catalogue.pools.push_back(std::move(pool));
    auto standby = std::make_unique<wire::JobPoolT>();
    standby->name = "standby";
    standby->standby = true;
    catalogue.pools.push_back(std::move(standby));
    auto queue = std::make_unique<wire::JobQueueT>();
    queue->name = "queue";
    queue->host = "host";
    queue->path_prefix = "/q/";
    queue->pool = "pool";
    queue->max_attempts = max_attempts;
    queue->stretch = 2.0;
    queue->objective_ms = 1000;
    catalogue.queues.push_back(std::move(queue));
    auto team = std::make_unique<wire::JobTeamT>();
    team->name = "team";
    team->keys = {"key"};
    team->cpu_limit = cpu_limit;
    catalogue.teams.push_back(std::move(team));
    catalogue.source = "{}";
    return catalogue;
}

/// \brief A replicated job state to which the test applies batches directly.
class agreed_jobs {
public:
    agreed_jobs() {
        wire::JobBatchT batch;
        batch.catalogue = std::make_unique<wire::CatalogueT>(make_catalogue(1));
        apply(std::move(batch));
    }
    void apply(wire::JobBatchT batch) {
        if (batch.time_ms == 0) {
            batch.time_ms = time_ms;
        }
        agreed.apply(
            log_index(++index), wire::encode_command(std::move(batch)));
    }
    void submit(std::unique_ptr<wire::JobT> job) {
        wire::JobBatchT batch;
        batch.submitted.push_back(std::move(job));
        apply(std::move(batch));
    }
    void start(const task_name& task, std::uint32_t run,
        const endpoint_life& life = {"e1", 1}) {
        wire::JobBatchT batch;
        auto order = std::make_unique<wire::RunStartT>();
        order->task = std::make_unique<wire::TaskNameT>(to_wire(task));
        order->run = run;
        order->endpoint = life.endpoint;
        order->life = life.number;
        batch.started.push_back(std::move(order));
        apply(std::move(batch));
    }
    void end(const task_name& task, std::uint32_t run, wire::run_end how,
        std::uint64_t number = 0, const endpoint_life& life = {"e1", 1}) {
        wire::JobBatchT batch;
        auto ended = std::make_unique<wire::RunEndT>();
        ended->task = std::make_unique<wire::TaskNameT>(to_wire(task));
        ended->run = run;
        ended->how = how;
        ended->number = number;
        ended->endpoint = life.endpoint;
        ended->life = life.number;
        batch.ended.push_back(std::move(ended));
        apply(std::move(batch));
    }
    /// \brief Ends the run because its endpoint crashed.
    void crash(const task_name& task, std::uint32_t run,
        wire::crash_evidence evidence, const endpoint_life& life = {"e1", 1}) {
        wire::JobBatchT batch;
        auto ended = std::make_unique<wire::RunEndT>();
        ended->task = std::make_unique<wire::TaskNameT>(to_wire(task));
        ended->run = run;
        ended->how = wire::run_end::lapsed;
        ended->endpoint = life.endpoint;
        ended->life = life.number;
        ended->crash = evidence;
        batch.ended.push_back(std::move(ended));
        apply(std::move(batch));
    }
    void cancel(std::uint64_t job) {
        wire::JobBatchT batch;
        auto order = std::make_unique<wire::JobCancelT>();
        order->job = job;
        batch.cancelled.push_back(std::move(order));
        apply(std::move(batch));
    }
    wire::job_phase phase(std::uint64_t job) const {
        return agreed.find_job(job_id(job))->phase;
    }

    state agreed;
    std::uint64_t time_ms = first_time_ms;
    std::uint64_t index = 0;
};

inline task_name task(std::uint64_t job, std::uint32_t step = 0,
    std::uint32_t index = 0, std::uint32_t occurrence = 0) {
    return {job_id(job), occurrence, step, index};
}

/// \brief A report of an endpoint of "pool" with 4 cores.
inline endpoint_report make_report(
    const std::string& endpoint, std::uint64_t sequence) {
    endpoint_report report;
    report.life = {endpoint, 1};
    report.vm = vm_id("vm-" + endpoint);
    report.pool = pool_id("pool");
    report.address = endpoint + ":1";
    report.capacity = {4000, 4000, 0};
    report.labels = {"kind", "rack"};
    report.sequence = sequence;
    return report;
}

inline instant at_ms(std::int64_t ms) {
    return instant(std::chrono::milliseconds(ms));
}

} // namespace dragonflymount::jobs::test

#endif
