// A small deployment on loopback: the project's own programs as processes.
#ifndef DRAGONFLYMOUNT_REVIEW_STANDIN_SITE_HPP
#define DRAGONFLYMOUNT_REVIEW_STANDIN_SITE_HPP

#include "review/standin/record.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonflymount::review {

/// \brief One machine of the system, with its own loopback address.
struct machine {
    std::string name;
    std::string role;
    std::string ip;
    std::string settings;
    std::string data;
    pid_t process = -1;
};

/// \brief Starts the schedulers and gateways by the commands of the deploy
/// file, with settings that are rendered from its templates. Ends all processes
/// and removes its temporary folder at the end.
class site {
public:
    /// \param vm_service "IP:port" of the platform's stand-in.
    site(record& log, std::size_t schedulers, std::size_t gateways);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// \returns an address for a stand-in on a loopback IP of its own.
    std::string next_address();
    /// \brief Renders the settings and starts all processes.
    void start(const std::string& vm_service);

    /// \brief Starts a scheduler again, with 'bootstrap' false.
    void start_scheduler(std::size_t k);
    /// \brief Kills the process (SIGKILL) and waits for its end.
    void kill_scheduler(std::size_t k) { kill_process(schedulers_[k]); }
    /// \brief Sends a signal, such as SIGSTOP or SIGCONT.
    void signal_scheduler(std::size_t k, int number);
    /// \brief Empties the data folder of a scheduler that isn't running; later
    /// starts have 'bootstrap' false.
    void lose_disk(std::size_t k);
    /// \returns whether the process has ended without a kill.
    bool has_ended(std::size_t k);

    std::size_t schedulers() const { return schedulers_.size(); }
    std::string control(std::size_t k) const;
    /// \returns the address of a scheduler's metrics page.
    std::string metrics(std::size_t k) const;
    /// \returns the most memory that the scheduler has used.
    std::size_t memory_mb(std::size_t k) const;
    std::vector<std::string> controls() const;
    std::vector<std::string> gateways() const;

private:
    void write_settings(const machine& owner, bool bootstrap) const;
    void start_process(machine& owner);
    void kill_process(machine& owner);

    record& log_;
    std::string folder_;
    std::string prefix_;
    unsigned next_host_ = 1;
    int port_ = 0;
    std::string vm_service_;
    std::vector<machine> schedulers_;
    std::vector<machine> gateways_;
};

} // namespace dragonflymount::review

#endif
