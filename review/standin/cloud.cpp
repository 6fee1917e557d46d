// Answers the lists and the orders on machines.
#include "review/standin/cloud.hpp"

#include <algorithm>
#include <httplib.h>

namespace dragonflymount::review {
namespace {

constexpr std::int64_t move_ms = 1500;
constexpr std::int64_t upkeep_ms = 2000;
constexpr std::int64_t check_ms = 20;

std::string refusal(const char* reason) {
    return nlohmann::json{{"reason", reason}}.dump();
}

} // namespace

cloud::cloud(record& log, const std::string& address)
    : log_(log), address_(address),
      server_(std::make_unique<httplib::Server>()) {}

cloud::~cloud() {
    stopped_ = true;
    server_->stop();
    if (serving_.joinable()) {
        serving_.join();
    }
    if (returning_.joinable()) {
        returning_.join();
    }
}

void cloud::start() {
    server_->Get("/api/machines",
        [this](const httplib::Request&, httplib::Response& reply) {
            ++open_lists_;
            const std::string text = list();
            const std::int64_t delay = list_delay_ms_;
            for (std::int64_t k = 0; k < delay && !stopped_; k += check_ms) {
                sleep_ms(check_ms);
            }
            reply.set_content(text, "application/json");
            --open_lists_;
            ++lists_;
            log_.line("platform GET machines -> " + text);
        });
    const auto orders = [this](const char* path, bool moves) {
        server_->Post(path,
            [this, moves](
                const httplib::Request& sent, httplib::Response& reply) {
                const auto [status, body] = order(moves, sent.body,
                    sent.get_header_value("X-Dragonflymount-Fencing-Token"),
                    sent.get_header_value("X-Dragonflymount-Duty-Holder"));
                reply.status = status;
                reply.set_content(body, "application/json");
            });
    };
    orders("/api/machine-move", true);
    orders("/api/machine-upkeep", false);
    const std::size_t colon = address_.rfind(':');
    server_->bind_to_port(
        address_.substr(0, colon), std::stoi(address_.substr(colon + 1)));
    serving_ = std::thread([this] { server_->listen_after_bind(); });
    returning_ = std::thread([this] { run(); });
}

void cloud::add(const std::string& machine, listed_machine listed) {
    const std::lock_guard<std::mutex> guard(mutex_);
    machines_[machine].listed = std::move(listed);
    log_.line("platform adds machine " + machine);
}

void cloud::set_state(const std::string& machine, const std::string& state) {
    const std::lock_guard<std::mutex> guard(mutex_);
    machines_[machine].listed.state = state;
}

void cloud::set_id(const std::string& machine, const std::string& id) {
    const std::lock_guard<std::mutex> guard(mutex_);
    machines_[machine].listed.id = id;
}

void cloud::add_to_wave(std::uint64_t wave, const std::string& machine) {
    const std::lock_guard<std::mutex> guard(mutex_);
    waves_[wave].insert(machine);
}

std::set<std::string> cloud::maintained(std::uint64_t wave) const {
    const std::lock_guard<std::mutex> guard(mutex_);
    const auto found = maintained_.find(wave);
    return found == maintained_.end() ? std::set<std::string>() : found->second;
}

std::size_t cloud::most_down(std::uint64_t wave) const {
    const std::lock_guard<std::mutex> guard(mutex_);
    const auto found = most_down_.find(wave);
    return found == most_down_.end() ? 0 : found->second;
}

std::string cloud::list() {
    const std::lock_guard<std::mutex> guard(mutex_);
    nlohmann::json document{
        {"machines", nlohmann::json::array()}, {"next_token", nullptr}};
    for (const auto& [name, each] : machines_) {
        document["machines"].push_back({{"machine", name},
            {"pool", each.listed.pool}, {"state", each.listed.state},
            {"zone", "zone-a"}, {"labels", {"a", "r1-1"}},
            {"capacity",
                {{"cpu", each.listed.cpu}, {"mem_mb", each.listed.memory_mb},
                    {"gpu", 0}}},
            {"id", each.listed.id}});
    }
    return document.dump();
}

std::pair<int, std::string> cloud::order(bool moves, const std::string& body,
    const std::string& fence, const std::string& holder) {
    const auto document = nlohmann::json::parse(body, nullptr, false);
    const std::string machine = document.value("machine", "");
    const std::uint64_t wave = document.value("wave", std::uint64_t{0});
    const std::string pool = document.value("pool", "");
    const auto answer = [&](int status, const std::string& text) {
        std::string line = "platform ";
        line += moves ? "move " : "upkeep ";
        line += machine;
        line += moves ? " to " + pool : " wave " + std::to_string(wave);
        line += " by " + holder;
        line += " token " + fence;
        line += " -> " + std::to_string(status);
        log_.line(line + ' ' + text);
        return std::make_pair(status, text);
    };
    hook changed;
    std::string old_pool;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        const auto found = machines_.find(machine);
        if (found == machines_.end()) {
            return answer(400, "{}");
        }
        entry& each = found->second;
        const std::uint64_t token = std::stoull(fence);
        if (token < each.fence) {
            return answer(409, refusal("fence"));
        }
        each.fence = token;
        if (moves && each.listed.pool == pool) {
            return answer(200, "{}");
        }
        if (moves && !moves_allowed_) {
            // The pool is one of other machines.
            return answer(400, "{}");
        }
        if (!moves && maintained_[wave].contains(machine)) {
            return answer(200, "{}");
        }
        if (!moves && !waves_[wave].contains(machine)) {
            return answer(409, refusal("wave"));
        }
        if (each.listed.state != "up") {
            return answer(409, refusal("busy"));
        }
        old_pool = each.listed.pool;
        each.next_pool = moves ? pool : old_pool;
        each.returns_at = log_.now() + (moves ? move_ms : upkeep_ms);
        each.listed.state = moves ? "moving" : "upkeep";
        each.listed.id = "";
        each.wave = moves ? 0 : wave;
        if (!moves) {
            maintained_[wave].insert(machine);
            const auto down = static_cast<std::size_t>(std::count_if(
                machines_.begin(), machines_.end(), [&](const auto& other) {
                    return other.second.listed.state == "upkeep" &&
                        other.second.wave == wave;
                }));
            most_down_[wave] = std::max(most_down_[wave], down);
        }
        changed = changed_;
    }
    if (changed) {
        changed(machine, old_pool, false);
    }
    return answer(200, "{}");
}

// Brings machines back when their move or upkeep is over.
void cloud::run() {
    while (!stopped_) {
        std::vector<std::pair<std::string, std::string>> returned;
        {
            const std::lock_guard<std::mutex> guard(mutex_);
            for (auto& [name, each] : machines_) {
                if (each.returns_at >= 0 && log_.now() >= each.returns_at) {
                    each.returns_at = -1;
                    each.listed.state = "up";
                    each.listed.pool = each.next_pool;
                    returned.emplace_back(name, each.next_pool);
                }
            }
        }
        for (const auto& [name, pool] : returned) {
            std::string line = "platform machine " + name;
            line += " is up in " + pool;
            log_.line(line);
            if (changed_) {
                changed_(name, pool, true);
            }
        }
        sleep_ms(check_ms);
    }
}

} // namespace dragonflymount::review
