// Determines the member that a change request concerns, and fills in the fields
// that the request leaves out.
#ifndef DRAGONFLYMOUNT_HOSTING_MEMBER_SUBJECT_HPP
#define DRAGONFLYMOUNT_HOSTING_MEMBER_SUBJECT_HPP

#include "dragonflymount/agreement.hpp"

namespace dragonflymount::hosting {

/// \brief Completes the member that \p request concerns.
/// \param request may leave out the address, availability zone and identity.
/// \param replica supplies them from its member list, and the identity also
/// from replicas that have answered without being admitted.
/// \returns the member; fails with \c errc::malformed_message if no replica is
/// named, or with \c errc::conflict if the identity or address of a replica to
/// be admitted is unknown.
result<agreement::member> resolve_subject(
    const wire::ChangeReplicaT& request, const agreement::replica& replica);

} // namespace dragonflymount::hosting

#endif
