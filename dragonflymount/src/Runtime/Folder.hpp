// The files of one folder, by POSIX calls.
#ifndef DRAGONFLYMOUNT_RUNTIME_FOLDER_HPP
#define DRAGONFLYMOUNT_RUNTIME_FOLDER_HPP

#include "dragonflymount/src/Agreement/Disk.hpp"

namespace dragonflymount::runtime {

/// \brief A folder that exists; names are those of files directly in it.
class folder {
public:
    explicit folder(std::string path) : path_(std::move(path)) {}
    const std::string& path() const { return path_; }

    result<std::vector<std::string>> list();
    result<bytes> read(const std::string& name);
    result<done> append(
        const std::string& name, std::span<const std::uint8_t> data);
    result<done> truncate(const std::string& name, std::size_t size);
    result<done> rename(const std::string& from, const std::string& to);
    result<done> remove(const std::string& name);
    result<done> sync(const std::string& name);
    result<done> sync_folder();
    /// \brief Keeps other processes out until this one ends.
    result<done> lock();

private:
    std::string path_of(const std::string& name) const {
        return path_ + "/" + name;
    }

    std::string path_;
};

static_assert(agreement::disk<folder>, "the log store writes through it");

} // namespace dragonflymount::runtime

#endif
