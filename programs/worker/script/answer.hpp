// What a request's body asks of the stand-in, and the answer it gives.
//
// The load tool computes the same answer and so can tell a whole answer to
// its own request from any other.
#ifndef DRAGONFLYMOUNT_WORKER_ANSWER_HPP
#define DRAGONFLYMOUNT_WORKER_ANSWER_HPP

#include "dragonflymount/core.hpp"

#include <string>

namespace dragonflymount::worker_program {

/// \brief What a task does: "run=50ms size=1000", or "fail".
struct task_script {
    duration run{};
    std::size_t answer_bytes = 0;
    bool fails = false;
};

task_script parse_script(const std::string& body);

/// \returns the answer to the request \p id with \p body.
bytes expected_answer(const std::string& id, const std::string& body);

} // namespace dragonflymount::worker_program

#endif
