// The coordinator's table of the endpoints in its availability zone: what each
// has announced, its assignment to a pool and its tasks.
#ifndef DRAGONFLYMOUNT_ZONE_ENDPOINTS_HPP
#define DRAGONFLYMOUNT_ZONE_ENDPOINTS_HPP

#include "dragonflymount/wire.hpp"

#include <map>
#include <set>

namespace dragonflymount::zone {

struct endpoint {
    rack_id rack;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint64_t incarnation = 0;
    /// The endpoint's own clock in its latest announcement. Task leases are
    /// counted from this time.
    std::uint64_t clock_ms = 0;
    bool leaving = false;
    /// False from the loss of the connection until the next announcement.
    bool connected = false;
    /// The endpoint has accepted this coordinator's epoch, and rejects orders
    /// of earlier coordinators.
    bool fenced = false;
    instant last_heard{};
    /// The pool that the control leader assigned the VM to; empty if none.
    pool_id pool;
    assignment_epoch epoch;
    /// The incarnation of the endpoint that the assignment was made for.
    std::uint64_t assigned_incarnation = 0;
    bool draining = false;
    /// The incarnation for which a restart of the VM is requested; zero if
    /// none is.
    std::uint64_t reboot = 0;
    /// Time of the latest restart order, and the incarnation it was sent to.
    instant reboot_sent = instant::min();
    std::uint64_t reboot_sent_to = 0;
    /// Tasks of this endpoint that may still be running.
    std::set<task_id> tasks;
};

class endpoint_table {
public:
    /// An endpoint that has not announced itself for this long gets no new
    /// tasks.
    static constexpr duration silence_limit = std::chrono::seconds(3);

    /// \brief Updates the announcing endpoint, or adds it.
    endpoint& announce(const wire::AnnounceT& message, instant now);
    void disconnect(const vm_id& vm);
    /// \brief Stores the assignments of \p lease; skips those with an older
    /// epoch than the stored one.
    void assign(const wire::EntryLeaseT& lease);

    /// A VM that was ordered to restart gets no new tasks for this long, even
    /// if the restart was cancelled, because the order may still arrive.
    static constexpr duration reboot_hold = std::chrono::seconds(10);

    /// \returns whether a new task of \p pool may start on \p candidate.
    static bool is_available(
        const endpoint& candidate, const pool_id& pool, instant now);

    endpoint* find(const vm_id& vm);
    const std::map<vm_id, endpoint>& all() const { return endpoints_; }
    /// \returns whether every endpoint that is assigned to a pool has accepted
    /// this coordinator's epoch.
    bool all_fenced() const;
    /// \returns whether \c all_fenced holds and no assigned endpoint has
    /// restarted since its assignment.
    bool all_clean() const;

private:
    std::map<vm_id, endpoint> endpoints_;
};

} // namespace dragonflymount::zone

#endif
