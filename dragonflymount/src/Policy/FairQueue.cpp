// Implements the bounded request queue of one pool.
#include "dragonflymount/src/Policy/FairQueue.hpp"

namespace dragonflymount::policy {

void reserved_capacity::reserve(const team_id& team, std::size_t amount) {
    team_usage& usage = usage_by_team_[team];
    unused_ -= usage.unused();
    usage.reserved = amount;
    unused_ += usage.unused();
}

bool reserved_capacity::acquire(const team_id& team, std::size_t amount) {
    team_usage& usage = usage_by_team_[team];
    team_usage after = usage;
    after.used += amount;
    const std::size_t unused = unused_ - usage.unused() + after.unused();
    if (used_ + amount + unused > capacity_) {
        return false;
    }
    usage = after;
    used_ += amount;
    unused_ = unused;
    return true;
}

void reserved_capacity::release(const team_id& team, std::size_t amount) {
    team_usage& usage = usage_by_team_[team];
    unused_ -= usage.unused();
    usage.used -= amount;
    used_ -= amount;
    unused_ += usage.unused();
}

fair_queue::fair_queue(queue_limits limits)
    : limits_(limits), requests_(limits.most_requests),
      bytes_(limits.most_bytes) {}

void fair_queue::reserve(const team_id& team, std::uint32_t share_percent) {
    const std::size_t basis_points = limits_.reserved_percent * share_percent;
    requests_.reserve(team, limits_.most_requests * basis_points / 10000);
    bytes_.reserve(team, limits_.most_bytes * basis_points / 10000);
}

bool fair_queue::push(queued_request request) {
    const team_id team = request.key.team;
    if (positions_.contains(request.key) || !requests_.acquire(team, 1)) {
        return false;
    }
    if (!bytes_.acquire(team, request.size_bytes)) {
        requests_.release(team, 1);
        return false;
    }
    team_queue& queue = teams_[team];
    queue.work[request.rank.time_since_epoch() / work_step] += request.expected;
    deadlines_.emplace(request.deadline, request.key);
    const request_key key = request.key;
    positions_.emplace(key, queue.requests.insert(std::move(request)).first);
    return true;
}

queued_request fair_queue::take_request(
    team_queue& queue, position request_position) {
    queued_request taken =
        std::move(queue.requests.extract(request_position).value());
    positions_.erase(taken.key);
    deadlines_.erase({taken.deadline, taken.key});
    requests_.release(taken.key.team, 1);
    bytes_.release(taken.key.team, taken.size_bytes);
    const auto work =
        queue.work.find(taken.rank.time_since_epoch() / work_step);
    // The entry may be gone if the expected time of the request is zero.
    if (work != queue.work.end()) {
        work->second -= taken.expected;
        if (work->second <= duration(0)) {
            queue.work.erase(work);
        }
    }
    return taken;
}

std::optional<queued_request> fair_queue::remove(const request_key& key) {
    const auto found = positions_.find(key);
    if (found == positions_.end()) {
        return std::nullopt;
    }
    return take_request(teams_.at(key.team), found->second);
}

const queued_request* fair_queue::front(const team_id& team) const {
    const auto found = teams_.find(team);
    if (found == teams_.end() || found->second.requests.empty()) {
        return nullptr;
    }
    return &*found->second.requests.begin();
}

std::optional<queued_request> fair_queue::pop(const team_id& team) {
    if (front(team) == nullptr) {
        return std::nullopt;
    }
    team_queue& queue = teams_.at(team);
    return take_request(queue, queue.requests.begin());
}

std::vector<queued_request> fair_queue::expire(instant now) {
    std::vector<queued_request> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const request_key key = deadlines_.begin()->second;
        expired.push_back(*remove(key));
    }
    return expired;
}

duration fair_queue::work_before(const team_id& team, instant rank) const {
    const auto found = teams_.find(team);
    duration sum{};
    if (found == teams_.end()) {
        return sum;
    }
    const auto end =
        found->second.work.lower_bound(rank.time_since_epoch() / work_step);
    for (auto step = found->second.work.begin(); step != end; ++step) {
        sum += step->second;
    }
    return sum;
}

std::size_t fair_queue::size(const team_id& team) const {
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.requests.size();
}

} // namespace dragonflymount::policy
