// The frame format of the files in a data folder, and the encoding of the
// frames' payloads.
//
// A frame is a header of twelve bytes, all little-endian: the payload's
// length, the payload's CRC-32, and the CRC-32 of the eight bytes before it.
// The header has its own checksum. Without it, a damaged length could make a
// synced record look like a write that a crash interrupted.
#ifndef DRAGONFLYMOUNT_AGREEMENT_RECORD_FILE_HPP
#define DRAGONFLYMOUNT_AGREEMENT_RECORD_FILE_HPP

#include "dragonflymount/src/Agreement/Types.hpp"

namespace dragonflymount::agreement {

inline constexpr std::size_t record_header_bytes = 12;

enum class file_condition : std::uint8_t {
    /// Every byte belongs to a valid frame.
    whole,
    /// The file ends within a frame, or with zeros that the store didn't write.
    torn_tail,
    /// The checksum of a frame's header or payload doesn't match.
    damaged,
};

/// \brief The frames at the start of a file, up to the first invalid one.
struct frame_scan {
    std::vector<std::span<const std::uint8_t>> payloads;
    std::size_t valid_bytes = 0;
    file_condition condition = file_condition::whole;
};

/// \brief Appends a frame around \p payload to \p file.
void append_frame(bytes& file, std::span<const std::uint8_t> payload);

/// \brief Finds the valid frames at the start of a file.
/// \returns payloads that point into \p file.
frame_scan scan_frames(std::span<const std::uint8_t> file);

bytes encode_record(const log_record& record);
result<log_record> decode_record(std::span<const std::uint8_t> payload);
bytes encode_hard_state(const hard_state& hard);
result<hard_state> decode_hard_state(std::span<const std::uint8_t> payload);
bytes encode_identity(replica_identity identity);
result<replica_identity> decode_identity(std::span<const std::uint8_t> payload);
bytes encode_snapshot(const snapshot& image);
result<snapshot> decode_snapshot(std::span<const std::uint8_t> payload);

} // namespace dragonflymount::agreement

#endif
