// The coordinator of an availability zone: places its requests.
//
// One entry of each zone is the coordinator, appointed through the log under
// an epoch that fences earlier ones at the endpoints. A new coordinator first
// recovers: it counts the tasks that endpoints report, and starts nothing
// until every endpoint has accepted its epoch or the task leases of those
// that have not must have run out.
#ifndef DRAGONFLYMOUNT_ZONE_COORDINATOR_HPP
#define DRAGONFLYMOUNT_ZONE_COORDINATOR_HPP

#include "dragonflymount/policy.hpp"
#include "dragonflymount/rules.hpp"
#include "dragonflymount/src/Zone/Endpoints.hpp"
#include "dragonflymount/src/Zone/Grants.hpp"

#include <deque>
#include <variant>

namespace dragonflymount::zone {

/// \brief Names the entry connection that a request came from.
using origin_id = strong_number<struct origin_tag>;

struct coordinator_options {
    entry_id self;
    availability_zone_id zone;
    /// A task ends by itself when its lease isn't renewed for this long.
    duration task_lease = std::chrono::seconds(15);
    duration renew_interval = std::chrono::seconds(2);
    /// How long a final answer can be fetched.
    duration answer_retention = std::chrono::minutes(10);
    /// How long an endpoint keeps an answer that was passed on, for the next
    /// coordinator.
    duration confirm_delay = std::chrono::seconds(30);
    /// Claims wait this long for others, to share one record of the log.
    duration claim_delay = std::chrono::milliseconds(2);
    std::size_t max_claims_per_batch = 256;
    policy::dispatcher_options policy;
};

/// To the entry that asked.
struct send_origin {
    origin_id origin;
    wire::message content;
};
struct send_endpoint {
    vm_id vm;
    wire::message content;
};
/// To the log; \c batch comes back with its result.
struct propose_claims {
    std::uint64_t batch = 0;
    wire::ClaimBatchT command;
};
/// To the log; \c batch comes back with its result.
struct propose_ends {
    std::uint64_t batch = 0;
    wire::EndClaimsT command;
};
/// To the coordinator of another zone, which answers \c receive_forwarded.
struct send_zone {
    availability_zone_id zone;
    wire::message content;
};

using coordinator_action = std::variant<send_origin, send_endpoint, send_zone,
    propose_claims, propose_ends>;

class coordinator {
public:
    coordinator(coordinator_options options, zone_epoch epoch, instant now);

    void submit(origin_id origin, const wire::SubmitT& submit, instant now);
    void fetch(origin_id origin, const wire::FetchT& fetch, instant now);
    void cancel(const wire::CancelT& cancel, instant now);

    wire::AnnounceReplyT announce(const wire::AnnounceT& message, instant now);
    void disconnect(const vm_id& vm);
    void receive(
        const vm_id& vm, const wire::TaskRejectedT& message, instant now);
    void receive(const vm_id& vm, const wire::TaskEndedT& message, instant now);

    /// \param sent when the beat that the lease answers was sent.
    void receive(const wire::EntryLeaseT& lease, const rules::rule_set& rules,
        instant sent, instant now);
    void receive_claims(
        std::uint64_t batch, const wire::ProposeReplyT& reply, instant now);

    void receive_ends(std::uint64_t batch, const wire::ProposeReplyT& reply);
    /// \brief Takes another zone's answer to a request that it had claimed.
    void receive_forwarded(const wire::AnswerT& answer, instant now);

    void tick(instant now);
    std::vector<coordinator_action> take_actions();

    /// \brief Fills in what the leader is told of this zone.
    void report(wire::EntryBeatT& beat) const;

    zone_epoch epoch() const { return epoch_; }
    bool is_recovered() const { return recovered_; }
    std::size_t queued() const;
    std::size_t running() const { return running_; }

private:
    enum class phase : std::uint8_t {
        awaiting_recovery,
        claiming,
        queued,
        running,
        forwarded,
        final
    };

    struct request_record {
        wire::RequestT request;
        phase state = phase::awaiting_recovery;
        instant deadline{};
        // The latest attempt; each start of the request has its own.
        task_id task;
        // The first attempt, if the request was claimed under it.
        task_id claim;
        vm_id vm;
        std::uint64_t incarnation = 0;
        instant started{};
        // No later than this, the endpoint has ended the task by itself.
        instant lease_end{};
        std::set<origin_id> origins;
        wire::AnswerT answer;
        instant finished{};
        bool cancelled = false;
        // The caller was told that its deadline has passed.
        bool overdue = false;
        // How an earlier attempt ended; "not run" would be untrue after one.
        wire::outcome earlier_outcome = wire::outcome::none;
        // Another zone's coordinator sent it, since this zone claimed it.
        bool forwarded = false;
        // The zone that claimed it, while it is forwarded there.
        availability_zone_id owner;
        instant next_forward{};
    };
    /// An attempt whose end can't be learned any more.
    struct lost_attempt {
        request_key key;
        vm_id vm;
        instant lease_end{};
    };
    /// When an endpoint may forget an ended attempt, and of which request.
    struct confirmation {
        request_key key;
        instant due{};
    };
    using request_map = std::map<request_key, request_record>;

    void admit_request(
        const request_key& key, request_record& record, instant now);
    void enqueue(const request_key& key, request_record& record, instant now);
    void start_queued(instant now);
    bool start_next(const pool_id& pool, instant now);
    void start(const request_key& key, request_record& record, const vm_id& vm,
        instant now);
    void record_attempt(const request_key& key, request_record& record,
        endpoint& known, instant now);
    policy::end_verdict detach_attempt(const request_key& key,
        request_record& record, const policy::task_end& end, instant now);
    policy::end_verdict end_attempt(const request_key& key,
        request_record& record, const policy::task_end& end, instant now);
    void abandon(const request_key& key, request_record& record,
        std::string reason, instant now);
    void abandon_restarted(const vm_id& vm, endpoint& known, instant now);
    void release_lost(task_id task);
    static bool is_adoptable(const request_record& record);
    void track_unadopted(
        const vm_id& vm, const wire::TaskReportT& report, instant now);
    void finish(const request_key& key, request_record& record,
        wire::outcome outcome, std::string reason, instant now);
    void refuse(const request_key& key, request_record& record,
        std::string reason, duration retry_after, instant now);
    void answer_origins(request_record& record);
    void adopt(const vm_id& vm, endpoint& known, const wire::AnnounceT& message,
        instant now);
    void query_missing_tasks(const vm_id& vm, endpoint& known,
        const wire::AnnounceT& message, instant now);
    task_id next_task();
    void send_claims(instant now);
    void handle_denied_claim(const request_key& key, request_record& record,
        const std::string& owner, instant now);
    void forward(request_record& record, instant now);
    void end_claim(
        const request_key& key, task_id claim, wire::outcome outcome);
    void send_ends();
    void expire_deadlines(instant now);
    void expire_leases(instant now);
    void renew(instant now);
    void order_reboots(instant now);
    void report_demand(wire::EntryBeatT& beat) const;
    void purge_finished(instant now);
    void schedule_confirmation(
        const vm_id& vm, task_id task, const request_key& key, instant due);
    bool has_unrecorded_end(const request_key& key) const;
    void finish_recovery(instant now);
    request_record* find_task(task_id task, request_key& key);
    void enqueue_again(
        const request_key& key, request_record& record, instant now);
    /// How often endpoints that have fallen silent are looked for.
    static constexpr duration silence_check_interval =
        std::chrono::milliseconds(200);
    void update_vm_view(const vm_id& vm, const endpoint& known, instant now);
    void update_all_vm_views(instant now);
    bool may_start(instant now) const;
    template <class Content>
    void send(const vm_id& vm, Content content) {
        actions_.push_back(
            send_endpoint{vm, wire::make_message(std::move(content))});
    }

    coordinator_options options_;
    zone_epoch epoch_;
    std::uint32_t next_task_ = 1;
    rules::rule_set rules_;
    // Without rules no service is known, and none may be called unknown.
    bool knows_rules_ = false;
    endpoint_table endpoints_;
    grant_table grants_;
    request_map requests_;
    std::map<task_id, request_key> tasks_;
    // Invariant: each counts against its team's limit, like those in tasks_.
    std::map<task_id, lost_attempt> lost_;
    policy::dispatcher dispatcher_;
    // Invariant: each request that isn't final and whose caller waits for it.
    std::set<std::pair<instant, request_key>> deadlines_;
    // Invariant: the requests in the phase forwarded.
    std::set<request_key> forwarded_;
    std::deque<request_key> unclaimed_;
    std::map<std::uint64_t, std::vector<request_key>> claim_batches_;
    std::uint64_t next_batch_ = 1;
    instant claims_due_ = instant::max();
    wire::EndClaimsT ends_;
    std::map<std::uint64_t, wire::EndClaimsT> end_batches_;
    // Claims that have ended, but not yet in the log. A claim has the name of
    // the first attempt; a later one is told by its request alone.
    std::set<std::pair<request_key, task_id>> unrecorded_ends_;
    std::map<vm_id, std::map<task_id, confirmation>> confirmations_;
    instant zone_lease_end_{};
    instant recovery_end_{};
    bool recovered_ = false;
    std::size_t running_ = 0;
    instant next_renewal_{};
    instant next_view_update_{};
    std::vector<coordinator_action> actions_;
};

} // namespace dragonflymount::zone

#endif
