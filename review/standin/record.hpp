// The record of a case: what was sent, answered and run, one line each.
#ifndef DRAGONFLYMOUNT_REVIEW_STANDIN_RECORD_HPP
#define DRAGONFLYMOUNT_REVIEW_STANDIN_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace dragonflymount::review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// \returns milliseconds since 1970.
std::uint64_t unix_ms();

void sleep_ms(std::int64_t span);

/// \brief Writes record.txt. Each line begins with the milliseconds since the
/// start of the case.
class record {
public:
    explicit record(const std::string& path);

    void line(const std::string& text);
    /// \returns milliseconds since the start of the case.
    std::int64_t now() const;

private:
    std::ofstream file_;
    std::mutex mutex_;
    steady::time_point start_ = steady::now();
};

/// \brief Whether the case plays its disruption: false with TROUBLE=0.
bool has_trouble();

} // namespace dragonflymount::review

#endif
