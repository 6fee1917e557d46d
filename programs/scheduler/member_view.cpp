// Finds the members that aren't whole.
#include "programs/scheduler/member_view.hpp"

#include "dragonflymount/src/Agreement/LostSeats.hpp"

#include <algorithm>

namespace dragonflymount::scheduler_program {
namespace {

using nlohmann::json;

// Longer than a heartbeat interval and a round trip.
constexpr duration silent_after = std::chrono::seconds(1);

member_gap find_gap(const agreement::replica& leader,
    const agreement::member& peer, bool wants_voters, instant now) {
    if (leader.unadmitted().contains(peer.id)) {
        return member_gap::new_disk;
    }
    if (!leader.has_answered(peer.id) ||
        now - leader.acknowledged(peer.id) > silent_after) {
        return member_gap::silent;
    }
    if (!peer.voter && wants_voters) {
        return member_gap::no_vote;
    }
    return leader.has_caught_up(peer.id) ? member_gap::none
                                         : member_gap::lagging;
}

// Which of the sound voters lose their disks makes no difference, so the leader
// stays and the others go one after another, each back under a new identity.
std::size_t count_spare_disks(
    const agreement::replica& leader, const group_view& seen) {
    const auto& members = leader.members();
    agreement::attempt_answers attempt;
    attempt.answers[leader.self()] = {leader.identity(), true};
    std::size_t silent_voters = 0;
    std::vector<replica_id> sound;
    for (const member_view& peer : seen.others) {
        const replica_id& id = peer.subject.id;
        if (peer.gap == member_gap::silent) {
            silent_voters += peer.subject.voter ? 1 : 0;
        } else if (peer.gap == member_gap::new_disk) {
            attempt.answers[id] = {leader.unadmitted().at(id)};
        } else {
            attempt.answers[id] = {peer.subject.identity, peer.subject.voter};
            if (peer.subject.voter) {
                sound.push_back(id);
            }
        }
    }
    if (seen.voters - silent_voters <
        agreement::commit_quorum(members, seen.voters_wanted)) {
        return 0;
    }
    std::size_t spare = 0;
    for (const replica_id& id : sound) {
        attempt.answers[id] = {agreement::replica_identity()};
        if (!agreement::has_majority(members, attempt) &&
            !agreement::may_lead_without_lost(
                members, seen.voters_wanted, attempt)) {
            break;
        }
        ++spare;
    }
    return spare;
}

json describe(const agreement::member& peer) {
    return {{"replica", peer.id.str()}, {"address", peer.address},
        {"zone", peer.zone.str()}, {"identity", peer.identity.value()},
        {"voter", peer.voter}};
}

json describe(const member_view& peer) {
    json content = describe(peer.subject);
    content["gap"] = name_of(peer.gap);
    content["match"] = peer.match.value();
    content["records_left"] = peer.records_left;
    content["sent_bytes"] = peer.sent.sent_bytes;
    content["resent_bytes"] = peer.sent.resent_bytes;
    content["image_bytes"] = peer.sent.image_bytes;
    content["image_received"] = peer.sent.image_received;
    return content;
}

} // namespace

std::string_view name_of(member_gap value) {
    switch (value) {
    case member_gap::none:
        return "none";
    case member_gap::new_disk:
        return "new_disk";
    case member_gap::no_vote:
        return "no_vote";
    case member_gap::lagging:
        return "lagging";
    case member_gap::silent:
        return "silent";
    }
    return "unknown";
}

group_view view_group(
    const agreement::replica& leader, std::size_t voters_wanted, instant now) {
    group_view seen;
    seen.last = leader.last_index();
    seen.voters = agreement::voter_count(leader.members());
    seen.voters_wanted = voters_wanted;
    for (const agreement::member& peer : leader.members()) {
        if (peer.id == leader.self()) {
            continue;
        }
        member_view view{peer,
            find_gap(leader, peer, seen.voters < voters_wanted, now),
            leader.match_index(peer.id), 0, {}};
        view.records_left =
            seen.last.value() - std::min(seen.last, view.match).value();
        view.sent = leader.transfer_to(peer.id).value_or(agreement::transfer());
        seen.others.push_back(std::move(view));
    }
    seen.spare_disks = count_spare_disks(leader, seen);
    return seen;
}

json describe_members(
    const agreement::replica& asked, std::size_t voters_wanted, instant now) {
    const auto& members = asked.members();
    json content = {{"replica", asked.self().str()},
        {"identity", asked.identity().value()},
        {"role", agreement::name_of(asked.current_role())},
        {"term", asked.term().value()},
        {"last_index", asked.last_index().value()},
        {"last_term", asked.last_term().value()},
        {"commit", asked.commit_index().value()},
        {"hears", asked.hears_leader(now) ? asked.leader().str() : ""},
        {"voters", agreement::voter_count(members)},
        {"voters_wanted", voters_wanted},
        {"commit_quorum", agreement::commit_quorum(members, voters_wanted)},
        {"members", json::array()}};
    if (!asked.is_leader()) {
        for (const agreement::member& peer : members) {
            content["members"].push_back(describe(peer));
        }
        return content;
    }
    const group_view seen = view_group(asked, voters_wanted, now);
    content["spare_disks"] = seen.spare_disks;
    for (const agreement::member& peer : members) {
        if (peer.id == asked.self()) {
            content["members"].push_back(describe(peer));
        }
    }
    for (const member_view& peer : seen.others) {
        content["members"].push_back(describe(peer));
    }
    return content;
}

} // namespace dragonflymount::scheduler_program
