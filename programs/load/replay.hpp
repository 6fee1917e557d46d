// Replays a trace against the entries of a running site, as callers would.
#ifndef DRAGONFLYMOUNT_LOAD_REPLAY_HPP
#define DRAGONFLYMOUNT_LOAD_REPLAY_HPP

#include "programs/load/trace.hpp"

#include <map>

namespace dragonflymount::load_program {

struct replay_options {
    /// "IP:port" of the entries' HTTP faces.
    std::vector<std::string> entries;
    std::map<team_id, std::string> keys;
    /// Callers that wait for an answer at the same time.
    std::size_t callers = 64;
    /// Files in which the stand-ins note each task that they start.
    std::vector<std::string> journals;
};

/// \brief What became of the trace's requests.
struct replay_report {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t failed = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    /// No final answer until the deadline and some seconds more.
    std::size_t lost = 0;
    /// Answers that were not the whole answer to their own request.
    std::size_t wrong = 0;
    /// Non-idempotent requests of which more than one task was started.
    std::size_t doubled = 0;
    /// Requests that were called "not run" of which a task was started.
    std::size_t false_refusals = 0;
    std::size_t retries = 0;
    std::vector<duration> latencies;
    /// Why requests were not answered, and how often.
    std::map<std::string, std::size_t> reasons;

    /// \returns the figure of that name, nothing if there is none.
    std::optional<double> figure(const std::string& name) const;
    void print(std::ostream& out) const;
};

replay_report replay(const trace& recorded, const replay_options& options);

} // namespace dragonflymount::load_program

#endif
