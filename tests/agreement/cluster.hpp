// A group of replicas on simulated time, network and disks. Faults are injected
// at chosen steps of the protocol. The same seed gives the same run.
#ifndef DRAGONFLYMOUNT_TESTS_CLUSTER_HPP
#define DRAGONFLYMOUNT_TESTS_CLUSTER_HPP

#include "dragonflymount/agreement.hpp"
#include "dragonflymount/src/Agreement/MemberPlan.hpp"
#include "tests/agreement/memory_disk.hpp"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace dragonflymount::agreement {

enum class step : std::uint8_t {
    before_append,
    after_append,
    before_sync,
    after_sync,
    before_send,
    after_send,
    before_commit,
    after_commit,
    snapshot,
    install,
    vote,
    change_members,
};
inline constexpr std::array step_names{"before_append", "after_append",
    "before_sync", "after_sync", "before_send", "after_send", "before_commit",
    "after_commit", "snapshot", "install", "vote", "change_members"};

enum class fault : std::uint8_t {
    crash,
    lost_disk,
    torn_tail,
    full_disk,
    freeze,
    cut_outgoing,
    cut_incoming,
    cut_both,
    lost_messages,
    late_messages,
    doubled_messages,
    reordered_messages,
    clock_jump,
    second_loss,
};
inline constexpr std::array fault_names{"crash", "lost_disk", "torn_tail",
    "full_disk", "freeze", "cut_outgoing", "cut_incoming", "cut_both",
    "lost_messages", "late_messages", "doubled_messages", "reordered_messages",
    "clock_jump", "second_loss"};

/// \brief A fault, the step at which it is injected, and whether into the
/// leader or into a follower.
struct planned_fault {
    step at = step::before_append;
    fault what = fault::crash;
    bool on_leader = false;
};

/// \brief What a full disk refuses: appended bytes, or every call that changes
/// or syncs a file or the folder.
enum class refusal : std::uint8_t { of_bytes, of_calls };

class cluster {
public:
    cluster(std::size_t count, std::uint64_t seed);
    /// \brief A group whose first \p voters replicas vote; the others are
    /// learners. The leader changes members by \c plan_change.
    cluster(std::size_t count, std::uint64_t seed, std::size_t voters);

    void run(duration span);
    /// \brief Plans \p faults. Each is injected the next time that its step
    /// occurs after the fault before it.
    void plan(std::vector<planned_fault> faults) {
        planned_ = std::move(faults);
    }
    /// \brief Ends freezes, cuts and message faults, and runs until all
    /// replicas have applied new records, a leader has committed in its term
    /// and all members are voters. \returns whether that happened within \p
    /// limit without a violation.
    bool converge(duration limit);
    /// \brief Causes the step of the next planned fault if it is an election, a
    /// snapshot installation or a change of members.
    void trigger_step();
    /// \brief Lets the disk of replica \p k refuse writes for \p span, which
    /// begins after a few bytes or calls. A replica whose write fails stops,
    /// and opens its folder again every \c reopen_interval, without a restart.
    void fill_disk(std::size_t k, duration span, refusal how);
    /// \brief Kills the process of replica \p k, which starts again after
    /// \p down. Its disk stays as it is, also a full one.
    void kill(std::size_t k, duration down);
    /// \brief Loses the disk of replica \p k, which starts again after \p down
    /// under a new identity, if that leaves each committed record on a disk.
    /// \returns whether the disk was lost.
    bool lose_disk(std::size_t k, duration down);
    /// \brief The same, whatever it leaves.
    void replace_disk(std::size_t k, duration down);
    /// \brief Lets only messages without records and snapshots reach replica
    /// \p k for \p span.
    void hold_records(std::size_t k, duration span);
    /// \brief Cuts replica \p k off for \p span.
    void cut_off(std::size_t k, duration span);
    /// \brief Delays messages to and from replica \p k for \p span.
    void delay_messages(std::size_t k, duration span);
    /// \brief Gives the operator's word that \p lost won't come back to replica
    /// \p k. \returns whether it was accepted.
    bool reform(std::size_t k, const std::set<std::size_t>& lost);
    /// \brief Asks the leader for a change of replica \p k as it is listed.
    /// \returns whether it was accepted.
    bool change(wire::replica_change what, std::size_t k);
    /// \returns the voters in the member list of replica \p k; empty while it
    /// doesn't run.
    std::set<std::size_t> voters_of(std::size_t k) const;
    const replica* core(std::size_t k) const { return nodes_[k].core.get(); }
    /// \brief Cuts the power of all replicas; they start again within a
    /// second. Full disks stay full.
    void lose_power();
    /// \returns the replica that leads and has committed in its term.
    std::optional<std::size_t> leader() const;
    /// \returns whether no disk was lost, and the loss of any one would leave
    /// a quorum of voters with intact disks in each replica's member list.
    bool can_lose_any_disk() const;
    /// \returns whether there is a leader, and all voters of its list run.
    bool do_all_voters_run() const;
    /// \returns the longest time without a newly committed record since the
    /// last call.
    duration take_longest_pause();

    std::size_t injected() const { return injected_; }
    /// \returns a description of the first violated invariant, empty if none.
    const std::string& violation() const { return violation_; }
    std::string trace() const;

private:
    using store_type = file_store<memory_disk>;

    static constexpr duration reopen_interval = std::chrono::milliseconds(400);
    // Most bytes of an unsynced write that a loss leaves or a disk still takes.
    static constexpr std::uint64_t longest_tear = 60;
    // Fewer calls than this succeed on a disk that begins to refuse them.
    static constexpr std::uint64_t most_calls = 12;

    // A replica is refused while its store has failed and isn't open again.
    enum class condition : std::uint8_t { running, crashing, down, refused };

    struct node {
        replica_id id;
        memory_disk disk;
        std::unique_ptr<store_type> store;
        std::unique_ptr<replica> core;
        replica_identity identity = initial_identity;
        condition state = condition::running;
        fault cause = fault::crash;
        instant down_until{};
        // The default instant unless the disk is full.
        instant full_until{};
        refusal refused = refusal::of_bytes;
        // Set once the disk was full: the replica then opens a failed store
        // again instead of ending its process.
        bool reopens = false;
        instant frozen_until{};
        instant outgoing_cut_until{};
        instant incoming_cut_until{};
        instant records_held_until{};
        instant messages_until{};
        fault message_fault = fault::lost_messages;
        // By how much this node's clock is ahead of the simulation's.
        duration clock_ahead{};
        // Time of the replica's last tick, and by how much that time was ahead
        // of the simulation's.
        instant last_tick{};
        duration last_tick_ahead{};
        instant leader_since{};
        log_term led_term;
        // What it listed when it was killed, if it hasn't lost its disk since.
        member_list members_before;
        log_index applied;
        log_index snapshot;
        std::uint64_t digest = 0;
    };

    struct queued_message {
        std::size_t from = 0;
        std::size_t to = 0;
        wire::message content;
    };

    /// Forwards a replica's calls to its store and reports each step.
    struct signalling_store {
        cluster* owner;
        std::size_t k;
        result<done> append(std::span<const log_record> records);
        result<done> save(const hard_state& hard);
        result<done> save(const agreement::snapshot& image);
        result<done> sync();
    };

    void start(std::size_t k);
    void restart_due();
    void refuse_writes(node& at, std::uint64_t room);
    void end_full_disks();
    void note_progress();
    void advance(std::size_t k);
    void apply(std::size_t k, const ready_actions& actions);
    void note_members(const log_record& record);
    void send(std::size_t k, outbound message);
    void deliver_due();
    void receive(queued_message&& queued);
    void reach_step(step at, std::size_t k);
    void inject(const planned_fault& planned, std::size_t k);
    void crash(std::size_t k, fault cause, duration down);
    void stop_node(std::size_t k);
    void readmit_replicas();
    void admit_replicas(node& at);
    const node* find_applicant(const node& leader) const;
    void change_members(node& at);
    bool has_all_voters(const member_list& members) const;
    void propose();
    void save_snapshot(std::size_t k);
    void check(std::size_t k);
    void check_leader(std::size_t k);
    void check_message(
        std::size_t k, const replica_id& to, const wire::message& content);
    void expect(bool holds, const std::string& what);
    void add_trace_line(const std::string& what);
    bool can_lose_disk(std::size_t k) const;
    bool leaves_majority(const member_list& members, std::size_t k) const;
    bool leaves_seats(const member_list& members, std::size_t k) const;
    bool is_frozen(const node& at) const { return now_ < at.frozen_until; }
    instant clock_of(const node& at) const { return now_ + at.clock_ahead; }
    std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

    instant now_{std::chrono::seconds(100)};
    std::mt19937_64 random_;
    member_list members_;
    std::vector<node> nodes_;
    std::multimap<instant, queued_message> queued_messages_;
    std::vector<planned_fault> planned_;
    std::size_t injected_ = 0;
    std::uint64_t next_identity_ = 100;
    std::uint64_t next_command_ = 1;
    std::uint64_t ticks_ = 0;
    std::vector<std::string> trace_;
    std::string violation_;
    // The term and payload of each record that a replica has applied, and the
    // digest of the state after it.
    std::map<log_index, std::pair<log_term, bytes>> committed_;
    std::map<log_index, std::uint64_t> digests_;
    // The newest member list that a replica has applied, and its index; and the
    // newest one that was applied twice.
    member_list newest_members_;
    log_index newest_list_;
    member_list agreed_members_;
    std::map<log_term, replica_id> leaders_;
    std::map<std::pair<log_term, replica_id>, replica_id> votes_;
    std::set<std::pair<replica_id, replica_identity>> lost_;
    std::set<std::pair<replica_id, replica_identity>> admitted_;
    std::map<log_term, instant> quorums_;
    bool clocks_jumped_ = false;
    // The number of voters that plan_change keeps; zero if it isn't used.
    std::size_t voters_ = 0;
    tail_policy tail_ = tail_policy::refuse_damage;
    // When a record was last committed, and how many there were.
    instant last_progress_{};
    std::size_t progress_ = 0;
    duration longest_pause_{};
};

} // namespace dragonflymount::agreement

#endif
