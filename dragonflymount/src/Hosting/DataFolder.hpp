// The data folder of this process's replica: how it is created, opened when it
// is empty or damaged, and reopened after a disk failure.
#ifndef DRAGONFLYMOUNT_HOSTING_DATA_FOLDER_HPP
#define DRAGONFLYMOUNT_HOSTING_DATA_FOLDER_HPP

#include "dragonflymount/agreement.hpp"
#include "dragonflymount/runtime.hpp"

namespace dragonflymount::hosting {

/// \brief The condition of the disk, as written in a dump. A \c failed disk can
/// be reopened, a \c damaged log can't.
enum class disk_state : std::uint8_t { sound, damaged, failed };

/// \returns the name of \p value as written in a dump.
std::string_view name_of(disk_state value);

/// \brief A replica's folder, the store in it and the state of the disk.
class data_folder {
public:
    explicit data_folder(std::string path,
        agreement::tail_policy tail = agreement::tail_policy::refuse_damage)
        : files_(std::move(path)), tail_(tail), store_(files_, tail_) {}

    /// \brief Locks the folder and writes the initial identity and log of a
    /// member that a new site starts with.
    /// \returns a failure if another process holds the folder, or if it can't
    /// be written.
    result<done> initialize(const agreement::member_list& members);

    /// \brief Opens the folder.
    ///
    /// An empty folder gets a new identity: the replica may have lost its
    /// disk, so it must not vote under any identity that it had before.
    /// If the log is damaged or the disk fails, the returned state is marked
    /// as damaged, and a replica started from it sends no messages.
    /// \param initial_members the members that a new site starts with, this
    /// replica among them; an empty folder then gets the initial identity.
    /// Empty if the site isn't new.
    /// \returns the recovered state; fails if another process holds the
    /// folder, with \c errc::conflict if it holds files of another program, or
    /// if it can't be listed, cleared or initialized.
    result<agreement::recovered_state> open(
        const agreement::member_list& initial_members = {});
    /// \brief Opens the folder again in the same process after a failed call,
    /// and recovers the state from the files alone. May be called repeatedly
    /// while \c state is \c disk_state::failed.
    /// \returns as \c open; fails if the disk still refuses writes.
    result<agreement::recovered_state> reopen();

    agreement::file_store<runtime::folder>& store() { return store_; }
    disk_state state() const { return state_; }
    /// \brief Records and logs a failed call to the store, unless a failure is
    /// recorded already.
    void note_failure(const failure& error);
    /// \returns the message of the failure behind \c state, empty if the folder
    /// is sound.
    const std::string& error() const { return error_; }

private:
    result<done> make_identity();
    result<bool> clear_unfinished();
    void note_open_failure(const failure& error);
    result<agreement::recovered_state> read(
        const agreement::member_list& initial_members);

    runtime::folder files_;
    agreement::tail_policy tail_;
    agreement::file_store<runtime::folder> store_;
    disk_state state_ = disk_state::sound;
    std::string error_;
};

} // namespace dragonflymount::hosting

#endif
