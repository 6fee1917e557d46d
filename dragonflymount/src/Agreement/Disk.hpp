// The concept of a disk: the file operations that the log store needs in its
// data folder.
#ifndef DRAGONFLYMOUNT_AGREEMENT_DISK_HPP
#define DRAGONFLYMOUNT_AGREEMENT_DISK_HPP

#include "dragonflymount/core.hpp"

#include <concepts>
#include <span>
#include <string>
#include <vector>

namespace dragonflymount::agreement {

/// \brief One folder without subfolders.
///
/// The content of a file is durable after \c sync of that file has succeeded.
/// The creation, renaming and removal of files is durable after \c sync_folder
/// has succeeded. \c append creates a missing file.
template <class Disk>
concept disk = requires(Disk& folder, const std::string& name,
    std::span<const std::uint8_t> data, std::size_t size) {
    { folder.list() } -> std::same_as<result<std::vector<std::string>>>;
    { folder.read(name) } -> std::same_as<result<bytes>>;
    { folder.append(name, data) } -> std::same_as<result<done>>;
    { folder.truncate(name, size) } -> std::same_as<result<done>>;
    { folder.rename(name, name) } -> std::same_as<result<done>>;
    { folder.remove(name) } -> std::same_as<result<done>>;
    { folder.sync(name) } -> std::same_as<result<done>>;
    { folder.sync_folder() } -> std::same_as<result<done>>;
};

} // namespace dragonflymount::agreement

#endif
