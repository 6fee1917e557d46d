// The monotonic clock of a running process.
#ifndef DRAGONFLYMOUNT_RUNTIME_CLOCK_HPP
#define DRAGONFLYMOUNT_RUNTIME_CLOCK_HPP

#include "dragonflymount/core.hpp"

#include <ctime>

namespace dragonflymount::runtime {

/// \brief CLOCK_BOOTTIME: monotonic, and goes on while a VM is suspended, so
/// that leases run out over a suspension as well.
class system_clock {
public:
    static instant now() {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return instant(std::chrono::seconds(time.tv_sec) +
            std::chrono::duration_cast<duration>(
                std::chrono::nanoseconds(time.tv_nsec)));
    }
};

static_assert(monotonic_clock<system_clock>,
    "the process clock must satisfy the clock concept");

/// \returns milliseconds since 1970, for people only.
inline std::uint64_t wall_time_ms() {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        duration_cast<milliseconds>(since).count());
}

} // namespace dragonflymount::runtime

#endif
