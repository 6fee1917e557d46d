// Applies changes to the set of zones under evacuation, saves and loads it.
#include "dragonflymount/src/Jobs/Evacuations.hpp"

namespace dragonflymount::jobs {

void evacuations::apply(
    const wire::EvacuationChangeT& change, std::uint64_t now_ms) {
    const availability_zone_id zone(change.zone);
    if (change.ends) {
        zones_.erase(zone);
    } else {
        zones_.try_emplace(zone, evacuation{now_ms, change.author});
    }
}

std::vector<wire::EvacuationT> evacuations::save() const {
    std::vector<wire::EvacuationT> saved;
    for (const auto& [zone, begun] : zones_) {
        wire::EvacuationT entry;
        entry.zone = zone.str();
        entry.since_ms = begun.since_ms;
        entry.author = begun.author;
        saved.push_back(std::move(entry));
    }
    return saved;
}

void evacuations::load(
    const std::vector<std::unique_ptr<wire::EvacuationT>>& saved) {
    zones_.clear();
    for (const auto& entry : saved) {
        zones_.emplace(availability_zone_id(entry->zone),
            evacuation{entry->since_ms, entry->author});
    }
}

} // namespace dragonflymount::jobs
