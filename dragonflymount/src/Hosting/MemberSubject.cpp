// Completes a request to change a member from the member list and from the
// identities of unadmitted replicas.
#include "dragonflymount/src/Hosting/MemberSubject.hpp"

#include <algorithm>

namespace dragonflymount::hosting {

result<agreement::member> resolve_subject(
    const wire::ChangeReplicaT& request, const agreement::replica& replica) {
    agreement::member subject;
    subject.id = replica_id(request.member ? request.member->replica : "");
    if (subject.id.empty()) {
        return failure{make_error_code(errc::malformed_message),
            "change members", {}, "no replica is named"};
    }
    const auto& members = replica.members();
    const auto known = std::find_if(members.begin(), members.end(),
        [&](const agreement::member& peer) { return peer.id == subject.id; });
    if (known != members.end()) {
        subject = *known;
    }
    if (!request.member->address.empty()) {
        subject.address = request.member->address;
    }
    if (!request.member->zone.empty()) {
        subject.zone = availability_zone_id(request.member->zone);
    }
    const auto unadmitted_replica = replica.unadmitted().find(subject.id);
    if (request.member->identity != 0) {
        subject.identity =
            agreement::replica_identity(request.member->identity);
    } else if (unadmitted_replica != replica.unadmitted().end()) {
        subject.identity = unadmitted_replica->second;
    }
    if (request.change == wire::replica_change::admit &&
        (subject.identity.value() == 0 || subject.address.empty())) {
        return failure{make_error_code(errc::conflict), "change members",
            subject.id.str(), "its identity or address isn't known"};
    }
    return subject;
}

} // namespace dragonflymount::hosting
