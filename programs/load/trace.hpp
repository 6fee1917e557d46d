// Recorded traces: which requests come when, and the outcomes stated
// beforehand.
//
//   request at=250ms team=archive service=timing id=a-17 idempotent=no
//           deadline=10s body="run=40ms,size=2000"      (on one line)
//   load from=0s to=60s team=archive service=timing every=20ms run=1s
//   fault at=30s kind=rack-lost name=z1-r1 for=20s
//   expect answered>=0.99
//
// A load line stands for many requests, drawn from its seed: the same line
// always gives the same requests. Faults and the fleet are for the replay in
// virtual time.
//
// docs/TRACES.md has all fields.
#ifndef DRAGONFLYMOUNT_LOAD_TRACE_HPP
#define DRAGONFLYMOUNT_LOAD_TRACE_HPP

#include "dragonflymount/core.hpp"

#include <string>
#include <vector>

namespace dragonflymount::load_program {

struct trace_request {
    duration at{};
    team_id team;
    service_id service;
    std::string id;
    bool idempotent = false;
    bool urgent = false;
    duration deadline = std::chrono::seconds(30);
    /// What the stand-in does, for example "run=40ms size=2000".
    std::string body;
};

/// \brief A bound on one figure of a replay.
struct expectation {
    std::string figure;
    std::string comparison;
    double bound = 0;
};

enum class fault_kind : std::uint8_t {
    vm_lost,
    rack_lost,
    /// Its callers and answers don't come through.
    zone_cut,
    /// The VM fails everything that it starts.
    bad_worker,
    key_withdrawn,
    /// A team cancels all that it has queued or running.
    cancellations,
};

struct trace_fault {
    duration at{};
    fault_kind kind = fault_kind::vm_lost;
    /// The VM, rack, zone or team.
    std::string name;
    /// After this, what was lost is back.
    duration span{};
};

/// \brief The workers of a replay in virtual time.
struct trace_fleet {
    std::uint32_t zones = 3;
    std::uint32_t workers = 50;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t workers_per_rack = 4;
};

struct trace {
    trace_fleet fleet;
    /// Invariant: in order of time.
    std::vector<trace_request> requests;
    std::vector<trace_fault> faults;
    std::vector<expectation> expectations;
};

/// \brief Reads a trace; the error names the line.
result<trace> parse_trace(const std::string& text, const std::string& path);

/// \returns whether \p value is within the stated bound.
bool holds(const expectation& stated, double value);

} // namespace dragonflymount::load_program

#endif
