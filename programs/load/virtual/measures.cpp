// Deviation from due shares over sliding windows.
#include "programs/load/virtual/measures.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflymount::load_program {
namespace {

/// A team that is due less than this many slots isn't measured: one task
/// more or less would count for more than its share.
constexpr double least_due_slots = 1;

} // namespace

void share_measure::add(const usages& sampled, double sign) {
    for (const auto& [team, value] : sampled) {
        total_[team].used += sign * value.used;
        total_[team].due += sign * value.due;
    }
}

void share_measure::sample(
    double slots, const std::map<team_id, team_sample>& teams) {
    std::vector<policy::share_demand> demands;
    double wanted = 0;
    for (const auto& [team, seen] : teams) {
        const double most = std::max(seen.limit, seen.running);
        demands.push_back(
            {seen.weight, std::min(seen.running + seen.queued, most)});
        wanted += demands.back().slots;
    }
    if (wanted <= slots) {
        samples_.clear();
        total_.clear();
        return;
    }
    const std::vector<double> due = policy::max_min(slots, demands);
    usages sampled;
    std::size_t k = 0;
    for (const auto& [team, seen] : teams) {
        sampled[team] = {seen.running, due[k++]};
    }
    add(sampled, 1);
    samples_.push_back(std::move(sampled));
    const auto length = static_cast<std::size_t>(window / sample_interval);
    if (samples_.size() > length) {
        add(samples_.front(), -1);
        samples_.pop_front();
    }
    if (samples_.size() == length) {
        measure_window();
    }
}

void share_measure::measure_window() {
    const auto length = static_cast<double>(samples_.size());
    for (const auto& [team, value] : total_) {
        if (value.due < least_due_slots * length) {
            continue;
        }
        const double deviation = std::abs(value.used - value.due) / value.due;
        largest_ = std::max(largest_, deviation);
        sum_ += deviation;
        windows_ += 1;
    }
}

} // namespace dragonflymount::load_program
