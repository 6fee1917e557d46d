// How late reports arrive, measured by the clocks of endpoint and leader.
#include "dragonflymount/src/Jobs/Endpoints.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::jobs {
namespace {

using std::chrono::milliseconds;

constexpr duration trip_time = milliseconds(2);

class endpoint_delay : public testing::Test {
protected:
    /// \returns the delay that the table measures for a report that is sent at
    /// \p clock of the endpoint and arrives at \p arrival of the leader.
    duration delay_of(duration clock, duration arrival) {
        endpoint_report report;
        report.life = {"e-1", 1};
        report.address = "10.0.0.1:80";
        report.sent = clock;
        report.sequence = ++sequence_;
        return table_.apply_report(report, instant(arrival))->report_delay;
    }

private:
    endpoint_table table_{endpoint_options{}};
    std::uint64_t sequence_ = 0;
};

TEST_F(endpoint_delay, is_the_time_beyond_the_fastest_report) {
    const duration began = milliseconds(70'000);
    EXPECT_EQ(delay_of(milliseconds(1000), began + trip_time), duration());
    const duration passed = milliseconds(1800);
    const duration drift = passed * endpoint_drift_per_mille / 1000;
    const duration delay = delay_of(milliseconds(2000), began + passed);
    EXPECT_LE(delay, milliseconds(800) - trip_time);
    EXPECT_GE(delay, milliseconds(800) - trip_time - drift);
}

TEST_F(endpoint_delay, is_zero_if_only_the_clock_is_slow) {
    delay_of(milliseconds(1000), milliseconds(50'000));
    EXPECT_EQ(delay_of(milliseconds(10'800), milliseconds(60'000)), duration());
}

TEST_F(endpoint_delay, is_zero_if_the_endpoint_tells_no_clock) {
    delay_of(duration(), milliseconds(50'000));
    EXPECT_EQ(delay_of(duration(), milliseconds(60'000)), duration());
}

} // namespace
} // namespace dragonflymount::jobs
