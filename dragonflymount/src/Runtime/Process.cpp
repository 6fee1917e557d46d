// Flags, log, settings and signals of a process.
#include "dragonflymount/src/Runtime/Process.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, config, "", "INI file with this process's settings");
ABSL_FLAG(int, verbosity, 0, "log more: 1 connections, 2 messages");

namespace dragonflymount::runtime {
namespace {

constexpr duration file_check_interval = std::chrono::seconds(1);

/// \returns the text of the settings file, empty if it can't be read.
std::string read_content() {
    std::ifstream file(absl::GetFlag(FLAGS_config));
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace

settings::values begin_process(
    int argc, char** argv, const settings::schema& expected) {
    absl::SetProgramUsageMessage("--config FILE");
    absl::ParseCommandLine(argc, argv);
    // Line by line, so that a killed process leaves its last line behind.
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    FLAGS_logtostdout = true;
    FLAGS_v = absl::GetFlag(FLAGS_verbosity);
    google::InitGoogleLogging(argv[0]);
    // A peer that is gone is an error of the write, not of the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Until, and unless, a reload_signal takes it.
    std::signal(SIGHUP, SIG_IGN);
    const std::string path = absl::GetFlag(FLAGS_config);
    if (path.empty()) {
        std::cerr << "--config FILE is missing\n";
        std::exit(status_usage);
    }
    settings::read_result read = settings::read_file(path, expected);
    if (!read.ok()) {
        for (const settings::setting_error& error : read.errors) {
            LOG(ERROR) << event::process_not_started << "error=\""
                       << error.message() << '"';
        }
        std::cerr << read.message() << '\n';
        std::exit(status_usage);
    }
    return std::move(read.settings);
}

stop_signal::stop_signal(asio::io_context& context, std::function<void()> stop)
    : signals_(context, SIGTERM, SIGINT) {
    signals_.async_wait([stop = std::move(stop)](std::error_code code, int) {
        if (!code) {
            LOG(INFO) << event::process_stopping << "reason=signal";
            stop();
        }
    });
}

reload_signal::reload_signal(
    asio::io_context& context, settings::schema expected, apply_handler apply)
    : signals_(context, SIGHUP), expected_(std::move(expected)),
      apply_(std::move(apply)),
      timer_(context, file_check_interval, [this] { check_file(); }),
      content_(read_content()) {
    wait();
    timer_.start();
}

// A file that is being replaced may be unreadable or empty for a moment.
void reload_signal::check_file() {
    const std::string content = read_content();
    if (!content.empty() && content != content_) {
        reload();
    }
}

void reload_signal::wait() {
    signals_.async_wait([this](std::error_code code, int) {
        if (!code) {
            reload();
            wait();
        }
    });
}

void reload_signal::reload() {
    content_ = read_content();
    const std::string path = absl::GetFlag(FLAGS_config);
    const settings::read_result read = settings::read_file(path, expected_);
    if (!read.ok()) {
        LOG(ERROR) << event::settings_refused << "file=" << path << " error=\""
                   << read.message() << '"';
        return;
    }
    LOG(INFO) << event::settings_reloaded << "file=" << path
              << " changes=" << apply_(read.settings);
}

bool start(supervisor& root) {
    const result<done> started = root.start();
    if (!started) {
        LOG(ERROR) << event::process_not_started << "error=\""
                   << started.error().message() << '"';
        std::cerr << started.error().message() << '\n';
    }
    return static_cast<bool>(started);
}

int run_until_signal(asio::io_context& context, supervisor& root) {
    if (!start(root)) {
        return status_failed;
    }
    const stop_signal stop(context, [&root] { root.stop(); });
    return root.run();
}

void repeating_timer::start() {
    running_ = true;
    schedule();
}

void repeating_timer::stop() {
    running_ = false;
    timer_.cancel();
}

void repeating_timer::schedule() {
    timer_.expires_after(interval_);
    timer_.async_wait([this](std::error_code code) {
        if (code || !running_) {
            return;
        }
        action_();
        if (running_) {
            schedule();
        }
    });
}

} // namespace dragonflymount::runtime
