// Builds configurations and jobs and sends them.
#include "review/standin/operator.hpp"

namespace dragonflymount::review {
namespace {

constexpr std::int64_t call_timeout_ms = 3000;
constexpr std::int64_t control_timeout_ms = 1000;
constexpr std::int64_t retry_ms = 100;

} // namespace

nlohmann::json make_configuration(std::uint64_t version,
    const std::vector<queue>& queues, const std::vector<tenant>& tenants) {
    nlohmann::json made{{"version", version},
        {"routes", nlohmann::json::array()},
        {"services", nlohmann::json::array()},
        {"tenants", nlohmann::json::array()},
        {"limits",
            {{"max_header_bytes", 16384}, {"max_body_bytes", 262144},
                {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
    for (const queue& each : queues) {
        made["routes"].push_back({{"name", "r-" + each.name},
            {"host", host_name}, {"path_prefix", "/" + each.name + "/"},
            {"type", "non_idempotent"}, {"timeout_ms", 3000},
            {"target_latency_ms", 3600}, {"priority", 0},
            {"service", each.name}, {"max_attempts", each.max_attempts},
            {"stretch", 1.6}, {"public", each.is_public}});
        made["services"].push_back(
            {{"name", each.name}, {"health_path", "/healthz"},
                {"max_connections", 64}, {"protocol", "h1"}, {"tls", false},
                {"admission_check", each.guarded}, {"standby", false}});
    }
    for (const tenant& each : tenants) {
        made["tenants"].push_back({{"name", each.name},
            {"api_keys", {each.key}}, {"priority", 1}, {"weight", 40},
            {"cap", {{"cpu", each.cpu_limit}, {"mem_mb", 0}, {"gpu", 0}}}});
    }
    return made;
}

bool put_configuration(record& log, const std::vector<std::string>& controls,
    const nlohmann::json& configuration, std::int64_t limit_ms) {
    const std::int64_t end = log.now() + limit_ms;
    caller calls(control_timeout_ms);
    const std::string version =
        std::to_string(configuration.at("version").get<std::uint64_t>());
    for (std::size_t k = 0; log.now() < end; ++k) {
        const response got = calls.follow(controls[k % controls.size()],
            {"PUT", "/api/config", configuration.dump(), {}});
        log.line("operator PUT config " + version + " -> " +
            std::to_string(got.status));
        if (got.status == 200) {
            return true;
        }
        sleep_ms(retry_ms);
    }
    return false;
}

nlohmann::json make_step(int count, int cpu, int memory_mb, int estimate_ms) {
    return {{"count", count}, {"cpu", cpu}, {"mem_mb", memory_mb},
        {"estimate_ms", estimate_ms}};
}

nlohmann::json make_job(std::vector<nlohmann::json> steps) {
    return {{"spec", "(text)"}, {"steps", std::move(steps)}};
}

std::string make_id(std::uint64_t number) {
    // SplitMix64: spreads the IDs over the whole range, like drawn ones.
    std::uint64_t mixed = number * 0x9e3779b97f4a7c15U + 0x5c0e7a21d94b36f8U;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (int k = 60; k >= 0; k -= 4) {
        text += digits[(mixed >> static_cast<unsigned>(k)) & 0xfU];
    }
    return text;
}

client::client(record& log, std::vector<std::string> gateways, std::string key)
    : log_(log), gateways_(std::move(gateways)), key_(std::move(key)),
      caller_(call_timeout_ms) {}

response client::call(const std::string& method, const std::string& path,
    const std::string& body, std::int64_t limit_ms) {
    request sent{method, path, body,
        {{"Host", host_name},
            {"X-Dragonflymount-Deadline-Ms", std::to_string(call_timeout_ms)}}};
    if (!key_.empty()) {
        sent.headers.emplace_back("Authorization", "Bearer " + key_);
    }
    const std::int64_t end = log_.now() + limit_ms;
    while (true) {
        response got = caller_.call(gateways_[next_ % gateways_.size()], sent);
        std::string line = "client " + method;
        line += ' ' + path;
        line += " -> " + std::to_string(got.status);
        log_.line(line + ' ' + got.body);
        if ((got.status > 0 && got.status < 429) || log_.now() >= end) {
            return got;
        }
        ++next_;
        sleep_ms(retry_ms);
    }
}

int client::submit(const std::string& queue, const std::string& id,
    const nlohmann::json& job, std::int64_t limit_ms) {
    return call("POST", "/" + queue + "/" + id, job.dump(), limit_ms).status;
}

int client::cancel(
    const std::string& queue, const std::string& id, std::int64_t limit_ms) {
    return call("DELETE", "/" + queue + "/" + id, "", limit_ms).status;
}

int client::read(const std::string& queue, const std::string& id,
    std::string& state, std::int64_t limit_ms) {
    const response got = call("GET", "/" + queue + "/" + id, "", limit_ms);
    if (got.status == 200) {
        const auto document = nlohmann::json::parse(got.body, nullptr, false);
        state = document.is_object() ? document.value("state", "") : "";
    }
    return got.status;
}

} // namespace dragonflymount::review
