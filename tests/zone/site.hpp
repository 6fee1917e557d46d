// A deterministic simulation of a small site, for tests of the zone module
// under faults.
//
// The faces and coordinators of entries, fake endpoints, and the replicated
// control state with its planner exchange messages through one queue ordered by
// time. Messages may be lost, delayed, duplicated or
// reordered, and links may be cut in one direction. Processes may crash,
// restart, and freeze for some time. All invariants are checked after every
// event. The seed determines the whole run.
#ifndef DRAGONFLYMOUNT_TESTS_ZONE_SITE_HPP
#define DRAGONFLYMOUNT_TESTS_ZONE_SITE_HPP

#include "dragonflymount/control.hpp"
#include "dragonflymount/zone.hpp"
#include "tests/zone/fake_endpoint.hpp"

#include <functional>
#include <random>

namespace dragonflymount::testing_site {

struct site_options {
    std::uint64_t seed = 1;
    int zones = 2;
    int entries = 2;
    int endpoints = 2;
    int loss_per_mille = 0;
    int duplicates_per_mille = 0;
    duration longest_delay = std::chrono::milliseconds(20);
};

/// \brief Network address of a process; "control" stands for the control
/// replicas.
using process_name = std::string;

struct entry_process {
    entry_id id;
    availability_zone_id zone;
    std::unique_ptr<zone::face> face;
    std::unique_ptr<zone::coordinator> coordinator;
    zone_epoch epoch;
    process_name coordinator_name;
    std::uint64_t incarnation = 0;
    std::map<std::uint64_t, std::pair<std::uint64_t, instant>> proposals;
    /// Send time of each beat of this incarnation, by correlation id.
    std::map<std::uint64_t, instant> beats;
    instant next_beat{};
};

struct caller_record {
    request_key key;
    bool idempotent = false;
    availability_zone_id zone;
    std::optional<wire::AnswerT> answer;
    bool pending = false;
    /// The entry crashed or was frozen, so the caller gets no answer.
    bool lost = false;
    process_name entry;
};

class site {
public:
    explicit site(site_options options);

    static constexpr duration step = std::chrono::milliseconds(20);
    static constexpr std::uint32_t team_limit = 3;

    /// \brief Submits a request through \p entry.
    /// \param run how long the task runs.
    /// \returns the index of the caller, for \c caller.
    std::size_t submit(const process_name& entry, const std::string& id,
        bool idempotent, duration run = std::chrono::seconds(1),
        duration deadline = std::chrono::seconds(40));
    void run_for(duration span);
    /// \brief Runs until \p done returns true, at most for \p limit.
    /// \returns whether \p done returned true.
    bool run_until(const std::function<bool()>& done, duration limit);

    void crash(const process_name& name);
    void restart(const process_name& name);
    bool is_crashed(const process_name& name) const {
        return crashed_.contains(name);
    }
    void freeze(const process_name& name) { frozen_.insert(name); }
    void unfreeze(const process_name& name) { frozen_.erase(name); }
    void cut(const process_name& from, const process_name& to) {
        cuts_.insert({from, to});
    }
    void cut_both(const process_name& left, const process_name& right) {
        cut(left, right);
        cut(right, left);
    }
    void heal() { cuts_.clear(); }
    void set_loss(int per_mille) { options_.loss_per_mille = per_mille; }
    void set_duplication(int per_mille) {
        options_.duplicates_per_mille = per_mille;
    }
    void set_delay(duration longest) { options_.longest_delay = longest; }
    void withdraw(const std::string& key);
    void set_limit(std::uint32_t limit);
    template <class Command>
    wire::ProposeReplyT apply(Command command) {
        index_ = index_.next();
        return state_.apply(index_, wire::encode_command(std::move(command)));
    }

    /// Called for each step of a request's path (see \c steps in
    /// matrix_test.cpp) with the sender and receiver of its message. It may
    /// inject faults.
    std::function<void(const std::string& step, const process_name& from,
        const process_name& to)>
        on_step;

    const caller_record& caller(std::size_t number) const {
        return callers_.at(number);
    }
    int starts(const std::string& id) const;
    std::size_t running() const;
    entry_process& entry(const process_name& name) { return entries_.at(name); }
    fake_endpoint& endpoint(const process_name& name) {
        return endpoints_.at(name);
    }
    const std::map<process_name, entry_process>& entries() const {
        return entries_;
    }
    process_name coordinator_of(const std::string& zone) const;
    control::state& control_state() { return state_; }
    instant now() const { return now_; }
    /// Violated invariants, each with its time.
    const std::vector<std::string>& violations() const { return violations_; }

private:
    struct delivery {
        process_name from;
        process_name to;
        wire::message content;
    };

    void send(const process_name& from, const process_name& to,
        const wire::message& content);
    void report_step(const std::string& step, const process_name& from,
        const process_name& to);
    void advance();
    void deliver(delivery&& arrived);
    void deliver_control(const process_name& from, wire::message&& content);
    void deliver_entry(const process_name& from, const process_name& to,
        wire::message&& content);
    void deliver_endpoint(const process_name& from, const process_name& to,
        wire::message&& content);
    void receive_lease(const process_name& name, const wire::EntryLeaseT& lease,
        std::uint64_t correlation);
    void tick(const process_name& name);
    void run_actions(const process_name& name);
    void run(const process_name& name, zone::face_action& action);
    void run(const process_name& name, zone::coordinator_action& action);
    template <class Command>
    void propose(
        const process_name& name, std::uint64_t batch, Command command);
    void deliver_to_coordinator(const process_name& name,
        const process_name& from, const wire::message& content);
    zone::origin_id origin_of(const process_name& name);
    void start_entry(const process_name& name);
    bool is_for_another_zone(const started_task& task) const;
    void check_invariants();
    void add_violation(const std::string& what);

    site_options options_;
    std::mt19937_64 random_;
    instant now_{std::chrono::seconds(100)};
    control::state state_;
    control::planner planner_;
    log_index index_;
    instant next_decision_{};
    std::uint32_t limit_ = team_limit;
    std::map<process_name, entry_process> entries_;
    std::map<process_name, fake_endpoint> endpoints_;
    std::set<process_name> crashed_;
    std::set<process_name> frozen_;
    std::set<std::pair<process_name, process_name>> cuts_;
    std::multimap<instant, delivery> network_;
    std::vector<process_name> origins_;
    std::vector<caller_record> callers_;
    // Requests that the coordinator of each epoch received from the entries of
    // its own zone, and those that another zone forwarded to it.
    std::set<std::pair<std::uint64_t, std::string>> accepted_;
    std::set<std::pair<std::uint64_t, std::string>> forwarded_;
    std::uint64_t next_correlation_ = 1;
    std::map<std::string, instant> withdrawn_;
    std::map<process_name, rules_version> versions_;
    std::map<process_name, instant> last_heard_;
    // Zone and id of requests that were answered not_run. The zone is part of
    // the key because another zone may run the same id for another caller.
    std::set<std::pair<availability_zone_id, std::string>> not_run_;
    std::vector<std::string> violations_;
};

} // namespace dragonflymount::testing_site

#endif
