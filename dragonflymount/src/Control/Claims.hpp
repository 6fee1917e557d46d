// Records which non-idempotent requests have been claimed, and by which zone.
//
// While the table holds a claim, the request is granted to a second task only
// if the first one is known not to have run. Claims expire by log time, which
// advances with the leaders' monotonic clocks, so that a step of a wall clock
// can't expire a claim early.
#ifndef DRAGONFLYMOUNT_CONTROL_CLAIMS_HPP
#define DRAGONFLYMOUNT_CONTROL_CLAIMS_HPP

#include "dragonflymount/wire.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>

namespace dragonflymount::control {

/// \brief The first 128 bits of the SHA-256 of team and request id.
struct claim_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const claim_digest&, const claim_digest&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, const claim_digest& digest) {
        return Hash::combine(std::move(state), digest.high, digest.low);
    }
};

claim_digest digest_of(const request_key& key);

/// \brief The holder and the outcome of one claimed request.
struct claim {
    task_id task;
    std::uint16_t zone = 0;
    wire::outcome outcome = wire::outcome::none;
    /// The log index of the command that made the claim.
    log_index index;
};

/// \brief The task and zone that request a claim.
struct claimant {
    task_id task;
    availability_zone_id zone;
    /// Unfinished claims that earlier epochs of this zone made after this
    /// index are known not to have run. Empty if the zone's coordinator
    /// doesn't know which tasks its predecessors started.
    std::optional<log_index> reclaimable_after;
};

/// \brief The log index of a command and its log time.
struct log_position {
    log_index index;
    std::uint64_t time_ms = 0;
};

class claim_table {
public:
    /// How long a claim is kept, in log time.
    static constexpr std::chrono::hours retention{48};

    /// \brief Claims \p key, unless another task holds it.
    /// A claim of another task is replaced only if that task is known not
    /// to have run.
    /// \returns the claim now in force, which may belong to another task.
    const claim& acquire(const request_key& key, const claimant& requester,
        log_position position);
    /// \brief Records the outcome of a claimed request. A request that was
    /// not run, and never will be by \p holder, may be claimed by another
    /// task. The same task can't claim it: its end may be applied before its
    /// claim, and the late claim must then be refused.
    void finish(const request_key& key, const claimant& holder,
        wire::outcome outcome, log_position position);
    /// \returns whether \p held allows \p task to run.
    static bool is_granted(const claim& held, task_id task) {
        return held.task == task && held.outcome == wire::outcome::none;
    }
    /// \brief Removes claims older than \c retention.
    /// \param log_time_ms the current log time, in milliseconds.
    void expire(std::uint64_t log_time_ms);

    const claim* find(const request_key& key) const;
    const availability_zone_id& zone_of(const claim& held) const;
    std::size_t size() const { return claims_.size(); }

    void save(wire::ControlImageT& image) const;
    void load(const wire::ControlImageT& image);

private:
    struct claim_age {
        std::uint64_t log_time_ms = 0;
        claim_digest digest;
        // Distinguishes this claim from a later one for the same request.
        task_id task;
    };

    void insert(const claim_digest& digest, claim made, log_position position);
    bool may_replace(const claim& held, const claimant& requester) const;
    std::uint16_t intern(const availability_zone_id& zone);

    absl::flat_hash_map<claim_digest, claim> claims_;
    // Invariant: ordered by log time, with an element for every claim in
    // claims_.
    std::deque<claim_age> ages_;
    std::vector<availability_zone_id> zones_;
};

} // namespace dragonflymount::control

#endif
