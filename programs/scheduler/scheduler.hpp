// The scheduler process: a replica of the agreed job state and the engine,
// which places jobs while this replica is the leader.
#ifndef DRAGONFLYMOUNT_SCHEDULER_SCHEDULER_HPP
#define DRAGONFLYMOUNT_SCHEDULER_SCHEDULER_HPP

#include "dragonflymount/hosting.hpp"
#include "dragonflymount/jobs.hpp"
#include "dragonflymount/src/Runtime/Metrics.hpp"
#include "programs/scheduler/decision_log.hpp"
#include "programs/scheduler/load_log.hpp"
#include "programs/scheduler/member_keeper.hpp"
#include "programs/scheduler/member_report.hpp"

namespace dragonflymount::scheduler_program {

struct scheduler_settings {
    hosting::replica_settings replica;
    jobs::engine_options engine;
    /// "IP:port" for replicas and gateways.
    std::string listen;
    /// Number of voting replicas: 2n + 1 tolerate the loss of n disks.
    std::size_t voters = 3;
    /// Time within which a replica whose disk was lost has to be whole again;
    /// a longer one is reported.
    duration catch_up = std::chrono::seconds(6);
    /// The site's availability zones; may be empty.
    std::vector<std::string> zones;
};

class scheduler {
public:
    scheduler(asio::io_context& context, scheduler_settings settings);

    std::string name() const { return "scheduler"; }
    result<done> start();
    void stop();

    /// \returns whether this replica leads and no other replica can have been
    /// elected. Callers must check this before each use of \c engine.
    bool is_ready();
    /// \brief Proposes the decisions that the engine has gathered, as one
    /// batch. Callers must call this after each use of \c engine.
    void propose_batch();
    jobs::engine& engine() { return engine_; }
    const jobs::state& agreed() const { return replica_.agreed(); }
    const replica_host& replica() const { return replica_; }
    load_log& load() { return load_; }
    /// \brief Sets the source of the counts of connections in the load log.
    void on_load_line(std::function<connection_counts()> connections) {
        connections_ = std::move(connections);
    }
    /// \brief Replaces the replicas that the settings name.
    void set_seeds(agreement::member_list seeds) {
        replica_.set_seeds(std::move(seeds));
    }
    /// \brief Begins or ends the evacuation of a zone. Callers must check
    /// \c is_ready before.
    /// \param on_reply called once: accepted after the change is agreed,
    /// refused with a detail if the site has no such zone, or unavailable if
    /// the lead was lost.
    void evacuate(const wire::EvacuateT& order,
        std::function<void(const wire::ProposeReplyT&)> on_reply);
    /// \returns the metrics of this process as text.
    std::string metrics() const;
    /// \returns the name of the leader, empty if none is known.
    const std::string& leader() const {
        return replica_.replica().leader().str();
    }
    /// \brief Sets the handler for changes of leadership: called with true
    /// when this replica becomes the leader, with false when it ceases to be.
    void on_leadership(std::function<void(bool)> handler) {
        on_leadership_ = std::move(handler);
    }

private:
    void receive(
        const runtime::connection::pointer& from, wire::message&& content);
    void receive_call(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::JobCallT& call);
    void receive_evacuation(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::EvacuateT& order);
    void receive_query(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::QueryT& query);
    void receive_reform(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::ReformGroupT& order);
    nlohmann::json describe_group() const;
    bool has_zone(const availability_zone_id& zone) const;
    /// \returns true for the first reply on a connection since the members
    /// changed.
    bool owes_members_to(const runtime::connection& gateway);
    void add_leader_hints(wire::JobReplyT& reply) const;
    void change_leadership(bool leads);
    void complete_batch(const wire::JobBatchT& batch, log_term term,
        instant proposed, bool agreed);
    void add_group_metrics(runtime::metrics_page& page) const;
    void tick();
    void report_members(instant now);
    /// Reports a lead that began without the votes of lost disks.
    void report_reform() const;
    void note_lag(duration lag);

    asio::io_context& context_;
    scheduler_settings settings_;
    replica_host replica_;
    jobs::engine engine_;
    decision_log decisions_;
    member_keeper members_;
    member_report report_;
    instant next_report_{};
    runtime::listener listener_;
    runtime::repeating_timer timer_;
    std::function<void(bool)> on_leadership_;
    bool proposing_ = false;
    // The members that the gateways in told_gateways_ have been told, by number
    // of their connection.
    agreement::member_list told_members_;
    std::set<std::uint64_t> told_gateways_;
    instant last_tick_{};
    load_log load_;
    std::function<connection_counts()> connections_;
    // Times from the proposal of a batch until it was agreed.
    runtime::time_summary agreement_times_;
};

} // namespace dragonflymount::scheduler_program

#endif
