// Where the time of a replica's turns goes.
#ifndef DRAGONFLYMOUNT_HOSTING_TURN_LOG_HPP
#define DRAGONFLYMOUNT_HOSTING_TURN_LOG_HPP

#include "dragonflymount/core.hpp"

namespace dragonflymount::hosting {

/// \brief Times the parts of a turn and logs those that take long: nothing is
/// heard and nobody is answered meanwhile.
class turn_log {
public:
    void begin();
    /// \brief The disk has taken what was to be written.
    void note_written();
    void note_applied(std::size_t records);
    /// \brief Logs the turn if it took \p threshold or more.
    /// \param through the newest record that is applied.
    void end(log_index through, duration threshold);
    duration longest() const { return longest_; }

private:
    instant begun_{};
    instant written_{};
    instant applied_{};
    std::size_t records_ = 0;
    duration longest_{};
};

} // namespace dragonflymount::hosting

#endif
