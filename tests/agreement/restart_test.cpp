// Tests the restart of a replica from a folder on disk after many changes of
// the rules.
#include "dragonflymount/agreement.hpp"
#include "dragonflymount/control.hpp"
#include "dragonflymount/runtime.hpp"

#include <gtest/gtest.h>

#include <filesystem>

namespace dragonflymount::agreement {
namespace {

constexpr std::uint64_t changes = 10000;
constexpr std::uint64_t snapshot_records = 4096;
constexpr std::uint64_t records_per_sync = 100;

using store_type = file_store<runtime::folder>;

class scratch_folder {
public:
    scratch_folder() {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "dfm-XXXXXX").string();
        path_ = ::mkdtemp(pattern.data());
    }
    ~scratch_folder() { std::filesystem::remove_all(path_); }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// A group of one replica, and the state that it has applied.
class lone_replica {
public:
    explicit lone_replica(runtime::folder& folder)
        : store_(folder),
          node_(replica_options{replica_id("c0")}, store_.open()->state, now_) {
    }

    void apply_ready() {
        auto actions = node_.ready(store_, now_);
        ASSERT_TRUE(actions);
        if (actions->installed) {
            ASSERT_TRUE(state_.load(actions->installed->state));
        }
        for (const log_record& record : actions->committed) {
            state_.apply(record.index, record.payload);
        }
    }

    void elect() {
        now_ += std::chrono::seconds(5);
        node_.tick(now_);
        apply_ready();
    }

    void change_rules(std::uint64_t base) {
        wire::ApplyRulesT command;
        command.base_version = base;
        command.text = "team t" + std::to_string(base % 7) +
            " share=100% limit=16  # Anders\n";
        command.submission = "s" + std::to_string(base);
        ASSERT_TRUE(node_.propose(wire::encode_command(command), now_));
    }

    void save_snapshot() {
        ASSERT_TRUE(
            node_.save_snapshot(store_, node_.commit_index(), state_.save()));
    }

    const control::state& agreed() const { return state_; }

private:
    instant now_{std::chrono::seconds(100)};
    store_type store_;
    replica node_;
    control::state state_;
};

TEST(restart, finds_every_change) {
    const scratch_folder scratch;
    runtime::folder folder(scratch.path());
    ASSERT_TRUE(store_type(folder).initialize(initial_identity,
        {{replica_id("c0"), "", availability_zone_id("z"), initial_identity,
            true}}));
    rules_version version;
    {
        lone_replica before(folder);
        before.elect();
        for (std::uint64_t k = 0; k < changes; ++k) {
            before.change_rules(k);
            if ((k + 1) % records_per_sync == 0) {
                before.apply_ready();
            }
            if ((k + 1) % snapshot_records < 1) {
                before.apply_ready();
                before.save_snapshot();
            }
        }
        before.apply_ready();
        version = before.agreed().version();
    }
    EXPECT_EQ(version, rules_version(changes));
    const auto begun = std::chrono::steady_clock::now();
    lone_replica after(folder);
    after.elect();
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - begun;
    EXPECT_EQ(after.agreed().version(), version);
    RecordProperty("restart_ms", std::to_string(took.count()));
    std::cout << "restart after " << changes << " changes: " << took.count()
              << " ms\n";
}

} // namespace
} // namespace dragonflymount::agreement
