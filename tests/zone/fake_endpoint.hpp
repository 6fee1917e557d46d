// A fake endpoint for the test site. It follows the protocol of
// programs/worker/endpoint but runs no processes: a task ends after the number
// of milliseconds in its request body.
#ifndef DRAGONFLYMOUNT_TESTS_ZONE_FAKE_ENDPOINT_HPP
#define DRAGONFLYMOUNT_TESTS_ZONE_FAKE_ENDPOINT_HPP

#include "dragonflymount/wire.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflymount::testing_site {

inline std::uint64_t to_clock_ms(instant now) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch())
            .count());
}

inline instant lease_end(std::uint64_t announced_ms, std::uint32_t lease_ms) {
    return instant(std::chrono::milliseconds(announced_ms)) +
        from_wire_ms(lease_ms);
}

/// \brief Record of one task that an endpoint started.
struct started_task {
    std::string id;
    std::string pool;
    bool idempotent = false;
    /// The epoch of the coordinator that started the task.
    std::uint64_t zone_epoch = 0;
};

class fake_endpoint {
public:
    struct task {
        wire::TaskReportT report;
        std::string pool;
        instant ends{};
        instant lease_end{};
    };

    vm_id vm;
    availability_zone_id zone;
    std::uint16_t slots = 4;
    std::uint64_t incarnation = 1;
    std::uint64_t zone_epoch = 0;
    std::string pool;
    std::uint64_t assignment_epoch = 0;
    std::string coordinator;
    bool leaving = false;
    instant leaving_since{};
    std::map<std::uint64_t, task> tasks;
    std::set<std::uint64_t> denied;
    std::map<std::uint64_t, instant> confirmed;
    /// Invariant: kept across restarts of the endpoint.
    std::vector<started_task> started;

    void restart() {
        ++incarnation;
        zone_epoch = 0;
        assignment_epoch = 0;
        pool.clear();
        coordinator.clear();
        leaving = false;
        tasks.clear();
        denied.clear();
        confirmed.clear();
    }

    std::size_t running() const {
        std::size_t count = 0;
        for (const auto& [number, held] : tasks) {
            count += held.report.phase == wire::task_phase::running ? 1 : 0;
        }
        return count;
    }

    wire::AnnounceT announcement(instant now) const {
        wire::AnnounceT message;
        message.vm = vm.str();
        message.incarnation = incarnation;
        message.zone = zone.str();
        message.rack = "rack-" + vm.str();
        message.slots = slots;
        message.connections = 8;
        message.leaving = leaving;
        message.zone_epoch = zone_epoch;
        message.clock_ms = to_clock_ms(now);
        for (const auto& [number, held] : tasks) {
            message.tasks.push_back(
                std::make_unique<wire::TaskReportT>(held.report));
        }
        return message;
    }

    /// \returns whether the endpoint accepted a new epoch, which it must
    /// announce.
    bool receive(const std::string& from, const wire::AnnounceReplyT& reply) {
        if (!reply.coordinator || reply.zone_epoch < zone_epoch) {
            return false;
        }
        if (reply.assignment_epoch >= assignment_epoch) {
            pool = reply.pool;
            assignment_epoch = reply.assignment_epoch;
        }
        coordinator = from;
        const bool accepted = reply.zone_epoch > zone_epoch;
        zone_epoch = reply.zone_epoch;
        return accepted;
    }

    /// \returns whether the start order was rejected.
    bool start(const wire::StartTaskT& order, instant now) {
        if (tasks.contains(order.task)) {
            return false;
        }
        if (order.zone_epoch != zone_epoch ||
            order.incarnation != incarnation ||
            order.assignment_epoch != assignment_epoch || order.pool != pool ||
            order.announced_ms + order.lease_ms <= to_clock_ms(now) ||
            leaving || running() >= slots || denied.contains(order.task) ||
            confirmed.contains(order.task)) {
            denied.insert(order.task);
            return true;
        }
        task& held = tasks[order.task];
        held.report.task = order.task;
        held.report.claim = order.claim;
        held.report.team = order.request->team;
        held.report.id = order.request->id;
        held.report.service = order.request->service;
        held.report.idempotent = order.request->idempotent;
        held.pool = pool;
        held.ends = now +
            std::chrono::milliseconds(std::stoi(to_text(order.request->body)));
        held.lease_end = lease_end(order.announced_ms, order.lease_ms);
        started.push_back({order.request->id, pool, order.request->idempotent,
            order.zone_epoch});
        return false;
    }

    void confirm(std::uint64_t number) {
        const auto found = tasks.find(number);
        if (found != tasks.end()) {
            confirmed.emplace(number, found->second.lease_end);
            tasks.erase(found);
        }
    }

    wire::TaskEndedT ended(const task& held) const {
        wire::TaskEndedT message;
        message.task = held.report.task;
        message.ok = true;
        message.body = to_bytes(held.report.id);
        message.digest = sha256(message.body);
        return message;
    }

    /// \returns messages for the tasks that end now, by completion or by the
    /// end of their lease.
    std::vector<wire::TaskEndedT> tick(instant now) {
        std::erase_if(
            confirmed, [&](const auto& held) { return held.second <= now; });
        std::vector<wire::TaskEndedT> messages;
        for (auto& [number, held] : tasks) {
            if (held.report.phase == wire::task_phase::running &&
                (now >= held.ends || now >= held.lease_end)) {
                held.report.phase = wire::task_phase::ended;
                messages.push_back(ended(held));
                messages.back().ok = now >= held.ends;
            }
        }
        return messages;
    }
};

} // namespace dragonflymount::testing_site

#endif
