// Defines the types of the replicated log: records, members, snapshots and the
// concept of a log store.
#ifndef DRAGONFLYMOUNT_AGREEMENT_TYPES_HPP
#define DRAGONFLYMOUNT_AGREEMENT_TYPES_HPP

#include "dragonflymount/wire.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dragonflymount::agreement {

/// \brief Identifies one data folder. A replica whose disk was lost restarts
/// with a new identity, so it can't vote a second time as the old voter.
using replica_identity = strong_number<struct replica_identity_tag>;

/// The identity of all replicas that were members when the site was
/// initialised.
inline constexpr replica_identity initial_identity{1};

struct member {
    replica_id id;
    std::string address;
    availability_zone_id zone;
    replica_identity identity;
    /// False for a learner, which receives the log but has no vote.
    bool voter = false;

    friend bool operator==(const member&, const member&) = default;
};

using member_list = std::vector<member>;

enum class record_kind : std::uint8_t { command, members };

struct log_record {
    log_term term;
    log_index index;
    record_kind kind = record_kind::command;
    bytes payload;

    friend bool operator==(const log_record&, const log_record&) = default;
};

/// \brief The term and vote that a replica must make durable before it sends a
/// message that depends on them.
struct hard_state {
    log_term term;
    replica_id vote;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// \brief The state after the record at \c last_index was applied. It replaces
/// all records up to and including that index.
struct snapshot {
    log_index last_index;
    log_term last_term;
    member_list members;
    bytes state;
};

/// \brief The state that a store read from disk at startup.
struct recovered_state {
    hard_state hard;
    snapshot base;
    /// Records after \c base, without gaps.
    std::vector<log_record> records;
    replica_identity identity;
    /// Synced data can't be read back: the replica must send no messages.
    bool damaged = false;
};

/// \brief Stores the log, the hard state and the snapshot.
///
/// Data is durable only after \c sync has returned success. \c append discards
/// stored records at and beyond the first index that it is given. After a
/// failure the store refuses all further calls, because the content of the
/// disk after a failed sync is unknown.
template <class Store>
concept log_store = requires(Store& store, std::span<const log_record> records,
    const hard_state& hard, const snapshot& image) {
    { store.append(records) } -> std::same_as<result<done>>;
    { store.save(hard) } -> std::same_as<result<done>>;
    { store.save(image) } -> std::same_as<result<done>>;
    { store.sync() } -> std::same_as<result<done>>;
};

bytes encode_members(const member_list& members);
result<member_list> decode_members(std::span<const std::uint8_t> data);

wire::MemberListT to_wire(const member_list& members);
member_list from_wire(const wire::MemberListT& list);
wire::SnapshotImageT to_wire(const snapshot& image);
snapshot from_wire(const wire::SnapshotImageT& image);

} // namespace dragonflymount::agreement

#endif
