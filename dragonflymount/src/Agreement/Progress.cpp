// Follows what a peer holds, and finds what was lost on the way to it.
#include "dragonflymount/src/Agreement/Progress.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

void progress::begin_image(const snapshot& newest) {
    image = sent_image{newest.last_index, newest.state.size(), 0, 0, false, 0};
    installing = true;
}

void progress::note_sent(const flight& message, bool again) {
    window.add(message);
    sent_bytes += message.bytes;
    resent_bytes += again ? message.bytes : 0;
}

void progress::note_records(const flight& message, log_index first) {
    note_sent(message, first < furthest);
    unsent = message.last.next();
    furthest = std::max(furthest, unsent);
}

void progress::note_part(const flight& message, std::size_t offset) {
    note_sent(message, offset < image.furthest);
    image.sent = message.image_bytes;
    image.furthest = std::max(image.furthest, image.sent);
    image.is_sent = image.sent >= image.bytes;
}

bool progress::holds(const flight& message) const {
    return match >= message.last ||
        (message.is_part &&
            (message.last != image.last || image.held >= message.image_bytes));
}

void progress::rewind(std::uint64_t newest_round) {
    rewound_round = newest_round;
    window.shrink(newest_round + 1);
    unsent = next;
    image.sent = image.held;
    image.is_sent = false;
}

void progress::note_answer(
    const wire::AppendReplyT& reply, std::uint64_t newest_round, instant now) {
    const log_index answered(reply.match_index);
    reads_packed = reply.reads_packed;
    const auto sent = rounds.find(reply.round);
    if (reply.accepted) {
        match = std::max(match, answered);
        next = std::max(next, match.next());
        unsent = std::max(unsent, next);
    }
    if (reply.round < newest_answer || sent == rounds.end()) {
        return;
    }
    newest_answer = reply.round;
    is_known = true;
    retries = 0;
    image.held =
        log_index(reply.part_index) == image.last ? reply.part_bytes : 0;
    answer_delay = now - sent->second.sent;
    const std::optional<flight> newest =
        window.answer(reply.round, answer_delay);
    if (reply.accepted) {
        caught_up = match >= sent->second.commit;
        installing = installing && !caught_up;
    }
    if (reply.round <= rewound_round) {
        return;
    }
    const bool rejected = !reply.accepted && !needs_image();
    const bool stalled = window.is_empty() &&
        (needs_image() ? image.held < image.sent : next < unsent);
    if (!reply.accepted) {
        next = std::max(match.next(), std::min(next, answered.next()));
    }
    const bool lost =
        newest && newest->round > rewound_round && !holds(*newest);
    if (rejected || lost || stalled) {
        rewind(newest_round);
    }
}

} // namespace dragonflymount::agreement
