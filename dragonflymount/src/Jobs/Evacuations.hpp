// The availability zones under evacuation: no task is started at their
// endpoints. A part of the replicated job state.
#ifndef DRAGONFLYMOUNT_JOBS_EVACUATIONS_HPP
#define DRAGONFLYMOUNT_JOBS_EVACUATIONS_HPP

#include "dragonflymount/src/Jobs/Types.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymount::jobs {

/// \brief Since when a zone is evacuated, and who asked for it.
struct evacuation {
    /// Log time in milliseconds since 1970.
    std::uint64_t since_ms = 0;
    /// Empty if the request named nobody.
    std::string author;
};

/// \brief A set of zones, each with the time at which its evacuation began.
class evacuations {
public:
    /// \brief Applies one change of an operator. Applying it again changes
    /// nothing: an evacuation keeps the time at which it began.
    /// \param now_ms log time, in milliseconds since 1970.
    void apply(const wire::EvacuationChangeT& change, std::uint64_t now_ms);

    bool contains(const availability_zone_id& zone) const {
        return zones_.contains(zone);
    }
    bool empty() const { return zones_.empty(); }
    /// \brief Whether \p change would change nothing.
    bool satisfies(const wire::EvacuationChangeT& change) const {
        return contains(availability_zone_id(change.zone)) != change.ends;
    }
    const std::map<availability_zone_id, evacuation>& zones() const {
        return zones_;
    }

    std::vector<wire::EvacuationT> save() const;
    void load(const std::vector<std::unique_ptr<wire::EvacuationT>>& saved);

private:
    std::map<availability_zone_id, evacuation> zones_;
};

} // namespace dragonflymount::jobs

#endif
