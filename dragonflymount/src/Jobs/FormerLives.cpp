// Finds runs that were started in a later life than the log says.
#include "dragonflymount/src/Jobs/FormerLives.hpp"

namespace dragonflymount::jobs {

const wire::TaskRunT* find_former_run(
    const state& agreed, const endpoint_life& life, const run_ref& run) {
    const wire::TaskRunT* record = agreed.find_run(run);
    const bool is_former = record != nullptr &&
        record->endpoint == life.endpoint && record->life < life.number;
    return is_former ? record : nullptr;
}

} // namespace dragonflymount::jobs
