// The worker's loop of heartbeats, and its tasks.
#include "worker.hpp"

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

// From the protocol: a report lists at most so many ends.
constexpr std::size_t most_listed_ends = 500;
// From the protocol: a reply counts only within this time.
constexpr milliseconds reply_limit{1000};
constexpr std::size_t most_reply_bytes = 4U << 20U;
constexpr std::int64_t heartbeat_ms = 1500;
// From the protocol: the next heartbeat after an end.
constexpr std::int64_t after_end_ms = 50;
constexpr int step_ms = 5;

std::uint64_t unix_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

} // namespace

std::size_t run_log::add(seen_run run) {
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
}

void run_log::end(std::size_t place, std::int64_t when, const std::string& how,
    std::uint64_t number) {
    const std::lock_guard lock(mutex_);
    runs_[place].ended = when;
    runs_[place].how = how;
    runs_[place].number = number;
}

void run_log::acknowledge(std::size_t place) {
    const std::lock_guard lock(mutex_);
    runs_[place].acknowledged = true;
}

std::vector<seen_run> run_log::all() const {
    const std::lock_guard lock(mutex_);
    return runs_;
}

worker::worker(record& log, run_log& runs, std::string id, std::string machine,
    std::string address, std::vector<std::string> controls)
    : log_(log), runs_(runs), id_(std::move(id)), machine_(std::move(machine)),
      address_(std::move(address)), controls_(std::move(controls)) {}

void worker::start() {
    born_ = unix_ms();
    log_.note("worker " + id_ + " starts, born " + std::to_string(born_));
    thread_ = std::thread([this] { loop(); });
}

void worker::stop() {
    stopped_ = true;
    if (thread_.joinable()) {
        thread_.join();
        lose_machine();
        log_.note("worker " + id_ + " has ended");
    }
}

void worker::lose_machine() {
    stopped_ = true;
    const std::lock_guard lock(mutex_);
    while (!running_.empty()) {
        finish(running_.begin(), "worker ended", log_.now());
    }
}

std::uint64_t worker::end_task(const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = running_.find(name);
    if (found == running_.end()) {
        return 0;
    }
    finish(found, "done", log_.now());
    return last_end_;
}

bool worker::runs(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    return running_.contains(name);
}

std::size_t worker::running() const {
    const std::lock_guard lock(mutex_);
    return running_.size();
}

std::string worker::leader() const {
    const std::lock_guard lock(mutex_);
    return leader_;
}

std::string worker::summary() const {
    const std::lock_guard lock(mutex_);
    return "worker " + id_ + ": replies used " + std::to_string(replies_used_) +
        ", over 4 MiB and not used " + std::to_string(replies_too_long_) +
        ", longest " + std::to_string(longest_reply_) + " bytes, ends listed " +
        std::to_string(last_end_);
}

void worker::loop() {
    std::int64_t next = log_.now();
    while (!stopped_) {
        finish_due();
        std::int64_t due = next;
        {
            const std::lock_guard lock(mutex_);
            if (last_ended_at_ >= 0) {
                due = std::min(due, last_ended_at_ + after_end_ms);
            }
        }
        if (log_.now() < due) {
            sleep_for(step_ms);
            continue;
        }
        if (!send_report(next)) {
            next = log_.now();
            ++next_control_;
        }
    }
}

void worker::finish(std::map<std::string, task>::iterator found,
    const std::string& how, std::int64_t when) {
    ++last_end_;
    runs_.end(found->second.place, when, how, last_end_);
    std::uint32_t& highest = highest_ended_[found->first];
    highest = std::max(highest, found->second.run);
    ends_.push_back(
        {last_end_, found->first, found->second.run, how, found->second.place});
    last_ended_at_ = last_ended_at_ < 0 ? when : last_ended_at_;
    running_.erase(found);
}

void worker::finish_due() {
    const std::lock_guard lock(mutex_);
    const std::int64_t now = log_.now();
    for (auto it = running_.begin(); it != running_.end();) {
        const auto each = it++;
        if (each->second.ends_at <= now) {
            finish(each, "done", each->second.ends_at);
        }
    }
    if (lease_ends_ > 0 && now >= lease_ends_ && !running_.empty()) {
        log_.note("worker " + id_ + ": its lease has lapsed");
        while (!running_.empty()) {
            finish(running_.begin(), "lapsed", now);
        }
    }
}

nlohmann::json worker::report() {
    const std::lock_guard lock(mutex_);
    const std::int64_t now = log_.now();
    nlohmann::json body = nlohmann::json::parse(R"({"service": "pool-a",
        "zone": "zone-a", "version": "v1", "slots": 8, "warmup_left_ms": 0,
        "capacity": {"cpu": 32000, "mem_mb": 65536, "gpu": 0},
        "labels": ["a", "r1-1"], "running": [], "ended": []})");
    body["machine"] = machine_;
    body["address"] = address_;
    body["born"] = born_;
    body["state"] = "ready";
    body["clock_ms"] = now;
    body["sequence"] = ++sequence_;
    for (const auto& [name, each] : running_) {
        const std::int64_t whole =
            std::max<std::int64_t>(1, each.ends_at - each.began);
        nlohmann::json row = nlohmann::json::array();
        row.push_back(name);
        row.push_back(each.run);
        row.push_back("");
        row.push_back((now - each.began) * 100 / whole);
        body["running"].push_back(std::move(row));
    }
    const std::size_t count = std::min(ends_.size(), most_listed_ends);
    for (std::size_t k = 0; k < count; ++k) {
        nlohmann::json row = nlohmann::json::array();
        row.push_back(ends_[k].number);
        row.push_back(ends_[k].task);
        row.push_back(ends_[k].run);
        row.push_back(ends_[k].how);
        row.push_back("");
        body["ended"].push_back(std::move(row));
    }
    last_ended_at_ = -1;
    return body;
}

// \returns false if the next node has to be called.
bool worker::send_report(std::int64_t& next) {
    const nlohmann::json body = report();
    const std::int64_t sent = log_.now();
    if (!body["ended"].empty()) {
        sent_end_ = body["ended"].back()[0].get<std::uint64_t>();
    }
    std::this_thread::sleep_for(travel_);
    std::string target = leader();
    target =
        target.empty() ? controls_[next_control_ % controls_.size()] : target;
    const http_reply reply = call_control(target,
        {"PUT", "/api/instances/" + id_, {}, body.dump(), {}}, reply_limit);
    const bool late = log_.now() - sent > reply_limit.count();
    const bool too_long = reply.body.size() > most_reply_bytes;
    {
        const std::lock_guard lock(mutex_);
        longest_reply_ = std::max(longest_reply_, reply.body.size());
        replies_too_long_ += too_long ? 1 : 0;
    }
    if (too_long) {
        const std::lock_guard lock(mutex_);
        leader_.clear();
        return false;
    }
    const nlohmann::json orders =
        nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || late || !orders.is_object()) {
        const std::lock_guard lock(mutex_);
        leader_.clear();
        sleep_for(20);
        return false;
    }
    const std::lock_guard lock(mutex_);
    if (stopped_) {
        return true;
    }
    leader_ = orders.value("heartbeat_address", leader_);
    ++replies_used_;
    apply(orders, sent);
    next = log_.now() + orders.value("retry_ms", heartbeat_ms);
    return true;
}

void worker::apply(const nlohmann::json& orders, std::int64_t sent) {
    const auto fence = orders.value("fence", std::uint64_t{0});
    if (fence < fence_) {
        return;
    }
    fence_ = fence;
    const auto acked = orders.value("acked", std::uint64_t{0});
    std::erase_if(ends_, [&](const end_entry& each) {
        if (each.number <= acked) {
            runs_.acknowledge(each.place);
        }
        return each.number <= acked;
    });
    for (const auto& order : orders.value("stop", nlohmann::json::array())) {
        const auto found = running_.find(order[0].get<std::string>());
        if (found != running_.end() && found->second.run == order[1]) {
            finish(found, "stopped", log_.now());
        }
    }
    if (!orders.contains("hold_ms")) {
        return;
    }
    lease_ends_ =
        std::max(lease_ends_, sent + orders["hold_ms"].get<std::int64_t>());
    for (const auto& order : orders.value("start", nlohmann::json::array())) {
        begin(order);
    }
}

void worker::begin(const nlohmann::json& order) {
    const auto name = order[0].get<std::string>();
    const auto run = order[1].get<std::uint32_t>();
    if (running_.contains(name) || highest_ended_[name] >= run) {
        if (!running_.contains(name) || running_.at(name).run != run) {
            ++last_end_;
            ends_.push_back({last_end_, name, run, "refused",
                runs_.add({id_, name, run, log_.now(), log_.now(), "refused",
                    last_end_, false})});
        }
        return;
    }
    task begun;
    begun.run = run;
    begun.began = log_.now();
    begun.ends_at = begun.began +
        std::strtol(order[2].get<std::string>().c_str(), nullptr, 10);
    begun.place = runs_.add({id_, name, run, begun.began, -1, {}, 0, false});
    running_.emplace(name, begun);
}

} // namespace review
