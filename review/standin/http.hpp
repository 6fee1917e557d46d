// HTTP calls of the stand-ins.
#ifndef DRAGONFLYMOUNT_REVIEW_STANDIN_HTTP_HPP
#define DRAGONFLYMOUNT_REVIEW_STANDIN_HTTP_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace httplib {
class Client;
}

namespace dragonflymount::review {

struct request {
    std::string method;
    std::string path;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

struct response {
    /// 0 if no whole answer came in time.
    int status = 0;
    std::string body;
    /// The address that answered.
    std::string address;
    std::int64_t took_ms = 0;
};

/// \brief Calls from one thread; keeps one connection to each address.
class caller {
public:
    explicit caller(std::int64_t timeout_ms);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// \param address "IP:port".
    response call(const std::string& address, const request& sent);
    /// \brief Follows up to two answers of 307.
    response follow(const std::string& address, const request& sent);

private:
    response once(
        const std::string& address, const request& sent, std::string& location);

    std::int64_t timeout_ms_;
    std::map<std::string, std::unique_ptr<httplib::Client>> clients_;
};

} // namespace dragonflymount::review

#endif
