// Completion of an order to change a member by what the replica knows of it.
#ifndef DRAGONFLYMOUNT_HOSTING_MEMBER_SUBJECT_HPP
#define DRAGONFLYMOUNT_HOSTING_MEMBER_SUBJECT_HPP

#include "dragonflymount/agreement.hpp"

namespace dragonflymount::hosting {

/// \returns the member that \p request is about; what the order leaves out is
/// taken from the members and from replicas that have answered unadmitted.
/// Fails if no replica is named, or if one to be admitted isn't known.
result<agreement::member> resolve_subject(
    const wire::ChangeReplicaT& request, const agreement::replica& replica);

} // namespace dragonflymount::hosting

#endif
