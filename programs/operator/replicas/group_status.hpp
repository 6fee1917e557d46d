// What the answers of scheduler replicas say of their group, in plain words.
#ifndef DRAGONFLYMOUNT_OPERATOR_REPLICAS_GROUP_STATUS_HPP
#define DRAGONFLYMOUNT_OPERATOR_REPLICAS_GROUP_STATUS_HPP

#include "dragonflymount/core.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace dragonflymount::operator_program {

/// \brief What became of the query "members" at one address.
struct replica_answer {
    std::string address;
    /// Null if there was no answer.
    nlohmann::json content;
    std::string error;
};

enum class replica_state : std::uint8_t {
    leads,
    /// It answers under its admitted identity and has a sound disk.
    sound,
    /// It answers under another identity than the member list has.
    new_identity,
    /// Its disk is damaged or refuses writes.
    failed_disk,
    silent,
    /// It answers, but the member list doesn't name it.
    no_member,
};

std::string_view name_of(replica_state value);

/// \brief One line of the table.
struct replica_row {
    std::string name;
    std::string address;
    replica_state state = replica_state::silent;
    bool voter = false;
    /// Of its own last record; zero if it is silent.
    std::uint64_t term = 0;
    std::uint64_t last_index = 0;
    /// Why the leader doesn't count it as whole, "none" if it does; empty
    /// without a leader.
    std::string gap;
    std::uint64_t records_left = 0;
    std::int64_t behind_us = 0;
};

/// \brief The group as the answers tell it.
struct group_status {
    std::vector<replica_row> rows;
    /// Index of the leader in \c rows, negative if none leads.
    int leader = -1;
    /// Index of the admitted voter with the newest log, which an election
    /// would make the leader; negative if none answers.
    int newest = -1;
    std::size_t voters = 0;
    std::size_t voters_wanted = 0;
    /// How many voters must answer with their log, so that a leader is elected
    /// and commits.
    std::size_t needed = 0;
    std::size_t spare_disks = 0;
    /// What it means and what to do next.
    std::string verdict;

    bool has_leader() const { return leader >= 0; }
    const replica_row* find(const std::string& name) const;
    /// \returns the names of the members in \p state.
    std::vector<std::string> members_in(replica_state state) const;
    /// \returns the names of the voters in \p state.
    std::vector<std::string> voters_in(replica_state state) const;
};

/// \param answers one for each address; the list of members is taken from the
/// leader's, or else from that with the newest log.
group_status assess(const std::vector<replica_answer>& answers);

/// \returns why the group can't go on without \p lost, empty if it may.
std::string find_objection(
    const group_status& group, const std::vector<std::string>& lost);

/// \returns the table and the verdict.
std::string table_of(const group_status& group);
nlohmann::json to_json(const group_status& group);

} // namespace dragonflymount::operator_program

#endif
