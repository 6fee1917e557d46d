// Counting and naming of figures, and the policies by name.
#include "programs/load/virtual/report.hpp"

#include "programs/load/virtual/baselines.hpp"

#include <algorithm>
#include <array>

namespace dragonflymount::load_program {

void outcome_counter::add(const team_id& team, ending end) {
    const double good = end == ending::answered ? 1 : 0;
    endings_[end] += 1;
    teams_[team].answered += good;
    teams_[team].requests += 1;
    all_.answered += good;
    all_.requests += 1;
}

void outcome_counter::report(virtual_report& target) const {
    constexpr std::array<std::pair<ending, const char*>, 6> names{
        {{ending::none, "lost"}, {ending::late, "late"},
            {ending::failed, "failed"}, {ending::refused, "refused"},
            {ending::unknown, "unknown"}, {ending::cancelled, "cancelled"}}};
    for (const auto& [end, name] : names) {
        const auto found = endings_.find(end);
        target.figures[name] = found == endings_.end() ? 0 : found->second;
    }
    target.figures["requests"] = all_.requests;
    target.figures["answered"] =
        all_.requests == 0 ? 1 : all_.answered / all_.requests;
    for (const auto& [team, count] : teams_) {
        target.figures["answered." + team.str()] =
            count.answered / count.requests;
    }
}

void report_shares(
    const std::map<pool_id, share_measure>& shares, virtual_report& target) {
    double largest = 0;
    double sum = 0;
    double windows = 0;
    for (const auto& [pool, measure] : shares) {
        largest = std::max(largest, measure.largest());
        sum += measure.sum();
        windows += measure.windows();
    }
    target.figures["share_max"] = largest;
    target.figures["share_mean"] = windows == 0 ? 0 : sum / windows;
    target.figures["share_windows"] = windows;
}

void report_latencies(std::vector<duration> latencies, virtual_report& target) {
    std::sort(latencies.begin(), latencies.end());
    for (const std::size_t percent : {50U, 99U}) {
        target.figures["p" + std::to_string(percent) + "_s"] = latencies.empty()
            ? 0
            : seconds_of(latencies[(latencies.size() - 1) * percent / 100]);
    }
}

std::optional<double> virtual_report::figure(const std::string& name) const {
    const auto found = figures.find(name);
    return found == figures.end() ? std::nullopt
                                  : std::optional<double>(found->second);
}

std::vector<std::string> policy_names() {
    return {"policy", "running", "fcfs", "static"};
}

virtual_report replay_named(const std::string& name, const trace& recorded,
    const rules::rule_set& rules) {
    virtual_options options;
    if (name == "policy") {
        return replay_virtual<policy::due_share_order>(
            recorded, rules, options);
    }
    // Baselines know neither learned run times nor evidence.
    options.dispatcher.sheds_late = false;
    options.dispatcher.evidence.most_quarantined_percent = 0;
    if (name == "running") {
        return replay_virtual<running_order>(recorded, rules, options);
    }
    if (name == "static") {
        return replay_virtual<static_part_order>(recorded, rules, options);
    }
    options.by_arrival = true;
    return replay_virtual<arrival_order>(recorded, rules, options);
}

} // namespace dragonflymount::load_program
