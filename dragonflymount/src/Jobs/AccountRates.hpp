// How fast each client account may hand in jobs and still be served among the
// first. A part of the replicated job state, so that every leader decides
// alike.
#ifndef DRAGONFLYMOUNT_JOBS_ACCOUNT_RATES_HPP
#define DRAGONFLYMOUNT_JOBS_ACCOUNT_RATES_HPP

#include "dragonflymount/src/Jobs/Types.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymount::jobs {

/// \brief A token bucket for each account, whose weight is its rate in jobs a
/// second.
///
/// Load pattern: one account sends many times its usual, more than there is
/// room for. Of the jobs that are late then, those beyond their account's rate
/// are served after those within. Work in time keeps its order. An account that
/// was idle may send the jobs of \c burst_ms at once.
class account_rates {
public:
    /// Time whose jobs an account may hand in at once.
    static constexpr std::uint64_t burst_ms = 1000;

    /// \brief Counts a job of \p account.
    /// \param weight jobs a second; 0 or less means no bound.
    /// \param now_ms log time, in milliseconds since 1970.
    /// \returns whether the job is within the account's rate.
    bool spend(const std::string& account, double weight, std::uint64_t now_ms);

    std::vector<wire::AccountRateT> save() const;
    void load(const std::vector<std::unique_ptr<wire::AccountRateT>>& saved);

private:
    // The jobs that the account may hand in, in millionths, at a time.
    struct bucket {
        std::uint64_t tokens_micro = 0;
        std::uint64_t filled_ms = 0;
    };

    std::map<std::string, bucket> buckets_;
};

} // namespace dragonflymount::jobs

#endif
