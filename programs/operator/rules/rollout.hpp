// Waiting until a version is in force everywhere.
#ifndef DRAGONFLYMOUNT_OPERATOR_RULES_ROLLOUT_HPP
#define DRAGONFLYMOUNT_OPERATOR_RULES_ROLLOUT_HPP

#include "programs/operator/console/command.hpp"

namespace dragonflymount::operator_program {

/// \param entries the answer to the query "entries".
/// \returns the entries that may still act under an earlier version: they
/// have one, and were heard of within their freshness lease.
std::vector<std::string> entries_behind(
    const nlohmann::json& entries, rules_version version);

/// \brief Polls until no entry is behind \p version, or the limit has passed.
outcome wait_until_in_force(const options& given, rules_version version);

} // namespace dragonflymount::operator_program

#endif
