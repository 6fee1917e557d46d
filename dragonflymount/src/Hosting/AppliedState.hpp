// The state that committed records add up to, applied a slice at a time.
#ifndef DRAGONFLYMOUNT_HOSTING_APPLIED_STATE_HPP
#define DRAGONFLYMOUNT_HOSTING_APPLIED_STATE_HPP

#include "dragonflymount/agreement.hpp"
#include "dragonflymount/runtime.hpp"

#include <deque>
#include <iterator>

namespace dragonflymount::hosting {

/// \brief What the committed commands of a log add up to.
template <class State>
concept replicated_state = requires(State& state, const State& constant,
    log_index index, const bytes& payload) {
    { state.apply(index, payload) } -> std::same_as<wire::ProposeReplyT>;
    { state.load(payload) } -> std::same_as<result<done>>;
    { constant.save() } -> std::same_as<bytes>;
};

/// \brief A state, and the committed records that it doesn't hold yet.
///
/// A restart or a new lead may find thousands of committed records at once.
/// Applied in one turn of the event loop, they would keep heartbeats and votes
/// waiting for longer than an election timeout.
template <replicated_state State>
class applied_state {
public:
    /// \brief Begins with the state after \p base.
    void reset(log_index base) {
        state_ = State();
        index_ = base;
        waiting_.clear();
    }

    /// \brief Replaces the state by that of \p image.
    result<done> load(const agreement::snapshot& image) {
        const result<done> status = state_.load(image.state);
        if (status) {
            index_ = image.last_index;
            waiting_.clear();
        }
        return status;
    }

    void add(std::vector<agreement::log_record> records) {
        waiting_.insert(waiting_.end(),
            std::make_move_iterator(records.begin()),
            std::make_move_iterator(records.end()));
    }

    /// \brief Applies records for about \p longest, one at least.
    /// \param on_applied is given each record and the reply to it.
    /// \returns how many were applied.
    template <class Handler>
    std::size_t apply(duration longest, Handler on_applied) {
        const instant end = runtime::system_clock::now() + longest;
        std::size_t count = 0;
        while (
            is_behind() && (count == 0 || runtime::system_clock::now() < end)) {
            const agreement::log_record record = std::move(waiting_.front());
            waiting_.pop_front();
            wire::ProposeReplyT reply;
            if (record.kind == agreement::record_kind::command) {
                reply = state_.apply(record.index, record.payload);
            }
            index_ = record.index;
            on_applied(record, std::move(reply));
            ++count;
        }
        return count;
    }

    bool is_behind() const { return !waiting_.empty(); }
    /// \returns the newest record that the state holds.
    log_index index() const { return index_; }
    const State& state() const { return state_; }

private:
    State state_;
    // Invariant: state_ holds the commands up to this record.
    log_index index_;
    // Invariant: the committed records after index_, in order.
    std::deque<agreement::log_record> waiting_;
};

} // namespace dragonflymount::hosting

#endif
