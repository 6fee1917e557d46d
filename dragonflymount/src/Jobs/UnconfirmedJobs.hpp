// Active jobs that count as begun in the agreed state, while no endpoint has
// listed any of their runs yet.
//
// A start is agreed before it is sent, and it may take long to reach its
// endpoint, or never do so. Until then no task of the job has started.
#ifndef DRAGONFLYMOUNT_JOBS_UNCONFIRMED_JOBS_HPP
#define DRAGONFLYMOUNT_JOBS_UNCONFIRMED_JOBS_HPP

#include "dragonflymount/src/Jobs/Endpoints.hpp"

namespace dragonflymount::jobs {

class unconfirmed_jobs {
public:
    /// \brief Starts with the jobs of which only starts are agreed, when this
    /// replica becomes the leader.
    void reset(const state& agreed);
    void clear();
    /// \brief Records that the next committed batch begins \p job.
    void propose(job_id job) { proposed_.push_back(job); }
    /// \brief Records that the batch was committed.
    void commit();
    /// \brief Removes the jobs whose runs the report lists as running or ended
    /// after a start.
    void confirm(const endpoint_report& report);
    /// \brief Removes the jobs that are no longer active.
    void erase_ended(const state& agreed);

    bool contains(job_id job) const { return jobs_.contains(job); }
    /// \returns the number of active jobs in \p queue.
    std::uint32_t count_in(const std::string& queue, const state& agreed) const;

private:
    // Few: a report confirms a job within a report interval.
    std::set<job_id> jobs_;
    std::vector<job_id> proposed_;
};

} // namespace dragonflymount::jobs

#endif
