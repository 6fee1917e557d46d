// A worker as the platform's protocol describes it: it sends heartbeats, takes
// orders from the replies, runs tasks and lists their ends.
#ifndef DRAGONFLYMOUNT_REVIEW_WORKER_HPP
#define DRAGONFLYMOUNT_REVIEW_WORKER_HPP

#include "deployment.hpp"

#include <map>

namespace review {

/// \brief One run of a task, as the worker saw it. Times are milliseconds since
/// the start of the case.
struct seen_run {
    std::string worker;
    std::string task;
    std::uint32_t run = 0;
    std::int64_t began = 0;
    /// -1 while it runs.
    std::int64_t ended = -1;
    std::string how;
    /// Number of its end in the list of ends.
    std::uint64_t number = 0;
    /// Whether an acknowledgement has covered that number.
    bool acknowledged = false;
};

/// \brief What all workers of a case have seen.
class run_log {
public:
    std::size_t add(seen_run run);
    void end(std::size_t place, std::int64_t when, const std::string& how,
        std::uint64_t number);
    void acknowledge(std::size_t place);
    std::vector<seen_run> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<seen_run> runs_;
};

/// \brief One life of a worker. A task's spec is the time that it works, in
/// milliseconds.
class worker {
public:
    worker(record& log, run_log& runs, std::string id, std::string machine,
        std::string address, std::vector<std::string> controls);
    ~worker() { stop(); }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void start();
    /// \brief Ends the process; its runs end with it.
    void stop();
    /// \brief Ends all runs and heartbeats at once; what has been sent before
    /// still arrives.
    void lose_machine();
    /// \brief Sets how long a report is on its way to the core.
    void set_travel_time(std::chrono::microseconds time) { travel_ = time; }
    /// \brief Ends a run as done, whatever its spec says.
    /// \returns the number of the end, 0 if the task doesn't run here.
    std::uint64_t end_task(const std::string& name);
    /// \returns the highest number of an end in a report that was sent.
    std::uint64_t sent_end() const { return sent_end_; }
    bool runs(const std::string& name) const;
    const std::string& machine() const { return machine_; }
    /// \returns the number of tasks at work.
    std::size_t running() const;
    /// \returns how many replies were used and how many were not.
    std::string summary() const;
    /// \returns the control node that answered last.
    std::string leader() const;

private:
    struct task {
        std::uint32_t run = 0;
        std::int64_t ends_at = 0;
        std::int64_t began = 0;
        std::size_t place = 0;
    };
    struct end_entry {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
        std::size_t place = 0;
    };

    void loop();
    void finish_due();
    void finish(std::map<std::string, task>::iterator found,
        const std::string& how, std::int64_t when);
    nlohmann::json report();
    bool send_report(std::int64_t& next);
    void apply(const nlohmann::json& orders, std::int64_t sent);
    void begin(const nlohmann::json& order);

    record& log_;
    run_log& runs_;
    std::string id_;
    std::string machine_;
    std::string address_;
    std::vector<std::string> controls_;
    std::uint64_t born_ = 0;
    std::atomic<bool> stopped_{false};
    std::chrono::microseconds travel_{0};
    std::atomic<std::uint64_t> sent_end_{0};
    mutable std::mutex mutex_;
    std::map<std::string, task> running_;
    std::map<std::string, std::uint32_t> highest_ended_;
    std::vector<end_entry> ends_;
    std::uint64_t last_end_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t fence_ = 0;
    std::int64_t lease_ends_ = 0;
    std::int64_t last_ended_at_ = -1;
    std::size_t replies_used_ = 0;
    std::size_t replies_too_long_ = 0;
    std::size_t longest_reply_ = 0;
    std::size_t next_control_ = 0;
    std::string leader_;
    std::thread thread_;
};

} // namespace review

#endif
