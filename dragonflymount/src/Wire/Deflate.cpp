// Wraps zlib.
#include "dragonflymount/src/Wire/Deflate.hpp"

#include "dragonflymount/src/Wire/Codec.hpp"

#include <zlib.h>

namespace dragonflymount::wire {
namespace {

// A deflated byte stands for at most this many.
constexpr std::size_t most_expansion = 1032;

} // namespace

std::optional<bytes> deflate(std::span<const std::uint8_t> data) {
    uLongf size = compressBound(static_cast<uLong>(data.size()));
    bytes packed(size);
    const int status = compress2(packed.data(), &size, data.data(),
        static_cast<uLong>(data.size()), Z_BEST_SPEED);
    if (status != Z_OK || size >= data.size()) {
        return std::nullopt;
    }
    packed.resize(size);
    return packed;
}

std::optional<bytes> inflate(
    std::span<const std::uint8_t> data, std::size_t size) {
    if (size == 0 || size > max_frame_bytes ||
        size / most_expansion > data.size()) {
        return std::nullopt;
    }
    bytes whole(size);
    uLongf written = static_cast<uLongf>(size);
    const int status = uncompress(
        whole.data(), &written, data.data(), static_cast<uLong>(data.size()));
    if (status != Z_OK || written != size) {
        return std::nullopt;
    }
    return whole;
}

} // namespace dragonflymount::wire
