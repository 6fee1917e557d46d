// Applies committed commands, and saves and loads the state for snapshots.
#include "dragonflymount/src/Control/State.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dragonflymount::control {
namespace {

wire::ProposeReplyT refuse(wire::proposal_result result, std::string detail) {
    wire::ProposeReplyT reply;
    reply.result = result;
    reply.detail = std::move(detail);
    return reply;
}

wire::ProposeReplyT accept(std::uint64_t version = 0) {
    wire::ProposeReplyT reply;
    reply.result = wire::proposal_result::accepted;
    reply.version = version;
    return reply;
}

wire::ProposeReplyT reply_to(const fleet::refusal& reason) {
    return reason.empty() ? accept()
                          : refuse(wire::proposal_result::conflict, reason);
}

} // namespace

wire::ProposeReplyT state::apply(
    log_index index, std::span<const std::uint8_t> command) {
    const result<wire::LogCommandT> decoded = wire::decode_command(command);
    if (!decoded) {
        return refuse(
            wire::proposal_result::refused, decoded.error().message());
    }
    const wire::CommandUnion& content = decoded->command;
    switch (content.type) {
    case wire::Command::ApplyRules:
        return apply(*content.AsApplyRules());
    case wire::Command::WithdrawKey:
        return apply(*content.AsWithdrawKey());
    case wire::Command::AppointCoordinator:
        return apply(*content.AsAppointCoordinator(), index);
    case wire::Command::SetGrant:
        return apply(*content.AsSetGrant(), index);
    case wire::Command::ClaimBatch:
        return apply(*content.AsClaimBatch(), index);
    case wire::Command::EndClaims:
        return apply(*content.AsEndClaims(), index);
    case wire::Command::AssignVm:
        return apply(*content.AsAssignVm(), index);
    case wire::Command::ForgetVm:
        return apply(*content.AsForgetVm(), index);
    case wire::Command::WaveCommand:
        return apply(*content.AsWaveCommand());
    case wire::Command::WaveProgress:
        return apply(*content.AsWaveProgress());
    default:
        return accept();
    }
}

// ---- Configuration ---------------------------------------------------------

const wire::ProposeReplyT* state::find_submission(const std::string& id) const {
    const auto found = submissions_.find(id);
    return found == submissions_.end() ? nullptr : &found->second;
}

wire::ProposeReplyT state::store_reply(
    const std::string& id, wire::ProposeReplyT reply) {
    if (id.empty()) {
        return reply;
    }
    submissions_[id] = reply;
    submission_order_.push_back(id);
    if (submission_order_.size() > max_submissions) {
        submissions_.erase(submission_order_.front());
        submission_order_.pop_front();
    }
    return reply;
}

void state::append_history(history_record change) {
    history_.push_back(std::move(change));
    if (history_.size() > max_history) {
        history_.pop_front();
    }
}

wire::ProposeReplyT state::apply(const wire::ApplyRulesT& command) {
    if (const auto* earlier = find_submission(command.submission)) {
        return *earlier;
    }
    if (command.base_version != version_.value()) {
        wire::ProposeReplyT reply = refuse(wire::proposal_result::conflict,
            absl::StrCat("version ", version_.value(),
                " is in force, not the base ", command.base_version));
        reply.version = version_.value();
        return store_reply(command.submission, std::move(reply));
    }
    rules::parse_result parsed = rules::parse(command.text);
    if (!parsed.ok()) {
        return store_reply(command.submission,
            refuse(wire::proposal_result::refused, parsed.message()));
    }
    for (const auto& [digest, withdrawal] : withdrawn_) {
        if (parsed.rules.keys.contains(digest)) {
            return store_reply(command.submission,
                refuse(wire::proposal_result::refused,
                    absl::StrCat("key ", digest, " was withdrawn by ",
                        withdrawal.author)));
        }
    }
    version_ = version_.next();
    rules_text_ = command.text;
    rules_ = std::move(parsed.rules);
    append_history({version_, command.author, command.time_ms, "apply"});
    return store_reply(command.submission, accept(version_.value()));
}

wire::ProposeReplyT state::apply(const wire::WithdrawKeyT& command) {
    if (const auto* earlier = find_submission(command.submission)) {
        return *earlier;
    }
    // A withdrawal only removes access, so it can't conflict with another
    // change and needs no base version.
    withdrawn_.try_emplace(
        command.digest, withdrawal_record{command.author, command.time_ms});
    version_ = version_.next();
    append_history({version_, command.author, command.time_ms,
        absl::StrCat("withdraw ", command.digest)});
    return store_reply(command.submission, accept(version_.value()));
}

// ---- Coordinators and limits -----------------------------------------------

bool state::is_current_epoch(
    const std::string& zone, std::uint64_t epoch) const {
    const auto found = coordinators_.find(availability_zone_id(zone));
    return found != coordinators_.end() && found->second.epoch.value() == epoch;
}

wire::ProposeReplyT state::apply(
    const wire::AppointCoordinatorT& command, log_index index) {
    const availability_zone_id zone(command.zone);
    const auto held = coordinators_.find(zone);
    const zone_epoch epoch =
        held == coordinators_.end() ? zone_epoch() : held->second.epoch;
    if (command.epoch != epoch.value()) {
        return refuse(wire::proposal_result::conflict, "epoch has passed");
    }
    coordinators_[zone] = {entry_id(command.entry), command.address,
        zone_epoch(index.value()), command.incarnation};
    return accept();
}

std::uint32_t state::granted(const team_id& team) const {
    std::uint32_t sum = 0;
    for (const auto& [key, grant] : grants_) {
        if (key.second == team) {
            sum += grant.amount;
        }
    }
    return sum;
}

wire::ProposeReplyT state::apply(
    const wire::SetGrantT& command, log_index index) {
    if (!is_current_epoch(command.zone, command.zone_epoch)) {
        return refuse(wire::proposal_result::conflict, "epoch has passed");
    }
    const team_id team(command.team);
    const grant_key key{availability_zone_id(command.zone), team};
    const auto found = grants_.find(key);
    const grant_record held =
        found == grants_.end() ? grant_record{} : found->second;
    if (held.sequence.value() != command.sequence) {
        return refuse(wire::proposal_result::conflict, "grant has changed");
    }
    if (command.amount > held.amount) {
        const auto rule = rules_.teams.find(team);
        const std::uint32_t limit =
            rule == rules_.teams.end() ? 0 : rule->second.limit;
        if (granted(team) - held.amount + command.amount > limit) {
            return refuse(
                wire::proposal_result::refused, "above the upper limit");
        }
    }
    grants_[key] = {command.amount, index};
    return accept();
}

// ---- Claims ----------------------------------------------------------------

wire::ProposeReplyT state::apply(
    const wire::ClaimBatchT& command, log_index index) {
    if (!is_current_epoch(command.zone, command.zone_epoch)) {
        return refuse(wire::proposal_result::conflict, "epoch has passed");
    }
    log_time_ms_ = std::max(log_time_ms_, command.log_time_ms);
    claims_.expire(log_time_ms_);
    claimant requester;
    requester.zone = availability_zone_id(command.zone);
    if (command.clean) {
        const auto restart = restarts_.find(requester.zone);
        requester.reclaimable_after =
            restart == restarts_.end() ? log_index() : restart->second;
    }
    wire::ProposeReplyT reply = accept();
    for (const auto& wanted : command.claims) {
        requester.task = task_id(wanted->task);
        const claim& held = claims_.acquire({team_id(wanted->team), wanted->id},
            requester, {index, log_time_ms_});
        reply.granted.push_back(
            claim_table::is_granted(held, requester.task) ? 1 : 0);
        reply.owners.push_back(claims_.zone_of(held).str());
    }
    return reply;
}

wire::ProposeReplyT state::apply(
    const wire::EndClaimsT& command, log_index index) {
    for (const auto& end : command.ends) {
        const claimant holder{task_id(end->task),
            availability_zone_id(command.zone), std::nullopt};
        claims_.finish({team_id(end->team), end->id}, holder, end->outcome,
            {index, log_time_ms_});
    }
    return accept();
}

// ---- VMs -------------------------------------------------------------------

wire::ProposeReplyT state::apply(
    const wire::AssignVmT& command, log_index index) {
    const auto held = coordinators_.find(availability_zone_id(command.zone));
    const zone_epoch coordinator =
        held == coordinators_.end() ? zone_epoch() : held->second.epoch;
    log_time_ms_ = std::max(log_time_ms_, command.time_ms);
    const vm_id vm(command.vm);
    const vm_record* known = vms_.find(vm);
    const std::optional<vm_record> before =
        known == nullptr ? std::nullopt : std::optional(*known);
    const fleet::refusal refusal = vms_.assign(command, index, coordinator);
    if (refusal.empty() && before &&
        vms_.find(vm)->incarnation != before->incarnation) {
        restarts_[before->zone] = index;
    }
    return reply_to(refusal);
}

wire::ProposeReplyT state::apply(
    const wire::ForgetVmT& command, log_index index) {
    const vm_record* known = vms_.find(vm_id(command.vm));
    const availability_zone_id zone =
        known == nullptr ? availability_zone_id() : known->zone;
    const fleet::refusal refusal = vms_.forget(command);
    if (refusal.empty()) {
        restarts_[zone] = index;
    }
    return reply_to(refusal);
}

wire::ProposeReplyT state::apply(const wire::WaveCommandT& command) {
    if (const auto* earlier = find_submission(command.submission)) {
        return *earlier;
    }
    // Log time advances so that a VM maintained before this command has an
    // earlier time than the command.
    ++log_time_ms_;
    return store_reply(command.submission,
        reply_to(waves_.apply(command, rules_, log_time_ms_)));
}

wire::ProposeReplyT state::apply(const wire::WaveProgressT& progress) {
    log_time_ms_ = std::max(log_time_ms_, progress.time_ms);
    return reply_to(waves_.apply(progress, rules_));
}

// ---- Image -----------------------------------------------------------------

bytes state::save() const {
    wire::ControlImageT image;
    image.version = version_.value();
    image.rules = rules_text_;
    image.log_time_ms = log_time_ms_;
    for (const history_record& change : history_) {
        auto saved = std::make_unique<wire::HistoryRecordT>();
        saved->version = change.version.value();
        saved->author = change.author;
        saved->time_ms = change.time_ms;
        saved->what = change.what;
        image.history.push_back(std::move(saved));
    }
    for (const std::string& id : submission_order_) {
        const wire::ProposeReplyT& reply = submissions_.at(id);
        auto saved = std::make_unique<wire::SubmissionRecordT>();
        saved->submission = id;
        saved->result = static_cast<std::uint8_t>(reply.result);
        saved->version = reply.version;
        saved->detail = reply.detail;
        image.submissions.push_back(std::move(saved));
    }
    for (const auto& [digest, withdrawal] : withdrawn_) {
        auto saved = std::make_unique<wire::WithdrawnKeyT>();
        saved->digest = digest;
        saved->author = withdrawal.author;
        saved->time_ms = withdrawal.time_ms;
        image.withdrawn.push_back(std::move(saved));
    }
    for (const auto& [zone, held] : coordinators_) {
        auto saved = std::make_unique<wire::AppointCoordinatorT>();
        saved->zone = zone.str();
        saved->entry = held.entry.str();
        saved->address = held.address;
        saved->epoch = held.epoch.value();
        saved->incarnation = held.incarnation;
        image.coordinators.push_back(std::move(saved));
    }
    for (const auto& [key, held] : grants_) {
        auto saved = std::make_unique<wire::SetGrantT>();
        saved->zone = key.first.str();
        saved->team = key.second.str();
        saved->amount = held.amount;
        saved->sequence = held.sequence.value();
        image.grants.push_back(std::move(saved));
    }
    vms_.save(image);
    for (const auto& [zone, index] : restarts_) {
        auto saved = std::make_unique<wire::ZoneRestartT>();
        saved->zone = zone.str();
        saved->index = index.value();
        image.restarts.push_back(std::move(saved));
    }
    waves_.save(image);
    claims_.save(image);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::ControlImage::Pack(builder, &image));
    return {builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

result<done> state::load(std::span<const std::uint8_t> image_bytes) {
    // An image holds one table per claim, which can exceed the verifier's
    // default limit.
    constexpr flatbuffers::uoffset_t max_tables = 50'000'000;
    flatbuffers::Verifier verifier(
        image_bytes.data(), image_bytes.size(), 64, max_tables);
    if (!verifier.VerifyBuffer<wire::ControlImage>(nullptr)) {
        return failure{make_error_code(errc::malformed_message), "load state",
            {}, "verifier refused it"};
    }
    wire::ControlImageT image;
    flatbuffers::GetRoot<wire::ControlImage>(image_bytes.data())
        ->UnPackTo(&image);
    *this = state();
    version_ = rules_version(image.version);
    rules_text_ = image.rules;
    rules_ = rules::parse(rules_text_).rules;
    log_time_ms_ = image.log_time_ms;
    for (const auto& saved : image.history) {
        history_.push_back({rules_version(saved->version), saved->author,
            saved->time_ms, saved->what});
    }
    for (const auto& saved : image.submissions) {
        wire::ProposeReplyT reply;
        reply.result = static_cast<wire::proposal_result>(saved->result);
        reply.version = saved->version;
        reply.detail = saved->detail;
        submissions_[saved->submission] = std::move(reply);
        submission_order_.push_back(saved->submission);
    }
    for (const auto& saved : image.withdrawn) {
        withdrawn_[saved->digest] = {saved->author, saved->time_ms};
    }
    for (const auto& saved : image.coordinators) {
        coordinators_[availability_zone_id(saved->zone)] = {
            entry_id(saved->entry), saved->address, zone_epoch(saved->epoch),
            saved->incarnation};
    }
    for (const auto& saved : image.grants) {
        grants_[{availability_zone_id(saved->zone), team_id(saved->team)}] = {
            saved->amount, log_index(saved->sequence)};
    }
    vms_.load(image);
    for (const auto& saved : image.restarts) {
        restarts_[availability_zone_id(saved->zone)] = log_index(saved->index);
    }
    waves_.load(image);
    claims_.load(image);
    return done{};
}

} // namespace dragonflymount::control
