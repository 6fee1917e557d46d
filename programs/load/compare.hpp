// Replays a folder of traces under the policy and its baselines.
#ifndef DRAGONFLYMOUNT_LOAD_COMPARE_HPP
#define DRAGONFLYMOUNT_LOAD_COMPARE_HPP

#include <ostream>
#include <string>

namespace dragonflymount::load_program {

/// \brief Prints one column per policy for each FOLDER/DEPLOYMENT/*.trace,
/// with the rules in FOLDER/DEPLOYMENT/rules.txt.
/// \returns whether the policy meets every stated outcome.
bool compare(const std::string& folder, std::ostream& out);

} // namespace dragonflymount::load_program

#endif
