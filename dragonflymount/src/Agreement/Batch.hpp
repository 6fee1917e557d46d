// Puts records into append requests, deflated where that pays.
#ifndef DRAGONFLYMOUNT_AGREEMENT_BATCH_HPP
#define DRAGONFLYMOUNT_AGREEMENT_BATCH_HPP

#include "dragonflymount/src/Agreement/Types.hpp"

namespace dragonflymount::agreement {

/// Less than this many bytes are sent as they are.
inline constexpr std::size_t least_packed_bytes = 4U << 10U;
/// More than this many bytes would take too long in one turn.
inline constexpr std::size_t most_packed_bytes = 256U << 10U;

/// \param packed whether the receiver reads deflated records.
/// \returns the bytes that the records take in \p request.
std::size_t put_records(std::vector<log_record> records, bool packed,
    wire::AppendRequestT& request);

/// \returns the records in \p request; nothing if they are malformed.
std::optional<std::vector<log_record>> take_records(
    const wire::AppendRequestT& request);

} // namespace dragonflymount::agreement

#endif
