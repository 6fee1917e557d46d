// Decides which request starts next in an availability zone, and on which VM.
//
// The coordinator passes rules, VM states, requests and ended tasks to the
// dispatcher, and asks it for the next task to start. The dispatcher doesn't
// handle messages, claims or leases. A request that it has queued either has
// not run, or is allowed to run again.
#ifndef DRAGONFLYMOUNT_POLICY_DISPATCHER_HPP
#define DRAGONFLYMOUNT_POLICY_DISPATCHER_HPP

#include "dragonflymount/rules.hpp"
#include "dragonflymount/src/Policy/FairQueue.hpp"
#include "dragonflymount/src/Policy/RetryBudget.hpp"
#include "dragonflymount/src/Policy/RunTimes.hpp"
#include "dragonflymount/src/Policy/Shares.hpp"
#include "dragonflymount/src/Policy/VmIndex.hpp"
#include "dragonflymount/src/Policy/WorkerEvidence.hpp"

#include <functional>

namespace dragonflymount::policy {

/// \brief A request to be queued.
struct dispatch_request {
    request_key key;
    service_id service;
    instant deadline{};
    bool urgent = false;
    std::size_t size_bytes = 0;
    /// Order within the team, lowest first; the deadline if not set.
    std::optional<instant> rank{};
};

enum class admission : std::uint8_t {
    queued,
    unknown_service,
    /// The queue has no room for the team.
    full,
    /// The request can't meet its deadline any more.
    late,
};

struct admission_result {
    admission verdict = admission::queued;
    /// Time after which the client should retry; set if full or late.
    duration retry_after{};
};

/// \brief A task to start.
struct placement {
    request_key key;
    vm_id vm;
};

/// \brief A queued request that can't meet its deadline any more.
struct shed_request {
    request_key key;
    duration retry_after{};
};

/// \brief The end of a task, or the fact that it never ran.
struct task_end {
    enum class kind : std::uint8_t { answered, failed, not_run };
    kind result = kind::answered;
    /// Run time of the task.
    duration run{};
    /// Whether a failed request may run again.
    bool idempotent = false;
};

/// \brief The decision on a request whose task has ended.
struct end_verdict {
    /// The request is queued again.
    bool retried = false;
    /// Why a failed request is not retried; empty if no retry was considered.
    std::string reason;
    /// The VM was quarantined.
    bool quarantined = false;
};

struct dispatcher_options {
    queue_limits queue;
    evidence_options evidence;
    /// A request that failed this many times is assumed to be the cause and
    /// is not retried.
    std::size_t most_failures = 3;
    /// Whether requests that can't meet their deadlines are shed.
    bool sheds_late = true;
    /// Bounds of the retry time that clients are given.
    duration shortest_retry = std::chrono::seconds(1);
    duration longest_retry = std::chrono::seconds(60);
};

/// \brief Queues the requests of an availability zone and chooses the next
/// task to start in each pool.
class dispatcher {
public:
    using team_predicate = std::function<bool(const team_id&)>;

    explicit dispatcher(dispatcher_options options = {}) : options_(options) {}

    /// \brief Applies new rules. Queued requests of a service that has moved to
    /// another pool stay in their present queue.
    void configure(const rules::rule_set& rules);

    /// \brief Adds a VM or updates its state.
    /// \param pool the pool of the VM; empty if it has none.
    /// \param view its running count is ignored: the dispatcher counts starts
    /// and ends itself, because usage reports lag behind.
    void update_vm(const pool_id& pool, const vm_view& view);

    /// \brief Queues a request.
    /// \returns why the request was rejected, if it was.
    admission_result push(const dispatch_request& request, instant now);
    /// \brief Removes a queued request.
    /// \returns false if the request was not queued.
    bool remove(const request_key& key);
    /// \brief Removes all queued requests whose deadline has passed.
    /// \returns the keys of the removed requests.
    std::vector<request_key> expire(instant now);

    /// \brief Chooses the next task to start in \p pool, removes its request
    /// from the queue and counts it as running.
    /// \param may_start whether a team is below its upper limit.
    /// \returns none if no request may start or no VM is free.
    template <team_order Order>
    std::optional<placement> next(const pool_id& pool, const Order& order,
        const team_predicate& may_start, instant now);
    std::optional<placement> next(
        const pool_id& pool, const team_predicate& may_start, instant now) {
        return next(pool, due_share_order(), may_start, now);
    }

    /// \brief Returns and clears the list of requests that next() has shed.
    std::vector<shed_request> take_shed() { return std::exchange(shed_, {}); }

    /// \brief Counts a running task that another dispatcher started, such as
    /// that of an earlier coordinator.
    void adopt(const request_key& key, const service_id& service,
        const vm_id& vm, instant now);
    /// \brief Stops counting a running task, and retries its request if it
    /// failed and may run again.
    end_verdict end(const request_key& key, const task_end& end, instant now);

    /// \brief Makes VMs available again whose quarantine has expired.
    void tick(instant now);

    bool is_quarantined(const vm_id& vm) const;
    std::vector<pool_id> pools() const;
    std::size_t queued() const;
    std::size_t queued(const pool_id& pool) const;
    std::size_t queued(const pool_id& pool, const team_id& team) const;
    std::uint32_t running(const pool_id& pool, const team_id& team) const;
    std::uint32_t slots(const pool_id& pool) const;
    run_time_estimate run_time(
        const service_id& service, const team_id& team) const;

private:
    struct pool_state {
        pool_state(const dispatcher_options& options)
            : queue(options.queue), evidence(options.evidence) {}

        fair_queue queue;
        share_account shares;
        vm_index vms;
        worker_evidence evidence;
    };
    struct running_task {
        pool_id pool;
        service_id service;
        vm_id vm;
        queued_request request;
    };

    pool_state& find_or_create_pool(const pool_id& pool);
    void configure(pool_state& pool);
    void update_index(pool_state& pool, const vm_id& vm);
    void change_running(const vm_id& vm, int by);
    void count_queued(pool_state& pool, const team_id& team);
    bool would_miss_deadline(const pool_state& pool,
        const queued_request& request, instant now) const;
    void shed_late_requests(pool_state& pool, const team_id& team, instant now);
    std::vector<team_view> eligible_teams(
        pool_state& pool, const team_predicate& may_start, instant now);
    placement start(const pool_id& name, pool_state& pool, const team_id& team,
        instant now);
    duration expected_wait(
        const pool_state& pool, const team_id& team, instant rank) const;
    duration retry_after(duration wait) const;
    end_verdict retry(running_task&& task);

    dispatcher_options options_;
    rules::rule_set rules_;
    run_time_table run_times_;
    std::map<pool_id, pool_state> pools_;
    std::map<std::pair<team_id, service_id>, retry_budget> budgets_;
    // Invariant: one entry per queued request, with the pool that queues it.
    std::map<request_key, pool_id> queued_;
    std::map<request_key, running_task> running_;
    std::vector<shed_request> shed_;
    // The pool and the state of every known VM.
    std::map<vm_id, std::pair<pool_id, vm_view>> vms_;
};

template <team_order Order>
std::optional<placement> dispatcher::next(const pool_id& name,
    const Order& order, const team_predicate& may_start, instant now) {
    pool_state& pool = find_or_create_pool(name);
    if (pool.queue.size() == 0 || !pool.vms.has_free()) {
        return std::nullopt;
    }
    const std::vector<team_view> teams = eligible_teams(pool, may_start, now);
    const std::size_t chosen = order.choose(teams);
    if (chosen >= teams.size()) {
        return std::nullopt;
    }
    return start(name, pool, teams[chosen].team, now);
}

} // namespace dragonflymount::policy

#endif
