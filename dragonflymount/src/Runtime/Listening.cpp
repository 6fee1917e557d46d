// Opening of listening sockets.
#include "dragonflymount/src/Runtime/Listening.hpp"

#include "dragonflymount/src/Runtime/Connection.hpp"

#include <absl/strings/str_cat.h>

namespace dragonflymount::runtime {

result<done> open_acceptor(
    asio::ip::tcp::acceptor& acceptor, const std::string& address) {
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        return endpoint.error();
    }
    asio::error_code code;
    acceptor.open(endpoint->protocol(), code);
    if (!code) {
        acceptor.set_option(asio::socket_base::reuse_address(true), code);
    }
    if (!code) {
        acceptor.bind(*endpoint, code);
    }
    if (!code) {
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    }
    if (!code) {
        acceptor.non_blocking(true, code);
    }
    if (code) {
        return failure{code, "listen", address, {}};
    }
    return done{};
}

std::string address_of(const asio::ip::tcp::acceptor& acceptor) {
    const auto local = acceptor.local_endpoint();
    return absl::StrCat(local.address().to_string(), ":", local.port());
}

} // namespace dragonflymount::runtime
