// Tests the log store under a sequence of crashes, power losses, full and
// failing disks. After each, the folder must open and hold all synced data.
//
// CI runs fixed seeds. DFM_STORE_RUNS=N adds N runs with fresh seeds, and
// DFM_STORE_SEED=S repeats the run of a printed seed.
#include "dragonflymount/agreement.hpp"
#include "tests/agreement/memory_disk.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

namespace dragonflymount::agreement {
namespace {

using store_type = file_store<memory_disk>;

constexpr std::uint64_t fixed_seed = 20260101;
constexpr std::uint64_t fixed_runs = 400;
constexpr std::uint64_t processes_per_run = 12;
constexpr std::uint64_t steps_per_process = 10;
constexpr std::size_t large_record_bytes = 700000;

/// Model of a folder's log: the records after a base.
struct model_state {
    log_index base;
    log_term base_term;
    std::vector<log_record> records;

    log_index last() const { return log_index(base.value() + records.size()); }
    log_term last_term() const {
        return records.empty() ? base_term : records.back().term;
    }
    log_term term_at(log_index index) const {
        return index == base ? base_term
                             : records[index.value() - base.value() - 1].term;
    }
    void append(const log_record& record) {
        records.resize(record.index.value() - base.value() - 1);
        records.push_back(record);
    }
    void compact(const snapshot& image) {
        const bool fits = image.last_index <= last() &&
            term_at(image.last_index) == image.last_term;
        std::erase_if(records, [&](const log_record& record) {
            return !fits || record.index <= image.last_index;
        });
        base = image.last_index;
        base_term = image.last_term;
    }
    friend bool operator==(const model_state&, const model_state&) = default;
};

/// One folder, and the logs and hard states that may be read from it.
class folder_history {
public:
    explicit folder_history(std::uint64_t seed) : random_(seed) {
        EXPECT_TRUE(store_type(disk_).initialize(initial_identity, {}));
        logs_ = {model_state{}};
        hard_states_ = {hard_state{}};
    }

    void run_process() {
        store_type store(disk_, tail_policy::cut_torn_writes);
        maybe_inject_disk_fault();
        if (!open(store)) {
            end_process();
            return;
        }
        maybe_inject_disk_fault();
        const std::uint64_t steps = draw(steps_per_process);
        for (std::uint64_t k = 0; k < steps; ++k) {
            if (!take_step(store)) {
                break;
            }
        }
        end_process();
    }

    void expect_recovery() {
        disk_.repair();
        store_type store(disk_, tail_policy::cut_torn_writes);
        EXPECT_TRUE(open(store))
            << "the folder must open on a disk without faults";
    }

private:
    std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

    void maybe_inject_disk_fault() {
        const std::uint64_t kind = draw(6);
        if (kind == 0) {
            disk_.fail_after(draw(12));
        } else if (kind == 1) {
            disk_.set_free_bytes(draw(800));
        }
    }

    /// Crashes the process, cuts the power, repairs the disk or changes
    /// nothing.
    void end_process() {
        switch (draw(4)) {
        case 0:
            disk_.crash();
            break;
        case 1:
        case 2:
            disk_.lose_power([this](std::size_t bound) { return draw(bound); });
            break;
        default:
            if (draw(2) == 0) {
                disk_.repair();
            }
        }
    }

    bool open(store_type& store) {
        const auto opened = store.open();
        if (!opened) {
            EXPECT_NE(opened.error().code, make_error_code(errc::damaged_log))
                << opened.error().message();
            return false;
        }
        const recovered_state& state = opened->state;
        const model_state found{
            state.base.last_index, state.base.last_term, state.records};
        EXPECT_NE(std::find(logs_.begin(), logs_.end(), found), logs_.end())
            << "read up to record " << found.last().value() << " of term "
            << found.last_term().value() << ", synced up to "
            << logs_.front().last().value() << " of term "
            << logs_.front().last_term().value();
        EXPECT_NE(
            std::find(hard_states_.begin(), hard_states_.end(), state.hard),
            hard_states_.end());
        logs_ = {found};
        hard_states_ = {state.hard};
        return true;
    }

    bool take_step(store_type& store) {
        switch (draw(8)) {
        case 0:
            return save_hard(store);
        case 1:
            return sync(store) && save_image(store, true);
        case 2:
            return draw(4) != 0 || (sync(store) && save_image(store, false));
        case 3:
        case 4:
            return sync(store);
        default:
            return append(store);
        }
    }

    log_record next_record(log_index index) {
        const std::size_t size = draw(150) == 0 ? large_record_bytes : draw(90);
        return {term_, index, record_kind::command, bytes(size, 7)};
    }

    // After a crash, the folder may hold any prefix of the records written
    // since the last sync.
    bool append(store_type& store) {
        model_state newest = logs_.back();
        log_index index = newest.last().next();
        if (draw(3) == 0) {
            term_ = term_.next();
            index = log_index(
                newest.base.value() + 1 + draw(newest.records.size() + 1));
        }
        std::vector<log_record> added;
        const std::uint64_t count = 1 + draw(4);
        for (std::uint64_t k = 0; k < count; ++k, index = index.next()) {
            added.push_back(next_record(index));
            newest.append(added.back());
            logs_.push_back(newest);
        }
        return static_cast<bool>(store.append(added));
    }

    bool sync(store_type& store) {
        const bool synced = static_cast<bool>(store.sync());
        if (synced) {
            logs_ = {logs_.back()};
        }
        return synced;
    }

    bool save_hard(store_type& store) {
        term_ = term_.next();
        hard_states_.push_back(
            {term_, replica_id("c" + std::to_string(draw(3)))});
        const bool saved = static_cast<bool>(store.save(hard_states_.back()));
        if (saved) {
            hard_states_ = {hard_states_.back()};
        }
        return saved;
    }

    // A replica's own snapshot ends within its log; a leader's may end beyond
    // it or conflict with it.
    bool save_image(store_type& store, bool own) {
        model_state newest = logs_.back();
        const std::uint64_t reach = newest.records.size() + (own ? 0 : 3);
        if (reach == 0) {
            return true;
        }
        snapshot image;
        image.last_index = log_index(newest.base.value() + 1 + draw(reach));
        term_ = own ? term_ : term_.next();
        image.last_term = own ? newest.term_at(image.last_index) : term_;
        newest.compact(image);
        logs_.push_back(newest);
        const bool saved = static_cast<bool>(store.save(image));
        if (saved) {
            logs_ = {newest};
        }
        return saved;
    }

    memory_disk disk_;
    std::mt19937_64 random_;
    log_term term_{1};
    // Invariant: first the synced log, then the logs that may be read instead.
    std::vector<model_state> logs_;
    std::vector<hard_state> hard_states_;
};

void run_history(std::uint64_t seed) {
    SCOPED_TRACE(testing::Message() << "DFM_STORE_SEED=" << seed);
    folder_history history(seed);
    for (std::uint64_t k = 0;
         k < processes_per_run && !testing::Test::HasFailure(); ++k) {
        history.run_process();
    }
    if (!testing::Test::HasFailure()) {
        history.expect_recovery();
    }
}

void run_histories(std::uint64_t first, std::uint64_t count) {
    for (std::uint64_t k = 0; k < count && !testing::Test::HasFailure(); ++k) {
        run_history(first + k);
    }
}

TEST(store_recovery, keeps_what_was_synced_over_repeated_losses) {
    run_histories(fixed_seed, fixed_runs);
}

// Guards against a folder without a snapshot: a process ended before the name
// of a new one was durable, the next one removed the old one, and a power loss
// undid the first change but not the second.
TEST(store_recovery, keeps_a_snapshot_until_the_next_one_is_durable) {
    run_history(313743636004094);
}

TEST(store_recovery, keeps_what_was_synced_with_fresh_seeds) {
    if (const char* seed = std::getenv("DFM_STORE_SEED")) {
        run_history(std::stoull(seed));
    }
    if (const char* runs = std::getenv("DFM_STORE_RUNS")) {
        run_histories(
            std::random_device{}() * std::uint64_t{1000000}, std::stoull(runs));
    }
}

} // namespace
} // namespace dragonflymount::agreement
