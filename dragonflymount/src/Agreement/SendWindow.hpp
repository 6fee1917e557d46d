// The messages on their way to one peer, and how many bytes there may be.
#ifndef DRAGONFLYMOUNT_AGREEMENT_SEND_WINDOW_HPP
#define DRAGONFLYMOUNT_AGREEMENT_SEND_WINDOW_HPP

#include "dragonflymount/src/Agreement/Types.hpp"

#include <deque>

namespace dragonflymount::agreement {

/// \brief A message with records or with a part of an image, not yet answered.
struct flight {
    std::uint64_t round = 0;
    std::size_t bytes = 0;
    /// What the peer holds once the message has arrived: the records up to
    /// this one, or the first \c image_bytes of the image that ends with it.
    log_index last;
    std::size_t image_bytes = 0;
    bool is_part = false;
    /// Less than a message may hold.
    bool is_partial = false;
};

/// \brief Bounds what is in flight to one peer.
///
/// The bound starts at one message, and grows by what is answered while
/// answers are prompt. It shrinks when they are late, for what is in flight is
/// also what a heartbeat has to wait for on a slow connection.
class send_window {
public:
    /// \param message_bytes the size of a full message.
    /// \param prompt an answer within this time is prompt, one after twice as
    /// long is late.
    send_window(std::size_t message_bytes, duration prompt)
        : message_bytes_(message_bytes), prompt_(prompt), size_(message_bytes) {
    }

    /// \returns whether a message of \p bytes may be sent. One may always be
    /// in flight.
    bool has_room(std::size_t bytes) const;
    bool is_empty() const { return flights_.empty(); }
    bool has_partial() const;
    std::size_t bytes_in_flight() const { return bytes_; }
    std::size_t size() const { return size_; }

    void add(const flight& message);
    /// \brief Removes the messages up to \p round, which were answered
    /// \p delay after that round was sent.
    /// \returns the newest of them, nothing if there is none.
    std::optional<flight> answer(std::uint64_t round, duration delay);
    /// \brief Begins anew after a loss: what was sent before \p next_round
    /// says nothing more about the connection.
    void shrink(std::uint64_t next_round);
    /// \brief Forgets the messages in flight.
    void clear();

private:
    static constexpr std::size_t most_bytes = 1U << 20U;
    static constexpr std::size_t most_messages = 32;

    std::size_t message_bytes_;
    duration prompt_;
    // Invariant: message_bytes_ <= size_ <= max(message_bytes_, most_bytes).
    std::size_t size_;
    // Invariant: in the order of their rounds; bytes_ is the sum of theirs.
    std::deque<flight> flights_;
    std::size_t bytes_ = 0;
    // Answers to earlier rounds belong to a larger window.
    std::uint64_t sized_from_ = 0;
    std::uint64_t newest_round_ = 0;
};

} // namespace dragonflymount::agreement

#endif
