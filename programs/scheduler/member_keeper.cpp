// Admission and promotion of replicas.
#include "programs/scheduler/member_keeper.hpp"

#include <algorithm>

namespace dragonflymount::scheduler_program {
namespace {

// A change takes a round to all replicas; asking more often gains nothing.
constexpr duration change_interval = std::chrono::milliseconds(200);
constexpr duration join_interval = std::chrono::milliseconds(500);

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
    : replica_(replica), self_(std::move(self)), voters_(voters) {}

void member_keeper::receive(const wire::JoinReplicaT& request) {
    if (!request.member || request.member->replica.empty()) {
        return;
    }
    if (!replica_.is_settled_leader()) {
        wire::JoinReplicaT forwarded(request);
        replica_.send(replica_.replica().leader(),
            wire::make_message(std::move(forwarded)));
        return;
    }
    const wire::MemberT& asking = *request.member;
    joining_[replica_id(asking.replica)] = {replica_id(asking.replica),
        asking.address, availability_zone_id(asking.zone),
        agreement::replica_identity(asking.identity), false};
}

void member_keeper::tick(instant now) {
    if (!replica_.is_settled_leader()) {
        joining_.clear();
        ask_to_join(now);
        return;
    }
    if (now < next_change_) {
        return;
    }
    next_change_ = now + change_interval;
    if (!admit_next()) {
        promote_next();
    }
}

void member_keeper::ask_to_join(instant now) {
    const auto& members = replica_.replica().members();
    const bool admitted =
        std::any_of(members.begin(), members.end(), [this](const auto& peer) {
            return peer.id == self_.id &&
                peer.identity == replica_.replica().identity();
        });
    if (admitted || now < next_join_) {
        return;
    }
    next_join_ = now + join_interval;
    wire::JoinReplicaT request;
    agreement::member self = self_;
    self.identity = replica_.replica().identity();
    request.member = std::make_unique<wire::MemberT>(to_wire(self));
    replica_.send_to_all(wire::make_message(std::move(request)));
}

bool member_keeper::admit_next() {
    const auto& members = replica_.replica().members();
    for (auto it = joining_.begin(); it != joining_.end();) {
        const agreement::member& asking = it->second;
        const bool known =
            std::any_of(members.begin(), members.end(), [&](const auto& peer) {
                return peer.id == asking.id && peer.identity == asking.identity;
            });
        if (!known) {
            change(wire::replica_change::admit, asking);
            return true;
        }
        it = joining_.erase(it);
    }
    return false;
}

void member_keeper::promote_next() {
    const auto& members = replica_.replica().members();
    const auto voting = static_cast<std::size_t>(std::count_if(members.begin(),
        members.end(), [](const auto& peer) { return peer.voter; }));
    if (voting >= voters_) {
        return;
    }
    for (const agreement::member& peer : members) {
        if (!peer.voter &&
            replica_.replica().match_index(peer.id) >=
                replica_.replica().commit_index()) {
            change(wire::replica_change::promote, peer);
            return;
        }
    }
}

void member_keeper::change(
    wire::replica_change kind, const agreement::member& subject) {
    wire::ChangeReplicaT request;
    request.change = kind;
    request.member = std::make_unique<wire::MemberT>(to_wire(subject));
    const bool admits = kind == wire::replica_change::admit;
    replica_.change(
        request, [id = subject.id, admits](const wire::ProposeReplyT& reply) {
            if (reply.result == wire::proposal_result::accepted) {
                LOG(INFO) << event::replica_joined << "replica=" << id
                          << " change=" << (admits ? "admit" : "promote");
            } else {
                VLOG(1) << event::replica_joined << "replica=" << id
                        << " refused=" << reply.detail;
            }
        });
}

} // namespace dragonflymount::scheduler_program
