// A process as a supervisor and its children.
//
// A child that fails is stopped and started again, within a budget of
// restarts in a window of time; past the budget the whole process stops
// cleanly, so that whatever watches it from outside can take over.
#ifndef DRAGONFLYMOUNT_RUNTIME_SUPERVISOR_HPP
#define DRAGONFLYMOUNT_RUNTIME_SUPERVISOR_HPP

#include "dragonflymount/src/Runtime/Clock.hpp"

#include <asio.hpp>
#include <glog/logging.h>

#include <concepts>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace dragonflymount::runtime {

/// \brief A part of a process that can be started and stopped again.
template <class Child>
concept supervised = requires(Child& child) {
    { child.name() } -> std::convertible_to<std::string>;
    { child.start() } -> std::same_as<result<done>>;
    {child.stop()};
};

/// Exit status of a process whose children failed too often.
inline constexpr int status_budget_spent = 3;

struct restart_budget {
    std::size_t restarts = 5;
    duration window = std::chrono::minutes(1);
};

class supervisor {
public:
    supervisor(
        asio::io_context& context, std::string process, restart_budget budget)
        : context_(context), process_(std::move(process)), budget_(budget) {}

    /// \brief Adds a child; children start in the order they were added.
    template <supervised Child>
    void add(Child& child) {
        children_.push_back({child.name(), [&child] { return child.start(); },
            [&child] { child.stop(); }});
    }

    /// \returns the first failure; children that had started are stopped.
    result<done> start();
    /// \brief Runs until \c stop, restarting children that fail.
    /// \returns the process's exit status.
    int run();
    /// \brief Stops all children, the last started first.
    void stop();
    /// \brief Restarts \p child, if the budget allows.
    void report_failure(const std::string& child, const failure& error);

private:
    struct child_entry {
        std::string name;
        std::function<result<done>()> start;
        std::function<void()> stop;
        bool running = false;
    };

    static result<done> start_child(child_entry& child);
    void restart(child_entry& child);
    void restart_all();
    bool spend_restart();

    asio::io_context& context_;
    std::string process_;
    restart_budget budget_;
    std::vector<child_entry> children_;
    std::deque<instant> restarts_;
    int exit_status_ = 0;
    bool stopped_ = false;
};

} // namespace dragonflymount::runtime

#endif
