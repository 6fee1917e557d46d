// How large a batch becomes of what arrives at once.
#include "tests/jobs/leading_engine.hpp"

namespace dragonflymount::jobs::test {
namespace {

// What a link of 4 Mbit/s carries within an election timeout of 0.7 s.
constexpr std::size_t most_bytes = 350'000;
constexpr std::size_t large = 100'000;
constexpr std::uint64_t job_count = 240;

class batch_size : public leading_engine {
protected:
    void submit(std::uint64_t id, std::size_t payload) {
        wire::JobCallT made = call(wire::job_verb::submit, id);
        made.spec->payload.assign(payload, 'x');
        send_call(made);
    }
    /// Commits batches until there is none; \c sizes_ has their bytes.
    void commit_all() {
        while (auto batch = engine_.take_batch(now_, jobs_.time_ms)) {
            sizes_.push_back(
                wire::encode_command(wire::JobBatchT(*batch)).size());
            for (const auto& job : batch->submitted) {
                submitted_.push_back(job->id);
            }
            for (const auto& ended : batch->ended) {
                ends_.emplace(ended->task->index, ended->how);
            }
            jobs_.apply(std::move(*batch));
            engine_.batch_done(true, now_);
        }
    }
    std::size_t largest() const {
        return *std::max_element(sizes_.begin(), sizes_.end());
    }

    std::vector<std::size_t> sizes_;
    std::vector<std::uint64_t> submitted_;
    // Of each task, the first end that the log holds.
    std::map<std::uint32_t, wire::run_end> ends_;
};

// Guards against a batch that no follower takes: the leader would never agree
// on anything again.
TEST_F(batch_size, stays_bounded_when_many_large_jobs_arrive_at_once) {
    std::vector<std::uint64_t> sent;
    // Not in the order of their ids.
    for (std::uint64_t id = job_count; id > 0; --id) {
        sent.push_back(id);
        submit(id, large);
    }
    commit_all();
    EXPECT_LE(largest(), most_bytes);
    EXPECT_EQ(submitted_, sent);
    for (const auto& reply : replies_) {
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->status, wire::job_status::accepted);
    }
}

// Guards against a job that waits for good.
TEST_F(batch_size, lets_a_job_above_the_bound_go_alone) {
    submit(1, 10);
    submit(2, 4 * most_bytes);
    submit(3, 10);
    commit_all();
    EXPECT_EQ(submitted_, (std::vector<std::uint64_t>{1, 2, 3}));
    EXPECT_EQ(sizes_.size(), 3U);
}

// Guards against a task that runs twice: its run had ended, and lapsed while
// the end waited for room in a batch.
TEST_F(batch_size, lets_no_run_lapse_whose_end_waits_for_room) {
    advance(20'000);
    wire::JobCallT made = call(wire::job_verb::submit, 7);
    made.spec =
        std::make_unique<wire::JobSpecT>(*job_builder(7).step(4).build()->spec);
    send_call(made);
    report(make_report("e1", 1));
    endpoint_report last = make_report("e1", 2);
    for (std::uint32_t k = 0; k < 4; ++k) {
        last.ended.push_back({k + 1, {task(7, 0, k), 1}, wire::run_end::done,
            std::string(large, 'x')});
    }
    engine_.report(
        last, [](const auto&) {}, now_);
    now_ += std::chrono::seconds(30);
    engine_.tick(now_);
    commit_all();
    EXPECT_LE(largest(), most_bytes);
    EXPECT_EQ(ends_.size(), 4U);
    for (const auto& [index, how] : ends_) {
        EXPECT_EQ(how, wire::run_end::done) << "task " << index;
    }
    EXPECT_EQ(jobs_.phase(7), wire::job_phase::complete);
}

} // namespace
} // namespace dragonflymount::jobs::test
