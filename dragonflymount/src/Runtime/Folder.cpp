// POSIX file calls, with the errno of what failed.
#include "dragonflymount/src/Runtime/Folder.hpp"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace dragonflymount::runtime {
namespace {

constexpr mode_t file_mode = 0600;
constexpr std::size_t read_bytes = 1U << 16U;

failure failed_call(const char* step, const std::string& path) {
    return {std::error_code(errno, std::generic_category()), step, path, {}};
}

/// Closes a file when the scope ends.
class descriptor {
public:
    explicit descriptor(int number) : number_(number) {}
    ~descriptor() {
        if (number_ >= 0) {
            ::close(number_);
        }
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    explicit operator bool() const { return number_ >= 0; }
    int get() const { return number_; }
    int release() { return std::exchange(number_, -1); }

private:
    int number_;
};

result<done> sync_path(const std::string& path, int flags) {
    const descriptor file(::open(path.c_str(), flags | O_CLOEXEC));
    if (!file || ::fsync(file.get()) != 0) {
        return failed_call("sync", path);
    }
    return done{};
}

} // namespace

result<std::vector<std::string>> folder::list() {
    std::error_code code;
    std::vector<std::string> names;
    std::filesystem::directory_iterator entry(path_, code);
    for (; !code && entry != std::filesystem::directory_iterator();
         entry.increment(code)) {
        names.push_back(entry->path().filename().string());
    }
    if (code) {
        return failure{code, "list folder", path_, {}};
    }
    return names;
}

result<bytes> folder::read(const std::string& name) {
    const std::string path = path_of(name);
    const descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file) {
        return failed_call("open", path);
    }
    bytes content;
    std::vector<std::uint8_t> part(read_bytes);
    while (true) {
        const ssize_t count = ::read(file.get(), part.data(), part.size());
        if (count == 0) {
            return content;
        }
        if (count < 0 && errno != EINTR) {
            return failed_call("read", path);
        }
        if (count > 0) {
            content.insert(content.end(), part.begin(), part.begin() + count);
        }
    }
}

result<done> folder::append(
    const std::string& name, std::span<const std::uint8_t> data) {
    const std::string path = path_of(name);
    const descriptor file(::open(
        path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode));
    if (!file) {
        return failed_call("open", path);
    }
    while (!data.empty()) {
        const ssize_t count = ::write(file.get(), data.data(), data.size());
        if (count < 0 && errno != EINTR) {
            return failed_call("write", path);
        }
        if (count > 0) {
            data = data.subspan(static_cast<std::size_t>(count));
        }
    }
    return done{};
}

result<done> folder::truncate(const std::string& name, std::size_t size) {
    const std::string path = path_of(name);
    if (::truncate(path.c_str(), static_cast<off_t>(size)) != 0) {
        return failed_call("truncate", path);
    }
    return done{};
}

result<done> folder::rename(const std::string& from, const std::string& to) {
    if (std::rename(path_of(from).c_str(), path_of(to).c_str()) != 0) {
        return failed_call("rename", path_of(from));
    }
    return done{};
}

result<done> folder::remove(const std::string& name) {
    if (::unlink(path_of(name).c_str()) != 0) {
        return failed_call("remove", path_of(name));
    }
    return done{};
}

result<done> folder::sync(const std::string& name) {
    return sync_path(path_of(name), O_WRONLY);
}

result<done> folder::sync_folder() {
    return sync_path(path_, O_RDONLY | O_DIRECTORY);
}

result<done> folder::lock() {
    // The descriptor stays open on purpose: the lock ends with the process.
    descriptor file(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!file || ::flock(file.get(), LOCK_EX | LOCK_NB) != 0) {
        return failed_call("lock folder", path_);
    }
    file.release();
    return done{};
}

} // namespace dragonflymount::runtime
