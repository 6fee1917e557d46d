// Starting, restarting and stopping of a process's children.
#include "dragonflymount/src/Runtime/Supervisor.hpp"

#include <algorithm>

namespace dragonflymount::runtime {
result<done> supervisor::start() {
    for (child_entry& child : children_) {
        result<done> status = start_child(child);
        if (!status) {
            stop();
            return status;
        }
        child.running = true;
    }
    LOG(INFO) << event::process_started << "process=" << process_;
    return done{};
}

int supervisor::run() {
    while (!stopped_) {
        try {
            context_.run();
            break;
        } catch (const std::exception& error) {
            // A handler doesn't say whose it was: all children start anew.
            LOG(ERROR) << event::child_failed << "process=" << process_
                       << " error=" << error.what();
            if (!spend_restart()) {
                break;
            }
            restart_all();
        }
    }
    LOG(INFO) << event::process_stopped << "process=" << process_;
    return exit_status_;
}

void supervisor::stop() {
    stopped_ = true;
    for (auto child = children_.rbegin(); child != children_.rend(); ++child) {
        if (child->running) {
            child->stop();
            child->running = false;
        }
    }
    context_.stop();
}

void supervisor::report_failure(
    const std::string& child, const failure& error) {
    LOG(ERROR) << event::child_failed << "child=" << child
               << " error=" << error.message();
    if (stopped_ || !spend_restart()) {
        return;
    }
    const auto found = std::find_if(children_.begin(), children_.end(),
        [&](const child_entry& entry) { return entry.name == child; });
    if (found != children_.end()) {
        restart(*found);
    }
}

bool supervisor::spend_restart() {
    const instant now = system_clock::now();
    while (!restarts_.empty() && now - restarts_.front() > budget_.window) {
        restarts_.pop_front();
    }
    restarts_.push_back(now);
    if (restarts_.size() <= budget_.restarts) {
        return true;
    }
    LOG(ERROR) << event::restart_budget_spent << "process=" << process_
               << " restarts=" << budget_.restarts;
    exit_status_ = status_budget_spent;
    stop();
    return false;
}

void supervisor::restart_all() {
    for (child_entry& child : children_) {
        // A child that fails to start can spend the rest of the budget.
        if (stopped_) {
            return;
        }
        restart(child);
    }
}

result<done> supervisor::start_child(child_entry& child) {
    try {
        return child.start();
    } catch (const std::exception& error) {
        return failure{make_error_code(errc::unavailable), "start child",
            child.name, error.what()};
    }
}

void supervisor::restart(child_entry& child) {
    if (child.running) {
        child.stop();
        child.running = false;
    }
    const result<done> status = start_child(child);
    if (!status) {
        report_failure(child.name, status.error());
        return;
    }
    child.running = true;
    LOG(WARNING) << event::child_restarted << "child=" << child.name;
}

} // namespace dragonflymount::runtime
