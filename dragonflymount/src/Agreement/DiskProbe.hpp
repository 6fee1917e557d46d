// Tests whether a disk takes writes again after a failed one.
#ifndef DRAGONFLYMOUNT_AGREEMENT_DISK_PROBE_HPP
#define DRAGONFLYMOUNT_AGREEMENT_DISK_PROBE_HPP

#include "dragonflymount/src/Agreement/Disk.hpp"

namespace dragonflymount::agreement {

/// The file that \c probe_disk writes and removes. A crash may leave it behind,
/// in a folder whose store ignores it.
inline constexpr const char* probe_file = ".writable-again";

/// \brief Writes, syncs and removes a file. A full disk can be read and synced:
/// a replica on it would grant votes and start elections that it can't save.
/// \returns the failure of the first call that failed.
template <disk Disk>
result<done> probe_disk(Disk& folder) {
    // More than the room that a full disk may have left, such as the rest of a
    // file's last block.
    constexpr std::size_t probe_bytes = 1U << 13U;
    result<done> status = folder.append(probe_file, bytes(probe_bytes, 1));
    if (status) {
        status = folder.sync(probe_file);
    }
    if (status) {
        status = folder.remove(probe_file);
    }
    return status ? folder.sync_folder() : status;
}

} // namespace dragonflymount::agreement

#endif
