// The platform's service of machines.
#ifndef DRAGONFLYMOUNT_REVIEW_STANDIN_CLOUD_HPP
#define DRAGONFLYMOUNT_REVIEW_STANDIN_CLOUD_HPP

#include "review/standin/record.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace httplib {
class Server;
}

namespace dragonflymount::review {

struct listed_machine {
    std::string pool;
    std::string state = "up";
    std::string id;
    int cpu = 32000;
    int memory_mb = 65536;
};

/// \brief Lists machines and carries out moves and upkeep. Fences are checked.
class cloud {
public:
    /// Called with the machine and its new pool when an order has ended what
    /// runs on it (up is false) and when it is up again.
    using hook = std::function<void(
        const std::string& machine, const std::string& pool, bool up)>;

    cloud(record& log, const std::string& address);
    ~cloud();
    cloud(const cloud&) = delete;
    cloud& operator=(const cloud&) = delete;

    void start();
    void on_change(hook changed) { changed_ = std::move(changed); }
    void add(const std::string& machine, listed_machine entry);
    void set_state(const std::string& machine, const std::string& state);
    void set_id(const std::string& machine, const std::string& id);
    /// \brief How long after its content was read each list is answered.
    void answer_lists_after(std::int64_t span) { list_delay_ms_ = span; }
    /// \brief Lets each pool be one of other machines.
    void refuse_moves() { moves_allowed_ = false; }
    /// \brief Makes a machine part of a wave.
    void add_to_wave(std::uint64_t wave, const std::string& machine);
    /// \returns the machines whose upkeep for the wave has begun.
    std::set<std::string> maintained(std::uint64_t wave) const;
    /// \returns the number of lists that are being answered.
    int open_lists() const { return open_lists_; }
    std::size_t lists() const { return lists_; }
    /// \returns the most machines of the wave that were down at once.
    std::size_t most_down(std::uint64_t wave) const;

private:
    struct entry {
        listed_machine listed;
        std::uint64_t fence = 0;
        std::int64_t returns_at = -1;
        std::string next_pool;
        std::uint64_t wave = 0;
    };

    std::string list();
    std::pair<int, std::string> order(bool moves, const std::string& body,
        const std::string& fence, const std::string& holder);
    void run();

    record& log_;
    std::string address_;
    std::unique_ptr<httplib::Server> server_;
    std::thread serving_;
    std::thread returning_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::int64_t> list_delay_ms_ = 0;
    std::atomic<bool> moves_allowed_ = true;
    std::atomic<int> open_lists_ = 0;
    std::atomic<std::size_t> lists_ = 0;
    hook changed_;
    mutable std::mutex mutex_;
    std::map<std::string, entry> machines_;
    std::map<std::uint64_t, std::set<std::string>> waves_;
    std::map<std::uint64_t, std::set<std::string>> maintained_;
    std::map<std::uint64_t, std::size_t> most_down_;
};

} // namespace dragonflymount::review

#endif
