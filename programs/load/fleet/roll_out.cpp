// Waves over modelled fleets of three sizes.
#include "programs/load/fleet/roll_out.hpp"

#include "programs/load/fleet/fleet_model.hpp"

#include <iomanip>

namespace dragonflymount::load_program {
namespace {

constexpr duration round = std::chrono::seconds(10);
constexpr duration longest = std::chrono::hours(42 * 24);

struct site {
    const char* name = "";
    fleet_shape shape;
};

struct roll_out {
    bool finished = false;
    duration taken{};
    std::uint32_t most_down = 0;
    duration forecast{};
};

std::uint32_t count_down(const fleet_model& model) {
    std::uint32_t count = 0;
    for (const auto& [vm, record] : model.table().all()) {
        count += record.draining ? 1 : 0;
    }
    return count;
}

roll_out measure(const fleet_shape& shape, bool one_at_a_time) {
    model_options options;
    options.wave.one_at_a_time = one_at_a_time;
    fleet_model model(shape, options);
    model.command("start", "wave");
    const instant begin = model.now();
    roll_out measured;
    const duration cycle = options.drain_time + options.reboot_time;
    // Made for the budgets' way; one at a time takes a cycle for each VM.
    measured.forecast = one_at_a_time
        ? cycle * shape.vms
        : fleet::time_left(model.view(), model.wave_of("wave"), cycle)
              .value_or(duration(0));
    while (!model.wave_of("wave").is_over() && model.now() - begin < longest) {
        model.step(round);
        measured.most_down = std::max(measured.most_down, count_down(model));
    }
    measured.finished =
        model.wave_of("wave").state == fleet::wave_state::finished;
    measured.taken = model.now() - begin;
    return measured;
}

double to_hours(duration span) {
    return std::chrono::duration<double, std::ratio<3600>>(span).count();
}

void print(std::ostream& out, const char* name, const char* policy,
    const roll_out& measured) {
    out << std::left << std::setw(12) << name << std::setw(16) << policy
        << std::right << std::fixed << std::setprecision(2) << std::setw(8)
        << to_hours(measured.taken) << std::setw(10)
        << to_hours(measured.forecast) << std::setw(10) << measured.most_down
        << (measured.finished ? "" : "  not finished") << '\n';
}

} // namespace

bool print_roll_out(std::ostream& out) {
    // Sites of today, and the size that is planned for.
    const site sites[] = {{"lindqvist", {50, 5, 3, 4, 60}},
        {"haneul", {50, 5, 4, 4, 60}}, {"planned", {880, 82, 12, 4, 60}}};
    out << "site        policy             hours  forecast most down\n";
    bool finished = true;
    for (const site& each : sites) {
        const roll_out budgets = measure(each.shape, false);
        const roll_out single = measure(each.shape, true);
        print(out, each.name, "budgets", budgets);
        print(out, each.name, "one at a time", single);
        finished = finished && budgets.finished && single.finished;
    }
    return finished;
}

} // namespace dragonflymount::load_program
