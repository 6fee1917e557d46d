// Cuts and joins the state of a snapshot; its members travel with each part.
#include "dragonflymount/src/Agreement/SnapshotParts.hpp"

#include "dragonflymount/src/Agreement/Batch.hpp"
#include "dragonflymount/src/Wire/Deflate.hpp"

#include <algorithm>
#include <utility>

namespace dragonflymount::agreement {

wire::SnapshotPartT make_part(const snapshot& image, std::size_t offset,
    std::size_t most_bytes, bool packed) {
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
    const std::span data = std::span(image.state).subspan(begin, end - begin);
    if (packed && data.size() >= least_packed_bytes) {
        if (auto smaller = wire::deflate(data)) {
            part.data = std::move(*smaller);
            part.packed_bytes = static_cast<std::uint32_t>(data.size());
            return part;
        }
    }
    part.data.assign(data.begin(), data.end());
    return part;
}

std::size_t end_of(const wire::SnapshotPartT& part) {
    return part.offset +
        (part.packed_bytes == 0 ? part.data.size() : part.packed_bytes);
}

bool incoming_snapshot::is_next(const wire::SnapshotPartT& part) const {
    return log_index(part.last_index) == last_index() &&
        part.state_bytes == state_bytes_ && part.offset == size();
}

void incoming_snapshot::add(const wire::SnapshotPartT& part) {
    std::optional<bytes> whole;
    if (part.packed_bytes != 0) {
        whole = wire::inflate(part.data, part.packed_bytes);
        if (!whole) {
            return;
        }
    }
    const bytes& data = whole ? *whole : part.data;
    if (part.offset == 0) {
        state_bytes_ = part.state_bytes;
        image_ = {log_index(part.last_index), log_term(part.last_term),
            part.members ? from_wire(*part.members) : member_list(), {}};
    } else if (!is_next(part)) {
        return;
    }
    image_.state.insert(image_.state.end(), data.begin(), data.end());
}

bool incoming_snapshot::is_complete() const {
    return last_index() > log_index(0) && size() == state_bytes_;
}

snapshot incoming_snapshot::take() {
    return std::exchange(image_, {});
}

} // namespace dragonflymount::agreement
