// Divides VMs among pools, one class of demand after the other.
#include "dragonflymount/src/Jobs/Allocation.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dragonflymount::jobs {
namespace {

// Least time in which further VMs work off what waits for them. Less would
// take many VMs for a moment.
constexpr double catch_up_ms = 800;

// Bounds the products and sums of demands. A single job may ask for any number
// of tasks' worth of any amount.
constexpr std::size_t max_demand_vms = 1'000'000;

std::size_t sum_of(const std::vector<std::size_t>& amounts) {
    return std::accumulate(amounts.begin(), amounts.end(), std::size_t{0});
}

// Grants each pool the VMs that it lacks.
// \returns the number of VMs that remain.
std::size_t grant_all(std::vector<std::size_t>& given,
    const std::vector<std::size_t>& lacking, std::size_t vms) {
    for (std::size_t k = 0; k < given.size(); ++k) {
        given[k] += lacking[k];
    }
    return vms - sum_of(lacking);
}

// Grants all VMs in proportion to what each pool lacks, rounded to whole VMs by
// the largest remainder method.
void grant_proportionally(std::vector<std::size_t>& given,
    const std::vector<std::size_t>& lacking, std::size_t vms) {
    const std::size_t total = sum_of(lacking);
    std::vector<std::size_t> order(given.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::size_t left = vms;
    for (const std::size_t k : order) {
        const std::size_t part = lacking[k] * vms / total;
        given[k] += part;
        left -= part;
    }
    std::stable_sort(
        order.begin(), order.end(), [&](std::size_t one, std::size_t other) {
            return lacking[one] * vms % total > lacking[other] * vms % total;
        });
    for (std::size_t k = 0; k < left; ++k) {
        ++given[order[k]];
    }
}

} // namespace

double vms_in_time(work_outlook outlook, const vm_supply& supply) {
    std::vector<timed_work> work = std::move(outlook.present);
    const double mean_arrival_ms = supply.order_ms / 2;
    work.push_back({static_cast<std::uint64_t>(
                        mean_arrival_ms + outlook.arriving_within_ms),
        outlook.arrival_rate * supply.order_ms});
    std::sort(work.begin(), work.end(),
        [](const timed_work& one, const timed_work& other) {
            return one.within_ms < other.within_ms;
        });
    const double done_before = supply.working * supply.order_ms;
    double most = 0;
    double sum = 0;
    for (const timed_work& part : work) {
        sum += part.vm_ms;
        const double time_left = std::max(
            catch_up_ms, static_cast<double>(part.within_ms) - supply.order_ms);
        most = std::max(most, (sum - done_before) / time_left);
    }
    return most;
}

std::vector<std::size_t> divide_vms(
    const std::vector<pool_demand>& demands, std::size_t vms) {
    std::vector<std::size_t> given(demands.size(), 0);
    const auto classes = {
        &pool_demand::least, &pool_demand::timely, &pool_demand::all};
    for (const auto wanted : classes) {
        std::vector<std::size_t> lacking;
        for (std::size_t k = 0; k < demands.size(); ++k) {
            const std::size_t most =
                std::min(demands[k].*wanted, max_demand_vms);
            lacking.push_back(most > given[k] ? most - given[k] : 0);
        }
        if (sum_of(lacking) > vms) {
            grant_proportionally(given, lacking, vms);
            return given;
        }
        vms = grant_all(given, lacking, vms);
    }
    return given;
}

} // namespace dragonflymount::jobs
