// Decisions per second, and sizes and costs of the periodic messages.
#include "programs/load/measure/measure.hpp"

#include "dragonflymount/control.hpp"
#include "dragonflymount/policy.hpp"
#include "dragonflymount/zone.hpp"

#include <algorithm>
#include <iomanip>

namespace dragonflymount::load_program {
namespace {

using steady = std::chrono::steady_clock;

constexpr std::uint32_t slots_per_vm = 8;
constexpr std::uint32_t vms_per_rack = 4;

double seconds_since(steady::time_point begin) {
    return std::chrono::duration<double>(steady::now() - begin).count();
}

double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

std::string name(const char* prefix, std::size_t number) {
    return prefix + std::to_string(number);
}

rules::rule_set make_rules(std::size_t pools, std::size_t teams) {
    rules::rule_set rules;
    for (std::size_t k = 0; k < pools; ++k) {
        const pool_id pool(name("pool-", k));
        rules.pools[pool].name = pool;
        rules.pools[pool].size = 8;
        const service_id service(name("service-", k));
        rules.services[service] = {service, pool, std::chrono::seconds(1)};
    }
    for (std::size_t k = 0; k < teams; ++k) {
        const team_id team(name("team-", k));
        rules.teams[team] = {
            team, static_cast<std::uint32_t>(100 / teams), 1000};
    }
    return rules;
}

policy::vm_view make_vm(std::size_t number) {
    return {vm_id(name("vm-", number)),
        rack_id(name("rack-", number / vms_per_rack)), slots_per_vm, 64, 0,
        true};
}

// ---- Decisions -------------------------------------------------------------

/// The linear way: a vector over all VMs for each start.
std::optional<vm_id> scan(
    const std::map<vm_id, std::pair<pool_id, policy::vm_view>>& vms,
    const pool_id& pool) {
    std::vector<policy::vm_view> candidates;
    for (const auto& [vm, known] : vms) {
        if (known.first == pool && known.second.available) {
            candidates.push_back(known.second);
        }
    }
    const policy::vm_view* best = nullptr;
    for (const policy::vm_view& view : candidates) {
        if (view.running < view.slots &&
            (best == nullptr ||
                view.running * best->slots < best->running * view.slots)) {
            best = &view;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<vm_id>(best->vm);
}

double scans_per_second(std::size_t workers, std::size_t pools) {
    std::map<vm_id, std::pair<pool_id, policy::vm_view>> vms;
    for (std::size_t k = 0; k < workers; ++k) {
        const policy::vm_view vm = make_vm(k);
        vms[vm.vm] = {pool_id(name("pool-", k % pools)), vm};
    }
    constexpr std::size_t decisions = 2000;
    std::size_t placed = 0;
    const auto begin = steady::now();
    for (std::size_t k = 0; k < decisions; ++k) {
        const auto vm = scan(vms, pool_id(name("pool-", k % pools)));
        placed += vm ? 1 : 0;
    }
    return static_cast<double>(placed) / seconds_since(begin);
}

struct dispatch_rates {
    /// Queue, start and end of a request.
    double whole = 0;
    /// The start alone.
    double starts = 0;
};

dispatch_rates dispatches_per_second(
    std::size_t workers, std::size_t pools, std::size_t teams) {
    policy::dispatcher dispatcher;
    dispatcher.configure(make_rules(pools, teams));
    for (std::size_t k = 0; k < workers; ++k) {
        dispatcher.update_vm(pool_id(name("pool-", k % pools)), make_vm(k));
    }
    constexpr std::size_t decisions = 20000;
    const auto may_start = [](const team_id&) { return true; };
    instant now = instant() + std::chrono::hours(1);
    double start_seconds = 0;
    const auto begin = steady::now();
    for (std::size_t k = 0; k < decisions; ++k) {
        now += std::chrono::microseconds(100);
        const std::size_t pool = k % pools;
        const request_key key{
            team_id(name("team-", k % teams)), std::to_string(k)};
        dispatcher.push({key, service_id(name("service-", pool)),
                            now + std::chrono::seconds(60), false, 100, {}},
            now);
        const auto begin_start = steady::now();
        const auto started =
            dispatcher.next(pool_id(name("pool-", pool)), may_start, now);
        start_seconds += seconds_since(begin_start);
        if (started) {
            dispatcher.end(started->key,
                {policy::task_end::kind::answered, std::chrono::seconds(1),
                    false},
                now);
        }
    }
    return {decisions / seconds_since(begin), decisions / start_seconds};
}

void measure_decisions(std::ostream& out) {
    out << "decisions per second (5 pools, 6 teams; last line 82 and 36)\n"
        << "workers      scan     start  queue+start+end\n";
    const auto line = [&](std::size_t workers, std::size_t pools,
                          std::size_t teams) {
        const dispatch_rates rates =
            dispatches_per_second(workers, pools, teams);
        out << std::setw(7) << workers << std::setw(10)
            << scans_per_second(workers, pools) << std::setw(10) << rates.starts
            << std::setw(17) << rates.whole << '\n';
    };
    for (const std::size_t workers : {50U, 200U, 440U, 880U}) {
        line(workers, 5, 6);
    }
    line(880, 82, 36);
}

// ---- Periodic messages -----------------------------------------------------

struct site_size {
    std::size_t workers = 0;
    std::size_t zones = 0;
    std::size_t teams = 0;
    std::size_t withdrawn = 0;
};

struct message_cost {
    std::size_t bytes = 0;
    double microseconds = 0;
};

/// Size of a frame, and the time to build, encode and decode it.
template <class Build>
message_cost cost_of(Build build) {
    constexpr int rounds = 200;
    message_cost cost;
    const auto begin = steady::now();
    for (int k = 0; k < rounds; ++k) {
        const bytes frame = wire::encode_frame(wire::make_message(build()));
        const auto header = wire::decode_header(frame);
        const auto back = wire::decode_payload(
            *header, std::span(frame).subspan(wire::frame_header_bytes));
        cost.bytes = back ? frame.size() : 0;
    }
    cost.microseconds = seconds_since(begin) * 1e6 / rounds;
    return cost;
}

zone::coordinator make_coordinator(const site_size& size, zone_epoch epoch) {
    const instant now = instant() + std::chrono::hours(1);
    zone::coordinator made({}, epoch, now);
    for (std::size_t k = 0; k < size.workers / size.zones; ++k) {
        wire::AnnounceT announce;
        announce.vm = name("z1-vm", k);
        announce.rack = name("z1-rack", k / vms_per_rack);
        announce.slots = slots_per_vm;
        announce.connections = 64;
        made.announce(announce, now);
    }
    return made;
}

std::string make_rules_text(std::size_t teams) {
    std::string text = "pool p size=8 # M\n";
    for (std::size_t k = 0; k < teams; ++k) {
        text += name("team t", k) + " share=" +
            std::to_string(100 / teams + (k < 100 % teams ? 1 : 0)) +
            "% limit=1000 # M\n";
    }
    return text;
}

struct agreed_site {
    control::state state;
    log_index index;
    std::vector<zone_epoch> epochs;

    template <class Content>
    wire::ProposeReplyT apply(Content content) {
        index = index.next();
        return state.apply(index, wire::encode_command(std::move(content)));
    }
};

agreed_site make_state(const site_size& size) {
    agreed_site site;
    wire::ApplyRulesT rules;
    rules.text = make_rules_text(size.teams);
    rules.author = "M";
    rules.submission = "s";
    site.apply(std::move(rules));
    for (std::size_t z = 0; z < size.zones; ++z) {
        wire::AppointCoordinatorT command;
        command.zone = name("z", z + 1);
        command.entry = name("e", z + 1);
        command.address = "127.0.0.1:10000";
        site.apply(std::move(command));
        const zone_epoch epoch = site.state.coordinators()
                                     .at(availability_zone_id(name("z", z + 1)))
                                     .epoch;
        for (std::size_t t = 0; t < size.teams; ++t) {
            wire::SetGrantT grant;
            grant.zone = name("z", z + 1);
            grant.team = name("t", t);
            grant.amount = 10;
            grant.zone_epoch = epoch.value();
            site.apply(std::move(grant));
        }
    }
    for (std::size_t k = 0; k < size.workers; ++k) {
        wire::AssignVmT assign;
        assign.zone = name("z", k % size.zones + 1);
        assign.vm = assign.zone + name("-vm", k);
        assign.rack = assign.zone + name("-rack", k / vms_per_rack);
        assign.pool = "p";
        site.apply(std::move(assign));
    }
    for (std::size_t k = 0; k < size.withdrawn; ++k) {
        wire::WithdrawKeyT withdraw;
        withdraw.digest = std::string(56, 'a') + std::to_string(10000000 + k);
        withdraw.author = "M";
        site.apply(std::move(withdraw));
    }
    return site;
}

void measure_messages(std::ostream& out) {
    out << "\nperiodic messages between a zone's coordinator and the leader\n"
        << "workers zones teams withdrawn   beat B  beat us  lease B lease us"
           "  image B\n";
    const std::vector<site_size> sizes{{50, 3, 6, 10}, {200, 3, 6, 10},
        {440, 3, 6, 10}, {880, 3, 6, 10}, {880, 12, 6, 10}, {880, 12, 36, 10},
        {880, 12, 36, 100}, {880, 12, 36, 1000}};
    for (const site_size& size : sizes) {
        const agreed_site site = make_state(size);
        const auto held =
            site.state.coordinators().at(availability_zone_id("z1"));
        const zone::coordinator coordinator =
            make_coordinator(size, held.epoch);
        const auto build_beat = [&] {
            wire::EntryBeatT beat;
            beat.entry = "e1";
            beat.zone = "z1";
            beat.address = "127.0.0.1:10000";
            beat.rules_version = site.state.version().value();
            coordinator.report(beat);
            return beat;
        };
        const instant now = instant() + std::chrono::hours(1);
        const control::planner planner({});
        const message_cost beat = cost_of(build_beat);
        const message_cost lease = cost_of([&] {
            return planner.lease_for(build_beat(), site.state, now, now);
        });
        out << std::setw(7) << size.workers << std::setw(6) << size.zones
            << std::setw(6) << size.teams << std::setw(10) << size.withdrawn
            << std::setw(9) << beat.bytes << std::setw(9) << beat.microseconds
            << std::setw(9) << lease.bytes << std::setw(9) << lease.microseconds
            << std::setw(9) << site.state.save().size() << '\n';
    }
}

/// Processor time of an idle coordinator's ticks.
void measure_ticks(std::ostream& out) {
    constexpr duration tick_interval = std::chrono::milliseconds(5);
    constexpr int ticks = 2000;
    out << "\nidle coordinator, a tick each 5 ms\nVMs of the zone   ns a tick"
           "   percent of a core\n";
    for (const std::size_t workers : {17U, 74U, 294U}) {
        zone::coordinator coordinator =
            make_coordinator({workers, 1, 6, 0}, zone_epoch(1));
        instant now = instant() + std::chrono::hours(1);
        const auto begin = steady::now();
        for (int k = 0; k < ticks; ++k) {
            now += tick_interval;
            coordinator.tick(now);
        }
        const double seconds = seconds_since(begin) / ticks;
        out << std::setw(15) << workers << std::setw(12) << seconds * 1e9
            << std::setw(20) << std::setprecision(3)
            << seconds * 100 / seconds_of(tick_interval) << std::setprecision(0)
            << '\n';
    }
}

} // namespace

void measure(std::ostream& out) {
    out << std::fixed << std::setprecision(0);
    measure_decisions(out);
    measure_messages(out);
    measure_ticks(out);
}

} // namespace dragonflymount::load_program
