// Monotonic time as the decision cores see it.
//
// Cores never read a clock: they are given the present instant with each
// event. Leases rest on monotonic time alone, so a step of the wall clock
// changes nothing.
#ifndef DRAGONFLYMOUNT_CORE_TIME_HPP
#define DRAGONFLYMOUNT_CORE_TIME_HPP

#include <chrono>
#include <concepts>
#include <cstdint>

namespace dragonflymount {

using duration = std::chrono::microseconds;

/// \brief The time line of one process; instants of two processes are never
/// compared.
struct monotonic_time {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    static constexpr bool is_steady = true;
};
using instant = std::chrono::time_point<monotonic_time, duration>;

/// \brief Source of the present instant.
template <class Clock>
concept monotonic_clock = requires(Clock& clock) {
    { clock.now() } -> std::same_as<instant>;
};

/// \brief Source of random numbers; seeded in tests.
template <class Source>
concept random_source = requires(Source& source) {
    { source() } -> std::convertible_to<std::uint64_t>;
};

/// \brief Bound on the rate error between the clocks of two machines, in
/// parts per thousand.
///
/// The party that may act under a lease shortens it by this bound; the party
/// that waits for the lease to end lengthens it.
inline constexpr std::int64_t clock_drift_per_mille = 10;

/// \brief The part of a lease that its holder may use.
constexpr duration holder_span(duration lease) {
    return lease - lease * clock_drift_per_mille / 1000;
}

/// \brief How long the grantor waits before it gives the lease again.
constexpr duration grantor_span(duration lease) {
    return lease + lease * clock_drift_per_mille / 1000;
}

inline std::uint32_t to_wire_ms(duration span) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto count = duration_cast<milliseconds>(span).count();
    return count < 0 ? 0U : static_cast<std::uint32_t>(count);
}

inline duration from_wire_ms(std::uint32_t count) {
    return std::chrono::milliseconds(count);
}

} // namespace dragonflymount

#endif
