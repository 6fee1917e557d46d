// Measures the turns of a replica and logs the slow ones.
#include "dragonflymount/src/Hosting/TurnLog.hpp"

#include "dragonflymount/runtime.hpp"

#include <algorithm>

namespace dragonflymount::hosting {

void turn_log::begin() {
    begun_ = runtime::system_clock::now();
}

void turn_log::note_written() {
    written_ = runtime::system_clock::now();
}

void turn_log::note_applied(std::size_t records) {
    applied_ = runtime::system_clock::now();
    records_ = records;
}

void turn_log::end(log_index through, duration threshold) {
    const instant now = runtime::system_clock::now();
    const duration taken = now - begun_;
    longest_ = std::max(longest_, taken);
    total_ += taken;
    if (taken < threshold) {
        return;
    }
    LOG(WARNING) << event::turn_slow << "records=" << records_
                 << " through=" << through
                 << " write_us=" << (written_ - begun_).count()
                 << " apply_us=" << (applied_ - written_).count()
                 << " rest_us=" << (now - applied_).count();
}

} // namespace dragonflymount::hosting
