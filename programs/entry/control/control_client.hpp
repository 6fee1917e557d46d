// The entry's links to the control replicas.
//
// A beat goes to all replicas, and only the leader answers it, so a change of
// leader costs one beat and no search. The replica that answered last gets the
// zone's whole report and the proposals; the others get a short beat.
#ifndef DRAGONFLYMOUNT_ENTRY_CONTROL_CONTROL_CLIENT_HPP
#define DRAGONFLYMOUNT_ENTRY_CONTROL_CONTROL_CLIENT_HPP

#include "dragonflymount/runtime.hpp"

#include <map>

namespace dragonflymount::entry_program {

class control_client {
public:
    using beat_builder = std::function<wire::EntryBeatT()>;
    /// Takes a lease, and when the beat that it answers was sent.
    using lease_handler =
        std::function<void(const wire::EntryLeaseT&, instant sent)>;
    using reply_handler = std::function<void(const wire::ProposeReplyT&)>;

    control_client(asio::io_context& context, std::vector<std::string> replicas,
        runtime::connection_options connections);

    void set_handlers(beat_builder build, lease_handler on_lease);

    std::string name() const { return "control"; }
    result<done> start();
    void stop();

    /// \brief Sends a beat now, ahead of the next one due.
    void beat();
    /// \param on_reply called exactly once, at the latest after
    /// \c proposal_timeout with the result "unavailable".
    void propose(bytes command, reply_handler on_reply);

    static constexpr duration beat_interval = std::chrono::milliseconds(500);
    static constexpr duration proposal_timeout = std::chrono::seconds(2);

private:
    struct proposal {
        reply_handler handler;
        instant deadline{};
    };

    void receive(const std::string& replica, wire::message&& content);
    void expire();

    asio::io_context& context_;
    std::vector<std::string> replicas_;
    runtime::connection_options connections_;
    std::map<std::string, std::unique_ptr<runtime::link>> links_;
    runtime::repeating_timer beat_timer_;
    runtime::repeating_timer expiry_timer_;
    beat_builder build_beat_;
    lease_handler on_lease_;
    std::string leader_;
    std::uint64_t correlation_ = 0;
    std::map<std::uint64_t, instant> beats_;
    std::map<std::uint64_t, proposal> proposals_;
};

} // namespace dragonflymount::entry_program

#endif
