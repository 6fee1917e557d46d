// Starts and ends the processes and answers for the platform.
#include "deployment.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr int control_port = 0;
constexpr int frontend_port = 1;
constexpr int readiness_port = 2;
constexpr int platform_port = 3;
constexpr int peer_port = 10;
constexpr int metrics_port = 11;
constexpr milliseconds call_limit{1000};

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

void sleep_for(int ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

record::record(const std::string& folder)
    : file_(std::fopen((folder + "/record.txt").c_str(), "w")),
      begun_(steady::now()) {}

record::~record() {
    std::fclose(file_);
}

std::int64_t record::now() const {
    return std::chrono::duration_cast<milliseconds>(steady::now() - begun_)
        .count();
}

void record::note(const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f s  %s\n", static_cast<double>(now()) / 1000.0,
        text.c_str());
    std::fflush(file_);
}

deployment::deployment(
    record& log, std::size_t schedulers, std::size_t gateways)
    : log_(log) {
    std::string pattern =
        std::filesystem::temp_directory_path() / "dfm-review-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
    for (std::size_t k = 0; k < schedulers; ++k) {
        const std::string name = "core-" + std::to_string(k);
        schedulers_.push_back({name, {}, "target/dfm-platform-scheduler",
            folder_ + "/" + name + ".ini"});
    }
    for (std::size_t k = 0; k < gateways; ++k) {
        const std::string name = "edge-" + std::to_string(k);
        gateways_.push_back({name, {}, "target/dfm-platform-gateway",
            folder_ + "/" + name + ".ini"});
    }
    choose_addresses();
}

deployment::~deployment() {
    for (auto* nodes : {&gateways_, &schedulers_}) {
        for (process& node : *nodes) {
            finish(node, SIGKILL);
        }
    }
    platform_.stop();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string deployment::at(const std::string& ip, int offset) const {
    return ip + ":" + std::to_string(port_ + offset);
}

// Each machine has a loopback address of its own; all have the same ports.
void deployment::choose_addresses() {
    constexpr int first_port = 21000;
    constexpr int port_step = 20;
    constexpr int port_choices = 500;
    const auto seed = static_cast<int>(::getpid());
    const std::string net = "127." + std::to_string(16 + seed % 200) + "." +
        std::to_string(seed / 200 % 250) + ".";
    int last = 10;
    for (auto* nodes : {&schedulers_, &gateways_}) {
        for (process& node : *nodes) {
            node.ip = net + std::to_string(last++);
        }
    }
    platform_ip_ = net + "200";
    for (int k = 0; k < port_choices; ++k) {
        port_ = first_port + (seed + k) % port_choices * port_step;
        bool is_usable = is_free(at(platform_ip_, platform_port));
        for (auto* nodes : {&schedulers_, &gateways_}) {
            for (const process& node : *nodes) {
                for (const int offset : {control_port, frontend_port,
                         readiness_port, peer_port, metrics_port}) {
                    is_usable = is_usable && is_free(at(node.ip, offset));
                }
            }
        }
        if (is_usable) {
            return;
        }
    }
}

// The same lines as in the project's templates, filled in as the platform does.
void deployment::write_settings(const process& node, bool bootstrap) const {
    std::string seeds;
    for (const process& each : schedulers_) {
        seeds += (seeds.empty() ? "" : ",") + at(each.ip, control_port);
    }
    std::ofstream file(node.settings);
    if (node.name.starts_with("edge")) {
        file << "[gateway]\ncallers = " << at(node.ip, frontend_port)
             << "\nreadiness = " << at(node.ip, readiness_port)
             << "\nmetrics = " << at(node.ip, metrics_port)
             << "\nseeds = " << seeds << "\npeer-port = " << port_ + peer_port
             << "\ndrain-limit = 6s\n";
        return;
    }
    file << "[scheduler]\ncontrol = " << at(node.ip, control_port)
         << "\npeer-port = " << port_ + peer_port
         << "\nmetrics = " << at(node.ip, metrics_port) << "\nseeds = " << seeds
         << "\ndata = " << folder_ << "/data-" << node.name
         << "\nnew-site = " << (bootstrap ? "true" : "false")
         << "\nlost-disks = 1\nlongest-lease = 10000ms\n\n[vm-service]"
         << "\naddress = " << at(platform_ip_, platform_port)
         << "\nholder = " << node.name
         << "\nmaintenance-time = 2s\nmove-time = 1.5s"
         << "\nreport-interval = 1500ms\norders-per-second = 64.0\n";
}

void deployment::launch(process& node) const {
    const std::string output = folder_ + "/" + node.name + ".log";
    const pid_t child = ::fork();
    if (child == 0) {
        const int file = ::open(
            output.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
        // The process must not outlive a case that is ended from outside.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execl(node.program.c_str(), node.program.c_str(), "--config",
            node.settings.c_str(), nullptr);
        ::_exit(127);
    }
    node.id = child;
}

void deployment::finish(process& node, int signal) {
    if (node.id > 0) {
        ::kill(node.id, signal);
        ::waitpid(node.id, nullptr, 0);
    }
    node.id = -1;
}

bool deployment::start() {
    if (!platform_.start(at(platform_ip_, platform_port),
            [this](const http_call& call) { return serve_platform(call); })) {
        return false;
    }
    for (process& node : schedulers_) {
        std::filesystem::create_directory(folder_ + "/data-" + node.name);
        write_settings(node, true);
        launch(node);
    }
    for (process& node : gateways_) {
        write_settings(node, true);
        launch(node);
    }
    log_.note(std::to_string(schedulers_.size()) + " schedulers and " +
        std::to_string(gateways_.size()) + " gateways started");
    return true;
}

http_reply deployment::serve_platform(const http_call& call) {
    if (call.target == "/api/machine-upkeep" && upkeep_) {
        const nlohmann::json order =
            nlohmann::json::parse(call.body, nullptr, false);
        upkeep_(order.value("machine", ""));
        return {200, "{}", {}, false};
    }
    if (call.method != "GET") {
        return {409, R"({"reason":"busy"})", {}, false};
    }
    nlohmann::json list =
        nlohmann::json::parse(R"({"machines": [], "next_token": null})");
    {
        const std::lock_guard lock(mutex_);
        ++lists_read_;
        for (const listed_machine& each : machines_) {
            nlohmann::json row = nlohmann::json::parse(
                R"({"zone": "zone-a", "labels": ["a", "r1-1"],
                "capacity": {"cpu": 32000, "mem_mb": 65536, "gpu": 0}})");
            row["state"] = each.state;
            row["machine"] = each.machine;
            row["pool"] = each.pool;
            row["id"] = each.worker;
            list["machines"].push_back(std::move(row));
        }
    }
    std::this_thread::sleep_for(list_delay_.load());
    return {200, list.dump(), {}, false};
}

void deployment::on_upkeep(
    std::function<void(const std::string& machine)> handler) {
    upkeep_ = std::move(handler);
}

void deployment::set_machines(std::vector<listed_machine> machines) {
    const std::lock_guard lock(mutex_);
    machines_ = std::move(machines);
}

bool deployment::put_config(const nlohmann::json& config, milliseconds limit) {
    const auto end = steady::now() + limit;
    http_call call{"PUT", "/api/config", {}, config.dump(), {}};
    for (std::size_t k = 0; steady::now() < end; ++k) {
        const http_reply reply =
            call_control(control(k % schedulers_.size()), call, call_limit);
        if (reply.status == 200) {
            log_.note(
                "configuration " + config["version"].dump() + " acknowledged");
            return true;
        }
        sleep_for(100);
    }
    return false;
}

int deployment::find_leader() const {
    for (std::size_t k = 0; k < schedulers_.size(); ++k) {
        if (exchange(control(k), {"GET", "/api/config", {}, {}, {}}, call_limit)
                .status == 200) {
            return static_cast<int>(k);
        }
    }
    return -1;
}

int deployment::wait_for_leader(milliseconds limit) const {
    const auto end = steady::now() + limit;
    int leader = find_leader();
    while (leader < 0 && steady::now() < end) {
        sleep_for(50);
        leader = find_leader();
    }
    return leader;
}

void deployment::set_machine(const std::string& machine,
    const std::string& state, const std::string& worker) {
    const std::lock_guard lock(mutex_);
    for (listed_machine& each : machines_) {
        if (each.machine == machine) {
            each.state = state;
            each.worker = worker;
        }
    }
}

void deployment::note_ended() {
    std::string ended;
    for (auto* nodes : {&schedulers_, &gateways_}) {
        for (process& node : *nodes) {
            if (node.id > 0 && ::waitpid(node.id, nullptr, WNOHANG) != 0) {
                ended += " " + node.name;
                node.id = -1;
            }
        }
    }
    log_.note("processes that have ended:" + (ended.empty() ? " none" : ended));
}

void deployment::signal_scheduler(std::size_t number, int signal) {
    log_.note(
        schedulers_[number].name + " gets signal " + std::to_string(signal));
    ::kill(schedulers_[number].id, signal);
}

void deployment::signal_gateway(std::size_t number, int signal) {
    log_.note(
        gateways_[number].name + " gets signal " + std::to_string(signal));
    ::kill(gateways_[number].id, signal);
}

std::string deployment::control(std::size_t number) const {
    return at(schedulers_[number].ip, control_port);
}

std::vector<std::string> deployment::controls() const {
    std::vector<std::string> all;
    for (std::size_t k = 0; k < schedulers_.size(); ++k) {
        all.push_back(control(k));
    }
    return all;
}

std::string deployment::frontend(std::size_t number) const {
    return at(gateways_[number].ip, frontend_port);
}

std::string deployment::gateway_output(std::size_t number) const {
    return read_file(folder_ + "/" + gateways_[number].name + ".log");
}

nlohmann::json make_config(std::uint64_t version) {
    nlohmann::json config = nlohmann::json::parse(R"({
        "routes": [{"name": "r-one", "host": "jobs.example",
            "path_prefix": "/q/", "type": "non_idempotent",
            "timeout_ms": 3000, "target_latency_ms": 3600, "priority": 0,
            "service": "pool-a", "max_attempts": 3, "stretch": 1.6,
            "public": false}],
        "services": [{"name": "pool-a", "health_path": "/healthz",
            "max_connections": 64, "protocol": "h1", "tls": false,
            "admission_check": true, "standby": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t-one", "api_keys": ["key-one"], "priority": 0,
            "weight": 400, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]})");
    config["version"] = version;
    return config;
}

} // namespace review
