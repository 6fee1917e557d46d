// Limits retries to a fraction of the first starts.
//
// Without a limit, retries would multiply the load when all tasks fail. Each
// first start adds a fraction of a retry to the budget; a retry uses a whole
// one. The dispatcher keeps one budget per team and service.
#ifndef DRAGONFLYMOUNT_POLICY_RETRY_BUDGET_HPP
#define DRAGONFLYMOUNT_POLICY_RETRY_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace dragonflymount::policy {

/// \brief The retries that are allowed at present.
class retry_budget {
public:
    /// First starts that earn one retry.
    static constexpr std::uint32_t starts_per_retry = 10;
    static constexpr std::uint32_t most_saved_retries = 10;

    /// \brief Counts one first start.
    void earn() {
        credit_ = std::min(credit_ + 1, starts_per_retry * most_saved_retries);
    }
    /// \brief Uses one retry.
    /// \returns false, without a change, if the budget is spent.
    bool spend() {
        if (credit_ < starts_per_retry) {
            return false;
        }
        credit_ -= starts_per_retry;
        return true;
    }

private:
    // Unit: 1/starts_per_retry of a retry. A new budget is full.
    std::uint32_t credit_ = starts_per_retry * most_saved_retries;
};

} // namespace dragonflymount::policy

#endif
