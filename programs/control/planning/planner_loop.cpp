// The leader's planning loop.
#include "programs/control/planning/planner_loop.hpp"

#include "programs/control/service/applied_log.hpp"

namespace dragonflymount::control_program {
namespace {

constexpr duration decision_interval = std::chrono::milliseconds(200);

} // namespace

std::chrono::minutes time_of_day() {
    constexpr std::uint64_t ms_of_day = 24ULL * 60 * 60 * 1000;
    return std::chrono::duration_cast<std::chrono::minutes>(
        std::chrono::milliseconds(runtime::wall_time_ms() % ms_of_day));
}

planner_loop::planner_loop(asio::io_context& context, replica_host& replica,
    control::planner_options options)
    : replica_(replica), planner_(options),
      timer_(context, decision_interval, [this] { decide(); }) {}

result<done> planner_loop::start() {
    replica_.on_leadership([this](bool leads) {
        if (leads) {
            planner_.reset(runtime::system_clock::now());
        }
    });
    timer_.start();
    return done{};
}

void planner_loop::stop() {
    timer_.stop();
}

std::optional<wire::EntryLeaseT> planner_loop::receive(
    const wire::EntryBeatT& beat) {
    if (!replica_.is_settled_leader()) {
        return std::nullopt;
    }
    const instant now = runtime::system_clock::now();
    planner_.report(beat, now);
    log_quarantine(beat);
    wire::EntryLeaseT lease = planner_.lease_for(
        beat, replica_.agreed(), replica_.replica().quorum_instant(), now);
    lease.term = replica_.replica().term().value();
    lease.leader = replica_.replica().self().str();
    return lease;
}

void planner_loop::log_quarantine(const wire::EntryBeatT& beat) {
    for (const auto& vm : beat.vms) {
        const vm_id name(vm->vm);
        if (!vm->quarantined) {
            quarantined_.erase(name);
        } else if (quarantined_.insert(name).second) {
            LOG(WARNING) << event::vm_quarantined << "vm=" << name
                         << " zone=" << beat.zone;
        }
    }
}

void planner_loop::decide() {
    if (!replica_.is_settled_leader() || under_way_ > 0) {
        return;
    }
    auto commands = planner_.decide(
        replica_.agreed(), runtime::system_clock::now(), time_of_day());
    for (const bytes& command : commands) {
        ++under_way_;
        replica_.propose(
            command, [this, command](const wire::ProposeReplyT& reply) {
                --under_way_;
                log_applied(command, reply, replica_.agreed());
            });
    }
}

} // namespace dragonflymount::control_program
