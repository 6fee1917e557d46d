// Keeps the wanted number of voting replicas: admits replicas that ask to
// join or that lost their disk, promotes them once they have the log, and
// removes those that are gone once another stands ready.
//
// Changes go one at a time and only from the leader; the log refuses a second
// one before the first is committed.
#ifndef DRAGONFLYMOUNT_SCHEDULER_MEMBER_KEEPER_HPP
#define DRAGONFLYMOUNT_SCHEDULER_MEMBER_KEEPER_HPP

#include "dragonflymount/hosting.hpp"
#include "dragonflymount/jobs.hpp"

namespace dragonflymount::scheduler_program {

using replica_host = hosting::replica_host<jobs::state>;

class member_keeper {
public:
    /// \param self how this replica asks to join.
    member_keeper(
        replica_host& replica, agreement::member self, std::size_t voters);

    /// \brief A replica asks to be admitted.
    void receive(const wire::JoinReplicaT& request);
    /// \brief Takes the next change that is due, or asks to join.
    void tick(instant now);

private:
    void ask_to_join(instant now);
    bool admit_next_applicant();
    void propose_next_change(instant now);
    void propose_change(
        wire::replica_change kind, const agreement::member& subject);

    replica_host& replica_;
    agreement::member self_;
    std::size_t voters_;
    std::map<replica_id, agreement::member> join_requests_;
    instant next_change_{};
    instant next_join_{};
};

} // namespace dragonflymount::scheduler_program

#endif
