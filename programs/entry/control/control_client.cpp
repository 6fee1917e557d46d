// Beats, leases and proposals.
#include "programs/entry/control/control_client.hpp"

namespace dragonflymount::entry_program {
namespace {

constexpr duration expiry_interval = std::chrono::milliseconds(100);
constexpr std::size_t beats_remembered = 64;

/// What a replica that doesn't lead needs, so that it can answer with a lease
/// if it has begun to lead: who is there, without the zone's report.
wire::EntryBeatT short_beat_of(const wire::EntryBeatT& full) {
    wire::EntryBeatT brief;
    brief.entry = full.entry;
    brief.zone = full.zone;
    brief.address = full.address;
    brief.incarnation = full.incarnation;
    brief.rules_version = full.rules_version;
    brief.withdrawals = full.withdrawals;
    brief.stopping = full.stopping;
    return brief;
}

wire::ProposeReplyT unavailable() {
    wire::ProposeReplyT reply;
    reply.result = wire::proposal_result::unavailable;
    return reply;
}

} // namespace

control_client::control_client(asio::io_context& context,
    std::vector<std::string> replicas, runtime::connection_options connections)
    : context_(context), replicas_(std::move(replicas)),
      connections_(connections),
      beat_timer_(context, beat_interval, [this] { beat(); }),
      expiry_timer_(context, expiry_interval, [this] { expire(); }) {}

void control_client::set_handlers(beat_builder build, lease_handler on_lease) {
    build_beat_ = std::move(build);
    on_lease_ = std::move(on_lease);
}

result<done> control_client::start() {
    for (const std::string& replica : replicas_) {
        auto opened =
            std::make_unique<runtime::link>(context_, replica, connections_);
        opened->start([this](const auto&) { beat(); },
            [this, replica](const auto&, wire::message&& content) {
                receive(replica, std::move(content));
            },
            [](const auto&, const failure&) {});
        links_.emplace(replica, std::move(opened));
    }
    beat_timer_.start();
    expiry_timer_.start();
    return done{};
}

void control_client::stop() {
    beat_timer_.stop();
    expiry_timer_.stop();
    links_.clear();
}

void control_client::beat() {
    ++correlation_;
    beats_[correlation_] = runtime::system_clock::now();
    while (beats_.size() > beats_remembered) {
        beats_.erase(beats_.begin());
    }
    wire::EntryBeatT full = build_beat_();
    const wire::message short_beat =
        wire::make_message(short_beat_of(full), correlation_);
    const wire::message beat =
        wire::make_message(std::move(full), correlation_);
    for (const auto& [replica, opened] : links_) {
        opened->send(replica == leader_ ? beat : short_beat);
    }
}

void control_client::propose(bytes command, reply_handler on_reply) {
    const auto found = links_.find(leader_);
    wire::ProposeT message;
    message.command = std::move(command);
    ++correlation_;
    if (found == links_.end() ||
        !found->second->send(
            wire::make_message(std::move(message), correlation_))) {
        on_reply(unavailable());
        return;
    }
    proposals_[correlation_] = {
        std::move(on_reply), runtime::system_clock::now() + proposal_timeout};
}

void control_client::receive(
    const std::string& replica, wire::message&& content) {
    if (const auto* lease = content.body.AsEntryLease()) {
        const auto found = beats_.find(content.correlation);
        if (found == beats_.end()) {
            return;
        }
        leader_ = replica;
        on_lease_(*lease, found->second);
        return;
    }
    if (const auto* reply = content.body.AsProposeReply()) {
        const auto found = proposals_.find(content.correlation);
        if (found == proposals_.end()) {
            return;
        }
        const reply_handler handler = std::move(found->second.handler);
        proposals_.erase(found);
        handler(*reply);
    }
}

void control_client::expire() {
    const instant now = runtime::system_clock::now();
    std::vector<reply_handler> expired;
    std::erase_if(proposals_, [&](auto& entry) {
        if (entry.second.deadline > now) {
            return false;
        }
        expired.push_back(std::move(entry.second.handler));
        return true;
    });
    for (const reply_handler& handler : expired) {
        handler(unavailable());
    }
}

} // namespace dragonflymount::entry_program
