// Forecasts the room of a rack and weighs a wait against a start elsewhere.
#include "dragonflymount/src/Jobs/RackForecast.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// Time from the end of a task until another starts in its room: a report, two
// batches and the reply.
constexpr double turnover_ms = 150;

bool is_earlier(const room_release& one, const room_release& other) {
    return one.in_ms < other.in_ms;
}

} // namespace

void rack_forecast::add_endpoint(
    const resources& free, std::vector<room_release> releases) {
    std::sort(releases.begin(), releases.end(), &is_earlier);
    endpoints_.push_back({free, 0, std::move(releases)});
}

std::optional<rack_place> rack_forecast::earliest(const resources& need) const {
    std::optional<rack_place> best;
    for (std::size_t k = 0; k < endpoints_.size(); ++k) {
        const endpoint_room& endpoint = endpoints_[k];
        resources room = endpoint.free;
        double at_ms = endpoint.from_ms;
        auto next = endpoint.releases.begin();
        while (!need.fits(room) && next != endpoint.releases.end()) {
            room += next->room;
            at_ms = next->in_ms;
            ++next;
        }
        if (need.fits(room) && (!best || at_ms < best->in_ms)) {
            best = {k, at_ms};
        }
    }
    return best;
}

void rack_forecast::book(
    const rack_place& place, const resources& need, double run_ms) {
    endpoint_room& endpoint = endpoints_[place.endpoint];
    auto next = endpoint.releases.begin();
    for (; next != endpoint.releases.end() && next->in_ms <= place.in_ms;
         ++next) {
        endpoint.free += next->room;
    }
    endpoint.releases.erase(endpoint.releases.begin(), next);
    endpoint.free -= need;
    endpoint.from_ms = place.in_ms;
    const room_release end{place.in_ms + turnover_ms + run_ms, need};
    endpoint.releases.insert(std::upper_bound(endpoint.releases.begin(),
                                 endpoint.releases.end(), end, &is_earlier),
        end);
}

bool wait_pays(const wait_terms& terms) {
    const double wait_ms = terms.wait_ms + turnover_ms;
    return wait_ms + terms.run_ms < terms.remote_factor * terms.run_ms &&
        terms.waited_ms + wait_ms <= longest_place_wait_ms;
}

} // namespace dragonflymount::jobs
