// Proposes the admission, promotion and removal of replicas.
#include "programs/scheduler/member_keeper.hpp"

#include <algorithm>

namespace dragonflymount::scheduler_program {
namespace {

// Time until a change that wasn't agreed is proposed again.
constexpr duration change_interval = std::chrono::milliseconds(200);
constexpr duration join_interval = std::chrono::milliseconds(500);
// Longer than a restart and an election take.
constexpr duration isolation_report_interval = std::chrono::seconds(5);

wire::MemberT to_wire(const agreement::member& subject) {
    wire::MemberT packed;
    packed.replica = subject.id.str();
    packed.address = subject.address;
    packed.zone = subject.zone.str();
    packed.identity = subject.identity.value();
    return packed;
}

} // namespace

member_keeper::member_keeper(
    replica_host& replica, agreement::member self, std::size_t voters)
    : replica_(replica), self_(std::move(self)), voters_(voters) {
    replica_.on_join(
        [this](const wire::JoinReplicaT& request) { receive(request); });
}

void member_keeper::receive(const wire::JoinReplicaT& request) {
    if (!request.member || request.member->replica.empty() ||
        agreement::replica_identity(request.member->identity) ==
            agreement::replica_identity()) {
        return;
    }
    if (!replica_.replica().may_change_members()) {
        wire::JoinReplicaT forwarded(request);
        replica_.send(replica_.replica().leader(),
            wire::make_message(std::move(forwarded)));
        return;
    }
    const wire::MemberT& applicant = *request.member;
    join_requests_[replica_id(applicant.replica)] = {
        replica_id(applicant.replica), applicant.address,
        availability_zone_id(applicant.zone),
        agreement::replica_identity(applicant.identity), false};
}

void member_keeper::tick(instant now) {
    if (replica_.is_settled_leader()) {
        last_in_group_ = now;
    } else {
        report_isolation(now);
    }
    if (!replica_.replica().may_change_members()) {
        join_requests_.clear();
        ask_to_join(now);
        return;
    }
    if (now < next_change_) {
        return;
    }
    note_new_identities();
    if (!admit_next_applicant(now)) {
        propose_next_change(now);
    }
}

bool member_keeper::is_admitted() const {
    const auto& members = replica_.replica().members();
    return std::any_of(
        members.begin(), members.end(), [this](const auto& peer) {
            return peer.id == self_.id &&
                peer.identity == replica_.replica().identity();
        });
}

// Without these lines a group that has no quorum, or that is short of a voter,
// looks like one that is idle.
void member_keeper::report_isolation(instant now) {
    const agreement::replica& replica = replica_.replica();
    const bool has_leader = replica.hears_leader(now);
    // A leader that isn't settled yet serves nobody either.
    const bool in_group = has_leader && is_admitted() && !replica.is_leader();
    if (last_in_group_ == instant{} || in_group) {
        last_in_group_ = now;
    }
    if (now - last_in_group_ < isolation_report_interval ||
        now < next_report_) {
        return;
    }
    next_report_ = now + isolation_report_interval;
    const auto& members = replica.members();
    LOG(WARNING) << (has_leader && !replica.is_leader()
                            ? event::admission_awaited
                            : event::leader_unknown)
                 << "replica=" << self_.id << " leader=" << replica.leader()
                 << " term=" << replica.term()
                 << " last_index=" << replica.last_index()
                 << " admitted=" << is_admitted()
                 << " members=" << members.size() << " voters="
                 << std::count_if(members.begin(), members.end(),
                        [](const auto& peer) { return peer.voter; })
                 << " disk=" << hosting::name_of(replica_.data().state());
}

void member_keeper::ask_to_join(instant now) {
    // A failed replica couldn't replicate the log. It may still be a voter, and
    // continues as one if its store recovers.
    if (replica_.replica().is_failed()) {
        return;
    }
    // A replica that was removed during a network partition still has itself in
    // its own member list, but receives nothing from a leader.
    const bool has_leader = replica_.replica().hears_leader(now);
    if ((is_admitted() && has_leader) || now < next_join_) {
        return;
    }
    wire::JoinReplicaT request;
    agreement::member self = self_;
    self.identity = replica_.replica().identity();
    request.member = std::make_unique<wire::MemberT>(to_wire(self));
    if (replica_.send_to_all(wire::make_message(std::move(request)))) {
        next_join_ = now + join_interval;
    }
}

// A replica whose disk was lost may have no way to a leader: its settings may
// name replicas that are gone. The leader still sends to its address.
void member_keeper::note_new_identities() {
    for (const agreement::member& peer : replica_.replica().members()) {
        const auto& unadmitted = replica_.replica().unadmitted();
        const auto answered = unadmitted.find(peer.id);
        if (answered != unadmitted.end()) {
            agreement::member applicant = peer;
            applicant.identity = answered->second;
            applicant.voter = false;
            // An earlier request may be that of the disk before.
            join_requests_.try_emplace(peer.id, applicant)
                .first->second.identity = applicant.identity;
        }
    }
}

// A request that was under way for long may name a disk that was lost since.
bool member_keeper::is_outdated(
    const agreement::member& applicant, instant now) const {
    const agreement::replica& replica = replica_.replica();
    return !replica.unadmitted().contains(applicant.id) &&
        replica.has_answered(applicant.id) &&
        now - replica.acknowledged(applicant.id) < join_interval;
}

bool member_keeper::admit_next_applicant(instant now) {
    const auto& members = replica_.replica().members();
    for (auto it = join_requests_.begin(); it != join_requests_.end();) {
        const agreement::member& applicant = it->second;
        const bool known =
            std::any_of(members.begin(), members.end(), [&](const auto& peer) {
                return peer.id == applicant.id &&
                    peer.identity == applicant.identity;
            });
        if (!known && !is_outdated(applicant, now)) {
            propose_change(wire::replica_change::admit, applicant, now);
            return true;
        }
        it = join_requests_.erase(it);
    }
    return false;
}

void member_keeper::propose_next_change(instant now) {
    std::vector<agreement::member_status> members;
    for (const agreement::member& peer : replica_.replica().members()) {
        members.push_back({peer, replica_.replica().has_caught_up(peer.id),
            replica_.replica().has_answered(peer.id),
            now - replica_.replica().acknowledged(peer.id)});
    }
    agreement::member_policy policy;
    policy.voters = voters_;
    const auto due = agreement::plan_change(members, self_.id, policy);
    if (due) {
        propose_change(due->change, due->subject, now);
    }
}

// Only one change may be under way. While disks are replaced the group bears no
// further loss, so the next one follows as soon as this one is agreed.
void member_keeper::propose_change(
    wire::replica_change kind, const agreement::member& subject, instant now) {
    next_change_ = now + change_interval;
    wire::ChangeReplicaT request;
    request.change = kind;
    request.member = std::make_unique<wire::MemberT>(to_wire(subject));
    replica_.change(request,
        [this, id = subject.id, kind](const wire::ProposeReplyT& reply) {
            if (reply.result == wire::proposal_result::accepted) {
                next_change_ = {};
                LOG(INFO) << event::members_changed << "replica=" << id
                          << " change=" << wire::EnumNamereplica_change(kind);
            } else {
                VLOG(1) << event::members_changed << "replica=" << id
                        << " refused=" << reply.detail;
            }
        });
}

} // namespace dragonflymount::scheduler_program
