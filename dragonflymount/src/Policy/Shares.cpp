// Implements weighted max-min shares and the account of their deviation.
#include "dragonflymount/src/Policy/Shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dragonflymount::policy {
namespace {

/// Weight of a team without a share, which gets slots that others leave
/// unused.
constexpr double least_weight = 0.001;

double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

double effective_weight(double weight) {
    return std::max(weight, least_weight);
}

double score(const team_view& view) {
    return (view.due + view.lag / seconds_of(share_account::correction_time) -
               static_cast<double>(view.running)) /
        effective_weight(view.weight);
}

// Urgent requests take precedence over shares only until the team is far above
// its share. Otherwise a team that marks every request as urgent would take all
// slots from the others.
bool has_urgent_priority(const team_view& view) {
    const double bound =
        view.due * seconds_of(share_account::largest_lag) * 0.9;
    return view.urgent && view.lag > -bound;
}

} // namespace

std::vector<double> max_min(
    double slots, std::span<const share_demand> demands) {
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0U);
    const auto relative = [&](std::size_t k) {
        return demands[k].slots / effective_weight(demands[k].weight);
    };
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return relative(a) < relative(b);
    });
    double weights = 0;
    for (const share_demand& demand : demands) {
        weights += effective_weight(demand.weight);
    }
    std::vector<double> due(demands.size());
    for (const std::size_t k : order) {
        const double weight = effective_weight(demands[k].weight);
        due[k] = std::min(demands[k].slots, slots * weight / weights);
        slots -= due[k];
        weights -= weight;
    }
    return due;
}

std::size_t due_share_order::choose(std::span<const team_view> teams) const {
    std::size_t best = teams.size();
    for (std::size_t k = 0; k < teams.size(); ++k) {
        if (best == teams.size()) {
            best = k;
            continue;
        }
        const bool prioritized = has_urgent_priority(teams[k]);
        const bool best_prioritized = has_urgent_priority(teams[best]);
        if (prioritized != best_prioritized) {
            best = prioritized ? k : best;
        } else if (score(teams[k]) > score(teams[best])) {
            best = k;
        }
    }
    return best;
}

void share_account::advance(std::uint32_t slots, instant now) {
    if (now > updated_) {
        integrate(seconds_of(now - updated_));
        updated_ = now;
    }
    update_due(slots);
}

void share_account::integrate(double seconds) {
    const double decay = std::exp(-seconds / seconds_of(decay_time));
    for (auto& [team, state] : members_) {
        state.lag *= decay;
        if (demand_exceeds_slots_) {
            state.lag +=
                (state.due - static_cast<double>(state.running)) * seconds;
        }
        const double bound = std::max(1.0, state.due) * seconds_of(largest_lag);
        state.lag = std::clamp(state.lag, -bound, bound);
    }
}

void share_account::update_due(std::uint32_t slots) {
    std::vector<share_demand> demands;
    demands.reserve(members_.size());
    double wanted = 0;
    for (const auto& [team, state] : members_) {
        const std::uint32_t queued = state.limited ? 0 : state.queued;
        demands.push_back(
            {state.weight, static_cast<double>(state.running + queued)});
        wanted += demands.back().slots;
    }
    demand_exceeds_slots_ = wanted > static_cast<double>(slots);
    const std::vector<double> due = max_min(slots, demands);
    std::size_t k = 0;
    for (auto& [team, state] : members_) {
        state.due = due[k++];
    }
}

} // namespace dragonflymount::policy
