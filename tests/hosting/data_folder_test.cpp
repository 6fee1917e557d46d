// Data folders without an identity: leftovers of an unfinished start, and
// folders that were named by mistake.
#include "dragonflymount/hosting.hpp"

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

// The identity is written last, so the crash came before any promise.
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

} // namespace
} // namespace dragonflymount::hosting
