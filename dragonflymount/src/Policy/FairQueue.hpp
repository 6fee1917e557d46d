// Queues the requests of one pool by team, within fixed limits.
//
// Within a team, urgent requests go first, then those of the lowest rank,
// which is the deadline by default. The queue is bounded in requests and
// bytes. A part of it is reserved for each team, so that no team can use up
// the queue; the rest is available to all teams in order of arrival.
#ifndef DRAGONFLYMOUNT_POLICY_FAIR_QUEUE_HPP
#define DRAGONFLYMOUNT_POLICY_FAIR_QUEUE_HPP

#include "dragonflymount/core.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dragonflymount::policy {

struct queue_limits {
    std::size_t most_requests = 4096;
    std::size_t most_bytes = 16U << 20U;
    /// The part of the queue that is reserved; teams divide it by share.
    std::size_t reserved_percent = 50;
};

struct queued_request {
    request_key key;
    service_id service;
    instant deadline{};
    bool urgent = false;
    std::size_t size_bytes = 0;
    /// Order within the team, lowest first.
    instant rank{};
    /// The estimated run time when the request was queued.
    duration expected{};
    /// VMs on which the request has failed.
    std::vector<vm_id> failed_on{};
};

/// \brief Counts the use of a capacity, a part of which is reserved per team.
class reserved_capacity {
public:
    explicit reserved_capacity(std::size_t capacity) : capacity_(capacity) {}

    /// \brief Sets the capacity that is reserved for \p team.
    void reserve(const team_id& team, std::size_t amount);
    /// \returns false, without a change, if \p amount exceeds the capacity
    /// that is not used and not reserved for other teams.
    bool acquire(const team_id& team, std::size_t amount);
    void release(const team_id& team, std::size_t amount);
    std::size_t used() const { return used_; }

private:
    struct team_usage {
        std::size_t used = 0;
        std::size_t reserved = 0;

        std::size_t unused() const {
            return reserved > used ? reserved - used : 0;
        }
    };

    std::size_t capacity_;
    std::size_t used_ = 0;
    // Invariant: the sum of unused() over usage_by_team_.
    std::size_t unused_ = 0;
    std::map<team_id, team_usage> usage_by_team_;
};

class fair_queue {
public:
    explicit fair_queue(queue_limits limits = {});

    /// \brief Reserves a part of the queue for \p team.
    void reserve(const team_id& team, std::uint32_t share_percent);

    /// \returns false, without a change, if the request is queued already or
    /// exceeds the free capacity.
    bool push(queued_request request);
    /// \brief Removes a request.
    /// \returns the request; none if it was not queued.
    std::optional<queued_request> remove(const request_key& key);
    /// \brief Removes the first request of \p team.
    /// \returns the request; none if the team has none queued.
    std::optional<queued_request> pop(const team_id& team);
    /// \returns the first request of \p team, null if it has none.
    const queued_request* front(const team_id& team) const;
    /// \brief Removes and returns all requests whose deadline has passed.
    std::vector<queued_request> expire(instant now);

    /// \returns the sum of the expected run times of the queued requests of
    /// \p team with a lower rank, in steps of work_step.
    duration work_before(const team_id& team, instant rank) const;

    std::size_t size() const { return positions_.size(); }
    std::size_t size(const team_id& team) const;
    std::size_t bytes_held() const { return bytes_.used(); }

private:
    struct earlier {
        bool operator()(
            const queued_request& left, const queued_request& right) const {
            return std::tie(right.urgent, left.rank, left.key.id) <
                std::tie(left.urgent, right.rank, right.key.id);
        }
    };
    struct team_queue {
        std::set<queued_request, earlier> requests;
        // Sum of expected run times by rank, in steps of work_step.
        std::map<std::int64_t, duration> work;
    };
    using position = std::set<queued_request, earlier>::iterator;

    static constexpr duration work_step = std::chrono::seconds(1);
    queued_request take_request(team_queue& queue, position request_position);

    queue_limits limits_;
    reserved_capacity requests_;
    reserved_capacity bytes_;
    std::map<team_id, team_queue> teams_;
    // Invariant: one entry per request in teams_.
    std::map<request_key, position> positions_;
    // Invariant: one entry per request in teams_.
    std::set<std::pair<instant, request_key>> deadlines_;
};

} // namespace dragonflymount::policy

#endif
