// Parsing of traces.
#include "programs/load/trace.hpp"

#include "dragonflymount/rules.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <random>

namespace dragonflymount::load_program {
namespace {

failure trace_failure(
    const std::string& path, std::size_t line, std::string what) {
    return {make_error_code(errc::invalid_rule), "read trace",
        path + ":" + std::to_string(line), std::move(what)};
}

using fields = std::map<std::string, std::string>;

fields read_fields(const std::vector<std::string>& words) {
    fields read;
    for (std::size_t k = 1; k < words.size(); ++k) {
        const std::size_t equals = words[k].find('=');
        if (equals != std::string::npos) {
            read[words[k].substr(0, equals)] = words[k].substr(equals + 1);
        }
    }
    return read;
}

bool read_time(const fields& read, const std::string& name, duration& target) {
    const auto found = read.find(name);
    if (found == read.end()) {
        return true;
    }
    const auto span = rules::parse_duration(found->second);
    target = span.value_or(target);
    return span.has_value();
}

std::string text_of(const fields& read, const std::string& name) {
    const auto found = read.find(name);
    return found == read.end() ? std::string() : found->second;
}

bool read_request(const fields& read, trace_request& request) {
    request.team = team_id(text_of(read, "team"));
    request.service = service_id(text_of(read, "service"));
    request.id = text_of(read, "id");
    request.idempotent = text_of(read, "idempotent") == "yes";
    request.urgent = text_of(read, "urgent") == "yes";
    request.body = text_of(read, "body");
    std::replace(request.body.begin(), request.body.end(), ',', ' ');
    return read_time(read, "at", request.at) &&
        read_time(read, "deadline", request.deadline) &&
        !request.team.empty() && !request.service.empty() &&
        !request.id.empty();
}

bool read_count(
    const fields& read, const std::string& name, std::uint32_t& target) {
    const auto found = read.find(name);
    if (found == read.end()) {
        return true;
    }
    const auto count = parse_number<std::uint32_t>(found->second);
    target = count.value_or(target);
    return count.has_value();
}

/// Requests of one team and service at a rate.
struct load_line {
    duration from{};
    duration to{};
    /// Mean time between requests.
    duration every{};
    duration run{};
    /// Run times are within this part of \c run, evenly.
    std::uint32_t spread_percent = 50;
    /// Zero for a steady rate.
    duration burst_every{};
    duration burst_for{};
    /// Rate within a burst and between bursts, as parts of the mean rate.
    double burst_rate = 5;
    double quiet_rate = 0.05;
    std::uint32_t seed = 1;
    bool fails = false;
};

bool read_load(const fields& read, load_line& line) {
    line.fails = text_of(read, "fails") == "yes";
    return read_time(read, "from", line.from) &&
        read_time(read, "to", line.to) &&
        read_time(read, "every", line.every) &&
        read_time(read, "run", line.run) &&
        read_time(read, "burst-every", line.burst_every) &&
        read_time(read, "burst-for", line.burst_for) &&
        read_count(read, "spread", line.spread_percent) &&
        read_count(read, "seed", line.seed) && line.every > duration(0) &&
        line.spread_percent <= 100;
}

/// The engine's bits are the same everywhere; the library's distributions
/// are not.
double uniform(std::mt19937& random) {
    return static_cast<double>(random()) /
        (static_cast<double>(std::mt19937::max()) + 1);
}

double rate_at(const load_line& line, duration at) {
    if (line.burst_every <= duration(0)) {
        return 1;
    }
    const bool burst = (at - line.from) % line.burst_every < line.burst_for;
    return burst ? line.burst_rate : line.quiet_rate;
}

void expand(const load_line& line, trace_request pattern, trace& target) {
    std::mt19937 random(line.seed);
    const std::string prefix = pattern.team.str() + "-" +
        pattern.service.str() + "-" + std::to_string(line.seed) + "-" +
        std::to_string(line.from.count()) + "-";
    // Steps are short against the time between requests, so that the rate
    // may change at any moment.
    constexpr std::int64_t steps_per_request = 100;
    const duration step = std::max(duration(1),
        std::min(line.every / steps_per_request,
            duration(std::chrono::milliseconds(10))));
    const double part = static_cast<double>(step.count()) /
        static_cast<double>(line.every.count());
    std::size_t number = 0;
    for (duration at = line.from; at < line.to; at += step) {
        if (uniform(random) >= part * rate_at(line, at)) {
            continue;
        }
        const double spread = line.spread_percent / 100.0;
        const double factor = 1 + spread * (2 * uniform(random) - 1);
        const auto run = static_cast<std::int64_t>(
            static_cast<double>(line.run.count()) * factor / 1000);
        pattern.at = at;
        pattern.id = prefix + std::to_string(number++);
        pattern.body = "run=" + std::to_string(run) + "ms size=100" +
            (line.fails ? " fail" : "");
        target.requests.push_back(pattern);
    }
}

bool read_load_line(const fields& read, trace& target) {
    load_line line;
    fields named = read;
    named["id"] = "load";
    trace_request pattern;
    if (!read_load(read, line) || !read_request(named, pattern)) {
        return false;
    }
    expand(line, std::move(pattern), target);
    return true;
}

bool read_fault(const fields& read, trace_fault& fault) {
    constexpr std::array names{"vm-lost", "rack-lost", "zone-cut", "bad-worker",
        "key-withdrawn", "cancellations"};
    const auto* const found =
        std::find(names.begin(), names.end(), text_of(read, "kind"));
    fault.kind = static_cast<fault_kind>(found - names.begin());
    fault.name = text_of(read, "name");
    return found != names.end() && !fault.name.empty() &&
        read_time(read, "at", fault.at) && read_time(read, "for", fault.span);
}

bool read_fleet(const fields& read, trace_fleet& fleet) {
    return read_count(read, "zones", fleet.zones) &&
        read_count(read, "workers", fleet.workers) &&
        read_count(read, "slots", fleet.slots) &&
        read_count(read, "connections", fleet.connections) &&
        read_count(read, "rack", fleet.workers_per_rack) && fleet.zones > 0 &&
        fleet.workers_per_rack > 0;
}

/// Reads "answered>=0.99".
bool read_expectation(const std::string& word, expectation& stated) {
    const std::size_t begin = word.find_first_of("<>=");
    if (begin == std::string::npos || begin == 0) {
        return false;
    }
    const std::size_t end = word.find_first_not_of("<>=", begin);
    if (end == std::string::npos) {
        return false;
    }
    const auto bound = parse_number<double>(word.substr(end));
    stated = {word.substr(0, begin), word.substr(begin, end - begin),
        bound.value_or(0)};
    return bound.has_value() &&
        (stated.comparison == ">=" || stated.comparison == "<=" ||
            stated.comparison == "=");
}

} // namespace

result<trace> parse_trace(const std::string& text, const std::string& path) {
    trace read;
    std::size_t number = 0;
    for (const std::string& raw : split(text, '\n')) {
        ++number;
        const std::vector<std::string> words =
            words_of(std::string_view(raw).substr(0, raw.find('#')));
        if (words.empty()) {
            continue;
        }
        if (words.front() == "request") {
            trace_request request;
            if (!read_request(read_fields(words), request)) {
                return trace_failure(path, number,
                    "a request needs team, service, id and valid times");
            }
            read.requests.push_back(std::move(request));
        } else if (words.front() == "load") {
            if (!read_load_line(read_fields(words), read)) {
                return trace_failure(path, number,
                    "a load needs from, to, team, service, every and run");
            }
        } else if (words.front() == "fault") {
            trace_fault fault;
            if (!read_fault(read_fields(words), fault)) {
                return trace_failure(
                    path, number, "a fault needs at, kind and name");
            }
            read.faults.push_back(std::move(fault));
        } else if (words.front() == "fleet") {
            if (!read_fleet(read_fields(words), read.fleet)) {
                return trace_failure(
                    path, number, "a fleet needs counts above zero");
            }
        } else if (words.front() == "expect" && words.size() == 2) {
            expectation stated;
            if (!read_expectation(words[1], stated)) {
                return trace_failure(
                    path, number, "expected a bound such as answered>=0.99");
            }
            read.expectations.push_back(std::move(stated));
        } else {
            return trace_failure(
                path, number, "expected request, load, fault, fleet or expect");
        }
    }
    std::stable_sort(read.requests.begin(), read.requests.end(),
        [](const trace_request& left, const trace_request& right) {
            return left.at < right.at;
        });
    return read;
}

bool holds(const expectation& stated, double value) {
    if (stated.comparison == ">=") {
        return value >= stated.bound;
    }
    if (stated.comparison == "<=") {
        return value <= stated.bound;
    }
    return value == stated.bound;
}

} // namespace dragonflymount::load_program
