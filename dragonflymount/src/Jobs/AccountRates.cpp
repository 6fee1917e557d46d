// Token buckets in whole numbers, so that all replicas count alike whatever
// their processors.
#include "dragonflymount/src/Jobs/AccountRates.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

constexpr std::uint64_t micros_per_job = 1'000'000;

// A higher rate is no bound in practice; with it, no product exceeds 64 bits.
constexpr double max_weight = 1e9;

// Millionths of a job that an account gains each millisecond.
std::uint64_t gain_per_ms(double weight) {
    return static_cast<std::uint64_t>(std::min(weight, max_weight) * 1000);
}

} // namespace

bool account_rates::spend(
    const std::string& account, double weight, std::uint64_t now_ms) {
    if (!(weight > 0)) {
        return true;
    }
    const std::uint64_t gain = gain_per_ms(weight);
    const std::uint64_t most = std::max(gain * burst_ms, micros_per_job);
    const auto [found, is_new] =
        buckets_.try_emplace(account, bucket{most, now_ms});
    bucket& known = found->second;
    // After that time the bucket is full; a single job may take longer to earn.
    const std::uint64_t passed =
        std::min(now_ms - std::min(now_ms, known.filled_ms),
            most / std::max<std::uint64_t>(gain, 1) + 1);
    known.tokens_micro = std::min(most, known.tokens_micro + passed * gain);
    known.filled_ms = now_ms;
    if (known.tokens_micro < micros_per_job) {
        return false;
    }
    known.tokens_micro -= micros_per_job;
    return true;
}

std::vector<wire::AccountRateT> account_rates::save() const {
    std::vector<wire::AccountRateT> saved;
    for (const auto& [account, known] : buckets_) {
        wire::AccountRateT entry;
        entry.account = account;
        entry.tokens_micro = known.tokens_micro;
        entry.filled_ms = known.filled_ms;
        saved.push_back(std::move(entry));
    }
    return saved;
}

void account_rates::load(
    const std::vector<std::unique_ptr<wire::AccountRateT>>& saved) {
    buckets_.clear();
    for (const auto& entry : saved) {
        buckets_[entry->account] = {entry->tokens_micro, entry->filled_ms};
    }
}

} // namespace dragonflymount::jobs
