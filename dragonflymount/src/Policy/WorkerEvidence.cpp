// Implements the decision to quarantine a VM.
#include "dragonflymount/src/Policy/WorkerEvidence.hpp"

#include <algorithm>

namespace dragonflymount::policy {
namespace {

/// Number of latest task ends that show whether other VMs succeed.
constexpr std::size_t recent_ends = 64;

} // namespace

// A VM is quarantined only if most recent tasks on other VMs have succeeded.
bool worker_evidence::others_succeed(const vm_id& vm) const {
    std::size_t successes = 0;
    std::size_t ends = 0;
    for (const auto& [other, ok] : recent_) {
        if (other != vm && !is_quarantined(other)) {
            ++ends;
            successes += ok ? 1U : 0U;
        }
    }
    return ends > 0 && successes * 2 > ends;
}

// In a pool of two or more VMs at least one may be quarantined, also if the
// percentage rounds down to none.
std::size_t worker_evidence::most_quarantined(std::size_t pool_size) const {
    if (options_.most_quarantined_percent == 0 || pool_size < 2) {
        return 0;
    }
    return std::max<std::size_t>(
        1, pool_size * options_.most_quarantined_percent / 100);
}

bool worker_evidence::record(const vm_id& vm, const request_key& request,
    bool ok, std::size_t pool_size, instant now) {
    if (recent_.size() < recent_ends) {
        recent_.emplace_back(vm, ok);
    } else {
        recent_[next_recent_++ % recent_ends] = {vm, ok};
    }
    vm_record& known = records_[vm];
    if (ok) {
        known = {};
        return false;
    }
    known.failed.insert(request);
    const bool on_probation = known.last_quarantine > duration(0);
    const bool suspect =
        on_probation || known.failed.size() >= options_.failures;
    const std::size_t limit = most_quarantined(pool_size);
    if (!suspect || is_quarantined(vm) || quarantined_until_.size() >= limit ||
        !others_succeed(vm)) {
        return false;
    }
    known.last_quarantine = on_probation
        ? std::min(known.last_quarantine * 2, options_.longest_quarantine)
        : options_.first_quarantine;
    known.failed.clear();
    quarantined_until_[vm] = now + known.last_quarantine;
    return true;
}

std::vector<vm_id> worker_evidence::release(instant now) {
    std::vector<vm_id> released;
    std::erase_if(quarantined_until_, [&](const auto& entry) {
        if (entry.second > now) {
            return false;
        }
        released.push_back(entry.first);
        return true;
    });
    return released;
}

void worker_evidence::forget(const vm_id& vm) {
    records_.erase(vm);
    quarantined_until_.erase(vm);
}

bool worker_evidence::is_quarantined(const vm_id& vm) const {
    return quarantined_until_.contains(vm);
}

} // namespace dragonflymount::policy
