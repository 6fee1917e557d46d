// Bounds the log lines of one second, and counts those that are left out.
#ifndef DRAGONFLYMOUNT_RUNTIME_LOG_BUDGET_HPP
#define DRAGONFLYMOUNT_RUNTIME_LOG_BUDGET_HPP

#include "dragonflymount/core.hpp"

#include <utility>

namespace dragonflymount::runtime {

class log_budget {
public:
    /// \param most lines in one second.
    explicit log_budget(std::uint32_t most) : most_(most) {}

    /// \returns whether one more line may be written now.
    bool spend(instant now) {
        if (now - second_begin_ >= std::chrono::seconds(1)) {
            second_begin_ = now;
            spent_ = 0;
        }
        if (spent_ >= most_) {
            ++left_out_;
            return false;
        }
        ++spent_;
        return true;
    }
    /// \returns the lines left out since the last call.
    std::uint64_t take_left_out() { return std::exchange(left_out_, 0); }

private:
    std::uint32_t most_;
    std::uint32_t spent_ = 0;
    instant second_begin_{};
    std::uint64_t left_out_ = 0;
};

} // namespace dragonflymount::runtime

#endif
