// Which non-idempotent requests have been claimed, and by which zone.
//
// A claim is never given twice while it is remembered. Claims are forgotten
// by log time, which runs with the leaders' monotonic clocks: a step of a
// wall clock can't make a claim expire early.
#ifndef DRAGONFLYMOUNT_CONTROL_CLAIMS_HPP
#define DRAGONFLYMOUNT_CONTROL_CLAIMS_HPP

#include "dragonflymount/wire.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>

namespace dragonflymount::control {

/// \brief The first 128 bits of the SHA-256 of team and id.
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

/// \brief What is known of one claimed request.
struct claim {
    task_id task;
    std::uint16_t zone = 0;
    wire::outcome outcome = wire::outcome::none;
    /// The log index of the command that made it.
    log_index index;
};

/// \brief Who asks for a claim, and on what grounds.
struct claimant {
    task_id task;
    availability_zone_id zone;
    /// Claims of the zone's earlier epochs made after this index are known
    /// not to have run; nothing if the zone can't tell.
    std::optional<log_index> reclaimable_after;
};

/// \brief When a command was logged.
struct log_position {
    log_index index;
    std::uint64_t time_ms = 0;
};

class claim_table {
public:
    /// How long a claim is remembered, in log time.
    static constexpr std::chrono::hours retention{48};

    /// \brief Claims \p key, unless another task holds it.
    /// \returns the claim that stands, be it new, repeated or another's.
    const claim& acquire(const request_key& key, const claimant& requester,
        log_position position);
    /// \brief Records how a claimed request ended. One that was not run and
    /// never will be may be claimed again, but not by the same task: its end
    /// may have overtaken the claim itself.
    void finish(const request_key& key, const claimant& holder,
        wire::outcome outcome, log_position position);
    /// \returns whether \p held lets \p task run.
    static bool is_granted(const claim& held, task_id task) {
        return held.task == task && held.outcome == wire::outcome::none;
    }
    /// \brief Forgets claims older than \c retention.
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
        // Tells this claim from a later one of the same request.
        task_id task;
    };

    void insert(const claim_digest& digest, claim made, log_position position);
    bool may_replace(const claim& held, const claimant& requester) const;
    std::uint16_t intern(const availability_zone_id& zone);

    absl::flat_hash_map<claim_digest, claim> claims_;
    // Invariant: in order of log time; holds every claim in claims_.
    std::deque<claim_age> ages_;
    std::vector<availability_zone_id> zones_;
};

} // namespace dragonflymount::control

#endif
