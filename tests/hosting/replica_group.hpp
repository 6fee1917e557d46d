// Replica hosts with listeners and data folders, in one process and on one
// thread, that communicate over loopback.
#ifndef DRAGONFLYMOUNT_TESTS_REPLICA_GROUP_HPP
#define DRAGONFLYMOUNT_TESTS_REPLICA_GROUP_HPP

#include "dragonflymount/hosting.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>

namespace dragonflymount::hosting_test {

using namespace hosting;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Long enough for a busy machine: all replicas of a test share one thread,
// which other processes may delay.
inline constexpr duration election_timeout = seconds(1);

/// One replica with its listener and data folder.
template <replicated_state State>
class node {
public:
    node(asio::io_context& context, std::string name, std::string address)
        : name_(std::move(name)), address_(std::move(address)),
          folder_(std::filesystem::path(testing::TempDir()) /
              ("dfm-host-" + std::to_string(::getpid()) + "-" + name_)),
          listener_(context, {}), context_(context) {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
    }
    ~node() { std::filesystem::remove_all(folder_); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    agreement::member member() const {
        return {replica_id(name_), address_, availability_zone_id("z"),
            agreement::initial_identity, true};
    }
    void start(const agreement::member_list& known, bool new_site) {
        replica_settings settings;
        settings.options.self = replica_id(name_);
        settings.options.election_timeout = election_timeout;
        settings.options.heartbeat_interval = election_timeout / 6;
        settings.options.seed = std::hash<std::string>{}(name_);
        settings.members = known;
        settings.data = folder_.string();
        settings.snapshot_records = snapshot_records_;
        settings.new_site = new_site;
        host_ = std::make_unique<replica_host<State>>(context_, settings);
        host_->on_leadership(
            [this](bool leads) { leaderships_lost_ += leads ? 0 : 1; });
        const auto started = host_->start();
        ASSERT_TRUE(started) << started.error().message();
        ASSERT_TRUE(listener_.start(
            address_,
            [this](const auto& from, wire::message&& content) {
                host_->receive(from, content);
            },
            [](const auto&, const auto&) {}));
    }
    void stop() {
        host_->stop();
        listener_.stop();
        // Runs the handlers that the host has posted, because they refer to it.
        context_.poll();
        context_.restart();
        host_.reset();
    }
    /// Stops the listener, which closes the incoming connections.
    void close_connections() { listener_.stop(); }
    /// Moves the data to a new folder for the next start, because the lock on
    /// the old folder lasts until the process ends.
    void move_data() {
        const std::filesystem::path copy(folder_.string() + "-again");
        std::filesystem::remove_all(copy);
        std::filesystem::copy(folder_, copy);
        std::filesystem::remove_all(folder_);
        folder_ = copy;
    }
    /// Takes all files away, as if the disk had been replaced.
    void lose_disk() {
        move_data();
        for (const auto& file : std::filesystem::directory_iterator(folder_)) {
            std::filesystem::remove(file.path());
        }
    }
    void save_snapshots_every(std::uint32_t records) {
        snapshot_records_ = records;
    }
    replica_host<State>& host() { return *host_; }
    std::size_t leaderships_lost() const { return leaderships_lost_; }

private:
    std::string name_;
    std::string address_;
    std::filesystem::path folder_;
    runtime::listener listener_;
    asio::io_context& context_;
    std::unique_ptr<replica_host<State>> host_;
    std::uint32_t snapshot_records_ = 4096;
    std::size_t leaderships_lost_ = 0;
};

inline std::string free_address(asio::io_context& context) {
    const asio::ip::tcp::acceptor probe(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

template <class Predicate>
bool run_until(asio::io_context& context, Predicate holds) {
    const auto end = std::chrono::steady_clock::now() + seconds(30);
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        context.run_for(milliseconds(10));
    }
    return true;
}

/// A group of three replicas that run on one thread.
template <replicated_state State>
class replica_group {
public:
    using node = hosting_test::node<State>;

    replica_group() {
        for (const node& each : nodes_) {
            members_.push_back(each.member());
        }
    }
    ~replica_group() {
        for (node& each : nodes_) {
            each.stop();
        }
    }
    replica_group(const replica_group&) = delete;
    replica_group& operator=(const replica_group&) = delete;

    void start() {
        for (node& each : nodes_) {
            each.start(members_, true);
        }
    }
    void restart() {
        for (node& each : nodes_) {
            each.stop();
            each.move_data();
        }
        start();
    }
    void save_snapshots_every(std::uint32_t records) {
        for (node& each : nodes_) {
            each.save_snapshots_every(records);
        }
    }
    bool has_leader() {
        return run_until([&] { return leader() != nullptr; });
    }
    /// \returns whether each replica has applied at least \p count commands
    /// after \p count commands were proposed.
    bool commit(std::size_t count) {
        for (std::size_t k = 0; k < count; ++k) {
            leader()->host().propose(to_bytes("command"), [](const auto&) {});
        }
        return all_applied(count);
    }
    bool all_applied(std::size_t count) {
        return run_until([&] {
            return std::all_of(nodes_.begin(), nodes_.end(), [&](node& each) {
                return each.host().agreed().commands >= count;
            });
        });
    }
    void run(duration span) { context_.run_for(span); }
    template <class Predicate>
    bool run_until(Predicate holds) {
        return hosting_test::run_until(context_, holds);
    }
    /// \returns the elected leader, which may not have applied all committed
    /// records yet.
    node* find_elected() {
        node* found = nullptr;
        run_until([&] {
            for (node& each : nodes_) {
                if (each.host().replica().has_committed_in_term()) {
                    found = &each;
                }
            }
            return found != nullptr;
        });
        return found;
    }
    void disconnect_all_but(const node& connected) {
        for (node& each : nodes_) {
            if (&each != &connected) {
                each.host().stop();
                each.close_connections();
            }
        }
    }
    std::size_t leaderships_lost() const {
        std::size_t lost = 0;
        for (const node& each : nodes_) {
            lost += each.leaderships_lost();
        }
        return lost;
    }

    /// \returns the settled leader, null if there is none.
    node* leader() {
        const auto found = std::find_if(nodes_.begin(), nodes_.end(),
            [](node& each) { return each.host().is_settled_leader(); });
        return found == nodes_.end() ? nullptr : &*found;
    }
    std::array<node, 3>& nodes() { return nodes_; }
    const agreement::member_list& members() const { return members_; }

private:
    asio::io_context context_;
    std::array<node, 3> nodes_{node(context_, "c1", free_address(context_)),
        node(context_, "c2", free_address(context_)),
        node(context_, "c3", free_address(context_))};
    agreement::member_list members_;
};

} // namespace dragonflymount::hosting_test

#endif
