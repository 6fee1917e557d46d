// Applies committed log records to a replicated state, and packs the state into
// a snapshot image, in slices that don't block the event loop for long.
#ifndef DRAGONFLYMOUNT_HOSTING_APPLIED_STATE_HPP
#define DRAGONFLYMOUNT_HOSTING_APPLIED_STATE_HPP

#include "dragonflymount/agreement.hpp"
#include "dragonflymount/runtime.hpp"

#include <deque>
#include <iterator>
#include <optional>

namespace dragonflymount::hosting {

/// \brief A state machine that is replicated by applying committed commands in
/// log order. \c save returns its snapshot image, \c load restores it.
template <class State>
concept replicated_state = requires(State& state, const State& constant,
    log_index index, const bytes& payload) {
    { state.apply(index, payload) } -> std::same_as<wire::ProposeReplyT>;
    { state.load(payload) } -> std::same_as<result<done>>;
    { constant.save() } -> std::same_as<bytes>;
};

/// \brief Packs the whole image of a state in one call.
template <replicated_state State>
class whole_image {
public:
    explicit whole_image(const State& packed) : packed_(&packed) {}
    bool advance(std::size_t) { return true; }
    bytes finish() { return packed_->save(); }

private:
    const State* packed_;
};

/// \returns a packer for the image of \p packed: the state's own incremental
/// one if it has \c begin_image, otherwise a \c whole_image.
template <replicated_state State>
auto begin_image(const State& packed) {
    if constexpr (requires { packed.begin_image(); }) {
        return packed.begin_image();
    } else {
        return whole_image<State>(packed);
    }
}

/// \brief A state, and the committed records that aren't applied to it yet.
///
/// After a restart or an election, thousands of committed records may have to
/// be applied, and an image may hold thousands of jobs. If they were handled in
/// one turn of the event loop, heartbeats and votes would be delayed by more
/// than an election timeout.
template <replicated_state State>
class applied_state {
public:
    /// \brief Starts again with an empty state and no pending records.
    /// \param base the index after which records will be added.
    void reset(log_index base) {
        image_.reset();
        state_ = State();
        index_ = base;
        pending_.clear();
    }

    /// \brief Replaces the state by that of \p image and drops the pending
    /// records.
    /// \returns the failure of \c State::load if the image can't be read; the
    /// pending records then stay.
    result<done> load(const agreement::snapshot& image) {
        image_.reset();
        result<done> status = state_.load(image.state);
        if (status) {
            index_ = image.last_index;
            pending_.clear();
        }
        return status;
    }

    /// \brief Adds committed records, which follow those added before.
    void add(std::vector<agreement::log_record> records) {
        pending_.insert(pending_.end(),
            std::make_move_iterator(records.begin()),
            std::make_move_iterator(records.end()));
    }

    /// \brief Applies pending records, at least one if there are any, until
    /// \p limit has passed; none while an image is packed.
    /// \param on_applied called with each applied record and its reply.
    /// \returns the number of records applied.
    template <class Handler>
    std::size_t apply(duration limit, Handler on_applied) {
        const instant end = runtime::system_clock::now() + limit;
        std::size_t count = 0;
        while (has_pending() && !is_packing() &&
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

    /// \brief Starts packing an image of the current state. Records stay
    /// pending until \c pack has returned the image.
    void begin_packing() { image_.emplace(begin_image(state_)); }
    bool is_packing() const { return image_.has_value(); }
    /// \brief Continues packing until \p limit has passed. Call only while
    /// \c is_packing is true.
    /// \returns the image when it is complete, otherwise nothing.
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
    /// \returns the index of the last record applied to the state.
    log_index index() const { return index_; }
    const State& state() const { return state_; }

private:
    using image_type = decltype(begin_image(std::declval<const State&>()));

    // Packed between two reads of the clock.
    static constexpr std::size_t jobs_per_step = 16;

    State state_;
    // Set while an image is packed. Invariant: state_ doesn't change meanwhile,
    // because the image refers to it.
    std::optional<image_type> image_;
    // Invariant: the commands up to this index are applied to state_.
    log_index index_;
    // Invariant: holds the committed records after index_, in log order.
    std::deque<agreement::log_record> pending_;
};

} // namespace dragonflymount::hosting

#endif
