// The scheduler process: a replica of the agreed jobs and, on the leader, the
// engine that places them.
#ifndef DRAGONFLYMOUNT_SCHEDULER_SCHEDULER_HPP
#define DRAGONFLYMOUNT_SCHEDULER_SCHEDULER_HPP

#include "dragonflymount/hosting.hpp"
#include "dragonflymount/jobs.hpp"
#include "dragonflymount/src/Runtime/Metrics.hpp"
#include "programs/scheduler/decision_log.hpp"
#include "programs/scheduler/member_keeper.hpp"

namespace dragonflymount::scheduler_program {

struct scheduler_settings {
    hosting::replica_settings replica;
    jobs::engine_options engine;
    /// "IP:port" for replicas and gateways.
    std::string listen;
    /// Replicas that should vote: two for each lost disk that is borne, and
    /// one.
    std::size_t voters = 3;
};

class scheduler {
public:
    scheduler(asio::io_context& context, scheduler_settings settings);

    std::string name() const { return "scheduler"; }
    result<done> start();
    void stop();

    /// \brief Whether this replica leads and no other can have been elected;
    /// to be asked before each use of \c engine.
    bool is_ready();
    /// \brief Has what the engine gathered agreed; to be called after each
    /// use of \c engine.
    void propose_batch();
    jobs::engine& engine() { return engine_; }
    const jobs::state& agreed() const { return replica_.agreed(); }
    const replica_host& replica() const { return replica_; }
    /// \returns the counters and gauges of this process as a page.
    std::string metrics() const;
    /// \returns the name of the leader, empty if none is known.
    const std::string& leader() const {
        return replica_.replica().leader().str();
    }
    /// \brief Called with each beginning and end of this replica's lead.
    void on_leadership(std::function<void(bool)> handler) {
        on_leadership_ = std::move(handler);
    }

private:
    void receive(
        const runtime::connection::pointer& from, wire::message&& content);
    void receive_call(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::JobCallT& call);
    void add_leader_hints(wire::JobReplyT& reply) const;
    void change_leadership(bool leads);
    void complete_batch(const wire::JobBatchT& batch, log_term term,
        instant proposed, bool agreed);
    void tick();
    void note_lag(duration lag);

    asio::io_context& context_;
    scheduler_settings settings_;
    replica_host replica_;
    jobs::engine engine_;
    decision_log decisions_;
    member_keeper members_;
    runtime::listener listener_;
    runtime::repeating_timer timer_;
    std::function<void(bool)> on_leadership_;
    bool proposing_ = false;
    instant last_tick_{};
    // From a batch's proposal until it was agreed.
    runtime::time_summary agreement_times_;
};

} // namespace dragonflymount::scheduler_program

#endif
