// Decides which VMs move to another pool, which are maintained, and when.
//
// The VM manager does no input or output: it receives the lists and replies of
// the platform's VM service and returns the orders to send. A maintenance
// order is committed to the log before it is sent, so that a new leader counts
// every VM that may be down. A move is not committed: the list shows its
// outcome, and the order can be repeated.
#ifndef DRAGONFLYMOUNT_JOBS_VM_MANAGER_HPP
#define DRAGONFLYMOUNT_JOBS_VM_MANAGER_HPP

#include "dragonflymount/src/Jobs/Allocation.hpp"
#include "dragonflymount/src/Jobs/Engine.hpp"

namespace dragonflymount::jobs {

enum class vm_condition : std::uint8_t {
    up,
    moving,
    maintained,
    down,
    /// The VM is listed, but the rest of its entry could not be read.
    unknown
};

/// \brief A VM as the VM service lists it.
struct vm_record {
    vm_id vm;
    pool_id pool;
    vm_condition condition = vm_condition::down;
    std::string endpoint;
    resources capacity;
    availability_zone_id zone{};
};

/// \brief An order to the VM service.
struct vm_order {
    enum class kind : std::uint8_t { move, maintain };

    kind what = kind::move;
    vm_id vm;
    /// The target of a move; empty for maintenance.
    pool_id pool;
    /// The wave of a maintenance order; 0 for a move.
    std::uint64_t wave = 0;
    /// Tells the orders of one leader apart; each that is sent has its own.
    std::uint64_t number = 0;
};

/// \brief The VM service's reply to an order.
enum class vm_verdict : std::uint8_t {
    done,
    /// The VM isn't up or is moving; the order can be retried.
    busy,
    /// A later leader has already ordered something for this VM.
    fenced,
    /// The VM doesn't exist, or it isn't part of the wave.
    unknown,
    /// Failed or ambiguous reply: the order may have been carried out.
    unclear,
};

/// \returns the reply's name for logs.
constexpr std::string_view name_of(vm_verdict verdict) {
    switch (verdict) {
    case vm_verdict::done:
        return "done";
    case vm_verdict::busy:
        return "busy";
    case vm_verdict::fenced:
        return "fenced";
    case vm_verdict::unknown:
        return "unknown";
    case vm_verdict::unclear:
        return "unclear";
    }
    return "unnamed";
}

struct vm_manager_options {
    /// Interval between list requests when nothing requires an earlier one.
    duration list_interval = std::chrono::seconds(4);
    /// Interval between list requests while an endpoint with runs is silent.
    duration urgent_list_interval = std::chrono::seconds(1);
    /// Delay before an order or a failed list request is repeated.
    duration retry_interval = std::chrono::milliseconds(400);
    /// How long a VM is down for maintenance, as the platform's settings say.
    duration maintenance_time = std::chrono::seconds(2);
    /// Time from an accepted move order until the VM is up in its new pool.
    duration move_time = std::chrono::milliseconds(1500);
    /// Default report interval of an endpoint.
    duration report_interval = std::chrono::milliseconds(1500);
    /// Time in which the finite tasks of a VM usually end.
    duration drain_time = std::chrono::seconds(3);
    /// Share of a wave's duration in which it should complete, in percent.
    std::int64_t wave_time_percent = 70;
    /// Length of the window over which a pool's peak demand is measured. A pool
    /// keeps the most VMs that it wanted in the current and the previous
    /// window; surplus VMs move to standby.
    duration surplus_time = std::chrono::milliseconds(1000);
    /// Capacity beyond the present need, in percent of the need, since tasks
    /// don't pack into VMs without gaps.
    std::int64_t headroom_percent = 25;
    /// Time in which late work should be done; the VMs for it are planned so
    /// that the work takes this long.
    duration late_horizon = std::chrono::seconds(8);
    /// Limit on the rate of move orders; the service refuses orders beyond its
    /// own rate limit.
    double orders_per_second = 64;
};

/// \brief How many VMs a pool has and should have, and the demand behind that.
struct pool_summary {
    std::string pool;
    std::size_t held = 0;
    std::size_t arriving = 0;
    /// VMs listed as up that haven't reported to this leader yet.
    std::size_t unheard = 0;
    std::size_t wanted = 0;
    pool_demand demand;

    friend bool operator==(const pool_summary&, const pool_summary&) = default;
};

class vm_manager {
public:
    vm_manager(engine& jobs, vm_manager_options options);

    /// \brief Discards the list and the state of all orders. Called when this
    /// replica becomes leader.
    void reset(instant now);
    /// \brief Whether a new list should be requested.
    bool wants_list(instant now) const { return now >= next_list_; }
    /// \brief Replaces the list of VMs.
    /// \param requested when the request for the list was sent. The list isn't
    /// evidence about lives that have reported since, nor about VMs of waves
    /// that weren't known then.
    void update_list(
        std::vector<vm_record> list, instant requested, instant now);
    /// \brief Schedules a retry after a failed list request.
    void list_failed(instant now);

    /// \returns the orders to send now. \c order_done must be called with the
    /// reply to each.
    std::vector<vm_order> decide(instant now);
    /// \brief Records the VM service's reply to an order. A reply to an order
    /// that a later one has replaced changes nothing.
    void order_done(const vm_order& order, vm_verdict verdict, instant now);

    /// \returns the sizes that the last \c decide planned for each pool except
    /// standby.
    const std::vector<pool_summary>& pools() const { return summaries_; }

private:
    struct order_state {
        // The number of the order that was sent last.
        std::uint64_t number = 0;
        bool in_flight = false;
        instant next_attempt{};
        // When the service last confirmed that the order was carried out.
        std::optional<instant> confirmed;
        bool fenced = false;
        // The step's return is queued for the next batch.
        bool finished = false;
        // The endpoint life that the order ends.
        endpoint_life life;
    };
    // Need for waiting and running work, in VMs of the usual capacity.
    struct vm_need {
        double long_running_vms = 0;
        // Work that can be on time.
        std::vector<timed_work> timely;
        double late = 0;
        // VMs that recently arrived work keeps busy, and the sum over that work
        // of the time that it should take, weighted by these VMs.
        double arrival_rate = 0;
        double weighted_within_ms = 0;
        // Number of jobs on which the rate rests, weighted by their age.
        double recent_jobs = 0;

        void add(const vm_need& other, double share);
        work_outlook outlook() const;
    };
    struct pool_state {
        std::vector<const endpoint_view*> members;
        // VMs of the pool in zones under evacuation, which provide no capacity.
        std::vector<const endpoint_view*> evacuated;
        // Need of all jobs in the pool's queues.
        vm_need need;
        // The fewest VMs on which long-running tasks meet their anti-affinity.
        std::uint32_t least = 0;
        std::size_t arriving = 0;
        // VMs listed as up that haven't reported to this leader yet.
        std::size_t unheard = 0;
        std::size_t wanted = 0;
        // The peak of wanted in the current and the previous window; VMs beyond
        // it move to standby.
        std::size_t peak_wanted = 0;

        std::size_t vm_count() const {
            return members.size() + arriving + unheard;
        }
    };

    void send(
        vm_order order, order_state& state, std::vector<vm_order>& orders);
    order_state* find_state(const vm_order& order);
    void decide_waves(std::vector<vm_order>& orders, instant now);
    void note_ordered(const wire::MaintenanceStepT& step);
    void note_settled(const wire::MaintenanceStepT& step);
    void decide_wave(const wire::MaintenanceWaveT& wave,
        std::vector<vm_order>& orders, instant now);
    /// The steps of a wave by the name of their VM.
    using step_index =
        absl::flat_hash_map<std::string_view, const wire::MaintenanceStepT*>;
    static step_index index_steps(const wire::MaintenanceWaveT& wave);
    std::vector<vm_id> uncommitted_vms(
        const wire::MaintenanceWaveT& wave, const step_index& steps) const;
    void advance_step(const wire::MaintenanceStepT& step,
        std::vector<vm_order>& orders, instant now);
    /// VMs of a wave that are down for maintenance.
    struct vms_down {
        std::size_t on_standby = 0;
        std::size_t in_pools = 0;

        std::size_t count() const { return on_standby + in_pools; }
    };
    void choose_next_vms(const wire::MaintenanceWaveT& wave,
        const step_index& steps, vms_down down, instant now);
    /// VMs of a wave for which no maintenance has been ordered yet.
    struct unmaintained_vms {
        // All of them, also those that can't be chosen now.
        std::size_t vm_count = 0;
        // VMs of the standby pool, on which no task runs.
        std::vector<vm_id> on_standby;
        // VMs with and without long-running tasks; the least loaded first.
        std::vector<const endpoint_view*> with_long_running;
        std::vector<const endpoint_view*> without_long_running;
    };
    unmaintained_vms collect_unmaintained(const wire::MaintenanceWaveT& wave,
        const step_index& steps, instant now);
    bool prepare_maintenance(std::uint64_t wave, const endpoint_view& view,
        bool urgent, instant now);
    bool is_on_standby(const vm_id& vm) const;
    bool is_on_standby(const vm_record& record) const;
    void order_maintenance(std::uint64_t wave, const vm_id& vm,
        const endpoint_life& life, instant now);
    /// The number of tasks of one step that work on a given VM, and of those
    /// that work on no VM.
    struct step_task_counts {
        std::uint32_t working_here = 0;
        std::uint32_t working_nowhere = 0;
    };
    bool is_working_on(const endpoint_view& view, const run_ref& run) const;
    static bool has_availability_budget(const task_place& place);
    bool is_working_elsewhere(
        const task_name& name, const endpoint_view& view, instant now) const;
    step_task_counts count_tasks(
        const run_ref& run, const endpoint_view& view, instant now) const;
    void stop_next_task(const endpoint_view& view, instant now);
    bool may_end_tasks(const endpoint_view& view, instant now) const;
    std::size_t long_running_tasks(const endpoint_view& view) const;
    std::size_t finite_tasks(const endpoint_view& view) const;
    const endpoint_view* find_vm(const vm_id& vm) const;
    void index_vms();
    void end_unlisted_lives(instant requested, instant now);
    bool is_gone(const vm_id& vm, instant requested) const;
    void note_gone_vms(instant requested);
    instant last_heard(const endpoint_life& life) const;
    bool is_silent(const endpoint_life& life, instant now) const;
    void request_list_if_silent(instant now);
    /// Whether a VM has been reserved for so long that no start on it can still
    /// be in flight.
    bool is_reservation_settled(const vm_id& vm, instant now) const;

    /// Resources that a team's jobs count against its limit, and VMs that they
    /// need in each pool.
    struct team_need {
        resources usage;
        std::map<std::string, vm_need> by_pool;
    };
    using need_map = std::map<std::string, team_need>;

    void decide_moves(std::vector<vm_order>& orders, instant now);
    void count_unheard(instant now);
    void remove_ended_moves(instant now);
    bool has_reached_standby(
        const pool_id& target, const order_state& order, instant now) const;
    /// \returns the time from the confirmation of a move until the list shows
    /// its outcome.
    duration outcome_time() const;
    void measure_pools(instant now);
    void measure_usual_capacity();
    void measure_job(const wire::JobT& job, need_map& needs);
    void measure_occurrence(const wire::JobT& job,
        const wire::JobOccurrenceT& occurrence, const wire::JobQueueT& queue,
        vm_need& need) const;
    void measure_arrival(const wire::JobT& job,
        const wire::JobOccurrenceT& occurrence, vm_need& need) const;
    /// \returns the part of a VM that one task of the step fills.
    double vm_share(const wire::JobStepT& step) const;
    void add_needs(const need_map& needs);
    pool_demand demand_of(const pool_state& pool) const;
    void divide_among_pools(instant now);
    std::size_t recent_wanted(
        const std::string& name, std::size_t wanted, instant now);
    std::size_t free_standby_vms() const;
    bool is_free(const vm_record& record) const;
    static std::size_t missing_vms(const pool_state& pool);
    bool spend_order(instant now);
    void grow(
        const std::string& name, std::vector<vm_order>& orders, instant now);
    std::vector<const endpoint_view*> spare_vms(const pool_state& pool) const;
    /// \returns how many VMs of a pool may drain at the same time.
    std::size_t most_draining(
        const std::string& name, const pool_state& pool) const;
    void shrink(const std::string& name,
        const std::vector<std::string>& short_pools,
        std::vector<vm_order>& orders, instant now);
    bool is_evacuated(const availability_zone_id& zone) const {
        return jobs_.agreed().evacuated_zones().contains(zone);
    }
    void empty_evacuated_zones(std::vector<vm_order>& orders, instant now);
    void move_long_running_tasks(
        const pool_state& pool, const endpoint_view& view, instant now);
    bool may_move_task(const pool_state& pool, const endpoint_view& view,
        const run_ref& run, instant now) const;
    bool has_place_in(const pool_state& pool, const task_name& name) const;
    /// \returns the tasks of the step that run nowhere or are being stopped.
    std::size_t tasks_without_place(const task_name& name) const;
    std::size_t places_at(
        const endpoint_view& view, const task_place& task) const;
    void order_move(const vm_id& vm, const std::string& pool,
        const endpoint_life& life, std::vector<vm_order>& orders);
    const std::string* standby_pool() const;

    engine& jobs_;
    vm_manager_options options_;
    instant led_since_{};
    instant list_taken_{};
    instant next_list_{};
    std::map<vm_id, vm_record> list_;
    // A VM may be part of several waves, and each of them maintains it.
    using wave_step = std::pair<std::uint64_t, vm_id>;
    std::map<wave_step, order_state> maintenance_orders_;
    std::map<vm_id, order_state> move_orders_;
    std::map<vm_id, pool_id> move_targets_;
    std::uint64_t last_order_ = 0;
    // Reserved VMs, which take no new task: those chosen for maintenance, and
    // those chosen to move.
    std::set<vm_id> chosen_for_wave_;
    std::set<vm_id> chosen_for_move_;
    // VMs whose maintenance was ordered for some wave and that haven't returned
    // yet. Their tasks count as unavailable even while reports still list them,
    // and no other wave orders their maintenance meanwhile. The value is the
    // number of the wave.
    std::map<vm_id, std::uint64_t> maintenance_ordered_;
    // Since when this leader has known each wave.
    std::map<std::uint64_t, instant> wave_known_since_;
    // When each VM of the two sets above was reserved.
    std::map<vm_id, instant> reserved_since_;
    absl::flat_hash_map<vm_id, std::string, std::hash<vm_id>> endpoint_of_;
    std::map<std::string, pool_state> pools_;
    std::vector<pool_summary> summaries_;
    // Mean capacity of the VMs whose endpoints report.
    resources usual_capacity_;
    // Token bucket: move orders that may be sent now.
    double order_budget_ = 0;
    instant budget_filled_{};
    // The most VMs that a pool wanted in the current window of surplus_time
    // and in the previous one.
    struct recent_peak {
        instant began{};
        std::size_t present = 0;
        std::size_t before = 0;
    };
    std::map<std::string, recent_peak> peaks_;
    // Moves that the service refused because the pool holds another kind of VM.
    std::set<std::pair<vm_id, pool_id>> refused_moves_;
};

} // namespace dragonflymount::jobs

#endif
