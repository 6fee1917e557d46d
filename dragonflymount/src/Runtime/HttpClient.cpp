// The HTTP client: one exchange a request.
#include "dragonflymount/src/Runtime/Connection.hpp"
#include "dragonflymount/src/Runtime/HttpMessage.hpp"

#include <absl/strings/str_cat.h>

#include <optional>

namespace dragonflymount::runtime {
namespace {

// Answers of the platform's services: lists of up to 200 VMs.
constexpr std::uint64_t most_reply_bytes = 4U << 20U;

std::string encode(const http_request& request, const std::string& address) {
    std::string text = absl::StrCat(request.method, " ", request.target,
        " HTTP/1.1\r\n", "Host: ", address, "\r\n");
    for (const auto& [name, value] : request.headers) {
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
    absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n\r\n",
        request.body);
    return text;
}

} // namespace

class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(http_client& client, std::string address, std::string text,
        http_client::handler on_reply)
        : client_(&client), address_(std::move(address)),
          outgoing_(std::move(text)), socket_(client.context_),
          timer_(client.context_), on_reply_(std::move(on_reply)) {
        parser_.body_limit(most_reply_bytes);
        parser_.eager(true);
    }

    void start(duration limit) {
        timer_.expires_after(limit);
        timer_.async_wait([self = shared_from_this()](std::error_code code) {
            if (!code) {
                self->fail(make_error_code(errc::timeout), "await reply");
            }
        });
        const auto idle = client_->idle_.find(address_);
        if (idle != client_->idle_.end()) {
            socket_ = std::move(idle->second);
            client_->idle_.erase(idle);
            write();
            return;
        }
        const auto endpoint = parse_address(address_);
        if (!endpoint) {
            asio::post(client_->context_,
                [self = shared_from_this(), error = endpoint.error()] {
                    self->finish(error);
                });
            return;
        }
        socket_.async_connect(
            *endpoint, [self = shared_from_this()](std::error_code code) {
                if (code) {
                    self->fail(code, "connect");
                    return;
                }
                self->write();
            });
    }

    void abandon() {
        client_ = nullptr;
        on_reply_ = nullptr;
        close();
    }

    void abort() { fail(make_error_code(errc::unavailable), "await reply"); }

private:
    void write() {
        if (client_ == nullptr) {
            return;
        }
        asio::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        asio::async_write(socket_, asio::buffer(outgoing_),
            [self = shared_from_this()](std::error_code code, std::size_t) {
                if (code) {
                    self->fail(code, "write request");
                    return;
                }
                self->read();
            });
    }

    void read() {
        socket_.async_read_some(asio::buffer(chunk_),
            [self = shared_from_this()](std::error_code code, std::size_t n) {
                if (code) {
                    self->fail(code, "read reply");
                    return;
                }
                self->buffer_.append(self->chunk_.data(), n);
                if (internal::feed(self->parser_, self->buffer_)) {
                    self->fail(make_error_code(errc::malformed_message),
                        "parse reply");
                } else if (self->parser_.is_done()) {
                    self->succeed();
                } else {
                    self->read();
                }
            });
    }

    void succeed() {
        if (client_ == nullptr) {
            return;
        }
        answered_ = true;
        auto message = parser_.release();
        http_response reply;
        reply.status = message.result_int();
        reply.headers = internal::headers_of(message);
        reply.body = std::move(message.body());
        if (message.keep_alive()) {
            client_->idle_.emplace(address_, std::move(socket_));
        }
        finish(std::move(reply));
    }

    void fail(std::error_code code, std::string step) {
        finish(failure{code, std::move(step), address_, {}});
    }

    void finish(result<http_response> outcome) {
        if (client_ == nullptr) {
            return;
        }
        client_->exchanges_.erase(shared_from_this());
        client_ = nullptr;
        close();
        const auto handler = std::move(on_reply_);
        handler(std::move(outcome));
    }

    void close() {
        asio::error_code ignored;
        timer_.cancel();
        if (!socket_.is_open()) {
            return;
        }
        if (!answered_) {
            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket_.close(ignored);
    }

    // Null once the exchange is over.
    http_client* client_;
    std::string address_;
    std::string outgoing_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    internal::http::response_parser<internal::http::string_body> parser_;
    std::array<char, internal::read_bytes> chunk_{};
    std::string buffer_;
    http_client::handler on_reply_;
    bool answered_ = false;
};

http_client::http_client(asio::io_context& context) : context_(context) {}

http_client::~http_client() {
    stop();
}

void http_client::send(const std::string& address, const http_request& request,
    duration limit, handler on_reply) {
    auto exchange = std::make_shared<http_exchange>(
        *this, address, encode(request, address), std::move(on_reply));
    exchanges_.insert(exchange);
    exchange->start(limit);
}

void http_client::abort() {
    // Handlers may send further requests.
    const auto exchanges = exchanges_;
    for (const auto& exchange : exchanges) {
        exchange->abort();
    }
}

void http_client::stop() {
    const auto exchanges = std::move(exchanges_);
    exchanges_.clear();
    for (const auto& exchange : exchanges) {
        exchange->abandon();
    }
    idle_.clear();
}

} // namespace dragonflymount::runtime
