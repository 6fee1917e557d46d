// The part of an entry that accepts requests from callers, sends them to the
// zone's coordinator and returns the answers.
//
// A request is accepted only while the entry's rules are fresh and its key
// belongs to a team. It is resent to the coordinator until an answer arrives,
// so that a newly appointed coordinator receives it too. Callers of the same
// request share one answer.
#ifndef DRAGONFLYMOUNT_ZONE_FACE_HPP
#define DRAGONFLYMOUNT_ZONE_FACE_HPP

#include "dragonflymount/rules.hpp"
#include "dragonflymount/wire.hpp"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace dragonflymount::zone {

/// \brief Identifies one call to an entry that awaits its reply.
using call_id = strong_number<struct call_tag>;

struct face_options {
    entry_id self;
    availability_zone_id zone;
    /// Interval at which an unanswered request is resent to the coordinator.
    duration resend_interval = std::chrono::seconds(1);
    /// How long the entry waits for an answer after the deadline of a request.
    /// The coordinator answers at the deadline itself.
    duration answer_grace = std::chrono::seconds(2);
    std::size_t max_waiting = 4096;
};

/// \brief A caller's request together with its key.
struct call {
    std::string key;
    wire::RequestT request;
    /// The caller doesn't wait for the answer but fetches it later.
    bool asynchronous = false;
};

/// Send the final answer to one caller.
struct reply_caller {
    call_id caller;
    wire::AnswerT answer;
};
/// Reply that the request is accepted; the caller fetches its answer later.
struct reply_pending {
    call_id caller;
};
/// Reject the call, because its key is unknown or withdrawn.
struct reject_key {
    call_id caller;
};
/// Send a message to the zone's current coordinator.
struct send_coordinator {
    wire::message content;
};

using face_action =
    std::variant<reply_caller, reply_pending, reject_key, send_coordinator>;

class face {
public:
    face(face_options options) : options_(std::move(options)) {}

    /// \brief Accepts a request, joins it to a pending one with the same id, or
    /// refuses it.
    void submit(call_id caller, call content, instant now);
    /// \brief Asks the coordinator for the answer to request \p id.
    void fetch(call_id caller, const std::string& key, const std::string& id,
        instant now);
    /// \brief Asks the coordinator to cancel request \p id, and fetches the
    /// answer.
    void cancel(call_id caller, const std::string& key, const std::string& id,
        instant now);

    /// \brief Passes the coordinator's answer to every caller of the request.
    void receive(const wire::AnswerT& answer, instant now);
    /// \brief Replies to asynchronous and fetching callers that the request has
    /// no answer yet.
    void receive(const wire::PendingT& pending, instant now);

    /// \brief Applies a lease from the leader: rules, withdrawn keys and how
    /// long the rules are fresh.
    /// \param sent when this entry sent the beat that the lease answers.
    void receive(const wire::EntryLeaseT& lease, instant sent, instant now);
    /// \brief Rejects the key with this digest from now on, without waiting for
    /// a lease that lists the withdrawal.
    void withdraw(const std::string& digest);

    void tick(instant now);
    /// \brief Resends all pending requests to the coordinator of a new epoch.
    void follow(zone_epoch epoch, instant now);
    /// \brief Resends all pending requests, for use after a reconnect.
    void resend_all(instant now);

    std::vector<face_action> take_actions();

    bool is_fresh(instant now) const { return now < fresh_until_; }
    rules_version version() const { return version_; }
    const rules::rule_set& rules() const { return rules_; }
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t withdrawals() const { return withdrawn_.size(); }

private:
    struct pending_request {
        wire::RequestT request;
        instant deadline{};
        instant next_send{};
        std::set<call_id> callers;
        bool asynchronous = false;
        bool is_fetch = false;
        // The epoch of the first coordinator that the request was sent to.
        zone_epoch first_epoch;
    };

    std::optional<team_id> admit(const std::string& key) const;
    void refuse(call_id caller, const wire::RequestT& request,
        std::string reason, duration retry_after);
    void send_request(pending_request& pending, instant now);
    template <class Content>
    void send(Content content);

    face_options options_;
    rules_version version_;
    rules::rule_set rules_;
    std::set<std::string> withdrawn_;
    instant fresh_until_{};
    zone_epoch coordinator_epoch_;
    std::map<request_key, pending_request> waiting_;
    std::vector<face_action> actions_;
};

} // namespace dragonflymount::zone

#endif
