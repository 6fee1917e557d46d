// What every program of the system does at start and at its end.
#ifndef DRAGONFLYMOUNT_RUNTIME_PROCESS_HPP
#define DRAGONFLYMOUNT_RUNTIME_PROCESS_HPP

#include "dragonflymount/settings.hpp"
#include "dragonflymount/src/Runtime/Supervisor.hpp"

namespace dragonflymount::runtime {

/// Exit statuses shared by all programs.
inline constexpr int status_ok = 0;
inline constexpr int status_failed = 1;
inline constexpr int status_usage = 2;

/// \brief Parses flags, starts the log and reads the file of --config.
/// \returns the checked settings; on an error it logs and prints what is wrong
/// and exits with \c status_usage.
settings::values begin_process(
    int argc, char** argv, const settings::schema& expected);

/// \brief Calls \p action every \p interval until stopped, which the action may
/// do itself.
class repeating_timer {
public:
    repeating_timer(asio::io_context& context, duration interval,
        std::function<void()> action)
        : timer_(context), interval_(interval), action_(std::move(action)) {}

    void start();
    void stop();

private:
    void schedule();

    asio::steady_timer timer_;
    duration interval_;
    std::function<void()> action_;
    bool running_ = false;
};

/// \brief Calls \p stop once, at SIGTERM or SIGINT.
class stop_signal {
public:
    stop_signal(asio::io_context& context, std::function<void()> stop);

private:
    asio::signal_set signals_;
};

/// \brief Reads the settings file again at SIGHUP, and when its content has
/// changed. A file with errors changes nothing; the error is logged.
class reload_signal {
public:
    using apply_handler = std::function<std::string(const settings::values&)>;

    /// \param apply puts in force what may change in a running process, and
    /// names it; the rest counts from the next start.
    reload_signal(asio::io_context& context, settings::schema expected,
        apply_handler apply);

private:
    void wait();
    void check_file();
    void reload();

    asio::signal_set signals_;
    settings::schema expected_;
    apply_handler apply_;
    repeating_timer timer_;
    // The content of the file when it was last read.
    std::string content_;
};

/// \brief Starts \p root; on a failure it logs and prints what is wrong.
/// \returns whether all children have started.
bool start(supervisor& root);

/// \brief Starts \p root, runs it until SIGTERM or SIGINT, and stops it.
/// \returns the exit status.
int run_until_signal(asio::io_context& context, supervisor& root);

} // namespace dragonflymount::runtime

#endif
