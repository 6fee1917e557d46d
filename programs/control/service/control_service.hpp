// The control process's face to replicas, entries and operators.
#ifndef DRAGONFLYMOUNT_CONTROL_SERVICE_CONTROL_SERVICE_HPP
#define DRAGONFLYMOUNT_CONTROL_SERVICE_CONTROL_SERVICE_HPP

#include "programs/control/planning/planner_loop.hpp"

#include <nlohmann/json.hpp>

namespace dragonflymount::control_program {

class control_service {
public:
    control_service(asio::io_context& context, std::string address,
        runtime::connection_options connections, replica_host& replica,
        planner_loop& planning);

    std::string name() const { return "service"; }
    result<done> start();
    void stop();

private:
    void receive(
        const runtime::connection::pointer& from, wire::message&& content);
    void receive_beat(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::EntryBeatT& beat);
    void receive_proposal(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::ProposeT& proposal);
    void receive_change(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::ChangeReplicaT& change);
    void receive_query(const runtime::connection::pointer& from,
        std::uint64_t correlation, const wire::QueryT& query);

    nlohmann::json describe_rules() const;
    nlohmann::json describe_history() const;
    nlohmann::json describe_entries() const;
    std::string describe_metrics() const;
    nlohmann::json describe_state() const;
    nlohmann::json describe_replica() const;

    std::string address_;
    runtime::listener listener_;
    replica_host& replica_;
    planner_loop& planning_;
};

} // namespace dragonflymount::control_program

#endif
