// Implements the table of claimed requests.
#include "dragonflymount/src/Control/Claims.hpp"

#include <algorithm>
#include <cstring>

namespace dragonflymount::control {

claim_digest digest_of(const request_key& key) {
    std::string text = key.team.str();
    text.push_back('\0');
    text += key.id;
    const bytes hash = sha256(to_bytes(text));
    claim_digest digest;
    std::memcpy(&digest.high, hash.data(), sizeof digest.high);
    std::memcpy(
        &digest.low, hash.data() + sizeof digest.high, sizeof digest.low);
    return digest;
}

std::uint16_t claim_table::intern(const availability_zone_id& zone) {
    const auto found = std::find(zones_.begin(), zones_.end(), zone);
    if (found != zones_.end()) {
        return static_cast<std::uint16_t>(found - zones_.begin());
    }
    zones_.push_back(zone);
    return static_cast<std::uint16_t>(zones_.size() - 1);
}

void claim_table::insert(
    const claim_digest& digest, claim made, log_position position) {
    ages_.push_back({position.time_ms, digest, made.task});
    claims_[digest] = made;
}

// The upper 32 bits of a task id hold the epoch of the coordinator that
// issued it.
bool claim_table::may_replace(
    const claim& held, const claimant& requester) const {
    const bool same_zone = zones_.at(held.zone) == requester.zone;
    if (held.outcome == wire::outcome::not_run) {
        return !same_zone || requester.task > held.task;
    }
    const bool earlier_epoch =
        held.task.value() >> 32U < requester.task.value() >> 32U;
    return held.outcome == wire::outcome::none && same_zone && earlier_epoch &&
        requester.reclaimable_after &&
        held.index > *requester.reclaimable_after;
}

const claim& claim_table::acquire(
    const request_key& key, const claimant& requester, log_position position) {
    const claim_digest digest = digest_of(key);
    const auto found = claims_.find(digest);
    if (found == claims_.end() || may_replace(found->second, requester)) {
        insert(digest,
            {requester.task, intern(requester.zone), wire::outcome::none,
                position.index},
            position);
    }
    return claims_.at(digest);
}

void claim_table::finish(const request_key& key, const claimant& holder,
    wire::outcome outcome, log_position position) {
    const claim_digest digest = digest_of(key);
    const auto found = claims_.find(digest);
    if (found == claims_.end()) {
        if (outcome == wire::outcome::not_run) {
            insert(digest,
                {holder.task, intern(holder.zone), outcome, position.index},
                position);
        }
    } else if (found->second.task == holder.task) {
        found->second.outcome = outcome;
    }
}

void claim_table::expire(std::uint64_t log_time_ms) {
    const auto retention_ms = static_cast<std::uint64_t>(
        std::chrono::milliseconds(retention).count());
    while (!ages_.empty() &&
        ages_.front().log_time_ms + retention_ms < log_time_ms) {
        const auto found = claims_.find(ages_.front().digest);
        if (found != claims_.end() &&
            found->second.task == ages_.front().task) {
            claims_.erase(found);
        }
        ages_.pop_front();
    }
}

const claim* claim_table::find(const request_key& key) const {
    const auto found = claims_.find(digest_of(key));
    return found == claims_.end() ? nullptr : &found->second;
}

const availability_zone_id& claim_table::zone_of(const claim& held) const {
    return zones_.at(held.zone);
}

void claim_table::save(wire::ControlImageT& image) const {
    for (const availability_zone_id& zone : zones_) {
        image.zones.push_back(zone.str());
    }
    for (const claim_age& age : ages_) {
        const auto found = claims_.find(age.digest);
        if (found == claims_.end() || found->second.task != age.task) {
            continue;
        }
        const claim& held = found->second;
        auto record = std::make_unique<wire::ClaimRecordT>();
        record->digest_high = age.digest.high;
        record->digest_low = age.digest.low;
        record->task = held.task.value();
        record->zone = held.zone;
        record->log_time_ms = age.log_time_ms;
        record->outcome = held.outcome;
        record->index = held.index.value();
        image.claims.push_back(std::move(record));
    }
}

void claim_table::load(const wire::ControlImageT& image) {
    *this = claim_table();
    for (const std::string& zone : image.zones) {
        zones_.push_back(availability_zone_id(zone));
    }
    for (const auto& record : image.claims) {
        const claim_digest digest{record->digest_high, record->digest_low};
        claims_.emplace(digest,
            claim{task_id(record->task), record->zone, record->outcome,
                log_index(record->index)});
        ages_.push_back({record->log_time_ms, digest, task_id(record->task)});
    }
}

} // namespace dragonflymount::control
