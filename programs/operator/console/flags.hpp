// The flags of the command line, and where the replicas are found.
#ifndef DRAGONFLYMOUNT_OPERATOR_CONSOLE_FLAGS_HPP
#define DRAGONFLYMOUNT_OPERATOR_CONSOLE_FLAGS_HPP

#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

/// \brief The words and flags of one call.
struct call {
    std::vector<std::string> words;
    options given;
    bool help = false;
    /// What was expected; empty if the call is well formed.
    std::string error;
};

/// \brief Reads flags by Abseil; an unknown flag or a malformed value is an
/// error of the call, not an end of the process.
call read_call(int argc, char** argv);

} // namespace dragonflymount::operator_program

#endif
