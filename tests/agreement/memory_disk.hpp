// A disk in memory on which tests cause crashes, torn writes, failures and
// a lack of free space.
#ifndef DRAGONFLYMOUNT_TESTS_MEMORY_DISK_HPP
#define DRAGONFLYMOUNT_TESTS_MEMORY_DISK_HPP

#include "dragonflymount/src/Agreement/Disk.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace dragonflymount::agreement {

class memory_disk {
public:
    result<std::vector<std::string>> list() {
        std::vector<std::string> names;
        for (const auto& [name, number] : names_) {
            names.push_back(name);
        }
        return names;
    }

    result<bytes> read(const std::string& name) {
        if (!names_.contains(name)) {
            return make_failure("read", name);
        }
        return files_[names_[name]].written;
    }

    result<done> append(
        const std::string& name, std::span<const std::uint8_t> data) {
        if (!consume_call()) {
            return make_failure("write", name);
        }
        if (names_.try_emplace(name, next_number_).second) {
            ++next_number_;
        }
        file& grown = files_[names_[name]];
        bytes& content = grown.written;
        const std::size_t fits = std::min(data.size(), free_bytes_);
        const auto end = data.begin() + static_cast<std::ptrdiff_t>(fits);
        grown.unsynced.push_back({content.size(), bytes(data.begin(), end)});
        content.insert(content.end(), data.begin(), end);
        free_bytes_ -= fits;
        if (fits < data.size()) {
            return make_failure("write", name);
        }
        return done{};
    }

    result<done> truncate(const std::string& name, std::size_t size) {
        if (!consume_call()) {
            return make_failure("truncate", name);
        }
        file& cut = files_[names_[name]];
        cut.written.resize(size);
        cut.unsynced.push_back({size, std::nullopt});
        return done{};
    }

    result<done> rename(const std::string& from, const std::string& to) {
        if (!consume_call()) {
            return make_failure("rename", from);
        }
        names_[to] = names_[from];
        names_.erase(from);
        return done{};
    }

    result<done> remove(const std::string& name) {
        if (!consume_call()) {
            return make_failure("remove", name);
        }
        names_.erase(name);
        return done{};
    }

    result<done> sync(const std::string& name) {
        if (!consume_call()) {
            return make_failure("sync", name);
        }
        file& synced = files_[names_[name]];
        synced.synced = synced.written;
        synced.unsynced.clear();
        return done{};
    }

    result<done> sync_folder() {
        if (!consume_call()) {
            return make_failure("sync folder", {});
        }
        durable_names_ = names_;
        return done{};
    }

    /// Discards unsynced data, except for the first \p torn bytes appended to
    /// each file since its last sync.
    void crash(std::size_t torn = 0) {
        names_ = durable_names_;
        for (auto& [number, content] : files_) {
            const std::size_t kept =
                std::min(content.written.size(), content.synced.size() + torn);
            if (kept > content.synced.size()) {
                content.written.resize(kept);
                content.synced = content.written;
            }
            content.written = content.synced;
            content.unsynced.clear();
        }
        repair();
    }

    /// Simulates a power loss. Each write since the last sync of its file is
    /// kept, lost or torn. Each name that was made, renamed or removed since
    /// the folder's last sync is kept or lost by itself. \p draw returns a
    /// random number below its argument.
    template <class Draw>
    void lose_power(Draw draw) {
        for (const auto& [name, number] : std::exchange(names_, {})) {
            const auto durable = durable_names_.find(name);
            const bool same =
                durable != durable_names_.end() && durable->second == number;
            if (same || draw(2) == 0) {
                names_[name] = number;
            } else if (durable != durable_names_.end()) {
                names_[name] = durable->second;
            }
            durable_names_.erase(name);
        }
        // What is left was removed or renamed.
        for (const auto& [name, number] : durable_names_) {
            if (draw(2) == 0) {
                names_[name] = number;
            }
        }
        durable_names_ = names_;
        for (auto& [number, content] : files_) {
            for (const change& write : content.unsynced) {
                apply_some(content.synced, write, draw);
            }
            content.written = content.synced;
            content.unsynced.clear();
        }
        repair();
    }

    /// Ends failures and a lack of free space.
    void repair() {
        calls_left_ = unlimited;
        free_bytes_ = unlimited;
    }

    /// After \p calls further writing calls, all of them fail until a
    /// crash or \c repair.
    void fail_after(std::size_t calls) { calls_left_ = calls; }
    void set_free_bytes(std::size_t count) { free_bytes_ = count; }
    std::size_t file_count() const { return names_.size(); }
    /// \returns the content of file number \p place in the order of names.
    bytes& content_at(std::size_t place) {
        auto chosen = names_.begin();
        std::advance(chosen, place);
        return files_[chosen->second].written;
    }

private:
    static constexpr std::size_t unlimited =
        std::numeric_limits<std::size_t>::max();

    struct change {
        std::size_t offset = 0;
        // Empty if the file was truncated at the offset.
        std::optional<bytes> data;
    };

    struct file {
        bytes written;
        // The content after a crash.
        bytes synced;
        // The changes from the synced to the written content, in order.
        std::vector<change> unsynced;
    };

    template <class Draw>
    static void apply_some(bytes& content, const change& write, Draw draw) {
        const auto outcome = draw(3);
        if (outcome == 0) {
            return;
        }
        if (!write.data) {
            content.resize(std::min(content.size(), write.offset));
            return;
        }
        const std::size_t size =
            outcome == 1 ? write.data->size() : draw(write.data->size() + 1);
        content.resize(std::max(content.size(), write.offset + size));
        std::copy_n(write.data->begin(), size,
            content.begin() + static_cast<std::ptrdiff_t>(write.offset));
    }

    static failure make_failure(const char* step, const std::string& name) {
        return {make_error_code(errc::disk_failed), step, name, {}};
    }

    bool consume_call() {
        if (calls_left_ == 0) {
            return false;
        }
        --calls_left_;
        return true;
    }

    std::map<std::size_t, file> files_;
    std::map<std::string, std::size_t> names_;
    // The names after a crash.
    std::map<std::string, std::size_t> durable_names_;
    std::size_t next_number_ = 0;
    std::size_t calls_left_ = unlimited;
    std::size_t free_bytes_ = unlimited;
};

static_assert(disk<memory_disk>, "the tests' disk must satisfy the concept");

} // namespace dragonflymount::agreement

#endif
