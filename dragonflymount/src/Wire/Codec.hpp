// Encoding of messages, and their framing on a byte stream.
//
// A frame is a header of eight bytes, the payload's length and its CRC-32,
// both little-endian, then the payload, one FlatBuffers envelope. A frame
// that is too long, fails its checksum or fails FlatBuffers' verifier is
// refused as a whole, and its connection is closed: after a bad frame the
// stream's position can't be trusted.
#ifndef DRAGONFLYMOUNT_WIRE_CODEC_HPP
#define DRAGONFLYMOUNT_WIRE_CODEC_HPP

#include "dragonflymount/core.hpp"
#include "dragonflymount/src/Wire/messages_generated.h"

#include <memory>
#include <optional>
#include <span>

namespace dragonflymount::wire {

inline constexpr std::size_t frame_header_bytes = 8;
/// Bodies of up to 16 MiB, and room for the envelope around them.
inline constexpr std::size_t max_body_bytes = 16U << 20U;
inline constexpr std::size_t max_frame_bytes = max_body_bytes + (64U << 10U);

/// \brief One message with its correlation number.
struct message {
    std::uint64_t correlation = 0;
    BodyUnion body;
};

/// \brief Wraps a message's content.
/// \param content any table type of the schema's union \c Body.
template <class Content>
message make_message(Content content, std::uint64_t correlation = 0) {
    message wrapped;
    wrapped.correlation = correlation;
    wrapped.body.Set(std::move(content));
    return wrapped;
}

/// \returns the whole frame, header included.
bytes encode_frame(const message& content);

struct frame_header {
    std::uint32_t length = 0;
    std::uint32_t checksum = 0;
};

/// \param data at least \c frame_header_bytes bytes.
result<frame_header> decode_header(std::span<const std::uint8_t> data);

/// \brief Checks and unpacks a frame's payload.
result<message> decode_payload(
    const frame_header& header, std::span<const std::uint8_t> payload);

/// \brief Encodes a command for the replicated log.
template <class Content>
bytes encode_command(Content content);

/// \brief Unpacks a command; fails on anything that the verifier refuses.
result<LogCommandT> decode_command(std::span<const std::uint8_t> data);

/// \returns the CRC-32 of \p data.
std::uint32_t checksum(std::span<const std::uint8_t> data);

bytes pack_command(const LogCommandT& command);

template <class Content>
bytes encode_command(Content content) {
    LogCommandT command;
    command.command.Set(std::move(content));
    return pack_command(command);
}

} // namespace dragonflymount::wire

#endif
