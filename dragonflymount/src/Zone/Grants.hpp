// The zone's grants: for each team, the share of its upper limit that is leased
// to this zone.
//
// A grant grows only through the log. The coordinator may lower a grant at
// once: it then starts no task above the lower amount and reports that amount.
// The leader reassigns the difference only after it has committed the lower
// amount.
#ifndef DRAGONFLYMOUNT_ZONE_GRANTS_HPP
#define DRAGONFLYMOUNT_ZONE_GRANTS_HPP

#include "dragonflymount/wire.hpp"

#include <algorithm>
#include <map>

namespace dragonflymount::zone {

class grant_table {
public:
    /// \brief Applies the grants of a lease.
    /// \param may_lower false while tasks may run that aren't counted yet,
    /// which is until the coordinator has recovered. Amounts are not lowered
    /// then.
    void receive(const wire::EntryLeaseT& lease, bool may_lower) {
        for (const auto& stated : lease.grants) {
            grant& held = team_grants_[team_id(stated->team)];
            if (stated->sequence > held.sequence) {
                held.sequence = stated->sequence;
                held.amount = stated->amount;
                held.target = stated->amount;
            }
            if (may_lower && stated->sequence == held.sequence) {
                held.target = stated->target;
                held.lower_to_target();
            }
        }
    }

    bool may_start(const team_id& team) const {
        const auto found = team_grants_.find(team);
        return found != team_grants_.end() &&
            found->second.used <
            std::min(found->second.amount, found->second.target);
    }

    /// \brief Counts a task that runs or may run.
    void acquire(const team_id& team) { ++team_grants_[team].used; }
    /// \brief Stops counting a task that has ended or whose lease has expired.
    void release(const team_id& team) {
        grant& held = team_grants_[team];
        --held.used;
        held.lower_to_target();
    }

    std::uint32_t used(const team_id& team) const {
        const auto found = team_grants_.find(team);
        return found == team_grants_.end() ? 0 : found->second.used;
    }

    void report(wire::EntryBeatT& beat) const {
        for (const auto& [team, held] : team_grants_) {
            auto state = std::make_unique<wire::GrantStateT>();
            state->team = team.str();
            state->amount = held.amount;
            state->used = held.used;
            state->sequence = held.sequence;
            beat.grants.push_back(std::move(state));
        }
    }

private:
    struct grant {
        std::uint32_t amount = 0;
        std::uint32_t used = 0;
        std::uint64_t sequence = 0;
        // The amount that the leader wants the grant lowered to. No task
        // starts above this amount.
        std::uint32_t target = 0;

        void lower_to_target() {
            amount = std::min(amount, std::max(target, used));
        }
    };

    std::map<team_id, grant> team_grants_;
};

} // namespace dragonflymount::zone

#endif
