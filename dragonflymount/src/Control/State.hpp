// The replicated state of the site, built by applying the log's commands.
//
// Every replica applies the same commands in the same order and so holds the
// same state. A command that conflicts with the state is refused on every
// replica alike and doesn't make the requested change.
#ifndef DRAGONFLYMOUNT_CONTROL_STATE_HPP
#define DRAGONFLYMOUNT_CONTROL_STATE_HPP

#include "dragonflymount/rules.hpp"
#include "dragonflymount/src/Control/Claims.hpp"
#include "dragonflymount/src/Fleet/VmTable.hpp"
#include "dragonflymount/src/Fleet/Waves.hpp"
#include "dragonflymount/wire.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace dragonflymount::control {

struct coordinator_record {
    entry_id entry;
    std::string address;
    zone_epoch epoch;
    /// The incarnation of the entry that was appointed. After a restart the
    /// entry must not act under the same epoch, because it would issue the
    /// same task ids again.
    std::uint64_t incarnation = 0;
};

/// \brief A zone's part of a team's upper limit.
struct grant_record {
    std::uint32_t amount = 0;
    /// The log index of the command that set the amount.
    log_index sequence;
};

using fleet::vm_record;

struct history_record {
    rules_version version;
    std::string author;
    std::uint64_t time_ms = 0;
    std::string what;
};

struct withdrawal_record {
    std::string author;
    std::uint64_t time_ms = 0;
};

class state {
public:
    /// Number of changes whose author and time are kept.
    static constexpr std::size_t max_history = 2000;
    /// Number of submissions whose result is kept, so that a resent submission
    /// gets the same reply.
    static constexpr std::size_t max_submissions = 2000;

    using grant_key = std::pair<availability_zone_id, team_id>;

    /// \brief Applies one command.
    /// \param index the command's index in the log.
    /// \returns the reply to the sender; a refusal if the command is malformed
    /// or conflicts with the state.
    wire::ProposeReplyT apply(
        log_index index, std::span<const std::uint8_t> command);

    rules_version version() const { return version_; }
    const std::string& rules_text() const { return rules_text_; }
    const rules::rule_set& rules() const { return rules_; }
    const std::deque<history_record>& history() const { return history_; }
    const std::map<std::string, withdrawal_record>& withdrawn() const {
        return withdrawn_;
    }
    const std::map<availability_zone_id, coordinator_record>&
    coordinators() const {
        return coordinators_;
    }
    const std::map<grant_key, grant_record>& grants() const { return grants_; }
    const std::map<vm_id, vm_record>& vms() const { return vms_.all(); }
    const fleet::vm_table& vm_table() const { return vms_; }
    const fleet::wave_table& waves() const { return waves_; }
    const claim_table& claims() const { return claims_; }
    std::uint64_t log_time_ms() const { return log_time_ms_; }
    /// \returns the sum of \p team's grants over all zones, in tasks.
    std::uint32_t granted(const team_id& team) const;

    bytes save() const;
    result<done> load(std::span<const std::uint8_t> image);

private:
    wire::ProposeReplyT apply(const wire::ApplyRulesT& command);
    wire::ProposeReplyT apply(const wire::WithdrawKeyT& command);
    wire::ProposeReplyT apply(
        const wire::AppointCoordinatorT& command, log_index index);
    wire::ProposeReplyT apply(const wire::SetGrantT& command, log_index index);
    wire::ProposeReplyT apply(
        const wire::ClaimBatchT& command, log_index index);
    wire::ProposeReplyT apply(const wire::EndClaimsT& command, log_index index);
    wire::ProposeReplyT apply(const wire::AssignVmT& command, log_index index);
    wire::ProposeReplyT apply(const wire::ForgetVmT& command, log_index index);
    wire::ProposeReplyT apply(const wire::WaveCommandT& command);
    wire::ProposeReplyT apply(const wire::WaveProgressT& progress);

    bool is_current_epoch(const std::string& zone, std::uint64_t epoch) const;
    const wire::ProposeReplyT* find_submission(const std::string& id) const;
    wire::ProposeReplyT store_reply(
        const std::string& id, wire::ProposeReplyT reply);
    void append_history(history_record change);

    rules_version version_;
    std::string rules_text_;
    // Invariant: the parsed form of rules_text_.
    rules::rule_set rules_;
    std::deque<history_record> history_;
    std::map<std::string, wire::ProposeReplyT> submissions_;
    // Invariant: the keys of submissions_, oldest first.
    std::deque<std::string> submission_order_;
    std::map<std::string, withdrawal_record> withdrawn_;
    std::map<availability_zone_id, coordinator_record> coordinators_;
    // Invariant: a raise never brings a team's sum above its upper limit.
    std::map<grant_key, grant_record> grants_;
    fleet::vm_table vms_;
    // Per zone, the index of the last command that recorded a restarted or
    // removed VM. Tasks claimed before it may have run there unrecorded.
    std::map<availability_zone_id, log_index> restarts_;
    fleet::wave_table waves_;
    claim_table claims_;
    std::uint64_t log_time_ms_ = 0;
};

} // namespace dragonflymount::control

#endif
