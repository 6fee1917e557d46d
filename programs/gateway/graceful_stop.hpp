// Ends a gateway within its grace period without leaving a call unanswered.
//
// Callers may use an open connection until the process is gone. So calls are
// forwarded for most of the grace period; what has no reply from the leader by
// then is refused, and the process exits once the refusals are written.
#ifndef DRAGONFLYMOUNT_GATEWAY_GRACEFUL_STOP_HPP
#define DRAGONFLYMOUNT_GATEWAY_GRACEFUL_STOP_HPP

#include "programs/gateway/leader_client.hpp"

#include <concepts>
#include <functional>

namespace dragonflymount::gateway_program {

/// The balancer checks readiness each second and stops sending new connections
/// to a gateway after two failed checks.
inline constexpr duration balancer_detection_time =
    std::chrono::milliseconds(2500);
/// Part of the grace period in which calls are only refused.
inline constexpr duration refusal_time = std::chrono::milliseconds(600);
/// Part of the grace period that is reserved for the exit of the process.
inline constexpr duration exit_time = std::chrono::milliseconds(300);

/// \brief A server of callers that can ask them to go elsewhere.
template <class Face>
concept drainable = requires(Face& face, const Face& observed) {
    {face.drain()};
    { observed.open_calls() } -> std::convertible_to<std::size_t>;
    { observed.connections() } -> std::convertible_to<std::size_t>;
};

/// \brief Stops the process when no calls or connections are open and the
/// balancer has had time to detect the drain, or when the grace period is
/// nearly over and all calls have been answered.
template <drainable Face>
class graceful_stop {
public:
    /// \param limit the grace period, at least one second.
    /// \param stop called once; ends the process.
    graceful_stop(asio::io_context& context, Face& face, leader_client& leader,
        duration limit, std::function<void()> stop)
        : face_(face), leader_(leader), limit_(limit), stop_(std::move(stop)),
          timer_(context, check_interval, [this] { check(); }) {}

    void begin() {
        begun_ = runtime::system_clock::now();
        face_.drain();
        leader_.end_calls_at(begun_ + limit_ - refusal_time);
        timer_.start();
    }

private:
    static constexpr duration check_interval = std::chrono::milliseconds(100);

    void check() {
        const duration passed = runtime::system_clock::now() - begun_;
        const bool has_calls = face_.open_calls() > 0;
        const bool is_unused = !has_calls && face_.connections() == 0 &&
            passed >= balancer_detection_time;
        const bool has_answered_all =
            !has_calls && passed >= limit_ - refusal_time;
        // A caller that doesn't read its reply keeps its call open.
        const bool is_overdue = passed >= limit_ - exit_time;
        if (is_unused || has_answered_all || is_overdue) {
            timer_.stop();
            stop_();
        }
    }

    Face& face_;
    leader_client& leader_;
    duration limit_;
    std::function<void()> stop_;
    runtime::repeating_timer timer_;
    instant begun_{};
};

} // namespace dragonflymount::gateway_program

#endif
