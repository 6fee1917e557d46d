// The decision cores of one entry, and the carrying out of their actions.
//
// Every entry has a face; one entry of each zone also has the coordinator.
// The face's messages go to the coordinator in this process, or over a link
// to the entry that has it.
#ifndef DRAGONFLYMOUNT_ENTRY_COORDINATION_NODE_HPP
#define DRAGONFLYMOUNT_ENTRY_COORDINATION_NODE_HPP

#include "dragonflymount/runtime.hpp"
#include "dragonflymount/src/Runtime/Metrics.hpp"
#include "dragonflymount/zone.hpp"
#include "programs/entry/control/control_client.hpp"

namespace dragonflymount::entry_program {

struct node_settings {
    entry_id self;
    availability_zone_id zone;
    std::string address;
    zone::coordinator_options coordinator;
    runtime::connection_options connections;
    /// At a stop, how long to wait for what is under way.
    duration drain_limit = std::chrono::minutes(2);
};

/// \brief What an HTTP thread is told.
struct call_result {
    enum class kind : std::uint8_t { answer, pending, rejected };
    kind type = kind::answer;
    wire::AnswerT answer;
};

class node {
public:
    using call_handler = std::function<void(call_result)>;

    node(asio::io_context& context, node_settings settings,
        control_client& control);

    std::string name() const { return "coordination"; }
    result<done> start();
    void stop();

    // From callers, on the thread of the event loop.
    void submit(zone::call content, call_handler on_result);
    void fetch(
        const std::string& key, const std::string& id, call_handler on_result);
    void cancel(
        const std::string& key, const std::string& id, call_handler on_result);

    // From other processes.
    void receive(
        const runtime::connection::pointer& from, wire::message&& content);
    void disconnect(const runtime::connection::pointer& closed);

    /// \brief Takes no new work; \p on_drained is called when nothing is
    /// under way here any more.
    void drain(std::function<void()> on_drained);

    void set_address(std::string address) {
        settings_.address = std::move(address);
    }
    bool is_coordinator() const { return coordinator_ != nullptr; }
    std::string describe() const;
    std::string metrics() const;

private:
    struct waiting_call {
        call_handler handler;
        instant begin{};
    };

    zone::call_id add_call(call_handler handler);
    void log_outcome(const wire::AnswerT& answer) const;
    void finish_call(zone::call_id caller, call_result result);
    void tick();
    void run_actions();
    void run(zone::face_action& action);
    void run(zone::coordinator_action& action);
    void send_to_coordinator(wire::message&& content);
    void send_to_zone(
        const availability_zone_id& zone, const wire::message& content);
    void receive_for_coordinator(
        zone::origin_id origin, const wire::message& content);
    void log_announce(const wire::AnnounceT& announce);
    void receive_endpoint(
        const runtime::connection::pointer& from, const wire::message& content);
    /// Withdraws a key here at once, ahead of the log.
    void withdraw(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::WithdrawT& withdrawal);
    void receive_lease(const wire::EntryLeaseT& lease, instant sent);
    void follow_coordinator(const wire::EntryLeaseT& lease);
    wire::EntryBeatT build_beat() const;
    void check_drained();

    asio::io_context& context_;
    node_settings settings_;
    control_client& control_;
    runtime::repeating_timer timer_;
    zone::face face_;
    std::unique_ptr<zone::coordinator> coordinator_;
    // The entry that coordinates this zone, when it isn't this one.
    std::unique_ptr<runtime::link> coordinator_link_;
    zone_epoch coordinator_epoch_;
    // Where each zone's coordinator listens, and the links opened so far.
    struct zone_link {
        std::string address;
        std::unique_ptr<runtime::link> link;
    };
    std::map<availability_zone_id, std::string> routes_;
    std::map<availability_zone_id, zone_link> zone_links_;
    std::map<zone::call_id, waiting_call> calls_;
    std::uint64_t next_call_ = 1;
    std::map<vm_id, runtime::connection::pointer> endpoints_;
    std::map<std::uint64_t, vm_id> endpoint_names_;
    // Endpoints that said so; each is logged once.
    std::set<vm_id> leaving_;
    std::map<zone::origin_id, runtime::connection::pointer> origins_;
    std::function<void()> on_drained_;
    instant drain_deadline_{};
    std::uint64_t incarnation_;
    std::map<wire::outcome, std::uint64_t> outcomes_;
    runtime::time_summary call_times_;
    // Whether the freshness lease held at the last tick.
    bool was_fresh_ = false;
};

} // namespace dragonflymount::entry_program

#endif
