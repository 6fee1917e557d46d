// Decides who may take up memory that many share.
#ifndef DRAGONFLYMOUNT_CORE_MEMORY_SHARE_HPP
#define DRAGONFLYMOUNT_CORE_MEMORY_SHARE_HPP

#include <cstdint>

namespace dragonflymount {

/// \brief Whether something may be kept in memory that many share.
///
/// Load pattern: many large requests come at once, or small ones that take up
/// much memory, while ordinary callers send small ones. Each may take up a
/// quarter of the room that is left. So the large ones are refused first, and
/// small ones are taken as long as there is hardly any room.
/// \param added bytes that it takes up.
/// \param used bytes that all so far take up.
/// \param limit in bytes.
constexpr bool fits_share(
    std::uint64_t added, std::uint64_t used, std::uint64_t limit) {
    constexpr std::uint64_t share_divisor = 4;
    return used <= limit && added <= (limit - used) / share_divisor;
}

} // namespace dragonflymount

#endif
