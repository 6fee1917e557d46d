// Decides when the leader reports a member that isn't whole.
//
// A member that catches up is reported from the first moment on, since each
// disk less is one loss less that the group bears. A voter that is late or
// silent is reported only if that lasts: both end by themselves after a pause
// or a restart.
#ifndef DRAGONFLYMOUNT_SCHEDULER_MEMBER_REPORT_HPP
#define DRAGONFLYMOUNT_SCHEDULER_MEMBER_REPORT_HPP

#include "programs/scheduler/member_view.hpp"

#include <map>

namespace dragonflymount::scheduler_program {

/// \brief A line of the log that is due.
struct member_line {
    /// \c replica_behind, \c replica_whole or \c catch_up_late.
    event number = event::replica_behind;
    member_view member;
    /// Time since this leader first saw that the member isn't whole.
    duration lasted{};
    /// Bytes sent to it in that time, and how many of them once more.
    std::uint64_t sent_bytes = 0;
    std::uint64_t resent_bytes = 0;
};

class member_report {
public:
    /// \param catch_up time within which a member has to be whole again.
    explicit member_report(duration catch_up) : catch_up_(catch_up) {}

    /// \brief Notes what the leader sees at \p now.
    /// \returns the lines that are due: for each member at most one in three
    /// seconds, and one more when it is late or whole.
    std::vector<member_line> update(const group_view& seen, instant now);
    /// \brief Forgets everything. Call it when this replica doesn't lead.
    void clear() { behind_.clear(); }
    /// \returns since when \p member isn't whole, zero if it is.
    duration behind_for(const replica_id& member, instant now) const;

private:
    struct gap {
        instant begun{};
        instant next_line{};
        // A first line was due; only then its end is reported.
        bool reported = false;
        bool late = false;
        // What the leader had sent to the member by then.
        agreement::transfer before;
    };

    static member_line make_line(
        event number, const member_view& member, const gap& noted, instant now);
    void note_gap(const member_view& member, instant now,
        std::vector<member_line>& lines);
    void forget_removed(const group_view& seen);

    duration catch_up_;
    std::map<replica_id, gap> behind_;
};

/// \brief Writes \p line to the log.
void write(const member_line& line, const group_view& seen);

} // namespace dragonflymount::scheduler_program

#endif
