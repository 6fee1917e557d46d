// The coordinator of an availability zone: queues the zone's requests, starts
// them on endpoints and answers them.
//
// One entry of each zone is the coordinator. It is appointed through the log
// with an epoch; endpoints that have accepted the epoch reject orders from
// earlier coordinators (fencing). A new coordinator first recovers: it counts
// the tasks that endpoints report, and starts no task until every endpoint has
// accepted its epoch or the task leases of the remaining endpoints have
// certainly expired.
#ifndef DRAGONFLYMOUNT_ZONE_COORDINATOR_HPP
#define DRAGONFLYMOUNT_ZONE_COORDINATOR_HPP

#include "dragonflymount/policy.hpp"
#include "dragonflymount/rules.hpp"
#include "dragonflymount/src/Zone/Endpoints.hpp"
#include "dragonflymount/src/Zone/Grants.hpp"

#include <deque>
#include <variant>

namespace dragonflymount::zone {

/// \brief Identifies the entry connection that a request came from.
using origin_id = strong_number<struct origin_tag>;

struct coordinator_options {
    entry_id self;
    availability_zone_id zone;
    /// Endpoints end a task whose lease isn't renewed for this long.
    duration task_lease = std::chrono::seconds(15);
    duration renew_interval = std::chrono::seconds(2);
    /// How long a final answer can be fetched.
    duration answer_retention = std::chrono::minutes(10);
    /// How long after an answer the endpoint is told to delete the ended task.
    /// Until then the next coordinator can still get the answer from it.
    duration confirm_delay = std::chrono::seconds(30);
    /// How long claims are collected to share one record of the log.
    duration claim_delay = std::chrono::milliseconds(2);
    std::size_t max_claims_per_batch = 256;
    policy::dispatcher_options policy;
};

/// Send a message to the entry that sent the request.
struct send_origin {
    origin_id origin;
    wire::message content;
};
struct send_endpoint {
    vm_id vm;
    wire::message content;
};
/// Propose claims to the log; \c batch identifies the result, which is passed
/// to \c receive_claims.
struct propose_claims {
    std::uint64_t batch = 0;
    wire::ClaimBatchT command;
};
/// Propose ends of claims to the log; \c batch identifies the result, which is
/// passed to \c receive_ends.
struct propose_ends {
    std::uint64_t batch = 0;
    wire::EndClaimsT command;
};
/// Send a request to another zone's coordinator. Its answer is passed to
/// \c receive_forwarded.
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

    /// \brief Applies a lease from the leader: zone lease, assignments, grants.
    /// \param sent when this entry sent the beat that the lease answers.
    void receive(const wire::EntryLeaseT& lease, const rules::rule_set& rules,
        instant sent, instant now);
    void receive_claims(
        std::uint64_t batch, const wire::ProposeReplyT& reply, instant now);

    void receive_ends(std::uint64_t batch, const wire::ProposeReplyT& reply);
    /// \brief Handles another zone's answer to a request that was forwarded to
    /// it.
    void receive_forwarded(const wire::AnswerT& answer, instant now);

    void tick(instant now);
    std::vector<coordinator_action> take_actions();

    /// \brief Adds the zone's VMs, grants and demand to a beat to the leader.
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
        // The id of the latest attempt; each attempt has its own.
        task_id task;
        // The id of the first attempt, which is also the id of the claim; zero
        // if the request has no claim.
        task_id claim;
        vm_id vm;
        std::uint64_t incarnation = 0;
        instant started{};
        // The endpoint's lease on the task has expired by this time.
        instant lease_end{};
        std::set<origin_id> origins;
        wire::AnswerT answer;
        instant finished{};
        bool cancelled = false;
        // The deadline has passed, or the task was adopted and its deadline is
        // unknown.
        bool overdue = false;
        // Outcome of an earlier attempt; unknown if there may have been one,
        // none if there was none. Unless it is none, the request must not be
        // answered with not_run.
        wire::outcome earlier_outcome = wire::outcome::none;
        // Another zone's coordinator forwarded the request, because this zone
        // holds its claim.
        bool forwarded = false;
        // The zone that holds the claim and to which the request is forwarded.
        availability_zone_id owner;
        instant next_forward{};
    };
    /// An attempt whose end can no longer be determined.
    struct lost_attempt {
        request_key key;
        vm_id vm;
        instant lease_end{};
    };
    /// When the endpoint may delete an ended task, and the task's request.
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
    /// Interval of the check for endpoints that no longer announce themselves.
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
    // False until rules have been received. Until then no request may be
    // refused for an unknown service.
    bool knows_rules_ = false;
    endpoint_table endpoints_;
    grant_table grants_;
    request_map requests_;
    std::map<task_id, request_key> tasks_;
    // Lost attempts. Invariant: each counts against its team's limit, like the
    // attempts in tasks_.
    std::map<task_id, lost_attempt> lost_;
    policy::dispatcher dispatcher_;
    // Invariant: holds every request that is not final and whose deadline has
    // not passed, except requests that were adopted before they were
    // submitted here.
    std::set<std::pair<instant, request_key>> deadlines_;
    // Invariant: holds exactly the requests in phase::forwarded.
    std::set<request_key> forwarded_;
    std::deque<request_key> unclaimed_;
    std::map<std::uint64_t, std::vector<request_key>> claim_batches_;
    std::uint64_t next_batch_ = 1;
    instant claims_due_ = instant::max();
    wire::EndClaimsT ends_;
    std::map<std::uint64_t, wire::EndClaimsT> end_batches_;
    // Ended claims whose end is not yet in the log. A claim has the task id of
    // the first attempt, so a later attempt finds it only by its request key.
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
