// A small deterministic model of a fleet under the fleet decisions, in
// virtual time: VMs drain, restart, fail and come back. For tests of the
// decisions and for the measurement of roll-out times.
#ifndef DRAGONFLYMOUNT_LOAD_FLEET_FLEET_MODEL_HPP
#define DRAGONFLYMOUNT_LOAD_FLEET_FLEET_MODEL_HPP

#include "dragonflymount/fleet.hpp"

#include <functional>
#include <string>

namespace dragonflymount::load_program {

/// \brief The size of a site.
struct fleet_shape {
    std::uint32_t vms = 50;
    std::uint32_t pools = 5;
    std::uint32_t zones = 3;
    std::uint32_t vms_per_rack = 4;
    /// The part of each pool that must stay available.
    std::uint32_t min_available_percent = 60;
};

/// \brief What a modelled VM does.
struct model_vm {
    std::uint64_t incarnation = 1;
    std::uint32_t running = 0;
    bool lost = false;
    bool leaving = false;
    bool quarantined = false;
    /// A task that doesn't end and can't be checkpointed.
    bool held = false;
    /// When its tasks have ended, once it drains.
    instant drained_at = instant::max();
    /// When it is back from its restart.
    instant back_at = instant::max();
};

struct model_options {
    duration drain_time = std::chrono::seconds(60);
    duration reboot_time = std::chrono::seconds(180);
    std::uint32_t slots = 8;
    fleet::wave_options wave;
};

class fleet_model {
public:
    fleet_model(const fleet_shape& shape, model_options options)
        : options_(options), planner_(options.wave) {
        add_rules(shape);
        add_vms(shape);
    }

    fleet::refusal command(const std::string& verb, const std::string& wave) {
        wire::WaveCommandT command;
        command.verb = verb;
        command.wave = wave;
        command.pool = "all";
        command.author = "Mette";
        return waves_.apply(command, rules, log_time_ms());
    }

    /// \brief Lets \p span pass, then takes one round of decisions.
    fleet::wave_decisions step(duration span) {
        now_ += span;
        for (auto& [vm, each] : vms) {
            advance(vm, each);
        }
        const fleet::fleet_view seen = view();
        fleet::budget stops(seen);
        fleet::wave_decisions decisions =
            planner_.decide(waves_, seen, stops, now_);
        for (const auto& assignment : decisions.assignments) {
            table_.assign(assignment, next_index(), zone_epoch(1));
        }
        for (const auto& progress : decisions.progress) {
            waves_.apply(progress, rules);
        }
        return decisions;
    }

    fleet::fleet_view view() const {
        fleet::fleet_view seen{
            rules, table_, {}, {}, {}, {}, log_time_ms(), time_of_day()};
        for (const auto& [vm, record] : table_.all()) {
            seen.reporting_zones.insert(record.zone);
            seen.reports[vm] = report_of(vms.at(vm), record);
        }
        return seen;
    }

    /// \returns how many VMs the wave has maintained.
    std::size_t count_maintained(const std::string& wave) const {
        const std::uint64_t started = wave_of(wave).started_ms;
        std::size_t count = 0;
        for (const auto& [vm, record] : table_.all()) {
            count += record.maintained_ms >= started ? 1 : 0;
        }
        return count;
    }

    const fleet::wave_record& wave_of(const std::string& wave) const {
        return waves_.all().at(wave_id(wave));
    }
    const fleet::vm_table& table() const { return table_; }
    const fleet::wave_planner& planner() const { return planner_; }
    instant now() const { return now_; }
    /// \brief A new leader has seen nothing yet.
    void change_leader() { planner_.reset(); }

    rules::rule_set rules;
    std::map<vm_id, model_vm> vms;

private:
    void add_rules(const fleet_shape& shape) {
        for (std::uint32_t k = 0; k < shape.pools; ++k) {
            rules::pool_rule pool;
            pool.name = pool_id("p" + std::to_string(k));
            pool.size = (shape.vms + shape.pools - 1 - k) / shape.pools;
            pool.min_available = pool.size * shape.min_available_percent / 100;
            rules.pools.emplace(pool.name, pool);
        }
    }

    void add_vms(const fleet_shape& shape) {
        for (std::uint32_t k = 0; k < shape.vms; ++k) {
            const std::uint32_t rack = k / shape.vms_per_rack;
            const vm_id vm("v" + std::to_string(k));
            vms[vm] = {};
            fleet::vm_record record;
            record.zone =
                availability_zone_id("z" + std::to_string(rack % shape.zones));
            record.rack = rack_id("r" + std::to_string(rack));
            record.pool = pool_id("p" + std::to_string(k % shape.pools));
            record.incarnation = 1;
            table_.assign(fleet::command_for(vm, record, log_time_ms()),
                next_index(), zone_epoch(1));
        }
    }

    fleet::vm_report report_of(
        const model_vm& vm, const fleet::vm_record& record) const {
        fleet::vm_report report;
        report.coordinator = zone_epoch(1);
        report.epoch = record.epoch;
        report.incarnation = vm.incarnation;
        report.slots = options_.slots;
        report.running = vm.running;
        report.held = vm.held ? 1 : 0;
        report.lost = vm.lost;
        report.leaving = vm.leaving;
        report.quarantined = vm.quarantined;
        report.drained = record.draining && vm.running == 0;
        return report;
    }

    void advance(const vm_id& vm, model_vm& each) {
        const fleet::vm_record& record = *table_.find(vm);
        if (now_ >= each.back_at) {
            each.back_at = instant::max();
            each.lost = false;
            ++each.incarnation;
        }
        if (each.lost) {
            return;
        }
        if (!record.draining) {
            each.drained_at = instant::max();
            each.running = options_.slots;
            return;
        }
        if (each.drained_at == instant::max()) {
            each.drained_at = now_ + options_.drain_time;
        }
        if (now_ >= each.drained_at && !each.held) {
            each.running = 0;
        }
        if (record.reboot && each.running == 0 &&
            record.incarnation == each.incarnation) {
            each.lost = true;
            each.back_at = now_ + options_.reboot_time;
            each.drained_at = instant::max();
        }
    }

    std::uint64_t log_time_ms() const {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now_.time_since_epoch())
                .count());
    }

    std::chrono::minutes time_of_day() const {
        return std::chrono::duration_cast<std::chrono::minutes>(
            now_.time_since_epoch() % std::chrono::hours(24));
    }

    log_index next_index() { return index_ = index_.next(); }

    model_options options_;
    fleet::wave_planner planner_;
    fleet::vm_table table_;
    fleet::wave_table waves_;
    log_index index_;
    // Day 1, 20:00.
    instant now_{std::chrono::hours(44)};
};

} // namespace dragonflymount::load_program

#endif
