// Cuts and joins the state of a snapshot; its members travel with each part.
#include "dragonflymount/src/Agreement/SnapshotParts.hpp"

#include <algorithm>
#include <utility>

namespace dragonflymount::agreement {

wire::SnapshotPartT make_part(
    const snapshot& image, std::size_t offset, std::size_t most_bytes) {
    const std::size_t begin = offset < image.state.size() ? offset : 0;
    const std::size_t end = begin +
        std::min(
            std::max<std::size_t>(most_bytes, 1), image.state.size() - begin);
    wire::SnapshotPartT part;
    part.last_index = image.last_index.value();
    part.last_term = image.last_term.value();
    part.members = std::make_unique<wire::MemberListT>(to_wire(image.members));
    part.offset = begin;
    part.state_bytes = image.state.size();
    part.data.assign(image.state.begin() + static_cast<std::ptrdiff_t>(begin),
        image.state.begin() + static_cast<std::ptrdiff_t>(end));
    return part;
}

bool incoming_snapshot::is_next(const wire::SnapshotPartT& part) const {
    return log_index(part.last_index) == last_index() &&
        part.state_bytes == state_bytes_ && part.offset == size();
}

void incoming_snapshot::add(const wire::SnapshotPartT& part) {
    if (part.offset == 0) {
        state_bytes_ = part.state_bytes;
        image_ = {log_index(part.last_index), log_term(part.last_term),
            part.members ? from_wire(*part.members) : member_list(), {}};
    } else if (!is_next(part)) {
        return;
    }
    image_.state.insert(image_.state.end(), part.data.begin(), part.data.end());
}

bool incoming_snapshot::is_complete() const {
    return last_index() > log_index(0) && size() == state_bytes_;
}

snapshot incoming_snapshot::take() {
    return std::exchange(image_, {});
}

} // namespace dragonflymount::agreement
