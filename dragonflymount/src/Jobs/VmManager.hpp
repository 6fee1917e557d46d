// Which VMs change their pool and which are maintained, and when.
//
// Decisions only: what the platform's VM service lists and answers goes in,
// orders to it come out. An order for maintenance is agreed before it is
// given, so a new leader counts every VM that may be down; an order to move
// is not, for a move shows in the list and can be given again.
#ifndef DRAGONFLYMOUNT_JOBS_VM_MANAGER_HPP
#define DRAGONFLYMOUNT_JOBS_VM_MANAGER_HPP

#include "dragonflymount/src/Jobs/Allocation.hpp"
#include "dragonflymount/src/Jobs/Engine.hpp"

namespace dragonflymount::jobs {

enum class vm_condition : std::uint8_t { up, moving, maintained, down };

/// \brief A VM as the VM service lists it.
struct vm_record {
    vm_id vm;
    pool_id pool;
    vm_condition condition = vm_condition::down;
    std::string endpoint;
    resources capacity;
};

/// \brief An order to the VM service.
struct vm_order {
    enum class kind : std::uint8_t { move, maintain };

    kind what = kind::move;
    vm_id vm;
    /// Of a move.
    pool_id pool;
    /// Of maintenance.
    std::uint64_t wave = 0;
};

enum class vm_verdict : std::uint8_t {
    done,
    /// Not up, or leaving: try again later.
    busy,
    /// A later leader has given orders for this VM.
    fenced,
    /// No such VM, or it isn't part of the wave.
    unknown,
    /// No clear answer: the order may have been carried out.
    unclear,
};

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
    /// Interval of reading the list while nothing is under way.
    duration list_interval = std::chrono::seconds(4);
    /// The same while an endpoint with tasks is silent.
    duration urgent_list_interval = std::chrono::seconds(1);
    /// After an order without a clear answer.
    duration retry_interval = std::chrono::milliseconds(400);
    /// How long a maintained VM stays away; from the platform's settings.
    duration maintenance_time = std::chrono::seconds(2);
    /// From an accepted order to move until the VM is back in its new pool.
    duration move_time = std::chrono::milliseconds(1500);
    /// How often an endpoint reports that nobody told otherwise.
    duration report_interval = std::chrono::milliseconds(1500);
    /// Time in which a VM's ending tasks usually end.
    duration drain_time = std::chrono::seconds(3);
    /// Part of a wave's time in which it should be done, in percent.
    std::int64_t wave_time_percent = 70;
    /// A pool keeps the most VMs that it wanted in this time and, at most, in
    /// the same time before; what is beyond goes on standby.
    duration surplus_time = std::chrono::milliseconds(600);
    /// Room beyond the present need, in percent of it: tasks don't fill VMs
    /// without gaps.
    std::int64_t headroom_percent = 25;
    /// Part of the time that a job can wait before it would be late, in
    /// percent, which its pool's size counts on; estimates are rough. The time
    /// that a further VM takes to arrive comes out of it.
    std::int64_t usable_slack_percent = 20;
    /// Time in which late work is to be done: its room is spread over it.
    duration late_horizon = std::chrono::seconds(8);
    /// Orders given in one second at most; the service refuses further ones.
    double orders_per_second = 64;
};

/// \brief How many VMs a pool should hold, and why.
struct pool_summary {
    std::string pool;
    std::size_t held = 0;
    std::size_t arriving = 0;
    std::size_t wanted = 0;
    pool_demand demand;

    friend bool operator==(const pool_summary&, const pool_summary&) = default;
};

class vm_manager {
public:
    vm_manager(engine& jobs, vm_manager_options options);

    /// \brief A new leader knows no list and trusts no earlier answer.
    void reset(instant now);
    bool wants_list(instant now) const { return now >= next_list_; }
    /// \param requested when its reading began: it tells nothing about lives
    /// that were heard of since.
    void update_list(
        std::vector<vm_record> list, instant requested, instant now);
    /// \brief Notes that reading the list failed.
    void list_failed(instant now);

    /// \returns the orders to give now; each is answered by \c order_done.
    std::vector<vm_order> decide(instant now);
    void order_done(const vm_order& order, vm_verdict verdict, instant now);

    /// \returns what the last \c decide made of each pool but standby.
    const std::vector<pool_summary>& pools() const { return summaries_; }

private:
    struct order_state {
        bool in_flight = false;
        instant next_attempt{};
        // When the service last said that the order was carried out.
        std::optional<instant> confirmed;
        bool fenced = false;
        // Its end is gathered for the next batch.
        bool finished = false;
        // The life that the order ends.
        endpoint_life life;
    };
    // Work that waits or runs, in VMs of the usual size.
    struct vm_need {
        double long_running_vms = 0;
        // Room for all work that can be in time, as if it ran at once.
        double at_once = 0;
        // The most that one job fills at once.
        double widest = 0;
        std::vector<timed_work> timely;
        double late = 0;

        void add(const vm_need& other, double share);
        double timely_vms() const;
    };
    struct pool_state {
        std::vector<const endpoint_view*> members;
        // Room for all that its queues have to do.
        vm_need need;
        // VMs that lasting tasks need, each on one of its own.
        std::uint32_t least = 0;
        std::size_t arriving = 0;
        std::size_t wanted = 0;
        // The most that it wanted lately; what is beyond goes on standby.
        std::size_t peak_wanted = 0;
    };

    void decide_waves(std::vector<vm_order>& orders, instant now);
    void decide_wave(const wire::MaintenanceWaveT& wave,
        std::vector<vm_order>& orders, instant now);
    void advance_step(const wire::MaintenanceStepT& step,
        std::vector<vm_order>& orders, instant now);
    void choose_next_vms(
        const wire::MaintenanceWaveT& wave, std::size_t down, instant now);
    /// VMs of a wave that aren't maintained yet.
    struct unmaintained_vms {
        std::size_t vm_count = 0;
        // On standby: nothing runs there.
        std::vector<vm_id> on_standby;
        // Those with lasting tasks, and the others; least loaded first.
        std::vector<const endpoint_view*> with_long_running;
        std::vector<const endpoint_view*> without_long_running;
    };
    unmaintained_vms collect_unmaintained(
        const wire::MaintenanceWaveT& wave, instant now);
    bool prepare_maintenance(std::uint64_t wave, const endpoint_view& view,
        bool urgent, instant now);
    bool is_on_standby(const vm_id& vm) const;
    void order_maintenance(std::uint64_t wave, const vm_id& vm,
        const endpoint_life& life, instant now);
    /// Tasks of one step that are at work on a VM, and those that are at
    /// work nowhere.
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
    instant last_heard(const endpoint_life& life) const;
    bool is_silent(const endpoint_life& life, instant now) const;
    void request_list_if_silent(instant now);
    /// Whether a VM has taken no new task for so long that no start for it
    /// can be under way.
    bool is_reservation_settled(const vm_id& vm, instant now) const;

    /// What a team's jobs need in all, and in each pool.
    struct team_need {
        resources usage;
        std::map<std::string, vm_need> by_pool;
    };
    using need_map = std::map<std::string, team_need>;

    void decide_moves(std::vector<vm_order>& orders, instant now);
    bool has_heard_endpoints(instant now) const;
    void remove_ended_moves(instant now);
    bool has_reached_standby(
        const pool_id& target, const order_state& order, instant now) const;
    /// \returns when the list shows the outcome of a move that was confirmed.
    duration outcome_time() const;
    void measure_pools(instant now);
    void measure_usual_capacity();
    void measure_job(const wire::JobT& job, need_map& needs);
    void measure_occurrence(const wire::JobT& job,
        const wire::JobOccurrenceT& occurrence, const wire::JobQueueT& queue,
        vm_need& need) const;
    double vms_for(
        const wire::JobStepT& step, const wire::StepTasksT& group) const;
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
    /// \returns how many of a pool's VMs may be emptied at once.
    std::size_t most_draining(
        const std::string& name, const pool_state& pool) const;
    void shrink(const std::string& name,
        const std::vector<std::string>& short_pools,
        std::vector<vm_order>& orders, instant now);
    void order_move(const vm_id& vm, const std::string& pool,
        const endpoint_life& life, std::vector<vm_order>& orders);
    const std::string* standby_pool() const;

    engine& jobs_;
    vm_manager_options options_;
    instant led_since_{};
    instant list_taken_{};
    instant next_list_{};
    std::map<vm_id, vm_record> list_;
    std::map<vm_id, order_state> maintenance_orders_;
    std::map<vm_id, order_state> move_orders_;
    std::map<vm_id, pool_id> move_targets_;
    // VMs that take no new task: about to be maintained, or about to move.
    std::set<vm_id> chosen_for_wave_;
    std::set<vm_id> chosen_for_move_;
    // VMs whose maintenance was ordered and that aren't back yet: their tasks
    // count as away even while they are still listed.
    std::set<vm_id> maintenance_ordered_;
    // Since when a VM of either set takes no new task.
    std::map<vm_id, instant> reserved_since_;
    std::map<vm_id, std::string> endpoint_of_;
    std::map<std::string, pool_state> pools_;
    std::vector<pool_summary> summaries_;
    // Mean of the VMs that report.
    resources usual_capacity_;
    // Orders that may be given at once; refilled with time.
    double order_budget_ = 0;
    instant budget_filled_{};
    // The most VMs that a pool wanted in the present span of surplus_time and
    // in the one before.
    struct recent_peak {
        instant began{};
        std::size_t present = 0;
        std::size_t before = 0;
    };
    std::map<std::string, recent_peak> peaks_;
    // Moves that the service refused: pools of other kinds of VMs.
    std::set<std::pair<vm_id, pool_id>> refused_moves_;
};

} // namespace dragonflymount::jobs

#endif
