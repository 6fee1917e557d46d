// Maintains the configured number of voting replicas. Admits replicas that are
// new or have lost their disk, promotes them to voters once they have
// replicated the log, and removes unreachable replicas once a replacement is
// ready.
//
// Only the leader proposes membership changes, one at a time: the log refuses a
// change while an earlier one is uncommitted.
#ifndef DRAGONFLYMOUNT_SCHEDULER_MEMBER_KEEPER_HPP
#define DRAGONFLYMOUNT_SCHEDULER_MEMBER_KEEPER_HPP

#include "dragonflymount/hosting.hpp"
#include "dragonflymount/jobs.hpp"

namespace dragonflymount::scheduler_program {

using replica_host = hosting::replica_host<jobs::state>;

class member_keeper {
public:
    /// \param self id, address and zone of this replica, sent in its join
    /// requests.
    /// \param voters number of voting replicas to maintain.
    member_keeper(
        replica_host& replica, agreement::member self, std::size_t voters);
    member_keeper(const member_keeper&) = delete;
    member_keeper& operator=(const member_keeper&) = delete;

    /// \brief On the leader, proposes the next membership change that is due.
    /// On other replicas, asks to join if this replica isn't a member or knows
    /// no leader.
    void tick(instant now);

private:
    /// Handles a join request: the leader records it for tick(), other replicas
    /// forward it to the leader. Requests without a replica name or identity
    /// are ignored.
    void receive(const wire::JoinReplicaT& request);
    /// \returns whether the newest member list that this replica holds has it
    /// under its present identity.
    bool is_admitted() const;
    void ask_to_join(instant now);
    void report_isolation(instant now);
    /// Records members that answer under a new identity as applicants.
    void note_new_identities();
    /// \returns whether a member answers this leader under another identity
    /// than that of its request, which is then older.
    bool is_outdated(const agreement::member& applicant, instant now) const;
    bool admit_next_applicant(instant now);
    void propose_next_change(instant now);
    void propose_change(wire::replica_change kind,
        const agreement::member& subject, instant now);

    replica_host& replica_;
    agreement::member self_;
    std::size_t voters_;
    std::map<replica_id, agreement::member> join_requests_;
    // While a change is under way, the time of the next attempt.
    instant next_change_{};
    instant next_join_{};
    // When this replica last led, or was a member and knew a leader.
    instant last_in_group_{};
    instant next_report_{};
};

} // namespace dragonflymount::scheduler_program

#endif
