// Decides whether a VM may be stopped for maintenance under the rules.
//
// A VM counts as down if it is lost, leaving, quarantined, draining,
// rebooting, not reported, or not yet working under its record's epoch. A
// planned stop is allowed only if the rules still hold with that VM down.
// A reserved stop counts immediately, so that all decisions of one round
// together respect the rules. A zone's requests are served by its own VMs, so
// a pool that has several VMs in a zone keeps at least one of them up there.
#ifndef DRAGONFLYMOUNT_FLEET_BUDGET_HPP
#define DRAGONFLYMOUNT_FLEET_BUDGET_HPP

#include "dragonflymount/src/Fleet/View.hpp"

#include <set>

namespace dragonflymount::fleet {

enum class budget_verdict : std::uint8_t {
    allowed,
    pool_minimum,
    /// No other VM of its pool is up in its zone, though the pool has others
    /// there.
    last_in_zone,
    rack_limit,
    zone_limit,
    unknown_vm
};

/// \returns the reason shown to operators, "allowed" if there is none.
const char* name_of(budget_verdict verdict);

/// \brief The budget of planned stops for one round of decisions.
class budget {
public:
    /// \param view must outlive the budget.
    explicit budget(const fleet_view& view);

    /// \returns whether \p vm may be stopped now, or the rule that forbids it.
    budget_verdict check(const vm_id& vm) const;
    /// \brief Counts \p vm as down if it may be stopped.
    /// \returns the verdict of \c check.
    budget_verdict reserve(const vm_id& vm);

    /// \returns the number of VMs of \p pool that are up.
    std::uint32_t up_in(const pool_id& pool) const;
    std::uint32_t down_in(const rack_id& rack) const;
    std::uint32_t down_in(const availability_zone_id& zone) const;

private:
    const fleet_view& view_;
    // Invariant: the counts below match this set and the records.
    std::set<vm_id> down_;
    std::map<pool_id, std::uint32_t> pool_up_;
    using pool_in_zone = std::pair<pool_id, availability_zone_id>;
    std::map<pool_in_zone, std::uint32_t> members_;
    std::map<pool_in_zone, std::uint32_t> members_up_;
    std::map<rack_id, std::uint32_t> rack_down_;
    std::map<availability_zone_id, std::uint32_t> zone_down_;

    void mark_down(const vm_id& vm, const vm_record& record);
};

} // namespace dragonflymount::fleet

#endif
