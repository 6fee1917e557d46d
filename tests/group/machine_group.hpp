// Five schedulers and three gateways as processes, each on an IP number of its
// own with the same ports, as on machines of their own.
#ifndef DRAGONFLYMOUNT_TESTS_GROUP_MACHINE_GROUP_HPP
#define DRAGONFLYMOUNT_TESTS_GROUP_MACHINE_GROUP_HPP

#include "tests/cli/program.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <optional>

namespace dragonflymount::group_test {

using cli_test::process;
using cli_test::read_all;
using cli_test::temporary_folder;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The targets of the deployment, and the time that callers give one reply.
constexpr auto catch_up = seconds(6);
constexpr auto recover = seconds(15);
constexpr auto reply_limit = seconds(3);
constexpr auto start_limit = seconds(30);

constexpr std::size_t scheduler_count = 5;
constexpr std::size_t gateway_count = 3;
constexpr std::size_t seed_count = 3;

constexpr int http_port = 8344;
constexpr int readiness_port = 8345;
constexpr int peer_port = 7000;
constexpr int metrics_port = 7001;

// The last parts of IP numbers.
constexpr std::size_t first_scheduler = 10;
constexpr std::size_t first_gateway = 20;

/// \returns the variable's number, or \p otherwise if it isn't set.
inline std::uint64_t variable(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

/// \returns whether \p condition held within the limit.
template <class Condition>
bool holds_within(milliseconds limit, Condition condition) {
    const auto end = steady::now() + limit;
    while (!condition()) {
        if (steady::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

/// \brief 127.A.B.*, which no other test process has as long as this lives.
class reserved_network {
public:
    explicit reserved_network(asio::io_context& context) : held_(context) {
        constexpr int first = 80;
        constexpr int networks = 40 * 250;
        held_.open(asio::ip::udp::v4());
        asio::error_code taken = asio::error::address_in_use;
        for (int k = ::getpid() % networks; taken; k = (k + 1) % networks) {
            prefix_ = "127." + std::to_string(first + k / 250) + "." +
                std::to_string(1 + k % 250) + ".";
            held_.bind({asio::ip::make_address_v4(ip(1)), peer_port}, taken);
        }
    }
    std::string ip(std::size_t last) const {
        return prefix_ + std::to_string(last);
    }

private:
    asio::ip::udp::socket held_;
    std::string prefix_;
};

/// \brief What a machine is given; 0 is no limit.
struct machine_features {
    unsigned bytes_per_s = 0; ///< of each connection
    unsigned sync_ms = 0;     ///< added to each sync
};

inline std::unique_ptr<httplib::Client> make_client(
    const std::string& ip, int port) {
    auto made = std::make_unique<httplib::Client>(ip, port);
    made->set_keep_alive(true);
    made->set_tcp_nodelay(true);
    made->set_connection_timeout(std::chrono::seconds(1));
    made->set_read_timeout(reply_limit);
    made->set_write_timeout(reply_limit);
    return made;
}

class machine_group {
public:
    explicit machine_group(machine_features features) : features_(features) {}

    /// \brief Starts all for the first time and waits until a configuration is
    /// acknowledged and all schedulers vote.
    void begin() {
        for (std::size_t k = 0; k < scheduler_count; ++k) {
            start_scheduler(k, true);
        }
        for (std::size_t k = 0; k < gateway_count; ++k) {
            start_gateway(k);
        }
        ASSERT_TRUE(holds_within(start_limit, [this] { return configure(); }));
        ASSERT_TRUE(holds_within(start_limit, [this] {
            return count_lines("change=promote") >=
                scheduler_count - seed_count;
        })) << warnings();
    }

    void start_scheduler(std::size_t k, bool new_site = false) {
        write_scheduler_settings(k, new_site);
        schedulers_[k].start(
            *this, "dfm-platform-scheduler", scheduler_name(k));
    }
    void start_gateway(std::size_t k) {
        const std::string ip = gateway_ip(k);
        write("g" + std::to_string(k),
            "[gateway]\ncallers = " + at(ip, http_port) +
                "\nreadiness = " + at(ip, readiness_port) +
                "\nmetrics = " + at(ip, metrics_port) + "\nseeds = " + seeds() +
                "\npeer-port = " + std::to_string(peer_port) + "\n");
        gateways_[k].start(
            *this, "dfm-platform-gateway", "g" + std::to_string(k));
    }
    void kill_scheduler(std::size_t k) { schedulers_[k].kill(); }
    void kill_gateway(std::size_t k) { gateways_[k].kill(); }
    void lose_disk(std::size_t k) {
        kill_scheduler(k);
        std::filesystem::remove_all(folder_.file(scheduler_name(k) + ".data"));
    }
    // What doesn't run gets no signal, and what runs isn't started again.
    void signal_scheduler(std::size_t k, int number) const {
        schedulers_[k].signal(number);
    }
    void signal_gateway(std::size_t k, int number) const {
        gateways_[k].signal(number);
    }
    /// \brief Lists the seeds in another order.
    void change_scheduler_settings(std::size_t k) {
        ++first_seed_;
        write_scheduler_settings(k, false);
    }

    /// \returns the scheduler that leads, if one says so.
    std::optional<std::size_t> leader() {
        for (std::size_t k = 0; k < scheduler_count; ++k) {
            if (metric(k, "dfm_replica_leads") == 1) {
                return k;
            }
        }
        return std::nullopt;
    }
    /// \returns a metric of a scheduler, or -1 if it doesn't answer.
    double metric(std::size_t k, const std::string& name) {
        const auto reply =
            make_client(scheduler_ip(k), metrics_port)->Get("/metrics");
        const auto place =
            reply ? reply->body.find("\n" + name + " ") : std::string::npos;
        return place == std::string::npos
            ? -1
            : std::stod(reply->body.substr(place + name.size() + 2));
    }

    /// \brief Sends the next version until it is acknowledged once.
    /// \returns false if none of the schedulers did.
    bool configure() {
        const std::uint64_t version = acknowledged_ + 1;
        const nlohmann::json body = {{"version", version},
            {"routes",
                {{{"name", "q"}, {"host", "h"}, {"path_prefix", "/q/"},
                    {"service", "s"}, {"timeout_ms", 3000}, {"public", true}}}},
            {"services", {{{"name", "s"}}}}};
        const auto reply = call_any([&](httplib::Client& client) {
            return client.Put("/api/config", body.dump(), "application/json");
        });
        if (reply) {
            acknowledged_ = version;
        }
        return reply.has_value();
    }
    /// \returns the version that is read back, if any is.
    std::optional<std::uint64_t> read_version() {
        const auto body = call_any(
            [](httplib::Client& client) { return client.Get("/api/config"); });
        return body ? std::optional(nlohmann::json::parse(*body)
                                        .at("version")
                                        .get<std::uint64_t>())
                    : std::nullopt;
    }
    std::uint64_t acknowledged_version() const { return acknowledged_; }

    std::string scheduler_ip(std::size_t k) const {
        return network_.ip(first_scheduler + k);
    }
    std::string gateway_ip(std::size_t k) const {
        return network_.ip(first_gateway + k);
    }

    /// \returns the bytes that a scheduler sent to another in this life.
    std::uint64_t sent(std::size_t from, std::size_t to) const {
        const std::string counts = read_all(schedulers_[from].counts);
        std::uint64_t total = 0;
        const std::size_t place = (first_scheduler + to) * sizeof(total);
        if (counts.size() >= place + sizeof(total)) {
            std::memcpy(&total, counts.data() + place, sizeof(total));
        }
        return total;
    }
    /// \returns the bytes of a scheduler's files.
    std::uint64_t disk_bytes(std::size_t k) const {
        std::uint64_t total = 0;
        for (const auto& entry : std::filesystem::directory_iterator(
                 folder_.file(scheduler_name(k) + ".data"))) {
            total += entry.file_size();
        }
        return total;
    }

    std::size_t count_lines(const std::string& part) const {
        return select_lines([&](const std::string& line) {
            return line.find(part) != std::string::npos;
        }).size();
    }
    /// \returns the schedulers' warnings on their group, by their files.
    std::string warnings() const {
        std::string text;
        for (const std::string& line : select_lines([](const auto& line) {
                 return line.starts_with('W') &&
                     line.find("member_keeper") != std::string::npos;
             })) {
            text += line + "\n";
        }
        return text;
    }
    /// \brief Copies all that the processes wrote to \c DFM_GROUP_LOGS, if set.
    void keep_logs(const std::string& title) const {
        const char* target = std::getenv("DFM_GROUP_LOGS");
        if (target == nullptr) {
            return;
        }
        const std::filesystem::path kept =
            std::filesystem::path(target) / title;
        std::filesystem::create_directories(kept);
        for (const std::string& log : logs_) {
            std::filesystem::copy_file(log,
                kept / std::filesystem::path(log).filename(),
                std::filesystem::copy_options::overwrite_existing);
        }
    }

private:
    void write_scheduler_settings(std::size_t k, bool new_site) {
        const std::string ip = scheduler_ip(k);
        const std::string name = scheduler_name(k);
        write(name,
            "[scheduler]\ncontrol = " + at(ip, http_port) +
                "\npeer-port = " + std::to_string(peer_port) +
                "\nmetrics = " + at(ip, metrics_port) + "\nseeds = " + seeds() +
                "\ndata = " + folder_.make(name + ".data") +
                "\nnew-site = " + (new_site ? "true" : "false") +
                "\nlost-disks = 2\nremote-factor = 3\n"
                "zones = gimpo-a,gimpo-b,seongnam,ilsan,anyang\n"
                "[vm-service]\naddress = 127.0.0.1:9\nholder = " +
                name + "\n");
    }

    // One life of a process after the other.
    struct machine {
        std::unique_ptr<process> running;
        std::string counts;
        unsigned lives = 0;

        void start(machine_group& group, const std::string& program,
            const std::string& name) {
            if (running) {
                return;
            }
            const std::string life =
                group.folder_.file(name + "-" + std::to_string(++lives));
            counts = life + ".counts";
            group.logs_.push_back(life + ".out");
            group.logs_.push_back(life + ".err");
            running = std::make_unique<process>(program,
                std::vector<std::string>{"--config",
                    group.folder_.file(name + ".ini"),
                    "--verbosity=" +
                        std::to_string(variable("DFM_GROUP_VERBOSITY", 0))},
                life + ".out", life + ".err", group.environment(counts));
        }
        void signal(int number) const {
            if (running) {
                running->signal(number);
            }
        }
        void kill() {
            signal(SIGKILL);
            running.reset();
        }
    };

    std::vector<std::string> environment(const std::string& counts) const {
        std::vector<std::string> made = {
            std::string("LD_PRELOAD=") + DFM_SLOW_MACHINE,
            "DFM_SLOW_COUNTS=" + counts};
        if (features_.bytes_per_s > 0) {
            made.push_back("DFM_SLOW_BYTES_PER_S=" +
                std::to_string(features_.bytes_per_s));
        }
        if (features_.sync_ms > 0) {
            made.push_back(
                "DFM_SLOW_SYNC_MS=" + std::to_string(features_.sync_ms));
        }
        return made;
    }
    // Callers of the control address follow redirects and move on.
    template <class Call>
    std::optional<std::string> call_any(Call call) {
        for (std::size_t k = 0; k < scheduler_count; ++k) {
            const auto client = make_client(scheduler_ip(k), http_port);
            client->set_follow_location(true);
            client->set_read_timeout(seconds(1));
            const httplib::Result reply = call(*client);
            if (reply && reply->status == 200) {
                return reply->body;
            }
        }
        return std::nullopt;
    }
    template <class Chosen>
    std::vector<std::string> select_lines(Chosen chosen) const {
        std::vector<std::string> lines;
        for (const std::string& log : logs_) {
            std::ifstream input(log);
            for (std::string line; std::getline(input, line);) {
                if (chosen(line)) {
                    lines.push_back(line);
                }
            }
        }
        return lines;
    }
    // The settings' new text is there as a whole or not at all.
    void write(const std::string& name, const std::string& text) const {
        std::filesystem::rename(
            folder_.write(name + ".new", text), folder_.file(name + ".ini"));
    }
    std::string seeds() const {
        std::string listed;
        for (std::size_t k = 0; k < seed_count; ++k) {
            listed += (k == 0 ? "" : ",") +
                at(scheduler_ip((first_seed_ + k) % seed_count), http_port);
        }
        return listed;
    }
    static std::string at(const std::string& ip, int port) {
        return ip + ":" + std::to_string(port);
    }
    static std::string scheduler_name(std::size_t k) {
        return "s" + std::to_string(k);
    }

    const machine_features features_;
    asio::io_context context_;
    reserved_network network_{context_};
    temporary_folder folder_;
    std::vector<std::string> logs_;
    std::array<machine, scheduler_count> schedulers_;
    std::array<machine, gateway_count> gateways_;
    std::size_t first_seed_ = 0;
    std::atomic<std::uint64_t> acknowledged_ = 0;
};

} // namespace dragonflymount::group_test

#endif
