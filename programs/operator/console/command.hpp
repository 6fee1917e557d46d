// A command of the operators' command line: its words, its help, and what it
// prints.
#ifndef DRAGONFLYMOUNT_OPERATOR_CONSOLE_COMMAND_HPP
#define DRAGONFLYMOUNT_OPERATOR_CONSOLE_COMMAND_HPP

#include "dragonflymount/core.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dragonflymount::operator_program {

/// \brief The flags of one call.
struct options {
    /// Control replicas, "IP:port".
    std::vector<std::string> replicas;
    /// Entries to send a withdrawal to, besides those that the leader knows.
    std::vector<std::string> entries;
    /// Members that a group goes on without.
    std::vector<std::string> without;
    std::string author;
    std::string submission;
    std::string pool;
    /// Version that a change was made from; negative for the one in force.
    std::int64_t base = -1;
    /// Identity of a replica's data folder; zero to ask the replica.
    std::uint64_t identity = 0;
    duration wait_limit{};
    bool wait = false;
    bool yes = false;
    bool json = false;
};

/// \brief What a command ended with.
struct outcome {
    int status = 0;
    /// For people.
    std::string text;
    /// For programs, printed under --json.
    nlohmann::json content = nlohmann::json::object();
};

/// \brief One command of the command line.
struct command {
    std::string name;
    /// The words after the name, as help shows them.
    std::string arguments;
    std::size_t least_arguments = 0;
    std::size_t most_arguments = 0;
    std::string summary;
    /// Flags and exit statuses that are particular to this command.
    std::string details;
    /// The author must be named, since the history keeps it.
    bool needs_author = false;
    bool needs_replicas = true;
    std::function<outcome(
        const std::vector<std::string>& arguments, const options& given)>
        run;
};

/// \brief Something went wrong that the arguments are not to blame for.
outcome failed(const failure& error);
/// \brief The arguments are wrong; \p expected says what was expected.
outcome misused(const std::string& expected);
/// \brief Shows what would be done; nothing was, because --yes is missing.
outcome preview(const std::string& text, nlohmann::json content);

/// \returns help on all commands.
std::string help(const std::vector<command>& all);
/// \returns help on one command.
std::string help(const command& one);

} // namespace dragonflymount::operator_program

#endif
