// Reading, writing, heartbeats and reconnection.
#include "dragonflymount/src/Runtime/Connection.hpp"

#include "dragonflymount/src/Runtime/Listening.hpp"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <linux/sockios.h>

#include <algorithm>
#include <utility>

namespace dragonflymount::runtime {
namespace {

constexpr duration first_retry_delay = std::chrono::milliseconds(50);
constexpr duration connect_timeout = std::chrono::seconds(2);
// Time from the begin of an unanswered attempt to the begin of the next one.
constexpr duration attempt_interval = std::chrono::milliseconds(400);
// Room for the begin of a frame's payload.
constexpr std::size_t first_part_bytes = 64U << 10U;
// Bytes of a frame's payload that count as a sign of life. Less than a segment
// of TCP on Ethernet, so that each segment that arrives counts.
constexpr std::size_t least_progress_bytes = 1024;

std::uint64_t next_number() {
    static std::uint64_t last = 0;
    return ++last;
}

/// Asks a socket for the bytes that its peer hasn't acknowledged yet.
class unacknowledged_command {
public:
    static int name() { return SIOCOUTQ; }
    void* data() { return &bytes_; }
    std::uint64_t bytes() const { return static_cast<std::uint64_t>(bytes_); }

private:
    int bytes_ = 0;
};

std::string describe(const asio::ip::tcp::socket& socket) {
    asio::error_code code;
    const auto remote = socket.remote_endpoint(code);
    if (code) {
        return "unconnected";
    }
    return absl::StrCat(remote.address().to_string(), ":", remote.port());
}

} // namespace

result<asio::ip::tcp::endpoint> parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    asio::error_code code;
    const auto host = asio::ip::make_address(text.substr(0, colon), code);
    const auto port = colon == std::string::npos
        ? std::nullopt
        : parse_number<std::uint16_t>(text.substr(colon + 1));
    if (code || !port) {
        return failure{make_error_code(errc::invalid_setting), "parse address",
            text, "expected IP:port"};
    }
    return asio::ip::tcp::endpoint(host, *port);
}

namespace {

/// After a bad frame the stream's position can't be trusted.
bool is_bad_frame(std::error_code code) {
    return code == errc::malformed_frame || code == errc::frame_too_large ||
        code == errc::malformed_message;
}

} // namespace

// ---- connection ------------------------------------------------------------

connection::connection(asio::ip::tcp::socket socket, connection_options options)
    : socket_(std::move(socket)), timer_(socket_.get_executor()),
      options_(options), peer_(describe(socket_)), number_(next_number()) {}

void connection::start(message_handler on_message, close_handler on_close) {
    on_message_ = std::move(on_message);
    on_close_ = std::move(on_close);
    last_read_ = system_clock::now();
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    read_header();
    watch();
}

void connection::read_header() {
    asio::async_read(socket_, asio::buffer(header_),
        [self = shared_from_this()](std::error_code code, std::size_t) {
            if (code) {
                self->fail(code, "read frame header");
                return;
            }
            const auto header = wire::decode_header(self->header_);
            if (!header) {
                self->fail(header.error().code, "read frame header",
                    header.error().detail);
                return;
            }
            self->payload_.clear();
            self->received_ = 0;
            self->read_payload(*header);
        });
}

// Reads on until the payload is whole. A header alone makes no room for it:
// the payload grows to at most twice what has come, or first_part_bytes.
void connection::read_payload(const wire::frame_header& header) {
    if (received_ == payload_.size()) {
        payload_.resize(std::min<std::size_t>(
            header.length, std::max(received_ * 2, first_part_bytes)));
    }
    socket_.async_read_some(
        asio::buffer(payload_.data() + received_, payload_.size() - received_),
        [self = shared_from_this(), header](
            std::error_code code, std::size_t size) {
            if (code) {
                self->fail(code, "read frame payload");
                return;
            }
            self->received_ += size;
            if (self->received_ < header.length) {
                self->note_progress(size);
                self->read_payload(header);
                return;
            }
            self->take_frame(header);
        });
}

// A slow link may carry a frame for longer than the silence limit. Single bytes
// don't count: a peer could hold a frame's memory with them for good.
void connection::note_progress(std::size_t size) {
    progress_ += size;
    if (progress_ >= least_progress_bytes) {
        progress_ = 0;
        last_read_ = system_clock::now();
    }
}

void connection::take_frame(const wire::frame_header& header) {
    progress_ = 0;
    last_read_ = system_clock::now();
    auto content = wire::decode_payload(header, payload_);
    if (!content) {
        fail(content.error().code, "decode frame", content.error().detail);
        return;
    }
    if (content->body.type != wire::Body::Ping && open_) {
        on_message_(shared_from_this(), std::move(*content));
    }
    if (open_) {
        read_header();
    }
}

void connection::send(const wire::message& content) {
    if (open_) {
        send(std::make_shared<const bytes>(wire::encode_frame(content)));
    }
}

void connection::send(std::shared_ptr<const bytes> frame) {
    if (!open_) {
        return;
    }
    sent_bytes_ += frame->size();
    outgoing_bytes_ += frame->size();
    if (outgoing_bytes_ > options_.most_queued_bytes) {
        fail(make_error_code(errc::queue_full), "send frame");
        return;
    }
    outgoing_.push_back(std::move(frame));
    if (!writing_) {
        write_next();
    }
}

void connection::write_next() {
    if (outgoing_.empty()) {
        writing_ = false;
        return;
    }
    writing_ = true;
    const bytes& front = *outgoing_.front();
    socket_.async_write_some(
        asio::buffer(front.data() + written_, front.size() - written_),
        [self = shared_from_this()](std::error_code code, std::size_t size) {
            if (code) {
                self->fail(code, "write frame");
                return;
            }
            self->written_ += size;
            self->outgoing_bytes_ -= size;
            if (self->written_ == self->outgoing_.front()->size()) {
                self->written_ = 0;
                self->outgoing_.pop_front();
            }
            self->write_next();
        });
}

// Bytes that the socket has taken and whose handler hasn't run yet count twice,
// so the difference is bounded. If the system doesn't tell what the peer has
// acknowledged, what the socket has taken counts as delivered.
std::uint64_t connection::delivered_bytes() {
    unacknowledged_command unacknowledged;
    asio::error_code ignored;
    socket_.io_control(unacknowledged, ignored);
    const std::uint64_t taken = sent_bytes_ - outgoing_bytes_;
    return taken - std::min<std::uint64_t>(taken, unacknowledged.bytes());
}

void connection::watch() {
    timer_.expires_after(options_.ping_interval);
    timer_.async_wait([self = shared_from_this()](std::error_code code) {
        if (code || !self->open_) {
            return;
        }
        if (system_clock::now() - self->last_read_ >
            self->options_.silence_limit) {
            self->fail(make_error_code(errc::connection_silent), "heartbeat");
            return;
        }
        self->send(wire::make_message(wire::PingT()));
        self->watch();
    });
}

void connection::fail(
    std::error_code code, std::string step, std::string detail) {
    if (!open_) {
        return;
    }
    const failure error{code, std::move(step), peer_, std::move(detail)};
    if (is_bad_frame(code)) {
        LOG(WARNING) << event::frame_refused << error.message();
    }
    const auto handler = std::move(on_close_);
    close();
    if (handler) {
        handler(shared_from_this(), error);
    }
}

void connection::close() {
    if (!open_) {
        return;
    }
    open_ = false;
    asio::error_code ignored;
    timer_.cancel();
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

// ---- listener --------------------------------------------------------------

result<done> listener::start(const std::string& address,
    connection::message_handler on_message,
    connection::close_handler on_close) {
    on_message_ = std::move(on_message);
    on_close_ = std::move(on_close);
    result<done> status = open_acceptor(acceptor_, address);
    if (!status) {
        return status;
    }
    accept();
    return done{};
}

std::string listener::address() const {
    return address_of(acceptor_);
}

// Out of descriptors, say: they are free again once connections end.
void listener::accept_later() {
    retry_timer_.expires_after(accept_retry);
    retry_timer_.async_wait([this](std::error_code cancelled) {
        if (!cancelled) {
            accept();
        }
    });
}

void listener::accept() {
    acceptor_.async_accept([this](std::error_code code,
                               asio::ip::tcp::socket socket) {
        // A connection may have been accepted before the listener was
        // stopped.
        if (code == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (code) {
            LOG(WARNING) << event::connection_failed
                         << "accept: " << code.message();
            accept_later();
            return;
        }
        accept_waiting(acceptor_, std::move(socket),
            [this](asio::ip::tcp::socket accepted) {
                begin_connection(std::move(accepted));
            });
        accept();
    });
}

void listener::begin_connection(asio::ip::tcp::socket socket) {
    auto accepted = std::make_shared<connection>(std::move(socket), options_);
    connections_.insert(accepted);
    accepted->start(on_message_,
        [this](const connection::pointer& closed, const failure& error) {
            connections_.erase(closed);
            on_close_(closed, error);
        });
}

void listener::stop() {
    asio::error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
    const auto connections = std::move(connections_);
    connections_.clear();
    for (const auto& open : connections) {
        open->close();
    }
}

// ---- link ------------------------------------------------------------------

link::link(
    asio::io_context& context, std::string address, connection_options options)
    : context_(context), address_(std::move(address)), options_(options),
      timer_(context), retry_delay_(first_retry_delay) {}

link::~link() {
    stop();
}

void link::start(open_handler on_open, connection::message_handler on_message,
    connection::close_handler on_close) {
    on_open_ = std::move(on_open);
    on_message_ = std::move(on_message);
    on_close_ = std::move(on_close);
    connect();
}

void link::stop() {
    *alive_ = false;
    timer_.cancel();
    drop_attempts();
    if (current_) {
        current_->close();
        current_.reset();
    }
}

// An attempt begun while the machine is down may wait until its timeout,
// although the machine is back. A shorter timeout would fail on slow links, so
// the next attempt begins beside an unanswered one.
void link::connect() {
    const auto endpoint = parse_address(address_);
    if (!endpoint) {
        LOG(ERROR) << event::connection_failed << endpoint.error().message();
        return;
    }
    auto begun = std::make_shared<attempt>(context_);
    attempts_.insert(begun);
    begun->timer.expires_after(connect_timeout);
    begun->timer.async_wait([begun](std::error_code code) {
        if (!code) {
            asio::error_code ignored;
            begun->socket.close(ignored);
        }
    });
    begun->socket.async_connect(
        *endpoint, [this, begun, alive = alive_](std::error_code code) {
            begun->timer.cancel();
            // Otherwise the link is gone, or another attempt succeeded.
            if (!*alive || attempts_.erase(begun) == 0) {
                return;
            }
            if (!code) {
                open(std::move(begun->socket));
            } else if (attempts_.empty()) {
                retry();
            }
        });
    connect_after(attempt_interval);
}

void link::open(asio::ip::tcp::socket socket) {
    timer_.cancel();
    drop_attempts();
    retry_delay_ = first_retry_delay;
    current_ = std::make_shared<connection>(std::move(socket), options_);
    current_->start(on_message_,
        [this, alive = alive_](
            const connection::pointer& closed, const failure& error) {
            if (!*alive) {
                return;
            }
            VLOG(1) << event::connection_failed << error.message();
            current_.reset();
            on_close_(closed, error);
            retry();
        });
    on_open_(current_);
}

void link::drop_attempts() {
    for (const auto& begun : std::exchange(attempts_, {})) {
        asio::error_code ignored;
        begun->timer.cancel();
        begun->socket.close(ignored);
    }
}

void link::retry() {
    const duration delay = retry_delay_;
    retry_delay_ = std::min(retry_delay_ * 2, options_.longest_retry_delay);
    connect_after(delay);
}

void link::connect_after(duration delay) {
    timer_.expires_after(delay);
    timer_.async_wait([this, alive = alive_](std::error_code code) {
        if (!code && *alive && !current_) {
            connect();
        }
    });
}

bool link::send(const wire::message& content) {
    if (!is_open()) {
        return false;
    }
    current_->send(content);
    return true;
}

bool link::send(std::shared_ptr<const bytes> frame) {
    if (!is_open()) {
        return false;
    }
    current_->send(std::move(frame));
    return true;
}

} // namespace dragonflymount::runtime
