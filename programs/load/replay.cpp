// Callers that send, retry and check.
#include "programs/load/replay.hpp"

#include "programs/worker/script/answer.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <optional>
#include <ostream>
#include <set>
#include <thread>

namespace dragonflymount::load_program {
namespace {

using steady = std::chrono::steady_clock;

enum class outcome { answered, failed, refused, unknown, lost, wrong };

struct attempt_result {
    outcome end = outcome::lost;
    std::size_t retries = 0;
    /// Why there is no answer, in the entry's words.
    std::string reason;
};

/// Extra time past the deadline after which a request counts as lost.
constexpr std::chrono::seconds patience{20};
constexpr std::chrono::milliseconds reconnect_pause{100};

class caller {
public:
    caller(const replay_options& options, std::size_t first_entry)
        : options_(options), entry_(first_entry) {}

    attempt_result call(const trace_request& request);

private:
    httplib::Result send(const trace_request& request, duration left);
    httplib::Client& client();
    void use_next_entry();

    const replay_options& options_;
    std::size_t entry_;
    std::unique_ptr<httplib::Client> client_;
};

httplib::Client& caller::client() {
    if (!client_) {
        const std::string& address =
            options_.entries[entry_ % options_.entries.size()];
        const std::size_t colon = address.rfind(':');
        client_ = std::make_unique<httplib::Client>(address.substr(0, colon),
            parse_number<int>(address.substr(colon + 1)).value_or(0));
        client_->set_keep_alive(true);
        client_->set_tcp_nodelay(true);
        client_->set_connection_timeout(std::chrono::seconds(1));
    }
    return *client_;
}

void caller::use_next_entry() {
    client_.reset();
    ++entry_;
}

httplib::Result caller::send(const trace_request& request, duration left) {
    const auto key = options_.keys.find(request.team);
    const httplib::Headers headers{
        {"Authorization",
            "Bearer " + (key == options_.keys.end() ? "" : key->second)},
        {"Dfm-Idempotent", request.idempotent ? "true" : "false"},
        {"Dfm-Urgent", request.urgent ? "true" : "false"},
        {"Dfm-Deadline-Ms", std::to_string(to_wire_ms(left))},
    };
    client().set_read_timeout(left + std::chrono::seconds(8));
    return client().Post(
        "/v1/services/" + request.service.str() + "/requests/" + request.id,
        headers, request.body, "application/octet-stream");
}

bool is_whole_answer(
    const trace_request& request, const httplib::Response& response) {
    const bytes expected =
        worker_program::expected_answer(request.id, request.body);
    return response.get_header_value("Dfm-Request") == request.id &&
        to_bytes(response.body) == expected &&
        response.get_header_value("Dfm-Digest") == to_hex(sha256(expected));
}

attempt_result caller::call(const trace_request& request) {
    attempt_result result;
    const auto begin = steady::now();
    const auto give_up = begin + request.deadline + patience;
    outcome last = outcome::lost;
    while (steady::now() < give_up) {
        const auto left = std::max<duration>(std::chrono::seconds(1),
            std::chrono::duration_cast<duration>(
                begin + request.deadline - steady::now()));
        const httplib::Result response = send(request, left);
        if (!response) {
            // The same id through another entry finds the same request.
            use_next_entry();
            ++result.retries;
            std::this_thread::sleep_for(reconnect_pause);
            continue;
        }
        const std::string said = response->get_header_value("Dfm-Outcome");
        if (said == "answered") {
            result.end = is_whole_answer(request, *response) ? outcome::answered
                                                             : outcome::wrong;
            return result;
        }
        result.reason = response->get_header_value("Dfm-Reason");
        if (said == "failed") {
            result.end = outcome::failed;
            return result;
        }
        last = said == "unknown" ? outcome::unknown
            : said == "accepted" ? outcome::lost
                                 : outcome::refused;
        const bool may_retry = said == "accepted" || response->status == 503 ||
            (said == "unknown" && steady::now() < begin + request.deadline);
        const auto wait = parse_number<std::uint32_t>(
            response->get_header_value("Dfm-Retry-After-Ms"))
                              .value_or(500);
        const auto next = steady::now() + std::chrono::milliseconds(wait);
        const bool in_time = next < begin + request.deadline ||
            (said == "accepted" && next < give_up);
        if (!may_retry || !in_time) {
            break;
        }
        ++result.retries;
        std::this_thread::sleep_until(next);
    }
    result.end = last;
    return result;
}

void count(replay_report& report, outcome end) {
    switch (end) {
    case outcome::answered:
        ++report.answered;
        break;
    case outcome::failed:
        ++report.failed;
        break;
    case outcome::refused:
        ++report.refused;
        break;
    case outcome::unknown:
        ++report.unknown;
        break;
    case outcome::lost:
        ++report.lost;
        break;
    case outcome::wrong:
        ++report.wrong;
        break;
    }
}

/// Reads what the stand-ins noted: "team id task vm once".
void read_journals(const std::vector<std::string>& paths,
    const std::set<request_key>& refused, replay_report& report) {
    std::map<request_key, std::size_t> starts;
    for (const std::string& path : paths) {
        std::ifstream input(path);
        std::string team;
        std::string id;
        std::string task;
        std::string vm;
        std::string kind;
        while (input >> team >> id >> task >> vm >> kind) {
            const request_key key{team_id(team), id};
            if (kind == "once") {
                ++starts[key];
            }
            if (refused.contains(key)) {
                ++report.false_refusals;
            }
        }
    }
    for (const auto& [key, number] : starts) {
        report.doubled += number > 1 ? 1 : 0;
    }
}

} // namespace

replay_report replay(const trace& recorded, const replay_options& options) {
    replay_report report;
    report.requests = recorded.requests.size();
    std::set<request_key> refused;
    std::mutex mutex;
    std::atomic<std::size_t> next{0};
    const auto begin = steady::now();
    const auto work = [&](std::size_t number) {
        caller self(options, number);
        while (true) {
            const std::size_t index = next++;
            if (index >= recorded.requests.size()) {
                return;
            }
            const trace_request& request = recorded.requests[index];
            const auto due = begin + request.at;
            std::this_thread::sleep_until(due);
            const attempt_result result = self.call(request);
            const std::lock_guard lock(mutex);
            count(report, result.end);
            report.retries += result.retries;
            if (result.end == outcome::answered) {
                report.latencies.push_back(
                    std::chrono::duration_cast<duration>(steady::now() - due));
                continue;
            }
            ++report.reasons[result.reason];
            if (result.end == outcome::refused) {
                refused.insert({request.team, request.id});
            }
        }
    };
    std::vector<std::thread> callers;
    for (std::size_t k = 0; k < options.callers; ++k) {
        callers.emplace_back(work, k);
    }
    for (std::thread& thread : callers) {
        thread.join();
    }
    std::sort(report.latencies.begin(), report.latencies.end());
    read_journals(options.journals, refused, report);
    return report;
}

std::optional<double> replay_report::figure(const std::string& name) const {
    const double all = requests == 0 ? 1 : static_cast<double>(requests);
    const std::map<std::string, double> figures{
        {"answered", static_cast<double>(answered) / all},
        {"failed", static_cast<double>(failed)},
        {"refused", static_cast<double>(refused)},
        {"unknown", static_cast<double>(unknown)},
        {"lost", static_cast<double>(lost)},
        {"wrong", static_cast<double>(wrong)},
        {"doubled", static_cast<double>(doubled)},
        {"false_refusals", static_cast<double>(false_refusals)},
    };
    const auto found = figures.find(name);
    if (found == figures.end()) {
        return std::nullopt;
    }
    return found->second;
}

void replay_report::print(std::ostream& out) const {
    const auto quantile = [this](std::size_t percent) {
        if (latencies.empty()) {
            return 0.0;
        }
        const std::size_t place = (latencies.size() - 1) * percent / 100;
        return static_cast<double>(latencies[place].count()) / 1000.0;
    };
    out << "requests " << requests << "\nanswered " << answered << "\nfailed "
        << failed << "\nrefused " << refused << "\nunknown " << unknown
        << "\nlost " << lost << "\nwrong " << wrong << "\ndoubled " << doubled
        << "\nfalse_refusals " << false_refusals << "\nretries " << retries
        << "\nlatency_ms p50 " << quantile(50) << " p99 " << quantile(99)
        << " max " << quantile(100) << '\n';
    for (const auto& [reason, number] : reasons) {
        out << "reason " << number << " times: " << reason << '\n';
    }
}

} // namespace dragonflymount::load_program
