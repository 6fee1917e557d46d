// Reads the sending replica from a message of the agreement protocol.
#ifndef DRAGONFLYMOUNT_HOSTING_SENDER_HPP
#define DRAGONFLYMOUNT_HOSTING_SENDER_HPP

#include "dragonflymount/core.hpp"
#include "dragonflymount/wire.hpp"

namespace dragonflymount::hosting {

/// \returns the replica that sent \p content. Empty for messages other than
/// appends, snapshots and vote requests.
inline replica_id sender_of(const wire::message& content) {
    if (const auto* append = content.body.AsAppendRequest()) {
        return replica_id(append->leader);
    }
    if (const auto* install = content.body.AsInstallSnapshot()) {
        return replica_id(install->leader);
    }
    if (const auto* vote = content.body.AsVoteRequest()) {
        return replica_id(vote->candidate);
    }
    return replica_id();
}

} // namespace dragonflymount::hosting

#endif
