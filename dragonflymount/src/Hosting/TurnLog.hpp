// Measures the turns of a replica: one turn writes the log, sends messages,
// applies committed records and packs a snapshot image.
#ifndef DRAGONFLYMOUNT_HOSTING_TURN_LOG_HPP
#define DRAGONFLYMOUNT_HOSTING_TURN_LOG_HPP

#include "dragonflymount/core.hpp"

namespace dragonflymount::hosting {

/// \brief Measures the parts of a turn and logs slow turns: during a turn the
/// replica receives no messages and sends no replies.
class turn_log {
public:
    /// \brief Starts a turn.
    void begin();
    /// \brief Ends the part that writes to disk and sends messages.
    void note_written();
    /// \brief Ends the part that applies committed records.
    /// \param records the number of records applied.
    void note_applied(std::size_t records);
    /// \brief Ends the turn, and logs it if it took \p threshold or longer.
    /// \param through the index of the last applied record.
    void end(log_index through, duration threshold);
    /// \returns the duration of the longest turn since the start.
    duration longest() const { return longest_; }
    /// \returns the duration of all turns since the start.
    duration total() const { return total_; }

private:
    instant begun_{};
    instant written_{};
    instant applied_{};
    std::size_t records_ = 0;
    duration longest_{};
    duration total_{};
};

} // namespace dragonflymount::hosting

#endif
