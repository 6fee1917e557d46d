// Conversion between Beast's messages and the project's own; private to the
// HTTP server and client.
#ifndef DRAGONFLYMOUNT_RUNTIME_HTTP_MESSAGE_HPP
#define DRAGONFLYMOUNT_RUNTIME_HTTP_MESSAGE_HPP

#include "dragonflymount/src/Runtime/Http.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace dragonflymount::runtime::internal {

namespace http = boost::beast::http;

/// Bytes read from a connection at once.
inline constexpr std::size_t read_bytes = 4096;

/// \brief Feeds a parser with what a connection holds.
/// \returns why the bytes are no valid message, or no error.
template <class Parser>
boost::system::error_code feed(Parser& parser, std::string& buffer) {
    while (!buffer.empty() && !parser.is_done()) {
        boost::system::error_code code;
        const std::size_t used = parser.put(
            boost::asio::const_buffer(buffer.data(), buffer.size()), code);
        buffer.erase(0, used);
        if (code == http::error::need_more) {
            return {};
        }
        if (code) {
            return code;
        }
    }
    return {};
}

template <class Fields>
http_headers headers_of(const Fields& fields) {
    http_headers headers;
    for (const auto& field : fields) {
        headers.emplace_back(
            std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

} // namespace dragonflymount::runtime::internal

#endif
