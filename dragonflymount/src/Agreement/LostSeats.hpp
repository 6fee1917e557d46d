// Decides when a record is committed while some seats are empty, and when a
// replica may lead without the voters whose disks are lost.
//
// The functions are pure. docs/design/agreement.md, "Lost seats", argues why
// they are safe together.
#ifndef DRAGONFLYMOUNT_AGREEMENT_LOST_SEATS_HPP
#define DRAGONFLYMOUNT_AGREEMENT_LOST_SEATS_HPP

#include "dragonflymount/src/Agreement/Types.hpp"

#include <map>
#include <set>

namespace dragonflymount::agreement {

std::size_t voter_count(const member_list& members);

/// \brief How many voters must hold a record before it is committed.
/// \param seats the target number of voters; zero: a majority of voters.
std::size_t commit_quorum(const member_list& members, std::size_t seats);

/// \returns a number that is the same on all replicas for the same list.
std::uint64_t digest_of(const member_list& members);

/// \brief What a replica answered in one attempt of an election.
struct vote_answer {
    replica_identity identity;
    bool granted = false;
    /// Its log is newer than the candidate's, and holds another member list.
    bool newer_list = false;
};

/// \brief The answers to one attempt of an election, the candidate's own vote
/// among them.
struct attempt_answers {
    std::map<replica_id, vote_answer> answers;
    /// Members that the operator has named as lost. One that answers under its
    /// listed identity isn't.
    std::set<replica_id> declared_lost;
};

/// \returns whether a majority of the voters in \p members granted its vote.
bool has_majority(const member_list& members, const attempt_answers& attempt);

/// \brief Whether a candidate with the member list \p members, which lacks a
/// majority, holds all records that were committed under this list or a later
/// one.
///
/// It does if each voter has granted its vote or lost its disk, fewer disks are
/// lost than voters hold each record, and no learner may have become a voter
/// without the candidate's knowledge.
bool may_lead_without_lost(const member_list& members, std::size_t seats,
    const attempt_answers& attempt);

/// \brief The member list with which a leader without a majority begins.
struct reformed_group {
    /// Lost voters are learners under the identities that have answered.
    /// Members that were declared lost and didn't answer are removed.
    member_list members;
    std::vector<replica_id> lost_voters;
};

reformed_group reform_members(
    const member_list& members, const attempt_answers& attempt);

} // namespace dragonflymount::agreement

#endif
