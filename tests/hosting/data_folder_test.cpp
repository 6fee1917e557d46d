// Tests data folders without an identity, which an interrupted start or a wrong
// path in the settings causes, and the reopening of folders that failed.
#include "dragonflymount/hosting.hpp"
#include "tests/hosting/full_disk.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace dragonflymount::hosting {
namespace {

class folder_without_identity : public testing::Test {
protected:
    folder_without_identity()
        : path_(std::filesystem::path(testing::TempDir()) /
              testing::UnitTest::GetInstance()->current_test_info()->name()) {
        std::filesystem::remove_all(path_);
        std::filesystem::create_directories(path_);
    }
    ~folder_without_identity() override { std::filesystem::remove_all(path_); }
    void add(const std::string& name) { std::ofstream(path_ / name) << "x"; }

    std::filesystem::path path_;
};

TEST_F(folder_without_identity, is_cleared_of_an_unfinished_start) {
    add("hard.new");
    add("snapshot-0");
    add(".writable-a1b2c3");
    data_folder folder(path_.string());
    const auto opened = folder.open();
    ASSERT_TRUE(opened);
    EXPECT_FALSE(opened->damaged);
    EXPECT_FALSE(std::filesystem::exists(path_ / "hard.new"));
}

// The identity file is written last. Without it the replica has neither voted
// nor acknowledged a record, so the folder may be cleared.
TEST_F(folder_without_identity, is_cleared_of_an_unfinished_identity) {
    add("hard");
    add("identity.new");
    add("snapshot-0");
    data_folder folder(path_.string());
    const auto opened = folder.open();
    ASSERT_TRUE(opened);
    EXPECT_FALSE(opened->damaged) << folder.error();
    EXPECT_FALSE(std::filesystem::exists(path_ / "identity.new"));
}

TEST_F(folder_without_identity, is_refused_if_it_holds_foreign_files) {
    add("snapshot-0");
    add("letter.txt");
    std::filesystem::create_directories(path_ / "programs");
    data_folder folder(path_.string());
    const auto opened = folder.open();
    ASSERT_FALSE(opened);
    EXPECT_EQ(opened.error().code, make_error_code(errc::conflict));
    EXPECT_TRUE(std::filesystem::exists(path_ / "letter.txt"));
    EXPECT_TRUE(std::filesystem::exists(path_ / "snapshot-0"));
}

// A replica starts on a full disk: the start fails, however far it got, and a
// later one must not take the folder for that of another replica.
class folder_on_full_disk : public folder_without_identity,
                            public testing::WithParamInterface<rlim_t> {
protected:
    /// Starts once without room and once with room, each in a process of its
    /// own, and returns the identity.
    agreement::replica_identity start_twice(
        const agreement::member_list& members) {
        {
            const full_disk full(GetParam());
            data_folder folder(path_.string());
            EXPECT_FALSE(folder.open(members));
        }
        // The lock on a folder lasts until the process ends.
        const std::filesystem::path copy(path_.string() + "-again");
        std::filesystem::remove_all(copy);
        std::filesystem::copy(path_, copy);
        std::filesystem::remove_all(path_);
        path_ = copy;
        data_folder folder(path_.string());
        const auto opened = folder.open(members);
        EXPECT_TRUE(opened) << opened.error().message();
        EXPECT_FALSE(opened->damaged) << folder.error();
        return opened->identity;
    }
};

TEST_P(folder_on_full_disk, gets_the_initial_identity_once_there_is_room) {
    agreement::member self;
    self.id = replica_id("c1");
    EXPECT_EQ(start_twice({self}), agreement::initial_identity);
}

TEST_P(folder_on_full_disk, gets_a_new_identity_once_there_is_room) {
    EXPECT_GT(start_twice({}), agreement::initial_identity);
}

INSTANTIATE_TEST_SUITE_P(
    largest_files, folder_on_full_disk, testing::Values(0, 10, 20, 30, 40));

// Simulates a disk that refuses writes: a directory with the name of a
// temporary file of the store can't be removed or overwritten as a file.
class folder_that_refuses_writes : public folder_without_identity {
protected:
    folder_that_refuses_writes() {
        EXPECT_TRUE(folder_.initialize({}));
        std::filesystem::create_directories(path_ / "hard.new");
    }
    void expect_failed() {
        EXPECT_EQ(folder_.state(), disk_state::failed);
        EXPECT_FALSE(folder_.error().empty());
    }
    void expect_reopens() {
        std::filesystem::remove(path_ / "hard.new");
        const auto reopened = folder_.reopen();
        ASSERT_TRUE(reopened);
        EXPECT_FALSE(reopened->damaged);
        EXPECT_EQ(reopened->identity, agreement::initial_identity);
        EXPECT_EQ(folder_.state(), disk_state::sound);
        EXPECT_TRUE(folder_.error().empty());
    }

    data_folder folder_{path_.string()};
};

TEST_F(folder_that_refuses_writes, is_reopened_after_a_failed_reopening) {
    folder_.note_failure({make_error_code(errc::disk_failed), "sync", {}, {}});
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto reopened = folder_.reopen();
        EXPECT_TRUE(!reopened || reopened->damaged);
        expect_failed();
    }
    expect_reopens();
}

// Guards against a replica that votes, answers its leader and stands for
// election on a disk that can't hold any of it.
TEST_F(folder_that_refuses_writes, is_not_reopened_while_its_disk_is_full) {
    std::filesystem::remove(path_ / "hard.new");
    folder_.note_failure({make_error_code(errc::disk_failed), "sync", {}, {}});
    for (const rlim_t room : {0U, 100U}) {
        const full_disk full(room);
        EXPECT_FALSE(folder_.reopen());
        expect_failed();
    }
    expect_reopens();
    EXPECT_FALSE(std::filesystem::exists(path_ / agreement::probe_file));
}

TEST_F(folder_that_refuses_writes, is_reopened_after_a_failed_start) {
    const auto opened = folder_.reopen();
    EXPECT_TRUE(!opened || opened->damaged);
    expect_failed();
    expect_reopens();
}

TEST_F(folder_that_refuses_writes, stays_damaged_if_a_file_is_missing) {
    std::filesystem::remove(path_ / "hard.new");
    std::filesystem::remove(path_ / "hard");
    const auto reopened = folder_.reopen();
    ASSERT_TRUE(reopened);
    EXPECT_TRUE(reopened->damaged);
    EXPECT_EQ(folder_.state(), disk_state::damaged);
}

} // namespace
} // namespace dragonflymount::hosting
