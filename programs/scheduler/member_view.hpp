// What a leader knows of the other members: which of them aren't whole, why,
// and how many further disks the group can lose.
#ifndef DRAGONFLYMOUNT_SCHEDULER_MEMBER_VIEW_HPP
#define DRAGONFLYMOUNT_SCHEDULER_MEMBER_VIEW_HPP

#include "dragonflymount/agreement.hpp"

#include <nlohmann/json.hpp>

namespace dragonflymount::scheduler_program {

/// \brief Why a member isn't whole.
enum class member_gap : std::uint8_t {
    none,
    /// It answers under an identity that isn't admitted yet.
    new_disk,
    /// It is a learner, and the group has fewer voters than wanted.
    no_vote,
    /// It lacks records that were committed when its last round was sent.
    lagging,
    /// It hasn't answered this leader for a second or more.
    silent,
};

std::string_view name_of(member_gap value);

/// \brief A member as the leader sees it.
struct member_view {
    agreement::member subject;
    member_gap gap = member_gap::none;
    log_index match;
    std::uint64_t records_left = 0;
    /// What this leader has sent to it since its admission.
    agreement::transfer sent;
};

/// \brief The group as its leader sees it.
struct group_view {
    log_index last;
    /// Members with a vote, this leader among them.
    std::size_t voters = 0;
    std::size_t voters_wanted = 0;
    /// Further disks that may be lost at once if their replicas come back on
    /// empty ones: a leader is elected all the same, and holds every record.
    std::size_t spare_disks = 0;
    /// The members besides the leader.
    std::vector<member_view> others;
};

/// \param leader a replica that leads.
/// \param voters_wanted the number of voters that the settings ask for.
group_view view_group(
    const agreement::replica& leader, std::size_t voters_wanted, instant now);

/// \returns what \p asked knows of itself and of its members; what it sent to
/// them as well if it leads.
nlohmann::json describe_members(
    const agreement::replica& asked, std::size_t voters_wanted, instant now);

/// \returns the ids of a range, separated by commas.
template <class Ids>
std::string list_of(const Ids& ids) {
    std::string text;
    for (const auto& id : ids) {
        text += (text.empty() ? "" : ",") + id.str();
    }
    return text;
}

} // namespace dragonflymount::scheduler_program

#endif
