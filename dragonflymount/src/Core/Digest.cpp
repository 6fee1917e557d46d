// SHA-256 through OpenSSL's one-shot interface.
#include "dragonflymount/src/Core/Digest.hpp"

#include <openssl/evp.h>

namespace dragonflymount {

bytes sha256(std::span<const std::uint8_t> data) {
    bytes digest(EVP_MAX_MD_SIZE);
    unsigned length = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(),
        nullptr);
    digest.resize(length);
    return digest;
}

std::string to_hex(std::span<const std::uint8_t> data) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(data.size() * 2);
    for (const std::uint8_t byte : data) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

std::string key_digest(std::string_view key) {
    return to_hex(sha256(to_bytes(key)));
}

bool is_key_digest(std::string_view text) {
    constexpr std::size_t digits = 64;
    return text.size() == digits &&
        text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bytes to_bytes(std::string_view text) {
    return {text.begin(), text.end()};
}

std::string to_text(std::span<const std::uint8_t> data) {
    return {data.begin(), data.end()};
}

} // namespace dragonflymount
