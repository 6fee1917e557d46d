// An entry's face to callers: which requests it takes, and what it answers.
//
// A request is taken only while the entry's rules are fresh and its key
// admits a team. It then goes to the zone's coordinator, again and again
// until the coordinator answers, so that a new coordinator hears of it too.
// Callers of the same request share one answer.
#ifndef DRAGONFLYMOUNT_ZONE_FACE_HPP
#define DRAGONFLYMOUNT_ZONE_FACE_HPP

#include "dragonflymount/rules.hpp"
#include "dragonflymount/wire.hpp"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace dragonflymount::zone {

/// \brief Names one waiting caller of an entry.
using call_id = strong_number<struct call_tag>;

struct face_options {
    entry_id self;
    availability_zone_id zone;
    /// A request without an answer is sent to the coordinator again.
    duration resend_interval = std::chrono::seconds(1);
    /// How long after its deadline a request may still be answered; the
    /// coordinator answers at the deadline itself.
    duration answer_grace = std::chrono::seconds(2);
    std::size_t max_waiting = 4096;
};

/// \brief What a caller asks for.
struct call {
    std::string key;
    wire::RequestT request;
    /// The caller does not wait but comes back for the answer.
    bool asynchronous = false;
};

/// The final answer to one caller.
struct reply_caller {
    call_id caller;
    wire::AnswerT answer;
};
/// The request is accepted; the caller comes back for its answer.
struct reply_pending {
    call_id caller;
};
/// The key admits nobody.
struct reject_key {
    call_id caller;
};
/// To the coordinator of the zone, wherever it is.
struct send_coordinator {
    wire::message content;
};

using face_action =
    std::variant<reply_caller, reply_pending, reject_key, send_coordinator>;

class face {
public:
    face(face_options options) : options_(std::move(options)) {}

    void submit(call_id caller, call content, instant now);
    void fetch(call_id caller, const std::string& key, const std::string& id,
        instant now);
    void cancel(call_id caller, const std::string& key, const std::string& id,
        instant now);

    /// \brief Takes the coordinator's word on a request.
    void receive(const wire::AnswerT& answer, instant now);
    void receive(const wire::PendingT& pending, instant now);

    /// \brief Takes a lease from the leader.
    /// \param sent when the beat that it answers was sent.
    void receive(const wire::EntryLeaseT& lease, instant sent, instant now);
    /// \brief Applies a withdrawal at once, ahead of the log.
    void withdraw(const std::string& digest);

    void tick(instant now);
    /// \brief Sends all that waits to the coordinator of a new epoch.
    void follow(zone_epoch epoch, instant now);
    /// \brief Sends all that waits again, over a new connection.
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
        // The coordinator that was sent the request first.
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
