// A stand-in for the platform's endpoint on one VM.
//
// It speaks the protocol of docs/PLATFORM.md and "runs" tasks by waiting.
// The body of a request says what to do: "run=50ms size=1000" takes 50 ms
// and gives 1000 bytes back; "fail" ends with a failure.
#ifndef DRAGONFLYMOUNT_WORKER_ENDPOINT_HPP
#define DRAGONFLYMOUNT_WORKER_ENDPOINT_HPP

#include "dragonflymount/runtime.hpp"
#include "programs/worker/script/answer.hpp"

#include <fstream>
#include <map>
#include <set>

namespace dragonflymount::worker_program {

struct endpoint_settings {
    vm_id vm;
    availability_zone_id zone;
    rack_id rack;
    std::uint16_t slots = 8;
    std::uint16_t connections = 64;
    std::vector<std::string> entries;
    /// One line per started task: what the load tool counts doubles by.
    std::string journal;
    /// How long a restart of the VM takes.
    duration reboot_time = std::chrono::seconds(2);
    runtime::connection_options links;
};

class endpoint {
public:
    endpoint(asio::io_context& context, endpoint_settings settings);

    std::string name() const { return settings_.vm.str(); }
    result<done> start();
    void stop();
    /// \brief Announces that it is leaving; \p on_idle is called when its
    /// last task has ended.
    void leave(std::function<void()> on_idle);

private:
    struct running_task {
        wire::TaskReportT report;
        wire::TaskEndedT ended;
        instant started{};
        instant ends{};
        instant lease_end{};
        std::string body;
    };

    void announce(const std::string& entry);
    void announce_all();
    void receive(const std::string& entry, wire::message&& content);
    void receive(const std::string& entry, const wire::AnnounceReplyT& reply);
    void receive(const std::string& entry, const wire::StartTaskT& start);
    void receive(const std::string& entry, const wire::QueryTaskT& query);
    void receive(const wire::RenewTasksT& renewal);
    void receive(const wire::StopTaskT& stop);
    void receive(const wire::ConfirmTasksT& confirmation);
    void receive(const wire::RebootT& order);
    void open_links();
    void go_down();
    void come_back();
    std::string refusal_of(const wire::StartTaskT& start) const;
    void tick();
    void end(running_task& task, bool ok, std::string reason);
    void send_ended(const running_task& task);
    std::size_t count_running() const;

    asio::io_context& context_;
    endpoint_settings settings_;
    runtime::repeating_timer tick_timer_;
    runtime::repeating_timer announce_timer_;
    asio::steady_timer reboot_timer_;
    bool rebooting_ = false;
    std::map<std::string, std::unique_ptr<runtime::link>> links_;
    std::ofstream journal_;
    std::uint64_t incarnation_;
    std::string pool_;
    std::uint64_t assignment_epoch_ = 0;
    // Invariant: never goes back; orders of lower epochs are refused.
    std::uint64_t zone_epoch_ = 0;
    std::string coordinator_;
    std::map<std::uint64_t, running_task> tasks_;
    // Tasks that were denied; a late start of one must not run.
    std::set<std::uint64_t> denied_;
    // Tasks that ended and were confirmed, until no start of one can be valid
    // any more; a late copy of its start must not run.
    std::map<std::uint64_t, instant> confirmed_;
    bool leaving_ = false;
    std::function<void()> on_idle_;
};

} // namespace dragonflymount::worker_program

#endif
