// Tests what a snapshot holds, and how it reaches a replica without a log.
#include "tests/hosting/replica_group.hpp"

#include <set>
#include <sstream>

namespace dragonflymount::hosting_test {
namespace {

/// A replicated set of names. Its image is packed name by name.
struct name_set {
    // The time that packing one name takes, and zeros at the end of an image.
    static inline duration time_to_pack{};
    static inline std::size_t padding = 0;

    std::set<std::string> names;
    std::uint64_t commands = 0;

    // A leader's first record holds no name.
    wire::ProposeReplyT apply(log_index, const bytes& payload) {
        const std::string name = to_text(payload);
        if (parse_number<std::size_t>(name) && names.insert(name).second) {
            ++commands;
        }
        wire::ProposeReplyT reply;
        reply.result = wire::proposal_result::accepted;
        return reply;
    }
    result<done> load(const bytes& image) {
        names.clear();
        std::istringstream packed(
            std::string(image.begin(), image.end() - padding_of(image)));
        for (std::string name; packed >> name;) {
            names.insert(name);
        }
        commands = names.size();
        return done{};
    }
    bytes save() const {
        image whole(*this);
        while (!whole.advance(1)) {
        }
        return whole.finish();
    }

    class image {
    public:
        explicit image(const name_set& packed) : packed_(&packed) {}
        bool advance(std::size_t) {
            const instant end = runtime::system_clock::now() + time_to_pack;
            while (runtime::system_clock::now() < end) {
            }
            const auto next = packed_->names.upper_bound(last_);
            if (next == packed_->names.end()) {
                return true;
            }
            last_ = *next;
            text_ += last_ + ' ';
            return false;
        }
        bytes finish() {
            bytes whole = to_bytes(text_);
            whole.resize(whole.size() + padding, 0);
            return whole;
        }

    private:
        const name_set* packed_;
        std::string last_;
        std::string text_;
    };
    image begin_image() const { return image(*this); }

private:
    static std::ptrdiff_t padding_of(const bytes& image) {
        return std::count(image.begin(), image.end(), std::uint8_t{0});
    }
};

class snapshot : public testing::Test {
protected:
    ~snapshot() override {
        name_set::time_to_pack = duration::zero();
        name_set::padding = 0;
    }

    /// Proposes \p count names that are smaller than all before.
    void propose(std::size_t count) {
        for (std::size_t k = 0; k < count; ++k) {
            const std::string name = std::to_string(next_name_--);
            group_.leader()->host().propose(
                to_bytes(name), [this, name](const wire::ProposeReplyT& reply) {
                    ++answered_;
                    if (reply.result == wire::proposal_result::accepted) {
                        accepted_.insert(name);
                    }
                });
        }
    }
    bool all_answered(std::size_t count) {
        return group_.run_until([&] { return answered_ == count; });
    }
    /// \returns whether each replica has replaced its log by a snapshot.
    bool all_compacted() {
        return group_.run_until([&] {
            return std::all_of(
                group_.nodes().begin(), group_.nodes().end(), [](auto& each) {
                    return each.host().replica().log_size() < snapshot_records;
                });
        });
    }

    static constexpr std::size_t snapshot_records = 200;
    // Of 400 KiB each, in 4 MiB and a record.
    static constexpr std::size_t most_large_records = 12;

    replica_group<name_set> group_;
    std::set<std::string> accepted_;
    std::size_t answered_ = 0;

private:
    std::size_t next_name_ = 9999;
};

// Guards against accepted commands that are gone after a restart: they were
// applied while an image was packed, and the image lacked them.
TEST_F(snapshot, holds_what_was_accepted_while_it_was_packed) {
    group_.save_snapshots_every(snapshot_records);
    group_.start();
    ASSERT_TRUE(group_.has_leader());
    name_set::time_to_pack = milliseconds(2);
    propose(snapshot_records);
    ASSERT_TRUE(all_answered(snapshot_records));
    propose(50);
    ASSERT_TRUE(all_answered(snapshot_records + 50));
    ASSERT_TRUE(all_compacted());
    name_set::time_to_pack = duration::zero();
    group_.restart();
    ASSERT_TRUE(group_.has_leader());
    EXPECT_TRUE(group_.all_applied(accepted_.size()));
    for (auto& each : group_.nodes()) {
        EXPECT_TRUE(std::includes(each.host().agreed().names.begin(),
            each.host().agreed().names.end(), accepted_.begin(),
            accepted_.end()));
    }
}

// Guards against a replica that never gets its vote back after its disk was
// lost: the image of the state was larger than a message may be.
TEST_F(snapshot, larger_than_a_message_reaches_a_replica_without_a_disk) {
    name_set::padding = wire::max_frame_bytes + (4U << 20U);
    group_.save_snapshots_every(snapshot_records);
    group_.start();
    ASSERT_TRUE(group_.has_leader());
    propose(snapshot_records + 10);
    ASSERT_TRUE(all_answered(snapshot_records + 10));
    ASSERT_TRUE(all_compacted());
    auto& nodes = group_.nodes();
    const auto lost = std::find_if(nodes.begin(), nodes.end(),
        [&](auto& each) { return &each != group_.leader(); });
    lost->stop();
    lost->lose_disk();
    lost->start(group_.members(), false);
    ASSERT_TRUE(group_.has_leader());
    wire::ChangeReplicaT admit;
    admit.change = wire::replica_change::admit;
    admit.member = std::make_unique<wire::MemberT>();
    admit.member->replica = lost->member().id.str();
    admit.member->address = lost->member().address;
    admit.member->identity = lost->host().replica().identity().value();
    group_.leader()->host().change(admit, [](const auto&) {});
    EXPECT_TRUE(group_.run_until([&] {
        return lost->host().agreed().names.size() >= accepted_.size();
    }));
}

// Guards against memory that grows with all that was written: the log kept
// every record until there were enough of them for a snapshot.
TEST_F(snapshot, bounds_a_log_of_large_records) {
    constexpr std::size_t large = 400U << 10U;
    constexpr std::size_t proposed = 60;
    group_.save_snapshots_every(snapshot_records);
    group_.start();
    ASSERT_TRUE(group_.has_leader());
    for (std::size_t k = 1; k <= proposed; ++k) {
        group_.leader()->host().propose(bytes(large, 'x'),
            [this](const wire::ProposeReplyT&) { ++answered_; });
        ASSERT_TRUE(all_answered(k));
    }
    EXPECT_TRUE(group_.run_until([&] {
        return std::all_of(
            group_.nodes().begin(), group_.nodes().end(), [](auto& each) {
                return each.host().replica().log_size() <= most_large_records;
            });
    }));
}

} // namespace
} // namespace dragonflymount::hosting_test
