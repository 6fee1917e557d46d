// Computes the due slots of each team in a pool, and accounts for the slots
// that each team has used.
//
// Due slots follow weighted max-min fairness over the slots that teams can use
// at the moment. Whole slots can't match a due share of 4.3 exactly, and tasks
// of different lengths free their slots at different times. The difference
// between due and used slots is therefore integrated as the team's lag, and the
// choice of the next team corrects for it. The lag decays and is bounded: a
// team that was idle gets its share back at once, but can't displace the other
// teams to make up for a long idle time.
#ifndef DRAGONFLYMOUNT_POLICY_SHARES_HPP
#define DRAGONFLYMOUNT_POLICY_SHARES_HPP

#include "dragonflymount/core.hpp"

#include <map>
#include <span>
#include <vector>

namespace dragonflymount::policy {

/// \brief The demand of one team in a pool.
struct share_demand {
    double weight = 0;
    /// Slots that the team could use now.
    double slots = 0;
};

/// \returns the due slots of each team, by weighted max-min fairness, in the
/// order of \p demands.
/// \param slots the slots to divide.
std::vector<double> max_min(
    double slots, std::span<const share_demand> demands);

/// \brief The state of a team that the choice of the next task depends on.
struct team_view {
    team_id team;
    std::uint32_t running = 0;
    double weight = 0;
    /// Due slots.
    double due = 0;
    /// Slot-seconds that the team is behind its due share.
    double lag = 0;
    /// The pool's slots in use or free.
    std::uint32_t pool_slots = 0;
    bool urgent = false;
    /// Rank of the team's first request.
    instant head_rank{};
};

/// \brief Chooses the team that starts the next task, among teams with a
/// request that may start.
/// \returns the index of the team, or the size of the span for none.
template <class Order>
concept team_order = requires(
    const Order& order, std::span<const team_view> teams) {
    { order.choose(teams) } -> std::convertible_to<std::size_t>;
};

/// \brief Chooses the team furthest behind its due share, relative to weight.
/// Teams with urgent requests go first within a limit.
struct due_share_order {
    std::size_t choose(std::span<const team_view> teams) const;
};

/// \brief The due slots and the lag of each team in one pool.
class share_account {
public:
    /// Time constant of the decay of the lag.
    static constexpr duration decay_time = std::chrono::seconds(20);
    /// A lag raises the due slots by as much as corrects it in this time.
    static constexpr duration correction_time = std::chrono::seconds(2);
    /// A team's lag is at most its due slots, but at least one, times this.
    static constexpr duration largest_lag = std::chrono::seconds(5);

    struct member {
        double weight = 0;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
        /// Whether an upper limit keeps the team from starting more.
        bool limited = false;
        /// Due slots.
        double due = 0;
        /// Slot-seconds that the team is behind its due share.
        double lag = 0;
    };

    member& operator[](const team_id& team) { return members_[team]; }
    const std::map<team_id, member>& members() const { return members_; }

    /// \returns whether teams could use more slots than the pool has.
    bool demand_exceeds_slots() const { return demand_exceeds_slots_; }

    /// \brief Integrates the lag up to \p now, then updates the due slots.
    /// \param slots the pool's slots, in use or free.
    void advance(std::uint32_t slots, instant now);

private:
    void integrate(double seconds);
    void update_due(std::uint32_t slots);

    std::map<team_id, member> members_;
    instant updated_{};
    // Set by the last advance(): teams could use more slots than the pool has.
    bool demand_exceeds_slots_ = false;
};

} // namespace dragonflymount::policy

#endif
