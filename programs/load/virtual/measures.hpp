// What a replay in virtual time measures of shares and slots.
//
// Every sample compares the slots that each team has in use in a pool, over
// all zones, with its due share of them by weighted max-min. A window is 60 s
// of samples in which the teams could use more slots than the pool had.
#ifndef DRAGONFLYMOUNT_LOAD_MEASURES_HPP
#define DRAGONFLYMOUNT_LOAD_MEASURES_HPP

#include "dragonflymount/policy.hpp"

#include <deque>
#include <map>

namespace dragonflymount::load_program {

struct team_sample {
    double weight = 0;
    double running = 0;
    double queued = 0;
    /// Tasks that the upper limit leaves room for, those running included.
    double limit = 0;
};

/// \brief Nearness to share in one pool.
class share_measure {
public:
    static constexpr duration window = std::chrono::seconds(60);
    static constexpr duration sample_interval = std::chrono::milliseconds(200);

    void sample(double slots, const std::map<team_id, team_sample>& teams);

    /// Largest |used - due| / due of a team over a window.
    double largest() const { return largest_; }
    double mean() const { return windows_ == 0 ? 0 : sum_ / windows_; }
    /// Teams times windows that were measured.
    double windows() const { return windows_; }
    double sum() const { return sum_; }

private:
    struct usage {
        double used = 0;
        double due = 0;
    };
    using usages = std::map<team_id, usage>;

    void add(const usages& sampled, double sign);
    void measure_window();

    std::deque<usages> samples_;
    usages total_;
    double largest_ = 0;
    double sum_ = 0;
    double windows_ = 0;
};

} // namespace dragonflymount::load_program

#endif
