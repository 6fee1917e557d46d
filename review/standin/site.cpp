// Starts and ends the processes of a small deployment.
#include "review/standin/site.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace dragonflymount::review {
namespace {

// Ports of a machine, counted from the first one.
enum port_offset { control_port, ready_port, peer_port, metrics_port, ports };

bool is_free(const std::string& ip, int port) {
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool free =
        ::bind(probe,
            // NOLINTNEXTLINE(*-reinterpret-cast)
            reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(probe);
    return free;
}

std::string read_text(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

site::site(record& log, std::size_t schedulers, std::size_t gateways)
    : log_(log) {
    folder_ = std::filesystem::temp_directory_path() /
        ("dfm-review-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
    const int process = static_cast<int>(::getpid());
    prefix_ = "127." + std::to_string(10 + process % 200) + "." +
        std::to_string(process / 200 % 250) + ".";
    port_ = 20000 + process % 10000;
    while (!is_free(prefix_ + "1", port_)) {
        port_ += ports;
    }
    const auto add = [this](std::vector<machine>& list, const char* role,
                         std::size_t count) {
        for (std::size_t k = 0; k < count; ++k) {
            machine made;
            made.role = role;
            made.name = made.role + "-" + std::to_string(k + 1);
            made.ip = prefix_ + std::to_string(next_host_++);
            made.settings = folder_ + "/" + made.name + ".ini";
            made.data = folder_ + "/" + made.name + "-data";
            std::filesystem::create_directories(made.data);
            list.push_back(made);
        }
    };
    add(schedulers_, "scheduler", schedulers);
    add(gateways_, "gateway", gateways);
}

site::~site() {
    for (auto* list : {&gateways_, &schedulers_}) {
        for (machine& owner : *list) {
            kill_process(owner);
        }
    }
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

std::string site::next_address() {
    return prefix_ + std::to_string(next_host_++) + ":" + std::to_string(port_);
}

std::string site::control(std::size_t k) const {
    return schedulers_[k].ip + ":" + std::to_string(port_ + control_port);
}

std::string site::metrics(std::size_t k) const {
    return schedulers_[k].ip + ":" + std::to_string(port_ + metrics_port);
}

std::size_t site::memory_mb(std::size_t k) const {
    const std::string text = read_text(
        "/proc/" + std::to_string(schedulers_[k].process) + "/status");
    const std::string name = "VmHWM:";
    const std::size_t found = text.find(name);
    return found == std::string::npos
        ? 0
        : std::stoull(text.substr(found + name.size())) / 1024;
}

std::vector<std::string> site::controls() const {
    std::vector<std::string> list;
    for (std::size_t k = 0; k < schedulers_.size(); ++k) {
        list.push_back(control(k));
    }
    return list;
}

std::vector<std::string> site::gateways() const {
    std::vector<std::string> list;
    for (const machine& owner : gateways_) {
        list.push_back(owner.ip + ":" + std::to_string(port_ + control_port));
    }
    return list;
}

void site::start(const std::string& vm_service) {
    vm_service_ = vm_service;
    for (auto* list : {&schedulers_, &gateways_}) {
        for (machine& owner : *list) {
            write_settings(owner, true);
            start_process(owner);
        }
    }
}

// The bounds are those of the site files for small deployments.
void site::write_settings(const machine& owner, bool bootstrap) const {
    const auto at = [&](int offset) {
        return owner.ip + ":" + std::to_string(port_ + offset);
    };
    std::string seeds;
    for (std::size_t k = 0; k < schedulers_.size() && k < 3; ++k) {
        seeds += (k == 0 ? "" : ",") + control(k);
    }
    const std::map<std::string, std::string> values{
        {"listen_addresses.frontend", at(control_port)},
        {"listen_addresses.readiness", at(ready_port)},
        {"listen_addresses.control", at(control_port)}, {"ip", owner.ip},
        {"internal_ports.0", std::to_string(port_ + peer_port)},
        {"internal_ports.1", std::to_string(port_ + metrics_port)},
        {"seeds", seeds}, {"data_dir", owner.data},
        {"bootstrap", bootstrap ? "true" : "false"},
        {"fault_tolerance.machines", "1"}, {"bounds.hold_max_ms", "10000"},
        {"bounds.grace_s", "6"}, {"cloud.address", vm_service_},
        {"node_name", owner.name}, {"bounds.maintenance_s", "2"},
        {"bounds.move_s", "1.5"}, {"heartbeat_ms", "1500"},
        {"cloud.duty_per_s", "64.0"}};
    std::string text = read_text("platform/" + owner.role + ".ini");
    for (const auto& [name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (std::size_t found = text.find(placeholder);
             found != std::string::npos;
             found = text.find(placeholder, found + value.size())) {
            text.replace(found, placeholder.size(), value);
        }
    }
    std::ofstream(owner.settings, std::ios::trunc) << text;
}

void site::start_process(machine& owner) {
    const std::string program = "target/dfm-platform-" + owner.role;
    const std::string output = folder_ + "/" + owner.name + ".log";
    const pid_t started = ::fork();
    if (started == 0) {
        // No process outlives the case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log =
            ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("DRAGONFLYMOUNT_CONFIG", owner.settings.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), "--config",
            owner.settings.c_str(), nullptr);
        ::_exit(127);
    }
    if (started < 0) {
        throw std::runtime_error("can't start " + owner.name);
    }
    owner.process = started;
    log_.line("start " + owner.name);
}

void site::start_scheduler(std::size_t k) {
    write_settings(schedulers_[k], false);
    start_process(schedulers_[k]);
}

void site::kill_process(machine& owner) {
    if (owner.process <= 0) {
        return;
    }
    ::kill(owner.process, SIGKILL);
    ::waitpid(owner.process, nullptr, 0);
    owner.process = -1;
    log_.line("kill " + owner.name);
}

void site::signal_scheduler(std::size_t k, int number) {
    ::kill(schedulers_[k].process, number);
    log_.line(
        "signal " + std::to_string(number) + " to " + schedulers_[k].name);
}

void site::lose_disk(std::size_t k) {
    std::filesystem::remove_all(schedulers_[k].data);
    std::filesystem::create_directories(schedulers_[k].data);
    log_.line("disk lost: " + schedulers_[k].name);
}

bool site::has_ended(std::size_t k) {
    machine& owner = schedulers_[k];
    if (owner.process <= 0 ||
        ::waitpid(owner.process, nullptr, WNOHANG) != owner.process) {
        return false;
    }
    owner.process = -1;
    log_.line("ended by itself: " + owner.name);
    return true;
}

} // namespace dragonflymount::review
