// Framed TCP connections, the listener that accepts them, and the link that
// keeps one open.
//
// Everything here runs on one thread, the one that runs the io_context.
#ifndef DRAGONFLYMOUNT_RUNTIME_CONNECTION_HPP
#define DRAGONFLYMOUNT_RUNTIME_CONNECTION_HPP

#include "dragonflymount/src/Runtime/Clock.hpp"
#include "dragonflymount/wire.hpp"

#include <asio.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace dragonflymount::runtime {

struct connection_options {
    /// A connection is closed on which neither a message nor 1 KiB of one
    /// arrives for this long. Both sides send pings, so only a dead connection
    /// or a peer that holds a message back is that quiet.
    duration silence_limit = std::chrono::seconds(3);
    duration ping_interval = std::chrono::milliseconds(800);
    /// Bytes waiting to be sent; a peer that reads too slowly is cut off.
    std::size_t most_queued_bytes = 64U << 20U;
    /// Bound of the time between two attempts to open a link, which doubles
    /// from attempt to attempt.
    duration longest_retry_delay = std::chrono::seconds(1);
};

class connection : public std::enable_shared_from_this<connection> {
public:
    using pointer = std::shared_ptr<connection>;
    using message_handler =
        std::function<void(const pointer&, wire::message&&)>;
    using close_handler = std::function<void(const pointer&, const failure&)>;

    connection(asio::ip::tcp::socket socket, connection_options options);

    /// \brief Begins to read; the handlers are called from then on.
    void start(message_handler on_message, close_handler on_close);
    void send(const wire::message& content);
    /// \param frame a whole frame; several connections may share it.
    void send(std::shared_ptr<const bytes> frame);
    /// \brief Closes without calling the close handler.
    void close();
    bool is_open() const { return open_; }
    /// \returns the bytes of all frames that were given to \c send.
    std::uint64_t sent_bytes() const { return sent_bytes_; }
    /// \returns how many of them have arrived at the peer's host. They may
    /// wait there for the peer's process.
    std::uint64_t delivered_bytes();
    const std::string& peer() const { return peer_; }
    /// \brief A number that no other connection of this process has.
    std::uint64_t number() const { return number_; }

private:
    void read_header();
    void read_payload(const wire::frame_header& header);
    void note_progress(std::size_t size);
    void take_frame(const wire::frame_header& header);
    void write_next();
    void watch();
    void fail(std::error_code code, std::string step, std::string detail = {});

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    connection_options options_;
    std::string peer_;
    std::uint64_t number_;
    message_handler on_message_;
    close_handler on_close_;
    std::array<std::uint8_t, wire::frame_header_bytes> header_{};
    bytes payload_;
    // Invariant: at most payload_.size(), the bytes of the payload that have
    // come.
    std::size_t received_ = 0;
    // Bytes of the payload that have come since last_read_.
    std::size_t progress_ = 0;
    std::deque<std::shared_ptr<const bytes>> outgoing_;
    // Of the first frame, the bytes that the socket has taken.
    std::size_t written_ = 0;
    // Of all frames, the bytes that the socket hasn't taken.
    std::size_t outgoing_bytes_ = 0;
    std::uint64_t sent_bytes_ = 0;
    bool writing_ = false;
    bool open_ = true;
    instant last_read_{};
};

/// \brief Accepts connections on one address.
class listener {
public:
    listener(asio::io_context& context, connection_options options)
        : acceptor_(context), retry_timer_(context), options_(options) {}

    /// \param address "IP:port"; port 0 lets the system choose.
    result<done> start(const std::string& address,
        connection::message_handler on_message,
        connection::close_handler on_close);
    void stop();
    /// \returns the address that was bound.
    std::string address() const;
    const std::set<connection::pointer>& connections() const {
        return connections_;
    }

private:
    void accept();
    void accept_later();
    void begin_connection(asio::ip::tcp::socket socket);

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    connection_options options_;
    connection::message_handler on_message_;
    connection::close_handler on_close_;
    std::set<connection::pointer> connections_;
};

/// \brief Keeps one connection to an address open, and opens a new one after
/// each failure.
class link {
public:
    using open_handler = std::function<void(const connection::pointer&)>;

    link(asio::io_context& context, std::string address,
        connection_options options);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    void start(open_handler on_open, connection::message_handler on_message,
        connection::close_handler on_close);
    void stop();
    /// \returns whether the message was handed to an open connection.
    bool send(const wire::message& content);
    /// \param frame a whole frame, kept until it is sent.
    bool send(std::shared_ptr<const bytes> frame);
    bool is_open() const { return current_ && current_->is_open(); }
    /// \returns the bytes given to the connection that is open; 0 without one.
    std::uint64_t sent_bytes() const {
        return is_open() ? current_->sent_bytes() : 0;
    }
    /// \returns how many of them have arrived at the peer's host.
    std::uint64_t delivered_bytes() const {
        return is_open() ? current_->delivered_bytes() : 0;
    }
    const std::string& address() const { return address_; }

private:
    /// An attempt to open a connection.
    struct attempt {
        explicit attempt(asio::io_context& context)
            : socket(context), timer(context) {}
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
    };

    void connect();
    void open(asio::ip::tcp::socket socket);
    void drop_attempts();
    void retry();
    void connect_after(duration delay);

    asio::io_context& context_;
    std::string address_;
    connection_options options_;
    asio::steady_timer timer_;
    // Invariant: empty while current_ is set.
    std::set<std::shared_ptr<attempt>> attempts_;
    connection::pointer current_;
    open_handler on_open_;
    connection::message_handler on_message_;
    connection::close_handler on_close_;
    // Handlers that run after the link is gone see that here.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    duration retry_delay_;
};

/// \brief Splits "IP:port".
result<asio::ip::tcp::endpoint> parse_address(const std::string& text);

} // namespace dragonflymount::runtime

#endif
