// Rounds of disruptions that overlap, drawn by seed, while callers submit jobs
// and an operator sends configurations. Never more disks are lost within
// catch_up than the settings allow.
//
// DFM_GROUP_SEED, DFM_GROUP_RUNS: further plays. DFM_GROUP_ROUNDS: longer ones.
// DFM_GROUP_PRINT=1: what is done. DFM_GROUP_LOGS: a folder for failed plays.
#include "tests/group/callers.hpp"

#include <functional>
#include <map>

namespace dragonflymount::group_test {
namespace {

// Disks are lost in three rounds one after another, on connections of 1 MB/s.
constexpr std::uint64_t ci_seed = 200;
constexpr auto round_length = milliseconds(3000);
// Of the platform, from SIGTERM to SIGKILL.
constexpr auto grace = seconds(6);

/// \brief Sends one version after the other until it is told to stop.
class group_operator {
public:
    explicit group_operator(machine_group& group)
        : group_(group), running_([this] { run(); }) {}
    ~group_operator() {
        stopped_ = true;
        running_.join();
    }
    group_operator(const group_operator&) = delete;
    group_operator& operator=(const group_operator&) = delete;

private:
    void run() {
        while (!stopped_) {
            group_.configure();
            std::this_thread::sleep_for(milliseconds(500));
        }
    }

    machine_group& group_;
    std::atomic<bool> stopped_ = false;
    std::thread running_;
};

/// \brief One round: what is done to which machine, and when.
class disruptions {
public:
    disruptions(machine_group& group, std::mt19937_64& draws)
        : group_(group), draws_(draws) {
        constexpr std::size_t most = 4;
        const std::size_t count = 1 + draws_() % most;
        for (std::size_t k = 0; k < count; ++k) {
            add();
        }
    }
    void play() {
        const auto begin = steady::now();
        for (const auto& [at, action] : actions_) {
            std::this_thread::sleep_until(begin + at);
            action();
        }
    }
    const std::string& text() const { return text_; }

private:
    void add() {
        const milliseconds at = draw(milliseconds(0), round_length);
        const std::size_t k = draws_() % scheduler_count;
        const std::size_t g = draws_() % gateway_count;
        switch (draws_() % 8) {
        case 0:
        case 1:
            lose_disks(at, k);
            break;
        case 2:
            note("kill s", k, at);
            restart(at, draw_pause(),
                {[this, k] { group_.kill_scheduler(k); },
                    [this, k] { group_.start_scheduler(k); }});
            break;
        case 3:
            note("kill g", g, at);
            restart(at, draw_pause(),
                {[this, g] { group_.kill_gateway(g); },
                    [this, g] { group_.start_gateway(g); }});
            break;
        case 4:
            terminate(at, k, g);
            break;
        case 5: {
            const milliseconds pause = draw(milliseconds(300), seconds(4));
            note("stop s", k, at);
            restart(at, pause,
                {[this, k] { group_.signal_scheduler(k, SIGSTOP); },
                    [this, k] { group_.signal_scheduler(k, SIGCONT); }});
            break;
        }
        case 6:
            note("kill all", 0, at);
            for (std::size_t each = 0; each < scheduler_count; ++each) {
                restart(at, draw(milliseconds(200), seconds(1)),
                    {[this, each] { group_.kill_scheduler(each); },
                        [this, each] { group_.start_scheduler(each); }});
            }
            break;
        default: {
            const bool hangup = draws_() % 2 == 0;
            note(hangup ? "settings and SIGHUP s" : "settings s", k, at);
            actions_.emplace(at, [this, k, hangup] {
                group_.change_scheduler_settings(k);
                if (hangup) {
                    group_.signal_scheduler(k, SIGHUP);
                }
            });
        }
        }
    }
    // At most once a round: lost-disks of them, together or one after another.
    void lose_disks(milliseconds at, std::size_t first) {
        if (disks_lost_) {
            return;
        }
        disks_lost_ = true;
        const std::size_t second =
            (first + 1 + draws_() % (scheduler_count - 1)) % scheduler_count;
        const milliseconds later = draws_() % 2 == 0
            ? milliseconds(0)
            : draw(milliseconds(0), seconds(2));
        const milliseconds pause = draw(milliseconds(0), seconds(1));
        for (const auto& [k, instant] :
            {std::pair(first, at), std::pair(second, at + later)}) {
            note("lose disk s", k, instant);
            restart(instant, pause,
                {[this, k = k] { group_.lose_disk(k); },
                    [this, k = k] { group_.start_scheduler(k); }});
        }
    }
    void terminate(milliseconds at, std::size_t k, std::size_t g) {
        if (draws_() % 2 == 0) {
            note("terminate s", k, at);
            actions_.emplace(
                at, [this, k] { group_.signal_scheduler(k, SIGTERM); });
            restart(at + grace, milliseconds(0),
                {[this, k] { group_.kill_scheduler(k); },
                    [this, k] { group_.start_scheduler(k); }});
        } else {
            note("terminate g", g, at);
            actions_.emplace(
                at, [this, g] { group_.signal_gateway(g, SIGTERM); });
            restart(at + grace, milliseconds(0),
                {[this, g] { group_.kill_gateway(g); },
                    [this, g] { group_.start_gateway(g); }});
        }
    }
    void restart(milliseconds at, milliseconds pause,
        std::pair<std::function<void()>, std::function<void()>> both) {
        actions_.emplace(at, std::move(both.first));
        actions_.emplace(at + pause, std::move(both.second));
    }
    milliseconds draw(milliseconds least, milliseconds most) {
        return least +
            milliseconds(draws_() %
                static_cast<std::uint64_t>((most - least).count() + 1));
    }
    milliseconds draw_pause() { return draw(milliseconds(0), seconds(3)); }
    void note(const std::string& what, std::size_t k, milliseconds at) {
        text_ += what + std::to_string(k) + " at " +
            std::to_string(at.count()) + " ms; ";
    }

    machine_group& group_;
    std::mt19937_64& draws_;
    std::multimap<milliseconds, std::function<void()>> actions_;
    bool disks_lost_ = false;
    std::string text_;
};

class group_soak : public testing::Test {
protected:
    static void play(std::uint64_t seed) {
        std::mt19937_64 draws(seed);
        const machine_features features = draw_features(draws);
        if (variable("DFM_GROUP_PRINT", 0) != 0) {
            std::cout << "seed " << seed << ": " << features.bytes_per_s
                      << " bytes/s, syncs " << features.sync_ms << " ms"
                      << std::endl;
        }
        SCOPED_TRACE("DFM_GROUP_SEED=" + std::to_string(seed) + ", " +
            std::to_string(features.bytes_per_s) + " bytes/s, syncs " +
            std::to_string(features.sync_ms) + " ms");
        machine_group group(features);
        group.begin();
        if (!HasFatalFailure()) {
            callers crowd(group, seed);
            crowd.start({});
            play_rounds(group, crowd, draws);
            crowd.stop();
            const auto lost = crowd.find_lost(1, recover);
            EXPECT_TRUE(lost.empty())
                << lost.size() << " jobs, the first " << lost.front();
        }
        if (HasFailure()) {
            ADD_FAILURE() << group.warnings();
            group.keep_logs("soak-" + std::to_string(seed));
        }
    }

private:
    static machine_features draw_features(std::mt19937_64& draws) {
        constexpr std::array rates = {0U, 1'000'000U, 2'000'000U};
        constexpr std::array syncs = {0U, 4U, 50U};
        const unsigned rate = rates[draws() % rates.size()];
        return {rate, syncs[draws() % syncs.size()]};
    }
    static void play_rounds(
        machine_group& group, callers& crowd, std::mt19937_64& draws) {
        const group_operator sending(group);
        const std::uint64_t rounds = variable("DFM_GROUP_ROUNDS", 4);
        for (std::uint64_t k = 0; k < rounds && !HasFailure(); ++k) {
            disruptions round(group, draws);
            SCOPED_TRACE("round " + std::to_string(k) + ": " + round.text());
            if (variable("DFM_GROUP_PRINT", 0) != 0) {
                std::cout << "round " << k << ": " << round.text() << std::endl;
            }
            const std::uint64_t before = group.acknowledged_version();
            round.play();
            expect_recovery(group, crowd, before);
        }
    }
    static void expect_recovery(
        machine_group& group, callers& crowd, std::uint64_t before) {
        const auto back = steady::now();
        const std::uint64_t acknowledged = group.acknowledged_version();
        const auto left = [&] {
            return std::max(milliseconds(0),
                std::chrono::duration_cast<milliseconds>(
                    back + recover - steady::now()));
        };
        EXPECT_TRUE(holds_within(left(),
            [&] {
                const auto version = group.read_version();
                EXPECT_GE(version.value_or(before), before);
                return version.value_or(0) >= acknowledged;
            }))
            << "no configuration, or an older one than " << acknowledged;
        EXPECT_TRUE(holds_within(left(), [&] { return crowd.accepts_job(); }))
            << "no job is accepted";
        EXPECT_TRUE(holds_within(left(), [&] {
            return group.acknowledged_version() > acknowledged;
        })) << "no configuration is acknowledged";
        std::this_thread::sleep_until(back + catch_up);
    }
};

// Disks were lost again before the replicas of the last ones held the log.
TEST_F(group_soak, loses_nothing_acknowledged_and_serves_again) {
    const std::uint64_t first = variable("DFM_GROUP_SEED", ci_seed);
    const std::uint64_t runs = variable("DFM_GROUP_RUNS", 1);
    for (std::uint64_t k = 0; k < runs && !HasFailure(); ++k) {
        play(first + k);
    }
}

} // namespace
} // namespace dragonflymount::group_test
