// Which request starts next, and where: the policy of one availability zone.
//
// The coordinator tells the dispatcher of rules, VMs, requests and ends of
// tasks, and asks it for the next start. The dispatcher knows nothing of
// messages, claims or leases; a request in it has not run, or may run again.
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

/// \brief A request that the dispatcher is asked to queue.
struct dispatch_request {
    request_key key;
    service_id service;
    instant deadline{};
    bool urgent = false;
    std::size_t size_bytes = 0;
    /// Order within the team; the deadline unless stated.
    std::optional<instant> rank{};
};

enum class admission : std::uint8_t {
    queued,
    unknown_service,
    /// The queue has no room for the team.
    full,
    /// The deadline can't be met any more.
    late,
};

struct admission_result {
    admission verdict = admission::queued;
    /// When to come back.
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

/// \brief A task that has ended, or is known never to run.
struct task_end {
    enum class kind : std::uint8_t { answered, failed, not_run };
    kind result = kind::answered;
    duration run{};
    /// Whether a failed request may run again.
    bool idempotent = false;
};

/// \brief What becomes of a request whose task has ended.
struct end_verdict {
    /// The request is queued again.
    bool retried = false;
    /// Why a failed request is not tried again; empty if it is final anyway.
    std::string reason;
    /// The VM went into quarantine.
    bool quarantined = false;
};

struct dispatcher_options {
    queue_limits queue;
    evidence_options evidence;
    /// A request that failed on this many VMs is to blame itself.
    std::size_t most_failures = 3;
    /// Sheds requests that can't meet their deadlines.
    bool sheds_late = true;
    duration shortest_retry = std::chrono::seconds(1);
    duration longest_retry = std::chrono::seconds(60);
};

class dispatcher {
public:
    using team_predicate = std::function<bool(const team_id&)>;

    explicit dispatcher(dispatcher_options options = {}) : options_(options) {}

    /// \brief Takes new rules. Requests of services that have moved to
    /// another pool stay in the queue that they were put in.
    void configure(const rules::rule_set& rules);

    /// \brief Takes what is known of a VM; \p pool is empty if it has none.
    /// The count of running tasks in \p view is ignored: the dispatcher
    /// counts starts and ends, usage reports lag behind.
    void update_vm(const pool_id& pool, const vm_view& view);

    admission_result push(const dispatch_request& request, instant now);
    /// \returns whether the request was queued.
    bool remove(const request_key& key);
    /// \brief Takes all queued requests whose deadline has come.
    std::vector<request_key> expire(instant now);

    /// \brief Takes the next task to start in \p pool.
    /// \param may_start whether a team's upper limit leaves room.
    template <team_order Order>
    std::optional<placement> next(const pool_id& pool, const Order& order,
        const team_predicate& may_start, instant now);
    std::optional<placement> next(
        const pool_id& pool, const team_predicate& may_start, instant now) {
        return next(pool, due_share_order(), may_start, now);
    }

    /// \brief Takes the requests that next() found to be too late to start.
    std::vector<shed_request> take_shed() { return std::exchange(shed_, {}); }

    /// \brief Counts a task that the dispatcher didn't start, such as one of
    /// an earlier coordinator.
    void adopt(const request_key& key, const service_id& service,
        const vm_id& vm, instant now);
    /// \brief Stops counting a task.
    end_verdict end(const request_key& key, const task_end& end, instant now);

    /// \brief Ends quarantines whose time has come.
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
    // Invariant: each queued request, and the pool whose queue has it.
    std::map<request_key, pool_id> queued_;
    std::map<request_key, running_task> running_;
    std::vector<shed_request> shed_;
    // The state of every known VM, and its pool.
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
