// Finds VMs that fail every task, and quarantines them.
//
// A single failure is no evidence, because the job may be the cause. A VM is
// quarantined when it fails several different requests in a row while other
// VMs of its pool succeed. After the quarantine it is used again; one more
// failure before a success then quarantines it for longer. Only a part of the
// pool is ever quarantined: when most VMs fail, the jobs or the pool are the
// cause, not the single VM.
#ifndef DRAGONFLYMOUNT_POLICY_WORKER_EVIDENCE_HPP
#define DRAGONFLYMOUNT_POLICY_WORKER_EVIDENCE_HPP

#include "dragonflymount/core.hpp"

#include <map>
#include <set>
#include <vector>

namespace dragonflymount::policy {

struct evidence_options {
    /// Different failed requests in a row after which a VM may be quarantined.
    std::uint32_t failures = 4;
    /// VMs of the pool that may be in quarantine, in percent. In a pool of two
    /// or more VMs it is at least one VM. Zero turns quarantine off.
    std::uint32_t most_quarantined_percent = 25;
    duration first_quarantine = std::chrono::seconds(30);
    duration longest_quarantine = std::chrono::minutes(10);
};

/// \brief Records task ends on the VMs of one pool and quarantines VMs.
class worker_evidence {
public:
    explicit worker_evidence(evidence_options options = {})
        : options_(options) {}

    /// \brief Records the end of a task.
    /// \param pool_size VMs of the pool; limits the number in quarantine.
    /// \returns whether this end puts \p vm into quarantine.
    bool record(const vm_id& vm, const request_key& request, bool ok,
        std::size_t pool_size, instant now);
    /// \brief Ends the quarantines that have expired.
    /// \returns the VMs of the ended quarantines.
    std::vector<vm_id> release(instant now);
    /// \brief Drops the record and the quarantine of a VM that leaves the pool.
    void forget(const vm_id& vm);

    bool is_quarantined(const vm_id& vm) const;
    std::size_t quarantined() const { return quarantined_until_.size(); }

private:
    struct vm_record {
        std::set<request_key> failed;
        // Zero if the VM has not been quarantined since its last success.
        duration last_quarantine{};
    };

    std::size_t most_quarantined(std::size_t pool_size) const;
    bool others_succeed(const vm_id& vm) const;

    evidence_options options_;
    std::map<vm_id, vm_record> records_;
    std::map<vm_id, instant> quarantined_until_;
    // The latest task ends in the pool: the VM, and whether the task succeeded.
    std::vector<std::pair<vm_id, bool>> recent_;
    std::size_t next_recent_ = 0;
};

} // namespace dragonflymount::policy

#endif
