// Runs the real programs, for tests of what operators see of them.
#ifndef DRAGONFLYMOUNT_TESTS_CLI_PROGRAM_HPP
#define DRAGONFLYMOUNT_TESTS_CLI_PROGRAM_HPP

#include <asio.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <vector>

namespace dragonflymount::cli_test {

/// \brief A folder that is removed at the end.
class temporary_folder {
public:
    temporary_folder() {
        std::string form = testing::TempDir() + "dfm-XXXXXX";
        path_ = ::mkdtemp(form.data());
    }
    ~temporary_folder() { std::filesystem::remove_all(path_); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string file(const std::string& name) const { return path_ / name; }
    /// \returns the path of a new folder in it.
    std::string make(const std::string& name) const {
        std::filesystem::create_directories(file(name));
        return file(name);
    }
    /// \returns the path of a new file with \p text.
    std::string write(const std::string& name, const std::string& text) const {
        std::ofstream(file(name)) << text;
        return file(name);
    }

private:
    std::filesystem::path path_;
};

inline std::string read_all(const std::string& path) {
    std::ifstream input(path);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

/// \returns an address that was free a moment ago.
inline std::string free_address() {
    asio::io_context context;
    const asio::ip::tcp::acceptor held(context,
        asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(held.local_endpoint().port());
}

/// \brief A program that runs beside the test; it is killed at the end.
class process {
public:
    /// \param environment more variables, as NAME=VALUE
    process(const std::string& program, std::vector<std::string> arguments,
        const std::string& output, const std::string& errors,
        std::vector<std::string> environment = {}) {
        const std::string path = std::string(DFM_PROGRAMS) + "/" + program;
        arguments.insert(arguments.begin(), path);
        for (char** variable = environ; *variable != nullptr; ++variable) {
            environment.emplace_back(*variable);
        }
        std::vector<char*> words = pointers(arguments);
        std::vector<char*> variables = pointers(environment);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        redirect(actions, STDOUT_FILENO, output);
        redirect(actions, STDERR_FILENO, errors);
        if (::posix_spawn(&pid_, path.c_str(), &actions, nullptr, words.data(),
                variables.data()) != 0) {
            pid_ = 0;
        }
        posix_spawn_file_actions_destroy(&actions);
    }
    ~process() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            wait();
        }
    }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    pid_t id() const { return pid_; }
    void signal(int number) const {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    /// \returns the exit status, or -1 if a signal ended it.
    int wait() {
        int status = -1;
        ::waitpid(pid_, &status, 0);
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

private:
    static std::vector<char*> pointers(std::vector<std::string>& texts) {
        std::vector<char*> made;
        made.reserve(texts.size() + 1);
        for (std::string& text : texts) {
            made.push_back(text.data());
        }
        made.push_back(nullptr);
        return made;
    }
    static void redirect(posix_spawn_file_actions_t& actions, int target,
        const std::string& path) {
        posix_spawn_file_actions_addopen(&actions, target, path.c_str(),
            O_WRONLY | O_CREAT | O_TRUNC, S_IRUSR | S_IWUSR);
    }

    pid_t pid_ = 0;
};

struct ended {
    int status = -1;
    std::string output;
    std::string errors;
};

/// \brief Runs a program to its end.
inline ended run(
    const std::string& program, std::vector<std::string> arguments) {
    const temporary_folder folder;
    process started(program, std::move(arguments), folder.file("output"),
        folder.file("errors"));
    const int status = started.wait();
    return {status, read_all(folder.file("output")),
        read_all(folder.file("errors"))};
}

} // namespace dragonflymount::cli_test

#endif
