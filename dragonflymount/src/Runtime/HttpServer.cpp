// The HTTP server: one session a connection.
#include "dragonflymount/src/Runtime/Connection.hpp"
#include "dragonflymount/src/Runtime/HttpMessage.hpp"
#include "dragonflymount/src/Runtime/Listening.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/beast/http/status.hpp>
#include <glog/logging.h>

#include <optional>

namespace dragonflymount::runtime {
namespace {

constexpr duration sweep_interval = std::chrono::seconds(1);

// Sent as Retry-After with a request that was refused for want of memory: by
// then the requests that fill it have been read or have timed out.
constexpr const char* memory_retry_seconds = "5";

// Memory of a header field besides its text.
constexpr std::uint64_t field_bytes = 128;

template <class Fields>
std::uint64_t memory_of(const Fields& fields) {
    std::uint64_t bytes = 0;
    for (const auto& field : fields) {
        bytes +=
            field_bytes + field.name_string().size() + field.value().size();
    }
    return bytes;
}

std::string_view find_header(
    const http_headers& headers, std::string_view name) {
    for (const auto& [key, value] : headers) {
        if (absl::EqualsIgnoreCase(
                {key.data(), key.size()}, {name.data(), name.size()})) {
            return value;
        }
    }
    return {};
}

std::string encode(const http_response& reply, bool close) {
    const auto reason = internal::http::obsolete_reason(
        internal::http::int_to_status(reply.status));
    std::string text = absl::StrCat("HTTP/1.1 ", reply.status, " ",
        absl::string_view(reason.data(), reason.size()), "\r\n");
    for (const auto& [name, value] : reply.headers) {
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
    absl::StrAppend(&text, "Content-Length: ", reply.body.size(), "\r\n",
        close ? "Connection: close\r\n" : "", "\r\n", reply.body);
    return text;
}

} // namespace

std::string_view http_request::header(std::string_view name) const {
    return find_header(headers, name);
}

std::string_view http_response::header(std::string_view name) const {
    return find_header(headers, name);
}

class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_server& server, asio::ip::tcp::socket socket)
        : server_(&server), socket_(std::move(socket)) {}

    void start() {
        asio::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
        begin_request();
    }

    void close() {
        if (server_ == nullptr) {
            return;
        }
        if (replying_) {
            --server_->open_requests_;
        }
        server_->budget_.release(this);
        server_ = nullptr;
        asio::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    bool is_overdue(instant now) const {
        if (replying_ && !writing_) {
            return false;
        }
        const http_limits& limits = server_->limits_;
        const bool reading = begun_ && !writing_;
        return now - since_ >
            (reading ? limits.request_timeout : limits.idle_timeout);
    }

    /// \returns since when the session has waited for a request or the rest of
    /// one, or nothing if a reply is owed.
    std::optional<instant> waits_since() const {
        return replying_ ? std::nullopt : std::optional(since_);
    }

    // What follows a message that isn't read to its end can't be told from it.
    void refuse(unsigned status) {
        replying_ = true;
        close_after_ = true;
        ++server_->open_requests_;
        server_->budget_.release(this);
        parser_.reset();
        std::string().swap(buffer_);
        http_response content{status, {}, {}};
        if (status == 503) {
            content.headers.emplace_back("Retry-After", memory_retry_seconds);
        }
        reply(content);
    }

private:
    using parser = internal::http::request_parser<internal::http::string_body>;

    void begin_request() {
        parser_.emplace();
        parser_->header_limit(server_->limits_.header_bytes);
        parser_->body_limit(server_->limits_.body_bytes);
        parser_->eager(true);
        since_ = system_clock::now();
        header_done_ = false;
        begun_ = !buffer_.empty();
        if (begun_) {
            parse();
        } else {
            read();
        }
    }

    void read() {
        socket_.async_read_some(asio::buffer(chunk_),
            [self = shared_from_this()](std::error_code code, std::size_t n) {
                if (self->server_ == nullptr) {
                    return;
                }
                if (self->replying_) {
                    return;
                }
                if (code) {
                    self->leave();
                    return;
                }
                if (!self->begun_) {
                    self->begun_ = true;
                    self->since_ = system_clock::now();
                }
                self->buffer_.append(self->chunk_.data(), n);
                self->parse();
            });
    }

    void parse() {
        if (const auto code = internal::feed(*parser_, buffer_)) {
            refuse(code == internal::http::error::body_limit ? 413 : 400);
            return;
        }
        if (!parser_->is_done()) {
            read_on();
            return;
        }
        server_->budget_.settle(this);
        if (server_->limits_.drop_abandoned && is_abandoned()) {
            leave();
            return;
        }
        auto message = parser_->release();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.headers = internal::headers_of(message);
        request.body = std::move(message.body());
        close_after_ = !message.keep_alive();
        replying_ = true;
        ++server_->open_requests_;
        server_->on_request_(std::move(request),
            [weak = weak_from_this()](const http_response& reply) {
                if (const auto self = weak.lock()) {
                    self->reply(reply);
                }
            });
    }

    // Reads the rest of a request. What the parser leaves in the buffer is the
    // begin of a header, of a chunk's head, or of the trailers, none of which
    // it bounds by itself.
    void read_on() {
        if (buffer_.size() > server_->limits_.header_bytes) {
            refuse(431);
            return;
        }
        // The parser stores each field as soon as its line is there.
        if (!header_done_) {
            header_bytes_ = memory_of(parser_->get().base());
            header_done_ = parser_->is_header_done();
        }
        read();
        server_->hold(this,
            buffer_.capacity() + header_bytes_ +
                parser_->get().body().capacity());
    }

    bool is_abandoned() {
        std::array<char, 1> next{};
        asio::error_code code;
        socket_.receive(
            asio::buffer(next), asio::socket_base::message_peek, code);
        return code == asio::error::eof ||
            code == asio::error::connection_reset;
    }

    void reply(const http_response& content) {
        if (server_ == nullptr || !replying_) {
            return;
        }
        close_after_ = close_after_ || server_->draining_;
        writing_ = true;
        since_ = system_clock::now();
        outgoing_ = encode(content, close_after_);
        asio::async_write(socket_, asio::buffer(outgoing_),
            [self = shared_from_this()](std::error_code code, std::size_t) {
                if (self->server_ != nullptr) {
                    self->written(code);
                }
            });
    }

    void written(std::error_code code) {
        --server_->open_requests_;
        replying_ = false;
        writing_ = false;
        server_->budget_.release(this);
        if (buffer_.empty()) {
            std::string().swap(buffer_);
        }
        if (code) {
            ++server_->undelivered_;
        }
        if (code || close_after_) {
            leave();
            return;
        }
        begin_request();
    }

    void leave() {
        http_server* server = server_;
        close();
        server->sessions_.erase(shared_from_this());
    }

    // Null once the session is closed.
    http_server* server_;
    asio::ip::tcp::socket socket_;
    std::optional<parser> parser_;
    std::array<char, internal::read_bytes> chunk_{};
    std::string buffer_;
    std::string outgoing_;
    bool begun_ = false;
    // A whole request was read, and its reply isn't written yet.
    bool replying_ = false;
    bool close_after_ = false;
    // The reply is being written.
    bool writing_ = false;
    bool header_done_ = false;
    // Memory of the header fields that have been read.
    std::uint64_t header_bytes_ = 0;
    instant since_{};
};

http_server::http_server(asio::io_context& context, http_limits limits)
    : acceptor_(context), sweep_timer_(context), accept_timer_(context),
      limits_(limits), budget_(limits.request_memory) {}

http_server::~http_server() {
    stop();
}

result<done> http_server::start(
    const std::string& address, handler on_request) {
    on_request_ = std::move(on_request);
    result<done> status = open_acceptor(acceptor_, address);
    if (!status) {
        return status;
    }
    accept();
    sweep();
    return done{};
}

std::string http_server::address() const {
    return address_of(acceptor_);
}

void http_server::accept() {
    acceptor_.async_accept([this](std::error_code code,
                               asio::ip::tcp::socket socket) {
        // A connection may have been accepted before the server was stopped.
        if (code == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (code) {
            LOG(WARNING) << event::connection_failed
                         << "accept HTTP: " << code.message();
            accept_later();
            return;
        }
        accept_waiting(acceptor_, std::move(socket),
            [this](asio::ip::tcp::socket accepted) {
                begin_session(std::move(accepted));
            });
        accept();
    });
}

// Descriptors become free when idle connections are closed, which goes on
// meanwhile.
void http_server::accept_later() {
    accept_timer_.expires_after(accept_retry);
    accept_timer_.async_wait([this](std::error_code cancelled) {
        if (!cancelled) {
            accept();
        }
    });
}

void http_server::begin_session(asio::ip::tcp::socket socket) {
    make_room();
    if (sessions_.size() >= limits_.connections) {
        ++refusals_.closed_connections;
        return;
    }
    auto session = std::make_shared<http_session>(*this, std::move(socket));
    sessions_.insert(session);
    ++accepted_;
    session->start();
}

// Load pattern: clients open connections without number and leave them open.
// Ordinary callers send their request at once, so the connection that has
// waited the longest is the least likely to be one of theirs.
void http_server::make_room() {
    if (sessions_.size() < limits_.connections) {
        return;
    }
    std::shared_ptr<http_session> oldest;
    for (const auto& session : sessions_) {
        const auto since = session->waits_since();
        if (since && (!oldest || *since < *oldest->waits_since())) {
            oldest = session;
        }
    }
    if (oldest) {
        ++refusals_.closed_connections;
        close(oldest);
    }
}

void http_server::hold(http_session* session, std::uint64_t bytes) {
    budget_.hold(session, bytes);
    while (const auto largest = budget_.surplus()) {
        ++refusals_.requests_over_memory;
        (*largest)->refuse(503);
    }
}

void http_server::close(const std::shared_ptr<http_session>& session) {
    session->close();
    sessions_.erase(session);
}

void http_server::log_refusals() {
    if (refusals_ == logged_refusals_) {
        return;
    }
    logged_refusals_ = refusals_;
    LOG(WARNING) << event::clients_turned_away
                 << "requests_over_memory=" << refusals_.requests_over_memory
                 << " closed_connections=" << refusals_.closed_connections
                 << " connections=" << sessions_.size()
                 << " request_bytes=" << budget_.total();
}

void http_server::sweep() {
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait([this](std::error_code code) {
        if (code) {
            return;
        }
        const instant now = system_clock::now();
        for (auto it = sessions_.begin(); it != sessions_.end();) {
            if ((*it)->is_overdue(now)) {
                (*it)->close();
                it = sessions_.erase(it);
            } else {
                ++it;
            }
        }
        log_refusals();
        sweep();
    });
}

void http_server::stop() {
    asio::error_code ignored;
    acceptor_.close(ignored);
    sweep_timer_.cancel();
    accept_timer_.cancel();
    const auto sessions = std::move(sessions_);
    sessions_.clear();
    for (const auto& session : sessions) {
        session->close();
    }
}

} // namespace dragonflymount::runtime
