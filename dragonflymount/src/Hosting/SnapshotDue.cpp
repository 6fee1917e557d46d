// Weighs the log since the newest snapshot against its image.
#include "dragonflymount/src/Hosting/SnapshotDue.hpp"

#include <algorithm>

namespace dragonflymount::hosting {
namespace {

// A leader that sends a snapshot lets its log grow to this many times the
// records and bytes after which it would save the next one.
constexpr std::uint64_t most_deferred_snapshots = 4;

// A snapshot is due once the records after the last one take this many bytes,
// and this many times its image.
constexpr std::size_t least_log_bytes = 4U << 20U;
constexpr std::size_t log_bytes_per_image_byte = 2;

} // namespace

bool is_snapshot_due(const agreement::replica& replica, log_index applied,
    log_index newest, std::uint64_t records, instant now) {
    // The replica refuses a snapshot older than the last change of members.
    if (applied <= newest || replica.members_index() > applied) {
        return false;
    }
    const bool sending = replica.is_sending_snapshot(now);
    const std::uint64_t factor = sending ? most_deferred_snapshots : 1;
    const std::size_t most_bytes = std::max(
        least_log_bytes, replica.image_bytes() * log_bytes_per_image_byte);
    return applied.value() - newest.value() >= factor * records ||
        replica.log_bytes() >= factor * most_bytes ||
        replica.wants_snapshot(now);
}

} // namespace dragonflymount::hosting
