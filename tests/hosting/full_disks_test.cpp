// Tests replica hosts whose disks are full one after another, with real files:
// proposals are answered all the time, a failed replica recovers in its
// process, and a restart of all finds what was accepted.
#include "dragonflymount/hosting.hpp"
#include "tests/hosting/full_disk.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <random>
#include <set>

namespace dragonflymount::hosting {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t fixed_seed = 20260127;
constexpr duration election_timeout = milliseconds(500);
constexpr duration reopen_interval = milliseconds(400);
constexpr duration full_span = milliseconds(1500);
// The users' bound on an acknowledgement is 4 s; 2 s more for an election.
constexpr duration ack_bound = seconds(6);
constexpr std::uint32_t snapshot_records = 20;

/// A replicated state that holds the numbers of all applied commands.
struct number_set {
    std::set<std::string> numbers;

    wire::ProposeReplyT apply(log_index, const bytes& payload) {
        numbers.insert(to_text(payload));
        wire::ProposeReplyT reply;
        reply.result = wire::proposal_result::accepted;
        return reply;
    }
    result<done> load(const bytes& image) {
        numbers.clear();
        std::string number;
        for (const char letter : to_text(image)) {
            if (letter == ' ') {
                numbers.insert(std::exchange(number, {}));
            } else {
                number += letter;
            }
        }
        return done{};
    }
    bytes save() const {
        std::string image;
        for (const std::string& number : numbers) {
            image += number + ' ';
        }
        return to_bytes(image);
    }
};

using host_type = replica_host<number_set>;

/// A replica on an event loop of its own, so that its disk alone can be full.
class node {
public:
    explicit node(const std::string& name)
        : name_(name), address_(free_address()),
          folder_(std::filesystem::path(testing::TempDir()) /
              ("dfm-full-" + std::to_string(::getpid()) + "-" + name)) {
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
        settings.snapshot_records = snapshot_records;
        settings.tail = agreement::tail_policy::cut_torn_writes;
        settings.reopen_interval = reopen_interval;
        settings.new_site = new_site;
        host_ = std::make_unique<host_type>(context_, settings);
        leads_ = false;
        host_->on_leadership([this](bool leads) { leads_ = leads; });
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
    /// Moves the data to a new folder for the next start, because the lock on
    /// the old folder lasts until the process ends.
    void move_data() {
        const std::filesystem::path copy(folder_.string() + "-again");
        std::filesystem::remove_all(copy);
        std::filesystem::copy(folder_, copy);
        std::filesystem::remove_all(folder_);
        folder_ = copy;
    }
    void fill_disk(duration span, rlim_t largest_file) {
        full_until_ = runtime::system_clock::now() + span;
        largest_file_ = largest_file;
        failed_ = false;
    }
    void run() {
        std::optional<full_disk> full;
        if (runtime::system_clock::now() < full_until_) {
            full.emplace(largest_file_);
        }
        context_.restart();
        context_.poll();
        failed_ = failed_ || host_->replica().is_failed();
    }
    host_type& host() { return *host_; }
    /// What the host last reported; it must agree with the host's state.
    bool leads() const { return leads_; }
    /// Whether a write failed since \c fill_disk.
    bool has_failed() const { return failed_; }

private:
    std::string free_address() {
        const asio::ip::tcp::acceptor probe(
            context_, {asio::ip::make_address("127.0.0.1"), 0});
        return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    }

    std::string name_;
    asio::io_context context_;
    std::string address_;
    std::filesystem::path folder_;
    runtime::listener listener_{context_, {}};
    std::unique_ptr<host_type> host_;
    bool leads_ = false;
    bool failed_ = false;
    instant full_until_{};
    rlim_t largest_file_ = 0;
};

/// Three replicas and a caller that always has one proposal under way.
class full_group {
public:
    full_group() { start(true); }
    ~full_group() {
        for (node& each : nodes_) {
            each.stop();
        }
    }
    full_group(const full_group&) = delete;
    full_group& operator=(const full_group&) = delete;

    void run(duration span) {
        const instant end = runtime::system_clock::now() + span;
        run_until([&] { return runtime::system_clock::now() >= end; });
    }
    template <class Predicate>
    bool run_until(Predicate holds) {
        const instant end = runtime::system_clock::now() + seconds(30);
        while (!holds()) {
            if (runtime::system_clock::now() >= end) {
                return false;
            }
            for (node& each : nodes_) {
                each.run();
            }
            propose();
            const instant now = runtime::system_clock::now();
            longest_pause_ = std::max(longest_pause_, now - last_accepted_);
            ::usleep(1000);
        }
        return true;
    }
    void fill_disk(node& at, std::uint64_t largest_file) {
        at.fill_disk(full_span, largest_file);
        run(full_span);
        EXPECT_TRUE(at.has_failed()) << "the disk must have refused a write";
        EXPECT_TRUE(run_until([&] {
            return !at.host().replica().is_failed() &&
                at.host().data().state() == disk_state::sound;
        }));
        EXPECT_EQ(at.host().replica().identity(), agreement::initial_identity);
    }
    /// Ends all processes and starts them from their folders.
    void restart() {
        for (node& each : nodes_) {
            each.stop();
            each.move_data();
        }
        proposed_ = false;
        start(false);
    }
    void expect_all_accepted() {
        EXPECT_TRUE(run_until([&] { return has_leader(); }));
        const std::set<std::string> accepted = accepted_;
        EXPECT_TRUE(run_until([&] {
            return std::all_of(nodes_.begin(), nodes_.end(), [&](node& each) {
                const auto& held = each.host().agreed().numbers;
                return std::includes(
                    held.begin(), held.end(), accepted.begin(), accepted.end());
            });
        })) << accepted.size()
            << " commands were accepted";
        for (node& each : nodes_) {
            EXPECT_EQ(each.leads(), each.host().is_settled_leader());
        }
    }
    void expect_progress() {
        EXPECT_LE(std::exchange(longest_pause_, {}).count(), ack_bound.count());
    }
    bool has_leader() { return leader() != nullptr; }
    node* leader() {
        const auto found = std::find_if(nodes_.begin(), nodes_.end(),
            [](node& each) { return each.host().is_current_leader(); });
        return found == nodes_.end() ? nullptr : &*found;
    }
    node& at(std::size_t k) { return nodes_[k]; }

private:
    void start(bool new_site) {
        agreement::member_list members;
        for (const node& each : nodes_) {
            members.push_back(each.member());
        }
        for (node& each : nodes_) {
            each.start(members, new_site);
        }
        last_accepted_ = runtime::system_clock::now();
    }
    void propose() {
        node* found = leader();
        if (proposed_ || found == nullptr) {
            return;
        }
        proposed_ = true;
        const std::string number = std::to_string(next_number_++);
        found->host().propose(
            to_bytes(number), [this, number](const wire::ProposeReplyT& reply) {
                proposed_ = false;
                if (reply.result == wire::proposal_result::accepted) {
                    accepted_.insert(number);
                    last_accepted_ = runtime::system_clock::now();
                }
            });
    }

    std::array<node, 3> nodes_{node("c1"), node("c2"), node("c3")};
    std::set<std::string> accepted_;
    bool proposed_ = false;
    std::uint64_t next_number_ = 1;
    instant last_accepted_{};
    duration longest_pause_{};
};

// Guards against a group that stops accepting changes although each replica
// has its disk back: one after another must recover in its process.
TEST(full_disks, of_all_replicas_in_turn_stop_no_proposal) {
    std::mt19937_64 random(fixed_seed);
    full_group group;
    ASSERT_TRUE(group.run_until([&] { return group.has_leader(); }));
    for (const std::size_t k : {0U, 1U, 2U, 2U, 1U, 0U}) {
        group.fill_disk(group.at(k), random() % 200);
        group.run(milliseconds(random() % 600));
    }
    group.expect_progress();
    group.expect_all_accepted();
    group.restart();
    group.expect_all_accepted();
}

// The leader's proposals are answered when its write fails, and another replica
// leads until its disk fails too.
TEST(full_disks, of_each_leader_stop_no_proposal) {
    std::mt19937_64 random(fixed_seed);
    full_group group;
    for (int k = 0; k < 5; ++k) {
        ASSERT_TRUE(group.run_until([&] { return group.has_leader(); }));
        group.fill_disk(*group.leader(), random() % 200);
    }
    group.run(milliseconds(500));
    group.expect_progress();
    group.expect_all_accepted();
    group.restart();
    group.expect_all_accepted();
}

} // namespace
} // namespace dragonflymount::hosting
