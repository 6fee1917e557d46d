// When room becomes free on the endpoints of one rack, and whether waiting for
// it pays; functions and values without side effects.
#ifndef DRAGONFLYMOUNT_JOBS_RACK_FORECAST_HPP
#define DRAGONFLYMOUNT_JOBS_RACK_FORECAST_HPP

#include "dragonflymount/src/Jobs/Types.hpp"

#include <optional>
#include <vector>

namespace dragonflymount::jobs {

/// \brief Room that a running task is expected to free.
struct room_release {
    /// Milliseconds from now.
    double in_ms = 0;
    resources room;
};

/// \brief Where and when a task could start on the rack.
struct rack_place {
    std::size_t endpoint = 0;
    /// Milliseconds from now.
    double in_ms = 0;
};

/// \brief The expected room of a rack's endpoints.
class rack_forecast {
public:
    /// \param free room that is free now.
    void add_endpoint(
        const resources& free, std::vector<room_release> releases);

    /// \returns the earliest place with room for \p need beside all bookings,
    /// or nothing if no expected release makes enough room.
    std::optional<rack_place> earliest(const resources& need) const;
    /// \brief Books a place for a task that runs for \p run_ms, so that the
    /// next task finds the room after it.
    void book(const rack_place& place, const resources& need, double run_ms);

private:
    struct endpoint_room {
        resources free;
        // No task that is booked later starts before this time.
        double from_ms = 0;
        // Invariant: in order of time, and none before from_ms.
        std::vector<room_release> releases;
    };

    std::vector<endpoint_room> endpoints_;
};

/// \brief What is known of a task for which only a place far from its data, or
/// from its group, is free.
struct wait_terms {
    /// Expected time until a near place is free, in milliseconds.
    double wait_ms = 0;
    /// How long the task runs at a near place, in milliseconds.
    double run_ms = 0;
    /// How many times as long it runs far away.
    double remote_factor = 1;
    /// How long tasks of its step have waited for a near place already.
    double waited_ms = 0;
};

/// The longest time for which tasks of a step wait for a near place. Expected
/// times may be wrong again and again, and a job that has room must not stand
/// still.
inline constexpr double longest_place_wait_ms = 1500;

/// \brief Whether the task is expected to end earlier if it waits.
///
/// Load pattern: many jobs want the same rack at once, which is full while
/// other racks have room.
bool wait_pays(const wait_terms& terms);

} // namespace dragonflymount::jobs

#endif
