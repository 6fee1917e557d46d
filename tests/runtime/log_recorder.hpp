// Keeps the log's lines, so that tests can look for events.
#ifndef DRAGONFLYMOUNT_TESTS_RUNTIME_LOG_RECORDER_HPP
#define DRAGONFLYMOUNT_TESTS_RUNTIME_LOG_RECORDER_HPP

#include "dragonflymount/core.hpp"

#include <glog/logging.h>

#include <sstream>
#include <string>

namespace dragonflymount::runtime {

class log_recorder : public google::LogSink {
public:
    log_recorder() { google::AddLogSink(this); }
    ~log_recorder() override { google::RemoveLogSink(this); }
    log_recorder(const log_recorder&) = delete;
    log_recorder& operator=(const log_recorder&) = delete;

    void send(google::LogSeverity, const char*, const char*, int,
        const struct ::tm*, const char* text, std::size_t length) override {
        lines_.append(text, length).append("\n");
    }

    bool has(event number) const {
        std::ostringstream head;
        head << number;
        return lines_.find(head.str()) != std::string::npos;
    }
    bool contains(const std::string& text) const {
        return lines_.find(text) != std::string::npos;
    }

private:
    std::string lines_;
};

} // namespace dragonflymount::runtime

#endif
