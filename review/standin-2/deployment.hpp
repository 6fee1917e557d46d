// A small deployment on loopback addresses: the project's programs as separate
// processes, an operator, and the platform's list of machines.
#ifndef DRAGONFLYMOUNT_REVIEW_DEPLOYMENT_HPP
#define DRAGONFLYMOUNT_REVIEW_DEPLOYMENT_HPP

#include "net.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

/// \brief Writes record.txt of a case, each line with the time since its start.
class record {
public:
    explicit record(const std::string& folder);
    ~record();
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    void note(const std::string& text);
    /// \returns milliseconds since the start.
    std::int64_t now() const;

private:
    std::mutex mutex_;
    std::FILE* file_;
    steady::time_point begun_;
};

/// \brief A machine as the platform's list shows it.
struct listed_machine {
    std::string machine;
    std::string pool;
    std::string worker;
    std::string state = "up";
};

class deployment {
public:
    deployment(record& log, std::size_t schedulers, std::size_t gateways);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// \brief Starts all processes with empty disks.
    bool start();
    /// \brief Puts a configuration as an operator does: to each node in turn
    /// until it is acknowledged.
    bool put_config(const nlohmann::json& config, milliseconds limit);
    /// \returns the number of the scheduler that answers reads itself, if any.
    int find_leader() const;
    int wait_for_leader(milliseconds limit) const;

    void signal_scheduler(std::size_t number, int signal);
    void signal_gateway(std::size_t number, int signal);

    /// \brief Sets what carries out the upkeep of a machine; the order is
    /// answered with 200 when it returns.
    void on_upkeep(std::function<void(const std::string& machine)> handler);
    /// \brief Sets how long the platform takes to answer with its list, which
    /// is read when the request arrives.
    void set_list_delay(milliseconds delay) { list_delay_ = delay; }
    /// \returns how often the list has been read.
    std::size_t lists_read() const { return lists_read_; }
    void set_machines(std::vector<listed_machine> machines);
    /// \brief Changes how the list shows a machine and its worker.
    void set_machine(const std::string& machine, const std::string& state,
        const std::string& worker);
    /// \brief Writes which processes have ended by themselves.
    void note_ended();
    std::string control(std::size_t number) const;
    std::vector<std::string> controls() const;
    std::string frontend(std::size_t number) const;
    /// \brief The text that the program wrote.
    std::string gateway_output(std::size_t number) const;

private:
    struct process {
        std::string name;
        std::string ip;
        std::string program;
        std::string settings;
        pid_t id = -1;
    };

    void choose_addresses();
    void write_settings(const process& node, bool bootstrap) const;
    void launch(process& node) const;
    static void finish(process& node, int signal);
    http_reply serve_platform(const http_call& call);
    std::string at(const std::string& ip, int offset) const;

    record& log_;
    std::string folder_;
    std::vector<process> schedulers_;
    std::vector<process> gateways_;
    std::string platform_ip_;
    int port_ = 0;
    http_server platform_;
    std::mutex mutex_;
    std::vector<listed_machine> machines_;
    std::atomic<milliseconds> list_delay_{milliseconds(0)};
    std::atomic<std::size_t> lists_read_{0};
    std::function<void(const std::string&)> upkeep_;
};

/// \returns a configuration with one route "/q/" at host "jobs.example" to the
/// pool "pool-a", and one tenant with the key "key-one".
nlohmann::json make_config(std::uint64_t version);

void sleep_for(int ms);

} // namespace review

#endif
