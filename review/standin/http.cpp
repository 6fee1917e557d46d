// HTTP calls over cpp-httplib.
#include "review/standin/http.hpp"

#include "review/standin/record.hpp"

#include <httplib.h>

namespace dragonflymount::review {

caller::caller(std::int64_t timeout_ms) : timeout_ms_(timeout_ms) {}

caller::~caller() = default;

response caller::once(
    const std::string& address, const request& sent, std::string& location) {
    const auto begin = steady::now();
    auto& client = clients_[address];
    if (!client) {
        const std::size_t colon = address.rfind(':');
        client = std::make_unique<httplib::Client>(
            address.substr(0, colon), std::stoi(address.substr(colon + 1)));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(milliseconds(timeout_ms_));
        client->set_read_timeout(milliseconds(timeout_ms_));
        client->set_write_timeout(milliseconds(timeout_ms_));
    }
    httplib::Request made;
    made.method = sent.method;
    made.path = sent.path;
    made.body = sent.body;
    for (const auto& [name, value] : sent.headers) {
        made.set_header(name, value);
    }
    if (!sent.body.empty()) {
        made.set_header("Content-Type", "application/json");
    }
    const httplib::Result result = client->send(made);
    response got;
    got.address = address;
    got.took_ms =
        std::chrono::duration_cast<milliseconds>(steady::now() - begin).count();
    if (!result) {
        clients_.erase(address);
        return got;
    }
    got.status = result->status;
    got.body = result->body;
    location = result->get_header_value("Location");
    return got;
}

response caller::call(const std::string& address, const request& sent) {
    std::string location;
    return once(address, sent, location);
}

response caller::follow(const std::string& address, const request& sent) {
    std::string next = address;
    response got;
    for (int hop = 0; hop < 3; ++hop) {
        std::string location;
        got = once(next, sent, location);
        constexpr std::string_view scheme = "http://";
        if (got.status != 307 || location.rfind(scheme, 0) != 0) {
            return got;
        }
        next = location.substr(scheme.size());
        next = next.substr(0, next.find('/'));
    }
    return got;
}

} // namespace dragonflymount::review
