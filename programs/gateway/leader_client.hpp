// Finds the scheduler's leader and has calls answered by it.
//
// One connection at a time: to the replica that is believed to lead. A
// replica that doesn't lead says who does. A call whose answer doesn't come
// is sent again to the next replica; calls are idempotent by their job's id.
#ifndef DRAGONFLYMOUNT_GATEWAY_LEADER_CLIENT_HPP
#define DRAGONFLYMOUNT_GATEWAY_LEADER_CLIENT_HPP

#include "dragonflymount/runtime.hpp"

#include <map>

namespace dragonflymount::gateway_program {

/// \brief Why a call has no reply.
enum class call_failure : std::uint8_t {
    /// It was never sent: nothing has happened, and nothing will.
    not_sent,
    /// It was sent, so it may have taken effect.
    unanswered,
};

struct leader_client_settings {
    /// "IP:port" of replicas to begin with.
    std::vector<std::string> replicas;
    runtime::connection_options connections;
    /// A call without an answer for this long goes to the next replica.
    duration answer_timeout = std::chrono::milliseconds(900);
    /// A call that couldn't be sent for this long fails: an election takes
    /// less.
    duration unsent_limit = std::chrono::milliseconds(800);
    /// How often a leader is looked for after a call has failed.
    duration probe_interval = std::chrono::milliseconds(300);
};

class leader_client {
public:
    using reply_handler = std::function<void(wire::JobReplyT&&)>;
    using failure_handler = std::function<void(call_failure)>;

    leader_client(asio::io_context& context, leader_client_settings settings);

    std::string name() const { return "leader_client"; }
    result<done> start();
    void stop();

    /// \param limit how long the caller waits at most.
    void call(wire::JobCallT call, duration limit, reply_handler on_reply,
        failure_handler on_failure);
    /// \brief Takes further replicas to ask for the leader.
    void add_replicas(const std::vector<std::string>& addresses);
    std::size_t pending() const { return pending_.size(); }
    /// \returns whether a leader has answered since the last call that failed.
    /// While none has, probes are sent.
    bool reaches_leader() const { return reaches_leader_; }
    /// \returns the replica that calls are sent to.
    const std::string& target() const { return target_; }

private:
    struct pending_call {
        wire::message content;
        reply_handler on_reply;
        failure_handler on_failure;
        instant started_at{};
        instant deadline{};
        // A call that has never been sent by then fails.
        instant unsent_deadline{};
        instant sent_at{};
        // Sent to the present target, which hasn't answered yet.
        bool sent = false;
        // An earlier target was sent the call and may have acted on it.
        bool maybe_executed = false;
    };

    void connect(const std::string& address);
    void connect_next();
    void receive(wire::message&& content);
    void redirect(pending_call& call, const wire::JobReplyT& reply);
    static call_failure failure_of(const pending_call& call);
    void send_pending();
    void send(pending_call& call);
    void check_calls();
    void record_answer();
    void record_failure(const pending_call& call, instant now);
    void probe();

    asio::io_context& context_;
    leader_client_settings settings_;
    std::vector<std::string> replicas_;
    std::string target_;
    std::unique_ptr<runtime::link> link_;
    // Links that were replaced; they end once their handlers have run.
    std::vector<std::unique_ptr<runtime::link>> replaced_links_;
    runtime::repeating_timer timer_;
    std::map<std::uint64_t, pending_call> pending_;
    std::uint64_t next_correlation_ = 1;
    instant connected_at_{};
    // When the next replica may be tried; replicas without a leader are not
    // asked in a tight loop.
    instant next_attempt_{};
    // The target said that it doesn't lead.
    bool redirected_ = false;
    // At the start nothing is known, and the first probe tells.
    bool reaches_leader_ = false;
    instant next_probe_{};
    instant leader_lost_at_{};
};

} // namespace dragonflymount::gateway_program

#endif
