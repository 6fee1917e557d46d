// What a replay in virtual time knows of requests, VMs and zones.
#ifndef DRAGONFLYMOUNT_LOAD_SITE_STATE_HPP
#define DRAGONFLYMOUNT_LOAD_SITE_STATE_HPP

#include "programs/load/virtual/report.hpp"

#include <functional>
#include <set>

namespace dragonflymount::load_program {

struct request_state {
    const trace_request* request = nullptr;
    std::size_t zone = 0;
    /// Grows with each start, so that the end of a lost task is ignored.
    std::uint32_t attempt = 0;
    bool running = false;
    bool ran = false;
    vm_id vm;
    instant started{};
    ending end = ending::none;
};

struct vm_state {
    std::size_t zone = 0;
    pool_id pool;
    policy::vm_view view;
    bool lost = false;
    bool bad = false;
    std::set<request_key> tasks;
};

struct zone_state {
    explicit zone_state(const policy::dispatcher_options& options)
        : dispatcher(options) {}

    policy::dispatcher dispatcher;
    std::map<team_id, std::uint32_t> running;
    bool cut = false;
};

/// \brief What happens at an instant; in order of scheduling if several do.
struct timed_event {
    instant at;
    std::uint64_t number = 0;
    std::function<void()> action;

    bool operator<(const timed_event& other) const {
        return std::tie(other.at, other.number) < std::tie(at, number);
    }
};

} // namespace dragonflymount::load_program

#endif
