// Deflates parts of messages, and inflates them with a bound on their size.
#ifndef DRAGONFLYMOUNT_WIRE_DEFLATE_HPP
#define DRAGONFLYMOUNT_WIRE_DEFLATE_HPP

#include "dragonflymount/core.hpp"

#include <optional>
#include <span>

namespace dragonflymount::wire {

/// \returns \p data deflated (RFC 1950), at the fastest level; nothing if that
/// doesn't make it smaller.
std::optional<bytes> deflate(std::span<const std::uint8_t> data);

/// \param size the size before, in bytes, as the sender claims.
/// \returns the inflated data; nothing if it is malformed, isn't of \p size, or
/// \p size is larger than a message may be or \p data can hold. No more than
/// these bounds is allocated.
std::optional<bytes> inflate(
    std::span<const std::uint8_t> data, std::size_t size);

} // namespace dragonflymount::wire

#endif
