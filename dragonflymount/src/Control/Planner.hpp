// Turns the entries' reports into the leader's decisions: it appoints
// coordinators, divides the teams' limits among the zones and assigns VMs to
// pools. Decisions are commands for the log; they take effect once committed.
#ifndef DRAGONFLYMOUNT_CONTROL_PLANNER_HPP
#define DRAGONFLYMOUNT_CONTROL_PLANNER_HPP

#include "dragonflymount/src/Control/State.hpp"
#include "dragonflymount/src/Fleet/FleetPlanner.hpp"

namespace dragonflymount::control {

struct planner_options {
    /// Entries may accept requests for this long after the leader last had
    /// contact with a majority. A withdrawn key is rejected by every entry
    /// once this time has passed.
    duration freshness_lease = std::chrono::seconds(3);
    /// A coordinator may start tasks for this long after its last heartbeat.
    duration zone_lease = std::chrono::seconds(5);
    /// How long an endpoint may run a task after its lease was renewed.
    duration task_lease = std::chrono::seconds(15);
    /// An entry is considered failed after this long without a heartbeat.
    duration entry_timeout = std::chrono::seconds(3);
};

/// \brief The leader's view of one entry.
struct entry_view {
    availability_zone_id zone;
    std::string address;
    rules_version version;
    instant last_beat{};
    bool stopping = false;
    std::uint64_t incarnation = 0;
    /// The last heartbeat of each incarnation of the entry. Times older than
    /// the zone lease are removed.
    std::map<std::uint64_t, instant> beats;
};

class planner {
public:
    explicit planner(planner_options options) : options_(options) {}

    /// \brief Discards all reports; call when leadership begins.
    void reset(instant now);
    /// \brief Records an entry's report.
    void report(const wire::EntryBeatT& beat, instant now);
    /// \returns the reply to \p beat: the entry's leases, rules and routes.
    /// \param quorum the last time at which a majority was known to follow
    /// this leader.
    wire::EntryLeaseT lease_for(const wire::EntryBeatT& beat,
        const state& agreed, instant quorum, instant now) const;
    /// \returns commands to propose.
    /// \param time_of_day UTC, for maintenance windows.
    std::vector<bytes> decide(const state& agreed, instant now,
        std::chrono::minutes time_of_day = {});

    const std::map<entry_id, entry_view>& entries() const { return entries_; }
    const fleet::fleet_planner& fleet() const { return fleet_; }
    /// \returns the VM records together with the current reports on the VMs.
    fleet::fleet_view view_of(const state& agreed, instant now,
        std::chrono::minutes time_of_day) const;

private:
    struct zone_view {
        zone_epoch epoch;
        wire::EntryBeatT report;
        instant last_report{};
    };

    instant last_beat_of(const coordinator_record& held) const;
    void appoint(
        const state& agreed, instant now, std::vector<bytes>& commands);
    static void reassign_if_restarted(const vm_id& vm, const vm_record& held,
        const wire::VmSummaryT& summary, std::vector<bytes>& commands);
    void reassign_restarted_vms(
        const state& agreed, std::vector<bytes>& commands) const;
    /// One zone's part of one team's limit, with the amounts that the zone
    /// reported, in tasks.
    struct zone_part {
        state::grant_key key;
        zone_epoch epoch;
        grant_record held;
        // The coordinator has confirmed that it runs no more than this.
        std::uint32_t confirmed = 0;
        std::uint32_t wanted = 0;
    };

    bool is_reporting(const availability_zone_id& zone,
        const coordinator_record& held, instant now) const;
    bool is_hold_expired(const availability_zone_id& zone,
        const rules::rule_set& rules, instant now) const;
    void grant(const state& agreed, instant now, std::vector<bytes>& commands);
    void grant_team(const state& agreed, const team_id& team, instant now,
        std::vector<bytes>& commands);
    std::vector<zone_part> collect_parts(const state& agreed,
        const team_id& team, instant now, std::vector<bytes>& commands) const;
    static void read_report(const wire::EntryBeatT& report, zone_part& part);
    static bytes encode_set_grant(const zone_part& part, std::uint32_t amount);

    planner_options options_;
    instant leading_since_{};
    std::map<entry_id, entry_view> entries_;
    std::map<availability_zone_id, zone_view> zones_;
    // The target amounts that coordinators are asked to reduce to.
    std::map<state::grant_key, std::uint32_t> targets_;
    fleet::fleet_planner fleet_;
};

} // namespace dragonflymount::control

#endif
