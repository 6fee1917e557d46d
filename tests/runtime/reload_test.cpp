// Tests when a process reads its settings file again.
#include "dragonflymount/src/Runtime/Process.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

ABSL_DECLARE_FLAG(std::string, config);

namespace dragonflymount::runtime::test {
namespace {

using namespace std::chrono_literals;

class settings_file : public testing::Test {
protected:
    settings_file() {
        write("one");
        absl::SetFlag(&FLAGS_config, path_);
    }
    ~settings_file() override {
        absl::SetFlag(&FLAGS_config, "");
        std::filesystem::remove(path_);
    }
    void write(const std::string& name) {
        std::ofstream(path_) << "[process]\nname = " << name << '\n';
    }
    bool is_applied(const std::string& name) {
        const auto limit = std::chrono::steady_clock::now() + 30s;
        while (applied_ != name && std::chrono::steady_clock::now() < limit) {
            context_.run_for(10ms);
        }
        return applied_ == name;
    }

    asio::io_context context_;
    std::string path_ = testing::TempDir() + "dfm-reload-" +
        std::to_string(::getpid()) + ".ini";
    std::string applied_;
    reload_signal reload_{context_,
        settings::schema_builder()
            .require("process", "name", settings::kind::name)
            .build(),
        [this](const settings::values& read) {
            applied_ = read.text("process", "name");
            return std::string("name");
        }};
};

// Guards against a process that keeps to seeds that are gone: the platform may
// change the file without a signal.
TEST_F(settings_file, is_read_again_without_a_signal) {
    write("two");
    EXPECT_TRUE(is_applied("two"));
    write("three");
    EXPECT_TRUE(is_applied("three"));
}

TEST_F(settings_file, with_an_error_changes_nothing) {
    write("two words");
    context_.run_for(1500ms);
    EXPECT_EQ(applied_, "");
    write("two");
    EXPECT_TRUE(is_applied("two"));
}

} // namespace
} // namespace dragonflymount::runtime::test
