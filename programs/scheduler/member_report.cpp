// Reports members that aren't whole, in bounded volume.
#include "programs/scheduler/member_report.hpp"

#include "dragonflymount/runtime.hpp"

#include <algorithm>

namespace dragonflymount::scheduler_program {
namespace {

// A pause or an election ends sooner.
constexpr duration settle_time = std::chrono::seconds(1);
constexpr duration line_interval = std::chrono::seconds(3);
// A gap that lasts this long won't end by itself soon.
constexpr duration long_gap = std::chrono::minutes(1);
constexpr duration long_gap_interval = std::chrono::minutes(1);

bool may_pass(member_gap gap) {
    return gap == member_gap::lagging || gap == member_gap::silent;
}

// The counts of a member begin at zero when it is admitted under a new
// identity.
std::uint64_t added(std::uint64_t before, std::uint64_t now) {
    return now < before ? now : now - before;
}

} // namespace

std::vector<member_line> member_report::update(
    const group_view& seen, instant now) {
    std::vector<member_line> lines;
    forget_removed(seen);
    for (const member_view& member : seen.others) {
        if (member.gap != member_gap::none) {
            note_gap(member, now, lines);
            continue;
        }
        const auto found = behind_.find(member.subject.id);
        if (found == behind_.end()) {
            continue;
        }
        if (found->second.reported) {
            lines.push_back(
                make_line(event::replica_whole, member, found->second, now));
        }
        behind_.erase(found);
    }
    return lines;
}

member_line member_report::make_line(
    event number, const member_view& member, const gap& noted, instant now) {
    return {number, member, now - noted.begun,
        added(noted.before.sent_bytes, member.sent.sent_bytes),
        added(noted.before.resent_bytes, member.sent.resent_bytes)};
}

void member_report::note_gap(
    const member_view& member, instant now, std::vector<member_line>& lines) {
    gap& noted = behind_
                     .try_emplace(member.subject.id,
                         gap{now, now, false, false, member.sent})
                     .first->second;
    const duration lasted = now - noted.begun;
    if (!noted.reported && may_pass(member.gap) && lasted < settle_time) {
        return;
    }
    if (!noted.late && lasted > catch_up_) {
        noted.late = true;
        noted.reported = true;
        lines.push_back(make_line(event::catch_up_late, member, noted, now));
    }
    if (now < noted.next_line) {
        return;
    }
    noted.reported = true;
    noted.next_line =
        now + (lasted < long_gap ? line_interval : long_gap_interval);
    lines.push_back(make_line(event::replica_behind, member, noted, now));
}

void member_report::forget_removed(const group_view& seen) {
    std::erase_if(behind_, [&](const auto& entry) {
        return std::none_of(seen.others.begin(), seen.others.end(),
            [&](const auto& peer) { return peer.subject.id == entry.first; });
    });
}

duration member_report::behind_for(
    const replica_id& member, instant now) const {
    const auto found = behind_.find(member);
    return found == behind_.end() ? duration::zero()
                                  : now - found->second.begun;
}

void write(const member_line& line, const group_view& seen) {
    const agreement::transfer& sent = line.member.sent;
    const auto severity = line.number == event::replica_whole
        ? google::GLOG_INFO
        : google::GLOG_WARNING;
    google::LogMessage(__FILE__, __LINE__, severity).stream()
        << line.number << "replica=" << line.member.subject.id
        << " gap=" << name_of(line.member.gap)
        << " lasted_us=" << line.lasted.count()
        << " match=" << line.member.match << " last=" << seen.last
        << " records_left=" << line.member.records_left
        << " image_bytes=" << sent.image_bytes
        << " image_received=" << sent.image_received
        << " sent_bytes=" << line.sent_bytes
        << " resent_bytes=" << line.resent_bytes << " voters=" << seen.voters
        << " voters_wanted=" << seen.voters_wanted
        << " spare_disks=" << seen.spare_disks;
}

} // namespace dragonflymount::scheduler_program
