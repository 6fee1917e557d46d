// Finds the leader of the scheduler replicas and sends calls to it.
//
// The client has one connection, to the replica that it assumes to lead. A
// replica that doesn't lead replies with the leader's address if it knows it. A
// call without a timely reply is sent again to the next replica. This is safe
// because calls are idempotent by their job's id.
//
// The client tries the members of the group, which the leader names, and the
// replicas of the settings. Either list may be out of date: members may have
// been replaced, and the settings may have been written before that.
#ifndef DRAGONFLYMOUNT_GATEWAY_LEADER_CLIENT_HPP
#define DRAGONFLYMOUNT_GATEWAY_LEADER_CLIENT_HPP

#include "dragonflymount/runtime.hpp"

#include <map>
#include <set>

namespace dragonflymount::gateway_program {

/// \brief Why a call failed without a reply.
enum class call_failure : std::uint8_t {
    /// No replica has executed the call or will execute it: it was never sent,
    /// or only to replicas that refused it because they didn't lead.
    not_sent,
    /// The call was sent and may have been executed.
    unanswered,
};

struct leader_client_settings {
    /// "IP:port" of the replicas that are tried first; may be empty while none
    /// is known.
    std::vector<std::string> replicas;
    runtime::connection_options connections;
    /// A call without a reply for this long is sent to the next replica. The
    /// time begins anew while the call is still being carried there.
    duration answer_timeout = std::chrono::milliseconds(900);
    /// A call fails if it could not be sent to a leader for this long. Longer
    /// than an election takes.
    duration unsent_limit = std::chrono::milliseconds(800);
    /// Interval between probes while no leader is known to be reachable.
    duration probe_interval = std::chrono::milliseconds(300);
    /// Bytes of all calls that wait for their reply, as they are sent. Beyond
    /// it calls fail at once, the large ones first. Less than a connection
    /// queues, so that one can take all of them.
    std::uint64_t call_memory = 32U << 20U;
};

class leader_client {
public:
    using reply_handler = std::function<void(wire::JobReplyT&&)>;
    using failure_handler = std::function<void(call_failure)>;

    leader_client(asio::io_context& context, leader_client_settings settings);

    std::string name() const { return "leader_client"; }
    result<done> start();
    void stop();

    /// \brief Sends a call to the leader. Calls exactly one of the handlers.
    /// \param limit maximum time until the call fails.
    /// \param on_reply called with the leader's reply.
    /// \param on_failure called with the reason if no reply came in time or
    /// the client was stopped.
    void call(wire::JobCallT call, duration limit, reply_handler on_reply,
        failure_handler on_failure);
    /// \brief Ends all calls by \p last: those that have no reply by then fail,
    /// and so does each later one at once.
    void end_calls_at(instant last);
    /// \brief Replaces the replicas of the settings, unless there is none.
    /// \param addresses "IP:port" each.
    void set_seeds(std::vector<std::string> addresses);
    /// \returns the replicas among which the leader is looked for.
    const std::vector<std::string>& replicas() const { return replicas_; }
    std::size_t pending() const { return pending_.size(); }
    /// \returns whether a leader has replied since a call last failed after
    /// unsent_limit or more. While this is false, the client sends probes.
    bool reaches_leader() const { return reaches_leader_; }
    /// \returns the address of the replica to which calls are sent.
    const std::string& target() const { return target_; }

private:
    struct pending_call {
        // Encoded: a call takes up many times as much when it is decoded.
        std::shared_ptr<const bytes> frame;
        reply_handler on_reply;
        failure_handler on_failure;
        instant started_at{};
        instant deadline{};
        // The call fails at this time if no replica may have executed it.
        instant unsent_deadline{};
        // Its end among the bytes that the link has been given.
        std::uint64_t last_byte = 0;
        // When it was sent, or was last seen on its way and advancing.
        instant waits_since{};
        // The call was sent to the current target, which hasn't replied yet.
        bool sent = false;
        // A replica received the call earlier and may have executed it.
        bool maybe_executed = false;
    };

    void connect(const std::string& address);
    void connect_next();
    void learn_members(const std::vector<std::string>& members);
    void list_replicas();
    void note_attempt();
    void report_search(instant now);
    void receive(wire::message&& content);
    void redirect(pending_call& call, const wire::JobReplyT& reply);
    static call_failure failure_of(const pending_call& call);
    pending_call remove(std::uint64_t correlation);
    void send_pending();
    void send(pending_call& call);
    void note_deliveries(instant now);
    void check_calls();
    void record_answer();
    void record_failure(const pending_call& call, instant now);
    void probe();

    asio::io_context& context_;
    leader_client_settings settings_;
    // As the newest reply that names members has them.
    std::vector<std::string> members_;
    // Invariant: the members, then those replicas of the settings that aren't
    // members.
    std::vector<std::string> replicas_;
    std::string target_;
    // The leader's address as the target has named it, empty if it hasn't.
    std::string named_leader_;
    // Replicas that answered nothing since the list was begun or the last
    // answer of a leader. They aren't followed as the leader that another one
    // names: that one may not know yet that it is gone.
    std::set<std::string> unanswered_;
    // What became of the newest attempt at each replica.
    std::map<std::string, const char*> attempts_;
    std::unique_ptr<runtime::link> link_;
    // Replaced links. They are destroyed in check_calls(), not in connect(),
    // which may run inside one of their handlers.
    std::vector<std::unique_ptr<runtime::link>> replaced_links_;
    runtime::repeating_timer timer_;
    std::map<std::uint64_t, pending_call> pending_;
    // Invariant: the sum of the frames' sizes over pending_.
    std::uint64_t pending_bytes_ = 0;
    // Bytes of the link that had arrived at the last check.
    std::uint64_t delivered_ = 0;
    std::uint64_t next_correlation_ = 1;
    instant connected_at_{};
    // Earliest time of the next connection attempt. Prevents a tight loop over
    // replicas while there is no leader.
    instant next_attempt_{};
    // The target replied that it isn't the leader, or that its leadership ended
    // during the call.
    bool redirected_ = false;
    // False until the first probe or call is answered.
    bool reaches_leader_ = false;
    instant next_probe_{};
    instant next_report_{};
    instant leader_lost_at_{};
    // No call is open after this time.
    instant last_reply_ = instant::max();
};

} // namespace dragonflymount::gateway_program

#endif
