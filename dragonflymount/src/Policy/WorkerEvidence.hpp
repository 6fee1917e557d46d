// Finds workers that fail everything they start.
//
// A failure alone says nothing: the job may be to blame. A VM is quarantined
// when it failed several different requests in a row while other VMs of its
// pool succeeded. It is tried again after a while, and one more failure then
// brings it back. A part of the pool always stays: when most VMs fail, the
// jobs or the pool are to blame, and no worker is.
#ifndef DRAGONFLYMOUNT_POLICY_WORKER_EVIDENCE_HPP
#define DRAGONFLYMOUNT_POLICY_WORKER_EVIDENCE_HPP

#include "dragonflymount/core.hpp"

#include <map>
#include <set>
#include <vector>

namespace dragonflymount::policy {

struct evidence_options {
    /// Failed requests in a row that make a VM suspect.
    std::uint32_t failures = 4;
    /// VMs of the pool that may be in quarantine, in percent, but at least
    /// one of two or more; zero for none.
    std::uint32_t most_quarantined_percent = 25;
    duration first_quarantine = std::chrono::seconds(30);
    duration longest_quarantine = std::chrono::minutes(10);
};

/// \brief Evidence on the VMs of one pool.
class worker_evidence {
public:
    explicit worker_evidence(evidence_options options = {})
        : options_(options) {}

    /// \brief Takes the end of a task.
    /// \param pool_size VMs of the pool, for the floor.
    /// \returns whether \p vm goes into quarantine now.
    bool record(const vm_id& vm, const request_key& request, bool ok,
        std::size_t pool_size, instant now);
    /// \returns VMs whose quarantine has ended.
    std::vector<vm_id> release(instant now);
    void forget(const vm_id& vm);

    bool is_quarantined(const vm_id& vm) const;
    std::size_t quarantined() const { return quarantined_until_.size(); }

private:
    struct vm_record {
        std::set<request_key> failed;
        duration last_quarantine{};
    };

    std::size_t most_quarantined(std::size_t pool_size) const;
    bool others_succeed(const vm_id& vm) const;

    evidence_options options_;
    std::map<vm_id, vm_record> records_;
    std::map<vm_id, instant> quarantined_until_;
    // The latest ends of tasks in the pool: VM and whether it succeeded.
    std::vector<std::pair<vm_id, bool>> recent_;
    std::size_t next_recent_ = 0;
};

} // namespace dragonflymount::policy

#endif
