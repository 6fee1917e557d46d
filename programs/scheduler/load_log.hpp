// Measures what the leader's event loop spends its time on, and logs it.
#ifndef DRAGONFLYMOUNT_SCHEDULER_LOAD_LOG_HPP
#define DRAGONFLYMOUNT_SCHEDULER_LOAD_LOG_HPP

#include "dragonflymount/runtime.hpp"

#include <array>

namespace dragonflymount::scheduler_program {

/// \brief Kinds of work of the event loop. \c other is all that no scope
/// measures: reading and writing of connections, the replica, and waiting.
enum class work : std::uint8_t {
    other,
    decoding,
    reports,
    calls,
    batches,
    outcomes,
    ticks,
    vm_orders,
};

inline constexpr std::size_t work_kinds = 8;

/// \brief Connections of the endpoints, counted since the start.
struct connection_counts {
    std::uint64_t open = 0;
    std::uint64_t accepted = 0;
    /// Replies that were not sent because the connection was gone.
    std::uint64_t undelivered = 0;
};

/// \brief Divides the time of the event loop among kinds of work.
class load_log {
public:
    /// \brief Measures the time until its end as one kind of work. A scope
    /// inside another one interrupts it.
    class scope {
    public:
        scope(load_log& log, work kind) : log_(log), outer_(log.enter(kind)) {
            ++log_.counts_[static_cast<std::size_t>(kind)];
        }
        ~scope() { log_.enter(outer_); }
        scope(const scope&) = delete;
        scope& operator=(const scope&) = delete;

    private:
        load_log& log_;
        work outer_;
    };

    /// \brief Records by how much a report was older at its arrival than the
    /// fastest one of its endpoint.
    void note_report_delay(duration delay);
    /// \brief Logs the time since the last line, once in a second.
    /// \param turns the time spent by the replica since the start.
    void write(const connection_counts& connections, duration turns,
        std::size_t startable, instant now);

private:
    work enter(work kind);

    std::array<duration, work_kinds> spent_{};
    std::array<std::uint64_t, work_kinds> counts_{};
    work current_ = work::other;
    instant since_{};
    instant last_line_{};
    duration turns_{};
    connection_counts connections_;
    duration longest_delay_{};
    duration total_delay_{};
    std::int64_t delays_ = 0;
};

} // namespace dragonflymount::scheduler_program

#endif
