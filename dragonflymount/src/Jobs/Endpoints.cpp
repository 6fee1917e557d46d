// Updates the endpoint table from reports, ended lives and evidence of faults.
#include "dragonflymount/src/Jobs/Endpoints.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// A report whose number is further ahead isn't one of this life: the life sends
// a few reports a second. It must not make the life's own reports outdated.
constexpr std::uint64_t max_sequence_step = std::uint64_t{1} << 40U;

// Age of a life at which the replies to its former life have expired: that life
// had sent its last report before.
constexpr duration settled_age =
    answer_timeout + answer_timeout * endpoint_drift_per_mille / 1000;

template <class Map, class Key>
std::uint64_t newest_in(const Map& map, const Key& key) {
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

// Whether the endpoint sent its last report after \p replies_end, when it drops
// the replies to its former life. It sends a report once the one before has its
// reply, or a timeout later.
bool has_reported_since(const endpoint_view& view, instant replies_end) {
    return view.heard_before >= replies_end || view.age >= settled_age;
}

} // namespace

bool has_label(const endpoint_view& view, const std::string& label) {
    return std::find(view.labels.begin(), view.labels.end(), label) !=
        view.labels.end();
}

bool has_required_label(const endpoint_view& view, const wire::JobStepT& step) {
    return step.required_label.empty() || has_label(view, step.required_label);
}

duration observed_time(const endpoint_view& view, const run_ref& run) {
    const auto found = view.running.find(run);
    return found == view.running.end()
        ? duration::zero()
        : view.observation_time - found->second.first_seen;
}

void endpoint_table::reset(instant now) {
    views_.clear();
    newest_at_address_.clear();
    newest_of_endpoint_.clear();
    newest_of_vm_.clear();
    last_ended_life_.clear();
    crashed_.clear();
    former_lives_.clear();
    unknown_replies_end_ = now + answer_timeout;
    unknown_leases_end_ = lease_end(now, options_.longest_lease);
}

bool endpoint_table::is_outdated(const endpoint_report& report) const {
    const std::uint64_t number = report.life.number;
    if (number < newest_in(newest_of_endpoint_, report.life.endpoint) ||
        number < newest_in(newest_at_address_, report.address) ||
        number < newest_in(newest_of_vm_, report.vm) ||
        number <= newest_in(last_ended_life_, report.life.endpoint)) {
        return true;
    }
    const auto found = views_.find(report.life.endpoint);
    return found != views_.end() && found->second.life == report.life &&
        (report.sequence <= found->second.sequence ||
            report.sequence - found->second.sequence > max_sequence_step);
}

void endpoint_table::note_newer_life(const endpoint_report& report) {
    const std::uint64_t number = report.life.number;
    ++ended_lives_;
    newest_of_endpoint_[report.life.endpoint] = number;
    newest_at_address_[report.address] = number;
    if (!report.vm.empty()) {
        newest_of_vm_[report.vm] = number;
    }
    std::vector<std::string> replaced;
    for (const auto& [endpoint, view] : views_) {
        const bool same_place = view.address == report.address ||
            (!report.vm.empty() && view.vm == report.vm);
        if (endpoint != report.life.endpoint && same_place) {
            replaced.push_back(endpoint);
        }
    }
    for (const std::string& endpoint : replaced) {
        note_crash(views_.at(endpoint));
        remove(endpoint);
    }
}

// A draining endpoint may exit although its announcement was never answered.
void endpoint_table::note_crash(endpoint_view view) {
    const endpoint_life life = view.life;
    if (view.draining) {
        std::uint64_t& last_ended = last_ended_life_[life.endpoint];
        last_ended = std::max(last_ended, life.number);
        return;
    }
    crashed_.insert_or_assign(life, std::move(view));
}

void endpoint_table::note_replaced(const endpoint_view& view) {
    former_lives_.add(view.life,
        {view.sent_starts, view.heard + answer_timeout, view.lease_ends});
}

void endpoint_table::forget_crashes(
    const std::set<endpoint_life>& kept, instant now) {
    std::erase_if(crashed_,
        [&kept](const auto& entry) { return !kept.contains(entry.first); });
    former_lives_.expire(now);
}

void endpoint_table::excuse_crashes(const std::set<vm_id>& reserved) {
    std::erase_if(crashed_, [&](const auto& entry) {
        const auto& [life, view] = entry;
        if (!reserved.contains(view.vm)) {
            return false;
        }
        std::uint64_t& last_ended = last_ended_life_[life.endpoint];
        last_ended = std::max(last_ended, life.number);
        return true;
    });
}

life_end endpoint_table::how_ended(const endpoint_life& life) const {
    if (crashed_.contains(life)) {
        return life_end::crashed;
    }
    if (life.number <= newest_in(last_ended_life_, life.endpoint)) {
        return life_end::planned;
    }
    // A later life has reported, and this leader never heard this one.
    return life.number < newest_in(newest_of_endpoint_, life.endpoint)
        ? life_end::crashed
        : life_end::lease_expired;
}

const endpoint_view* endpoint_table::find_crashed(
    const endpoint_life& life) const {
    const auto found = crashed_.find(life);
    const bool was_heard =
        found != crashed_.end() && found->second.heard != instant{};
    return was_heard ? &found->second : nullptr;
}

endpoint_view* endpoint_table::apply_report(
    const endpoint_report& report, instant now) {
    if (is_outdated(report)) {
        return nullptr;
    }
    endpoint_view* known = find(report.life.endpoint);
    if (known == nullptr || known->life != report.life) {
        if (known != nullptr) {
            note_replaced(*known);
            note_crash(std::move(*known));
        }
        note_newer_life(report);
        known = &views_[report.life.endpoint];
        *known = endpoint_view{};
    }
    endpoint_view& view = *known;
    if (view.life != report.life) {
        view.life = report.life;
        // An earlier leader may have granted a lease until this leader began.
        view.lease_ends = unknown_leases_end_;
    }
    view.vm = report.vm;
    view.pool = report.pool;
    view.address = report.address;
    view.zone = report.zone;
    view.labels = report.labels;
    view.rack = rack_id(report.labels.empty() ? "" : report.labels.back());
    view.capacity = report.capacity;
    view.draining = report.draining;
    view.drain_ends = now + report.drain_remaining;
    view.warm_from = now + report.warmup_left;
    view.sequence = report.sequence;
    view.age = report.sent;
    measure_delay(view, report, now);
    advance_observation(view, now);
    update_runs(view, report);
    return &view;
}

// The clocks are not synchronized: only the change of their difference tells
// how long a report took.
void endpoint_table::measure_delay(
    endpoint_view& view, const endpoint_report& report, instant now) {
    if (report.sent == duration::zero()) {
        return;
    }
    const duration offset = now.time_since_epoch() - report.sent;
    const duration drift = (now - view.heard) * endpoint_drift_per_mille / 1000;
    view.least_offset = view.least_offset
        ? std::min(offset, *view.least_offset + drift)
        : offset;
    view.report_delay = offset - *view.least_offset;
}

void endpoint_table::advance_observation(endpoint_view& view, instant now) {
    view.observation_time += std::min(now, view.report_due) - view.heard;
    view.heard_before = view.heard;
    view.heard = now;
    view.report_due = now + answer_timeout;
}

void endpoint_table::set_report_due(endpoint_view& view, instant due) {
    view.report_due = due + report_travel_time;
}

void endpoint_table::update_runs(
    endpoint_view& view, const endpoint_report& report) {
    std::map<run_ref, run_progress> running;
    for (const running_task& listed : report.running) {
        run_progress progress;
        progress.percent = listed.percent;
        progress.load = listed.load;
        progress.checkpoint = listed.checkpoint;
        progress.first_percent = listed.percent;
        progress.first_seen = view.observation_time;
        progress.advanced = view.observation_time;
        const auto before = view.running.find(listed.run);
        if (before != view.running.end()) {
            progress.first_percent = before->second.first_percent;
            progress.first_seen = before->second.first_seen;
            if (before->second.percent >= listed.percent) {
                progress.advanced = before->second.advanced;
            }
        }
        running.emplace(listed.run, std::move(progress));
    }
    view.running = std::move(running);
    view.sent_starts.clear();
    view.ended.clear();
    for (const ended_task& listed : report.ended) {
        view.ended.insert(listed.run);
    }
}

void endpoint_table::extend_lease(endpoint_view& view, instant reported) {
    view.lease_ends =
        std::max(view.lease_ends, lease_end(reported, options_.lease));
}

void endpoint_table::note_reply(
    endpoint_view& view, std::set<run_ref> starts, duration waited) {
    view.sent_starts = std::move(starts);
    view.reply_age = waited + view.report_delay;
}

void endpoint_table::remove(const std::string& endpoint) {
    const auto found = views_.find(endpoint);
    if (found == views_.end()) {
        return;
    }
    ++ended_lives_;
    last_ended_life_[endpoint] = found->second.life.number;
    views_.erase(found);
}

void endpoint_table::end_life(const endpoint_life& life) {
    ++ended_lives_;
    std::uint64_t& last_ended = last_ended_life_[life.endpoint];
    last_ended = std::max(last_ended, life.number);
    const auto found = views_.find(life.endpoint);
    if (found != views_.end() && found->second.life == life) {
        note_crash(std::move(found->second));
        views_.erase(found);
    } else if (!crashed_.contains(life)) {
        endpoint_view unheard;
        unheard.life = life;
        note_crash(std::move(unheard));
    }
}

bool endpoint_table::is_over(const endpoint_life& life, instant now) const {
    if (life.number <= newest_in(last_ended_life_, life.endpoint) ||
        life.number < newest_in(newest_of_endpoint_, life.endpoint)) {
        return true;
    }
    const endpoint_view* view = find_life(life);
    return now >= (view != nullptr ? view->lease_ends : unknown_leases_end_);
}

bool endpoint_table::may_run_in_next_life(
    const endpoint_life& life, const run_ref& run, instant now) const {
    const std::uint64_t newest = newest_in(newest_of_endpoint_, life.endpoint);
    const std::uint64_t last_ended = newest_in(last_ended_life_, life.endpoint);
    const endpoint_view* next = find(life.endpoint);
    if (life.number >= newest || newest <= last_ended || next == nullptr) {
        return false;
    }
    const former_life* former = former_lives_.find(life);
    const bool may_have_begun = former != nullptr ? former->starts.contains(run)
                                                  : life.number > last_ended;
    const instant replies_end =
        former != nullptr ? former->replies_end : unknown_replies_end_;
    const instant lease_ends = std::max(next->lease_ends,
        former != nullptr ? former->lease_ends : unknown_leases_end_);
    const bool may_run = next->running.contains(run) ||
        (may_have_begun && !has_reported_since(*next, replies_end));
    return may_run && now < lease_ends;
}

void endpoint_table::note_end(const endpoint_life& life, const run_ref& run,
    wire::run_end how, instant now) {
    const auto found = views_.find(life.endpoint);
    if (found == views_.end() || found->second.life != life) {
        return;
    }
    if (how == wire::run_end::done) {
        found->second.jobs_with_bad_runs.clear();
    } else if (how == wire::run_end::failed) {
        note_bad_run(life.endpoint, run.task.job, now);
    }
}

void endpoint_table::note_bad_run(
    const std::string& endpoint, job_id job, instant now) {
    endpoint_view* view = find(endpoint);
    if (view == nullptr) {
        return;
    }
    view->jobs_with_bad_runs.insert(job);
    if (view->jobs_with_bad_runs.size() < jobs_to_quarantine ||
        now < view->quarantined_until) {
        return;
    }
    const auto times =
        1U << std::min(view->quarantines, most_quarantine_doublings);
    view->quarantined_until = now + options_.quarantine * times;
    ++view->quarantines;
}

void endpoint_table::end_shared_quarantines(instant now) {
    if (std::none_of(views_.begin(), views_.end(), [&](const auto& entry) {
            return now < entry.second.quarantined_until;
        })) {
        return;
    }
    std::map<pool_id, std::vector<endpoint_view*>> quarantined;
    std::map<pool_id, std::size_t> counts;
    for (auto& [endpoint, view] : views_) {
        if (view.draining || now - view.heard >= options_.silence_limit) {
            continue;
        }
        ++counts[view.pool];
        if (now < view.quarantined_until) {
            quarantined[view.pool].push_back(&view);
        }
    }
    for (const auto& [pool, views] : quarantined) {
        if (views.size() < 2 ||
            views.size() * shared_quarantine_divisor <= counts[pool]) {
            continue;
        }
        for (endpoint_view* view : views) {
            view->quarantined_until = now;
            --view->quarantines;
        }
    }
}

bool endpoint_table::can_take_tasks(
    const endpoint_view& view, instant now) const {
    return !view.draining && now - view.heard < options_.silence_limit &&
        now >= view.quarantined_until;
}

endpoint_view* endpoint_table::find(const std::string& endpoint) {
    const auto found = views_.find(endpoint);
    return found == views_.end() ? nullptr : &found->second;
}

const endpoint_view* endpoint_table::find(const std::string& endpoint) const {
    const auto found = views_.find(endpoint);
    return found == views_.end() ? nullptr : &found->second;
}

const endpoint_view* endpoint_table::find_life(
    const endpoint_life& life) const {
    const auto found = views_.find(life.endpoint);
    return found == views_.end() || found->second.life != life ? nullptr
                                                               : &found->second;
}

} // namespace dragonflymount::jobs
