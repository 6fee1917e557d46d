// SHA-256 digests of bodies and keys.
#ifndef DRAGONFLYMOUNT_CORE_DIGEST_HPP
#define DRAGONFLYMOUNT_CORE_DIGEST_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymount {

using bytes = std::vector<std::uint8_t>;

/// \returns the 32 bytes of SHA-256 over \p data.
bytes sha256(std::span<const std::uint8_t> data);

/// \returns \p data as lower-case hexadecimal digits.
std::string to_hex(std::span<const std::uint8_t> data);

/// \brief The form in which a key is kept; the key itself never is.
/// \returns SHA-256 of \p key as 64 hexadecimal digits.
std::string key_digest(std::string_view key);

/// \returns whether \p text has the form that \c key_digest gives.
bool is_key_digest(std::string_view text);

bytes to_bytes(std::string_view text);
std::string to_text(std::span<const std::uint8_t> data);

} // namespace dragonflymount

#endif
