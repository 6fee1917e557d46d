// Counts seats, and decides on elections without the lost ones.
#include "dragonflymount/src/Agreement/LostSeats.hpp"

#include <algorithm>

namespace dragonflymount::agreement {
namespace {

std::size_t quorum_of(
    std::size_t voters, std::size_t members, std::size_t seats) {
    const std::size_t majority = voters / 2 + 1;
    if (seats == 0) {
        return majority;
    }
    const std::size_t taken = std::min(seats, members);
    return std::min(voters, std::max(majority, taken / 2 + 1));
}

// A member list that follows this one may have committed records of which the
// candidate knows nothing. It has at most one voter less if a living voter was
// taken out, or one seat less if a learner was removed.
std::size_t smallest_next_quorum(
    const member_list& members, std::size_t seats) {
    const std::size_t voters = voter_count(members);
    std::size_t smallest = quorum_of(voters, members.size(), seats);
    if (voters > seats) {
        smallest =
            std::min(smallest, quorum_of(voters - 1, members.size(), seats));
    }
    if (members.size() > voters) {
        smallest =
            std::min(smallest, quorum_of(voters, members.size() - 1, seats));
    }
    return smallest;
}

enum class standing : std::uint8_t { granted, refused, silent, lost };

standing standing_of(const member& peer, const attempt_answers& attempt) {
    const auto found = attempt.answers.find(peer.id);
    if (found == attempt.answers.end()) {
        return attempt.declared_lost.contains(peer.id) ? standing::lost
                                                       : standing::silent;
    }
    if (found->second.identity != peer.identity) {
        return standing::lost;
    }
    return found->second.granted ? standing::granted : standing::refused;
}

} // namespace

std::size_t voter_count(const member_list& members) {
    return static_cast<std::size_t>(std::count_if(members.begin(),
        members.end(), [](const member& peer) { return peer.voter; }));
}

std::size_t commit_quorum(const member_list& members, std::size_t seats) {
    return quorum_of(voter_count(members), members.size(), seats);
}

std::uint64_t digest_of(const member_list& members) {
    // FNV-1a, which gives the same number on all machines.
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325U;
    constexpr std::uint64_t prime = 0x100000001b3U;
    std::uint64_t digest = offset_basis;
    for (const std::uint8_t byte : encode_members(members)) {
        digest = (digest ^ byte) * prime;
    }
    return digest;
}

bool has_majority(const member_list& members, const attempt_answers& attempt) {
    const auto granted =
        std::count_if(members.begin(), members.end(), [&](const member& peer) {
            return peer.voter &&
                standing_of(peer, attempt) == standing::granted;
        });
    return static_cast<std::size_t>(granted) * 2 > voter_count(members);
}

bool may_lead_without_lost(const member_list& members, std::size_t seats,
    const attempt_answers& attempt) {
    const bool shows_newer_list =
        std::any_of(attempt.answers.begin(), attempt.answers.end(),
            [](const auto& entry) { return entry.second.newer_list; });
    if (seats == 0 || shows_newer_list) {
        return false;
    }
    std::size_t lost = 0;
    for (const member& peer : members) {
        const standing stands = standing_of(peer, attempt);
        if (stands == standing::silent ||
            (peer.voter && stands == standing::refused)) {
            return false;
        }
        // A learner that lost its disk may have been a voter before.
        lost += stands == standing::lost ? 1 : 0;
    }
    return !attempt.declared_lost.empty() ||
        lost < smallest_next_quorum(members, seats);
}

reformed_group reform_members(
    const member_list& members, const attempt_answers& attempt) {
    reformed_group reformed;
    for (member peer : members) {
        const bool lost = standing_of(peer, attempt) == standing::lost;
        if (lost && peer.voter) {
            reformed.lost_voters.push_back(peer.id);
        }
        const auto answer = attempt.answers.find(peer.id);
        if (answer == attempt.answers.end()) {
            continue;
        }
        if (lost) {
            peer.voter = false;
            peer.identity = answer->second.identity;
        }
        reformed.members.push_back(std::move(peer));
    }
    return reformed;
}

} // namespace dragonflymount::agreement
