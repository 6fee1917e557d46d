// Formats the line about the leader's load.
#include "programs/scheduler/load_log.hpp"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace dragonflymount::scheduler_program {
namespace {

constexpr duration line_interval = std::chrono::seconds(1);

} // namespace

work load_log::enter(work kind) {
    const instant now = runtime::system_clock::now();
    spent_[static_cast<std::size_t>(current_)] += now - since_;
    since_ = now;
    return std::exchange(current_, kind);
}

void load_log::note_report_delay(duration delay) {
    longest_delay_ = std::max(longest_delay_, delay);
    total_delay_ += delay;
    ++delays_;
}

void load_log::write(const connection_counts& connections, duration turns,
    std::size_t startable, instant now) {
    if (now - last_line_ < line_interval) {
        return;
    }
    const auto us = [this](work kind) {
        return spent_[static_cast<std::size_t>(kind)].count();
    };
    const auto count = [this](work kind) {
        return counts_[static_cast<std::size_t>(kind)];
    };
    LOG(INFO) << event::leader_load
              << "window_us=" << (now - last_line_).count()
              << " reports=" << count(work::reports)
              << " decoding_us=" << us(work::decoding)
              << " reports_us=" << us(work::reports)
              << " calls=" << count(work::calls)
              << " calls_us=" << us(work::calls)
              << " batches=" << count(work::batches)
              << " batches_us=" << us(work::batches)
              << " outcomes=" << count(work::outcomes)
              << " outcomes_us=" << us(work::outcomes)
              << " ticks_us=" << us(work::ticks)
              << " vm_orders_us=" << us(work::vm_orders)
              << " turns_us=" << (turns - turns_).count()
              << " startable=" << startable << " open=" << connections.open
              << " accepted=" << connections.accepted - connections_.accepted
              << " undelivered="
              << connections.undelivered - connections_.undelivered
              << " mean_delay_us="
              << total_delay_.count() / std::max<std::int64_t>(1, delays_)
              << " longest_delay_us=" << longest_delay_.count();
    spent_ = {};
    counts_ = {};
    last_line_ = now;
    turns_ = turns;
    connections_ = connections;
    longest_delay_ = {};
    total_delay_ = {};
    delays_ = 0;
}

} // namespace dragonflymount::scheduler_program
