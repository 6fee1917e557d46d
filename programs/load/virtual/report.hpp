// Figures of a replay in virtual time.
#ifndef DRAGONFLYMOUNT_LOAD_REPORT_HPP
#define DRAGONFLYMOUNT_LOAD_REPORT_HPP

#include "programs/load/virtual/measures.hpp"
#include "programs/load/virtual/site.hpp"

namespace dragonflymount::load_program {

/// \brief How a request ended for its caller.
enum class ending : std::uint8_t {
    none,
    answered,
    late,
    failed,
    refused,
    unknown,
    cancelled,
};

inline double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

/// \brief Counts endings, in all and by team.
class outcome_counter {
public:
    void add(const team_id& team, ending end);
    void report(virtual_report& target) const;

private:
    struct team_count {
        double answered = 0;
        double requests = 0;
    };

    std::map<ending, double> endings_;
    std::map<team_id, team_count> teams_;
    team_count all_;
};

void report_shares(
    const std::map<pool_id, share_measure>& shares, virtual_report& target);
void report_latencies(std::vector<duration> latencies, virtual_report& target);

} // namespace dragonflymount::load_program

#endif
