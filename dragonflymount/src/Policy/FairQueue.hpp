// Queued requests of one pool, by team.
//
// Within a team urgent requests go first, then the lowest rank, which is the
// deadline. The queue is bounded in requests and bytes. Part of it is
// reserved for each team, so that no team can fill it for the others; what
// isn't reserved goes to whoever asks.
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
    /// The part of the queue that is reserved for teams by their shares.
    std::size_t reserved_percent = 50;
};

struct queued_request {
    request_key key;
    service_id service;
    instant deadline{};
    bool urgent = false;
    std::size_t size_bytes = 0;
    /// Order within the team.
    instant rank{};
    /// Learned run time when the request was queued.
    duration expected{};
    /// VMs on which the request has failed.
    std::vector<vm_id> failed_on{};
};

/// \brief A capacity of which each user has a reserved part.
class reserved_capacity {
public:
    explicit reserved_capacity(std::size_t capacity) : capacity_(capacity) {}

    void reserve(const team_id& team, std::size_t amount);
    /// \returns false if \p amount doesn't fit; nothing changes then.
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

    /// \brief Reserves a team's part of the queue.
    void reserve(const team_id& team, std::uint32_t share_percent);

    /// \returns false if the request doesn't fit; nothing changes then.
    bool push(queued_request request);
    /// \returns the request, if it was queued.
    std::optional<queued_request> remove(const request_key& key);
    /// \brief Takes the first request of \p team.
    std::optional<queued_request> pop(const team_id& team);
    /// \returns the first request of \p team, null if it has none.
    const queued_request* front(const team_id& team) const;
    /// \brief Takes all requests whose deadline has come.
    std::vector<queued_request> expire(instant now);

    /// \returns the expected work of \p team that goes before a request of
    /// this \p rank, in slot time.
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
        // Expected work by rank, in steps of work_step.
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
