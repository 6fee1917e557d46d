// Decides when a replica saves a new snapshot.
#ifndef DRAGONFLYMOUNT_HOSTING_SNAPSHOT_DUE_HPP
#define DRAGONFLYMOUNT_HOSTING_SNAPSHOT_DUE_HPP

#include "dragonflymount/agreement.hpp"

namespace dragonflymount::hosting {

/// \param applied the last record applied to the state.
/// \param newest the last record in the newest snapshot.
/// \param records the number of records after which a snapshot is due.
/// \returns whether a snapshot of the state is due: for the number or the bytes
/// of the records since the newest one, or because a replica needs one.
bool is_snapshot_due(const agreement::replica& replica, log_index applied,
    log_index newest, std::uint64_t records, instant now);

} // namespace dragonflymount::hosting

#endif
