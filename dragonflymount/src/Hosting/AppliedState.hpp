// The state that committed records add up to, applied a slice at a time.
#ifndef DRAGONFLYMOUNT_HOSTING_APPLIED_STATE_HPP
#define DRAGONFLYMOUNT_HOSTING_APPLIED_STATE_HPP

#include "dragonflymount/agreement.hpp"
#include "dragonflymount/runtime.hpp"

#include <deque>
#include <iterator>
#include <optional>

namespace dragonflymount::hosting {

/// \brief What the committed commands of a log add up to.
template <class State>
concept replicated_state = requires(State& state, const State& constant,
    log_index index, const bytes& payload) {
    { state.apply(index, payload) } -> std::same_as<wire::ProposeReplyT>;
    { state.load(payload) } -> std::same_as<result<done>>;
    { constant.save() } -> std::same_as<bytes>;
};

/// \brief The image of a state that packs it in one piece.
template <replicated_state State>
class whole_image {
public:
    explicit whole_image(const State& packed) : packed_(&packed) {}
    bool advance(std::size_t) { return true; }
    bytes finish() { return packed_->save(); }

private:
    const State* packed_;
};

/// \returns what packs an image of \p packed, part by part where it can.
template <replicated_state State>
auto begin_image(const State& packed) {
    if constexpr (requires { packed.begin_image(); }) {
        return packed.begin_image();
    } else {
        return whole_image<State>(packed);
    }
}

/// \brief A state, and the committed records that it doesn't hold yet.
///
/// A restart or a new lead may find thousands of committed records at once, and
/// an image may hold thousands of jobs. Dealt with in one turn of the event
/// loop, they would keep heartbeats and votes waiting for longer than an
/// election timeout.
template <replicated_state State>
class applied_state {
public:
    /// \brief Begins with the state after \p base.
    void reset(log_index base) {
        image_.reset();
        state_ = State();
        index_ = base;
        pending_.clear();
    }

    /// \brief Replaces the state by that of \p image.
    result<done> load(const agreement::snapshot& image) {
        image_.reset();
        result<done> status = state_.load(image.state);
        if (status) {
            index_ = image.last_index;
            pending_.clear();
        }
        return status;
    }

    void add(std::vector<agreement::log_record> records) {
        pending_.insert(pending_.end(),
            std::make_move_iterator(records.begin()),
            std::make_move_iterator(records.end()));
    }

    /// \brief Applies records for about \p limit, one at least.
    /// \param on_applied is given each record and the reply to it.
    /// \returns how many were applied.
    template <class Handler>
    std::size_t apply(duration limit, Handler on_applied) {
        const instant end = runtime::system_clock::now() + limit;
        std::size_t count = 0;
        while (has_pending() &&
            (count == 0 || runtime::system_clock::now() < end)) {
            const agreement::log_record record = std::move(pending_.front());
            pending_.pop_front();
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

    /// \brief Begins an image; no record is applied until it is packed.
    void begin_packing() { image_.emplace(begin_image(state_)); }
    bool is_packing() const { return image_.has_value(); }
    /// \brief Packs for about \p limit.
    /// \returns the image once all is packed.
    std::optional<bytes> pack(duration limit) {
        const instant end = runtime::system_clock::now() + limit;
        while (!image_->advance(jobs_per_step)) {
            if (runtime::system_clock::now() >= end) {
                return std::nullopt;
            }
        }
        bytes packed = image_->finish();
        image_.reset();
        return packed;
    }

    bool has_pending() const { return !pending_.empty(); }
    /// \returns the newest record that the state holds.
    log_index index() const { return index_; }
    const State& state() const { return state_; }

private:
    using image_type = decltype(begin_image(std::declval<const State&>()));

    // Between two looks at the clock.
    static constexpr std::size_t jobs_per_step = 16;

    State state_;
    // Invariant: while it is there, state_ doesn't change.
    std::optional<image_type> image_;
    // Invariant: state_ holds the commands up to this record.
    log_index index_;
    // Invariant: the committed records after index_, in order.
    std::deque<agreement::log_record> pending_;
};

} // namespace dragonflymount::hosting

#endif
