// Teams' shares of one pool: what is due to each, and what each has had.
//
// What is due follows weighted max-min fairness over the slots that teams can
// use at the moment. Whole slots can't follow a due share of 4.3 exactly, and
// tasks of different lengths free their slots at different times, so the
// difference between due and used slots is integrated; the decision corrects
// for it. The integral decays and is bounded: a team that was idle gets its
// share back at once, but takes no revenge on the others.
#ifndef DRAGONFLYMOUNT_POLICY_SHARES_HPP
#define DRAGONFLYMOUNT_POLICY_SHARES_HPP

#include "dragonflymount/core.hpp"

#include <map>
#include <span>
#include <vector>

namespace dragonflymount::policy {

/// \brief What one team asks of a pool.
struct share_demand {
    double weight = 0;
    /// Slots that the team could use now.
    double slots = 0;
};

/// \returns each team's due slots: weighted max-min over \p demands.
std::vector<double> max_min(
    double slots, std::span<const share_demand> demands);

/// \brief A team of a pool, as the choice of the next task sees it.
struct team_view {
    team_id team;
    std::uint32_t running = 0;
    double weight = 0;
    double due = 0;
    /// Slot-seconds that the team is behind its due share.
    double lag = 0;
    /// The pool's slots in use or free.
    std::uint32_t pool_slots = 0;
    bool urgent = false;
    /// Place of the team's first request in the order within the team.
    instant head_rank{};
};

/// \brief Chooses among teams that have a request which may start.
/// \returns the index of the team, or the size of the span for none.
template <class Order>
concept team_order = requires(
    const Order& order, std::span<const team_view> teams) {
    { order.choose(teams) } -> std::convertible_to<std::size_t>;
};

/// \brief The team furthest behind its due share goes first.
struct due_share_order {
    std::size_t choose(std::span<const team_view> teams) const;
};

class share_account {
public:
    /// Shares are made good over about this time.
    static constexpr duration decay_time = std::chrono::seconds(20);
    /// How fast a difference is corrected.
    static constexpr duration correction_time = std::chrono::seconds(2);
    /// A team's difference is at most its due share over this time.
    static constexpr duration largest_lag = std::chrono::seconds(5);

    struct member {
        double weight = 0;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
        /// Whether an upper limit keeps the team from starting more.
        bool limited = false;
        double due = 0;
        double lag = 0;
    };

    member& operator[](const team_id& team) { return members_[team]; }
    const std::map<team_id, member>& members() const { return members_; }

    /// \returns whether teams could use more slots than there are.
    bool demand_exceeds_slots() const { return demand_exceeds_slots_; }

    /// \brief Integrates up to \p now, then renews what is due.
    /// \param slots the pool's slots in use or free.
    void advance(std::uint32_t slots, instant now);

private:
    void integrate(double seconds);
    void update_due(std::uint32_t slots);

    std::map<team_id, member> members_;
    instant updated_{};
    // Since the last call, teams could use more slots than there are.
    bool demand_exceeds_slots_ = false;
};

} // namespace dragonflymount::policy

#endif
