// Keeps the VMs of one pool that can take a task in the order of placement.
//
// The VM that uses the smallest part of its slots goes first. Among VMs of
// equal load, the one in the rack with the fewest tasks goes first, so that the
// failure of a rack ends as few tasks as possible. Among the first candidates
// of the same load, a warm VM, which has run the service before, is preferred.
// The index is updated at each start and end of a task, so that a choice
// examines a bounded number of VMs.
#ifndef DRAGONFLYMOUNT_POLICY_VM_INDEX_HPP
#define DRAGONFLYMOUNT_POLICY_VM_INDEX_HPP

#include "dragonflymount/core.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <tuple>

namespace dragonflymount::policy {

/// \brief The state of a VM that placement depends on.
struct vm_view {
    vm_id vm;
    rack_id rack;
    std::uint32_t slots = 0;
    /// A task takes one connection.
    std::uint32_t connections = 0;
    std::uint32_t running = 0;
    /// Whether the VM may be given new tasks.
    bool available = false;

    friend bool operator==(const vm_view&, const vm_view&) = default;

    std::uint32_t capacity() const { return std::min(slots, connections); }
};

/// \brief The VMs of one pool, with the free ones in order of placement.
class vm_index {
public:
    /// Candidates of the same load that are examined for a warm VM.
    static constexpr std::size_t most_candidates = 8;

    /// \brief Adds a VM or updates its state.
    void update(const vm_view& view);
    void remove(const vm_id& vm);
    /// \brief Records that \p vm has run \p service.
    void mark_warm(const vm_id& vm, const service_id& service);

    /// \returns the VM for the next task of \p service, none if all are full.
    /// \param avoid VMs that are taken only if no other is free.
    std::optional<vm_id> choose(
        const service_id& service, std::span<const vm_id> avoid) const;

    const vm_view* find(const vm_id& vm) const;
    bool has_free() const { return !free_.empty(); }
    std::size_t size() const { return vms_.size(); }
    /// \returns the number of slots of available VMs plus the number of tasks
    /// that run on the others.
    std::uint32_t slots() const { return slots_; }

private:
    struct vm_state {
        vm_view view;
        std::set<service_id> warm_services;
    };
    struct placement_rank {
        std::uint32_t load_permille = 0;
        std::uint32_t rack_running = 0;
        vm_id vm;

        bool operator<(const placement_rank& other) const {
            return std::tie(load_permille, rack_running, vm) <
                std::tie(other.load_permille, other.rack_running, other.vm);
        }
    };
    struct rack_state {
        std::set<vm_id> vms;
        std::uint32_t running = 0;
    };

    placement_rank rank_of(const vm_view& view) const;
    static std::uint32_t counted_slots(const vm_view& view);
    void remove_free_vms(const rack_id& rack);
    void insert_free_vms(const rack_id& rack);

    std::map<vm_id, vm_state> vms_;
    std::map<rack_id, rack_state> racks_;
    // Invariant: the available VMs in vms_ with a free slot and connection.
    std::set<placement_rank> free_;
    std::uint32_t slots_ = 0;
};

} // namespace dragonflymount::policy

#endif
