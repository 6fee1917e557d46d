// How many VMs may be stopped on purpose, on top of those that are down.
//
// A VM is down for any reason: lost, leaving, quarantined, draining,
// rebooting, not reported, or not yet working under its record's epoch. A
// planned stop is allowed only if the rules hold with that VM down as well,
// and an allowed one counts at once, so that the decisions of one round add
// up. A zone's requests are served by its own VMs, so a pool that has several
// VMs in a zone keeps one of them up there.
#ifndef DRAGONFLYMOUNT_FLEET_BUDGET_HPP
#define DRAGONFLYMOUNT_FLEET_BUDGET_HPP

#include "dragonflymount/src/Fleet/View.hpp"

#include <set>

namespace dragonflymount::fleet {

enum class budget_verdict : std::uint8_t {
    allowed,
    pool_minimum,
    /// The last one up of its pool in its zone, where the pool has others.
    last_in_zone,
    rack_limit,
    zone_limit,
    unknown_vm
};

const char* name_of(budget_verdict verdict);

class budget {
public:
    explicit budget(const fleet_view& view);

    /// \returns whether \p vm may be stopped now.
    budget_verdict check(const vm_id& vm) const;
    /// \brief Counts \p vm as down if that is allowed.
    budget_verdict reserve(const vm_id& vm);

    std::uint32_t up_in(const pool_id& pool) const;
    std::uint32_t down_in(const rack_id& rack) const;
    std::uint32_t down_in(const availability_zone_id& zone) const;

private:
    const fleet_view& view_;
    // Invariant: the counts below follow from this set and the records.
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
