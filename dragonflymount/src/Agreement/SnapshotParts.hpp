// Cuts a snapshot into parts that fit into messages, and joins them again.
#ifndef DRAGONFLYMOUNT_AGREEMENT_SNAPSHOT_PARTS_HPP
#define DRAGONFLYMOUNT_AGREEMENT_SNAPSHOT_PARTS_HPP

#include "dragonflymount/src/Agreement/Types.hpp"

namespace dragonflymount::agreement {

/// \brief Packs the bytes of \p image from \p offset on.
/// \param offset counted from the beginning if it is beyond the end.
/// \param most_bytes of the state that a part holds.
/// \param packed whether the receiver reads deflated parts.
wire::SnapshotPartT make_part(const snapshot& image, std::size_t offset,
    std::size_t most_bytes, bool packed);

/// \returns the offset in the state at which \p part ends.
std::size_t end_of(const wire::SnapshotPartT& part);

/// \brief A snapshot of which the parts arrive one after another.
class incoming_snapshot {
public:
    /// \brief Adds \p part if it continues those received before; a part at
    /// offset zero begins a new snapshot. Ignores all other parts, such as
    /// repeated or malformed ones.
    void add(const wire::SnapshotPartT& part);
    bool is_complete() const;
    /// \returns the complete snapshot, and forgets it.
    snapshot take();

    /// \returns the index of the last record in the snapshot, zero if no part
    /// is held.
    log_index last_index() const { return image_.last_index; }
    /// \returns the bytes received so far.
    std::size_t size() const { return image_.state.size(); }

private:
    bool is_next(const wire::SnapshotPartT& part) const;

    snapshot image_;
    std::size_t state_bytes_ = 0;
};

} // namespace dragonflymount::agreement

#endif
