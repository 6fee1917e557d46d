// What a leader knows of one peer's log, and what it has sent to it.
#ifndef DRAGONFLYMOUNT_AGREEMENT_PROGRESS_HPP
#define DRAGONFLYMOUNT_AGREEMENT_PROGRESS_HPP

#include "dragonflymount/src/Agreement/SendWindow.hpp"

#include <map>

namespace dragonflymount::agreement {

struct sent_round {
    instant sent{};
    // The commit index at that time.
    log_index commit;
};

/// \brief An image on its way to a peer.
struct sent_image {
    // The last record in the image; zero if none was sent.
    log_index last;
    std::size_t bytes = 0;
    // What the peer holds of it by its newest answer.
    std::size_t held = 0;
    // Where the next part begins.
    std::size_t sent = 0;
    bool is_sent = false;
    // The end of the furthest part ever sent.
    std::size_t furthest = 0;
};

/// \brief What a leader knows of one peer.
///
/// Messages travel in order on a connection. So an answer to a round shows
/// that all that was sent before has arrived or is lost, and what is lost is
/// sent again from what the peer is known to hold. A peer that answers nothing
/// is sent one message again after a while.
struct progress {
    progress(std::size_t message_bytes, duration prompt)
        : window(message_bytes, prompt) {}

    // The first record that the peer isn't known to hold, and the first one
    // that wasn't sent. Invariant: match < next <= unsent.
    log_index next;
    log_index unsent;
    log_index match;
    // The peer has answered, so that next isn't a guess. Before that it is sent
    // heartbeats only.
    bool is_known = false;
    // Send time of the newest round that this peer has answered. A round is
    // one append or snapshot message; its number comes back in the answer.
    instant acknowledged{};
    // When the first message was sent to this peer; also the first one after a
    // change of members that concerned it.
    instant begun{};
    // Recent rounds by round number. They are stored per peer, so that the
    // rounds of a fast peer don't evict rounds that a slow peer hasn't answered
    // yet.
    std::map<std::uint64_t, sent_round> rounds;
    std::uint64_t newest_answer = 0;
    // Rejections of rounds up to this one were caused by a loss that has been
    // dealt with.
    std::uint64_t rewound_round = 0;
    // The newest answer showed that the peer holds all records that were
    // committed when its round was sent.
    bool caught_up = false;
    send_window window;
    // If nothing is answered until then, all that is in flight is sent again.
    instant retry_at{};
    // How often that has happened since the last answer.
    unsigned retries = 0;
    // How long the newest answer took.
    duration answer_delay{};
    sent_image image;
    // Set from the first part of an image until an answer shows that the peer
    // holds all records that were committed when its round was sent.
    bool installing = false;
    // The peer reads deflated records and parts.
    bool reads_packed = false;
    // Bytes sent in this term, and those of messages sent before.
    std::uint64_t sent_bytes = 0;
    std::uint64_t resent_bytes = 0;
    // The record after the furthest one ever sent.
    log_index furthest;

    /// \returns whether the peer has yet to install the image.
    bool needs_image() const { return image.last > match; }
    void begin_image(const snapshot& newest);
    /// \param first the first record in the message.
    void note_records(const flight& message, log_index first);
    /// \param offset where the part begins in the image.
    void note_part(const flight& message, std::size_t offset);
    /// \brief Takes in the newest answer.
    /// \param newest_round the newest round sent to any peer.
    void note_answer(const wire::AppendReplyT& reply,
        std::uint64_t newest_round, instant now);
    /// \brief Goes on from what the peer is known to hold.
    void rewind(std::uint64_t newest_round);

private:
    bool holds(const flight& message) const;
    void note_sent(const flight& message, bool again);
};

} // namespace dragonflymount::agreement

#endif
