// Formats the log lines for agreed decisions and counts the decisions.
#include "programs/scheduler/decision_log.hpp"

#include <glog/logging.h>

namespace dragonflymount::scheduler_program {
namespace {

std::string_view name_of(wire::run_end how) {
    return wire::EnumNamerun_end(how);
}

std::string describe(const wire::TaskNameT& name) {
    return jobs::to_string(jobs::from_wire(name));
}

} // namespace

void decision_log::note_proposed(const wire::JobBatchT& batch) {
    counts_before_.clear();
    for (const auto& ended : batch.ended) {
        if (!ended->task || ended->crash == wire::crash_evidence::none) {
            continue;
        }
        const jobs::task_name name = jobs::from_wire(*ended->task);
        if (const jobs::task_place place = agreed_.find_task(name)) {
            counts_before_[name] = jobs::crash_counts_of(*place.task);
        }
    }
}

void decision_log::write(const wire::JobBatchT& batch, log_term term,
    duration agreement_time, instant now) {
    term_ = term;
    agreement_time_ = agreement_time;
    now_ = now;
    write_jobs(batch);
    write_runs(batch);
    if (budget_.spend(now)) {
        const std::uint64_t left_out =
            budget_.take_left_out() + crash_budget_.take_left_out();
        if (left_out > 0) {
            LOG(WARNING) << event::log_lines_left_out << "lines=" << left_out;
        }
    }
}

void decision_log::write_jobs(const wire::JobBatchT& batch) {
    const auto agreement_us = agreement_time_.count();
    for (const auto& job : batch.submitted) {
        ++counts_.accepted;
        if (budget_.spend(now_)) {
            LOG(INFO) << event::job_accepted
                      << "job=" << jobs::to_string(jobs::job_id(job->id))
                      << " queue=" << job->queue << " team=" << job->team
                      << " steps=" << job->spec->steps.size()
                      << " catalogue=" << agreed_.catalogue().version
                      << " term=" << term_ << " agreed_us=" << agreement_us;
        }
    }
    for (const auto& order : batch.cancelled) {
        ++counts_.cancelled;
        if (budget_.spend(now_)) {
            LOG(INFO) << event::job_cancelled
                      << "job=" << jobs::to_string(jobs::job_id(order->job))
                      << " term=" << term_ << " agreed_us=" << agreement_us;
        }
    }
}

void decision_log::write_crash(
    const wire::RunEndT& ended, const wire::JobT* job) {
    if (!crash_budget_.spend(now_)) {
        return;
    }
    jobs::crash_counts& counts = counts_before_[jobs::from_wire(*ended.task)];
    counts = jobs::count_crash(counts, ended.crash);
    LOG(INFO) << event::task_suspected << "task=" << describe(*ended.task)
              << " run=" << ended.run << " endpoint=" << ended.endpoint
              << " life=" << ended.life
              << " evidence=" << wire::EnumNamecrash_evidence(ended.crash)
              << " crashes=" << counts.crashes
              << " start_crashes=" << counts.start_crashes << " job_phase="
              << (job == nullptr ? "unknown"
                                 : wire::EnumNamejob_phase(job->phase))
              << " term=" << term_;
}

void decision_log::write_runs(const wire::JobBatchT& batch) {
    for (const auto& ended : batch.ended) {
        ++counts_.ended[ended->how];
        if (!ended->task) {
            continue;
        }
        const wire::JobT* job =
            agreed_.find_job(jobs::job_id(ended->task->job));
        if (ended->crash != wire::crash_evidence::none) {
            write_crash(*ended, job);
        }
        if (!budget_.spend(now_)) {
            continue;
        }
        LOG(INFO) << event::run_ended << "task=" << describe(*ended->task)
                  << " run=" << ended->run << " how=" << name_of(ended->how)
                  << " endpoint=" << ended->endpoint << " life=" << ended->life
                  << " number=" << ended->number << " job_phase="
                  << (job == nullptr ? "unknown"
                                     : wire::EnumNamejob_phase(job->phase))
                  << " term=" << term_;
    }
    for (const auto& order : batch.started) {
        ++counts_.started;
        if (budget_.spend(now_)) {
            LOG(INFO) << event::run_started << "task=" << describe(*order->task)
                      << " run=" << order->run
                      << " endpoint=" << order->endpoint
                      << " life=" << order->life
                      << " catalogue=" << agreed_.catalogue().version
                      << " term=" << term_;
        }
    }
    for (const auto& change : batch.evacuations) {
        LOG(INFO) << (change->ends ? event::zone_evacuation_ended
                                   : event::zone_evacuated)
                  << "zone=" << change->zone << " author=" << change->author
                  << " term=" << term_;
    }
    for (const auto& step : batch.maintained) {
        if (budget_.spend(now_)) {
            LOG(INFO) << event::vm_maintained << "wave=" << step->wave
                      << " vm=" << step->vm << " phase="
                      << wire::EnumNamemaintenance_phase(step->phase)
                      << " endpoint=" << step->endpoint
                      << " life=" << step->life << " term=" << term_;
        }
    }
}

} // namespace dragonflymount::scheduler_program
