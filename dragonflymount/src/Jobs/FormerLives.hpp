// Lives of endpoints that a later life of the same endpoint has replaced.
//
// An endpoint that is back under its name within a moment takes the reply to
// the last report of its former life: neither the name nor the address tells
// the two apart. The starts in that reply then run in the next life, although
// the log places them in the former one. So these runs haven't ended with the
// former life, until reports of the next one show it.
#ifndef DRAGONFLYMOUNT_JOBS_FORMER_LIVES_HPP
#define DRAGONFLYMOUNT_JOBS_FORMER_LIVES_HPP

#include "dragonflymount/src/Jobs/State.hpp"

#include <set>

namespace dragonflymount::jobs {

/// \brief What a leader knows of a life that has been replaced.
struct former_life {
    /// Runs that a reply to this life may still start.
    std::set<run_ref> starts;
    /// When endpoints drop the reply to the last report of this life.
    instant replies_end{};
    /// Time by which the lease in that reply has expired.
    instant lease_ends{};
};

/// \brief The lives that this leader has heard and that were replaced.
class former_lives {
public:
    void clear() { lives_.clear(); }
    void add(const endpoint_life& life, former_life known) {
        lives_.insert_or_assign(life, std::move(known));
    }
    /// \returns what is known of \p life, or null if this leader hasn't heard
    /// it, or hasn't replaced it, or its leases have expired.
    const former_life* find(const endpoint_life& life) const {
        const auto found = lives_.find(life);
        return found == lives_.end() ? nullptr : &found->second;
    }
    /// \brief Forgets the lives whose leases have expired.
    void expire(instant now) {
        std::erase_if(lives_, [now](const auto& entry) {
            return now >= entry.second.lease_ends;
        });
    }

private:
    std::map<endpoint_life, former_life> lives_;
};

/// \returns the record of a run that \p life lists although the log places it
/// in a former life of the same endpoint, or null.
const wire::TaskRunT* find_former_run(
    const state& agreed, const endpoint_life& life, const run_ref& run);

} // namespace dragonflymount::jobs

#endif
