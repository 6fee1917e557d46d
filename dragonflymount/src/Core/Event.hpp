// Numbered log events.
//
// Each event has a number that never changes and a name; docs/EVENTS.md is
// the catalogue, and a test holds it and this list to each other. Numbers:
// 1xx process, 2xx agreement, 3xx configuration, 4xx membership,
// 5xx requests, 6xx fleet, 7xx connections.
#ifndef DRAGONFLYMOUNT_CORE_EVENT_HPP
#define DRAGONFLYMOUNT_CORE_EVENT_HPP

#include <array>
#include <ostream>
#include <string_view>

namespace dragonflymount {

enum class event : int {
    process_started = 101,
    process_stopping = 102,
    process_stopped = 103,
    child_failed = 104,
    child_restarted = 105,
    restart_budget_spent = 106,
    settings_reloaded = 107,
    settings_refused = 108,
    process_not_started = 109,
    leader_elected = 201,
    leader_lost = 202,
    log_recovered = 203,
    log_tail_cut = 204,
    log_damaged = 205,
    disk_failed = 206,
    snapshot_saved = 207,
    snapshot_installed = 208,
    identity_new = 209,
    disk_regained = 210,
    members_changed = 211,
    turn_slow = 212,
    timers_late = 213,
    leader_load = 214,
    leader_unknown = 215,
    admission_awaited = 216,
    group_reformed = 217,
    replica_behind = 218,
    replica_whole = 219,
    catch_up_late = 220,
    reform_requested = 221,
    rules_accepted = 301,
    rules_refused = 302,
    rules_in_force = 303,
    key_withdrawn = 304,
    lease_expired = 305,
    coordinator_appointed = 401,
    endpoint_joined = 402,
    endpoint_lost = 403,
    endpoint_leaving = 404,
    tasks_adopted = 405,
    vm_quarantined = 406,
    request_refused = 501,
    request_unknown = 502,
    task_rejected = 503,
    claim_refused = 504,
    job_accepted = 510,
    job_cancelled = 511,
    run_started = 512,
    run_ended = 513,
    log_lines_left_out = 514,
    call_refused = 515,
    task_suspected = 516,
    vm_assigned = 601,
    wave_started = 602,
    wave_paused = 603,
    wave_finished = 604,
    vm_maintained = 605,
    catalogue_accepted = 310,
    catalogue_refused = 311,
    report_refused = 410,
    report_not_used = 411,
    vm_entry_refused = 412,
    vm_ordered = 606,
    vm_service_failed = 607,
    pools_divided = 608,
    zone_evacuated = 609,
    zone_evacuation_ended = 610,
    connection_failed = 701,
    frame_refused = 702,
    clients_turned_away = 703,
};

struct event_name {
    event number;
    std::string_view name;
};

inline constexpr std::array event_names{
    event_name{event::process_started, "process_started"},
    event_name{event::process_stopping, "process_stopping"},
    event_name{event::process_stopped, "process_stopped"},
    event_name{event::child_failed, "child_failed"},
    event_name{event::child_restarted, "child_restarted"},
    event_name{event::restart_budget_spent, "restart_budget_spent"},
    event_name{event::settings_reloaded, "settings_reloaded"},
    event_name{event::settings_refused, "settings_refused"},
    event_name{event::process_not_started, "process_not_started"},
    event_name{event::leader_elected, "leader_elected"},
    event_name{event::leader_lost, "leader_lost"},
    event_name{event::log_recovered, "log_recovered"},
    event_name{event::log_tail_cut, "log_tail_cut"},
    event_name{event::log_damaged, "log_damaged"},
    event_name{event::disk_failed, "disk_failed"},
    event_name{event::snapshot_saved, "snapshot_saved"},
    event_name{event::snapshot_installed, "snapshot_installed"},
    event_name{event::identity_new, "identity_new"},
    event_name{event::disk_regained, "disk_regained"},
    event_name{event::members_changed, "members_changed"},
    event_name{event::turn_slow, "turn_slow"},
    event_name{event::timers_late, "timers_late"},
    event_name{event::leader_load, "leader_load"},
    event_name{event::leader_unknown, "leader_unknown"},
    event_name{event::admission_awaited, "admission_awaited"},
    event_name{event::group_reformed, "group_reformed"},
    event_name{event::replica_behind, "replica_behind"},
    event_name{event::replica_whole, "replica_whole"},
    event_name{event::catch_up_late, "catch_up_late"},
    event_name{event::reform_requested, "reform_requested"},
    event_name{event::rules_accepted, "rules_accepted"},
    event_name{event::rules_refused, "rules_refused"},
    event_name{event::rules_in_force, "rules_in_force"},
    event_name{event::key_withdrawn, "key_withdrawn"},
    event_name{event::lease_expired, "lease_expired"},
    event_name{event::coordinator_appointed, "coordinator_appointed"},
    event_name{event::endpoint_joined, "endpoint_joined"},
    event_name{event::endpoint_lost, "endpoint_lost"},
    event_name{event::endpoint_leaving, "endpoint_leaving"},
    event_name{event::tasks_adopted, "tasks_adopted"},
    event_name{event::vm_quarantined, "vm_quarantined"},
    event_name{event::request_refused, "request_refused"},
    event_name{event::request_unknown, "request_unknown"},
    event_name{event::task_rejected, "task_rejected"},
    event_name{event::claim_refused, "claim_refused"},
    event_name{event::job_accepted, "job_accepted"},
    event_name{event::job_cancelled, "job_cancelled"},
    event_name{event::run_started, "run_started"},
    event_name{event::run_ended, "run_ended"},
    event_name{event::log_lines_left_out, "log_lines_left_out"},
    event_name{event::call_refused, "call_refused"},
    event_name{event::task_suspected, "task_suspected"},
    event_name{event::vm_assigned, "vm_assigned"},
    event_name{event::wave_started, "wave_started"},
    event_name{event::wave_paused, "wave_paused"},
    event_name{event::wave_finished, "wave_finished"},
    event_name{event::vm_maintained, "vm_maintained"},
    event_name{event::catalogue_accepted, "catalogue_accepted"},
    event_name{event::catalogue_refused, "catalogue_refused"},
    event_name{event::report_refused, "report_refused"},
    event_name{event::report_not_used, "report_not_used"},
    event_name{event::vm_entry_refused, "vm_entry_refused"},
    event_name{event::vm_ordered, "vm_ordered"},
    event_name{event::vm_service_failed, "vm_service_failed"},
    event_name{event::pools_divided, "pools_divided"},
    event_name{event::zone_evacuated, "zone_evacuated"},
    event_name{event::zone_evacuation_ended, "zone_evacuation_ended"},
    event_name{event::connection_failed, "connection_failed"},
    event_name{event::frame_refused, "frame_refused"},
    event_name{event::clients_turned_away, "clients_turned_away"},
};

constexpr std::string_view name_of(event number) {
    for (const event_name& entry : event_names) {
        if (entry.number == number) {
            return entry.name;
        }
    }
    return "unnamed";
}

/// Writes "E301 rules_accepted ", the head of every log line.
inline std::ostream& operator<<(std::ostream& out, event number) {
    return out << 'E' << static_cast<int>(number) << ' ' << name_of(number)
               << ' ';
}

} // namespace dragonflymount

#endif
