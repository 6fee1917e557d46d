// Sizes the window by the delay of the answers.
#include "dragonflymount/src/Agreement/SendWindow.hpp"

#include <algorithm>

namespace dragonflymount::agreement {

bool send_window::has_room(std::size_t bytes) const {
    if (flights_.empty()) {
        return true;
    }
    // The next one is taken to deflate as well as the newest full one.
    const flight& newest = flights_.back();
    const std::size_t expected =
        newest.is_partial ? bytes : std::min(bytes, newest.bytes);
    return flights_.size() < most_messages && bytes_ + expected <= size_;
}

bool send_window::has_partial() const {
    return std::any_of(flights_.begin(), flights_.end(),
        [](const flight& each) { return each.is_partial; });
}

void send_window::add(const flight& message) {
    flights_.push_back(message);
    bytes_ += message.bytes;
    newest_round_ = message.round;
}

std::optional<flight> send_window::answer(std::uint64_t round, duration delay) {
    // A window that isn't used says nothing about a larger one.
    const bool is_used = !has_room(message_bytes_) &&
        std::any_of(flights_.begin(), flights_.end(),
            [](const flight& each) { return !each.is_partial; });
    std::optional<flight> newest;
    std::size_t answered = 0;
    while (!flights_.empty() && flights_.front().round <= round) {
        newest = flights_.front();
        answered += newest->bytes;
        flights_.pop_front();
    }
    bytes_ -= answered;
    if (delay <= prompt_ && is_used) {
        size_ = std::clamp(size_ + answered, message_bytes_,
            std::max(message_bytes_, most_bytes));
    } else if (delay > prompt_ * 2 && round >= sized_from_) {
        size_ = std::max(message_bytes_, size_ / 2);
        sized_from_ = newest_round_ + 1;
    }
    return newest;
}

void send_window::shrink(std::uint64_t next_round) {
    size_ = message_bytes_;
    sized_from_ = next_round;
}

void send_window::clear() {
    flights_.clear();
    bytes_ = 0;
}

} // namespace dragonflymount::agreement
