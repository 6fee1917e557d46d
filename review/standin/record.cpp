// Writes the record of a case.
#include "review/standin/record.hpp"

#include <cstdlib>
#include <iostream>
#include <string_view>
#include <thread>

namespace dragonflymount::review {

std::uint64_t unix_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

void sleep_ms(std::int64_t span) {
    std::this_thread::sleep_for(milliseconds(span));
}

record::record(const std::string& path) : file_(path, std::ios::trunc) {}

void record::line(const std::string& text) {
    const std::lock_guard<std::mutex> guard(mutex_);
    file_ << now() << ' ' << text << '\n';
    file_.flush();
}

std::int64_t record::now() const {
    return std::chrono::duration_cast<milliseconds>(steady::now() - start_)
        .count();
}

bool has_trouble() {
    // No other thread changes the environment.
    const char* value = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace dragonflymount::review
