// The data folder of this process's replica: its first making, and how a
// start on an empty or damaged one goes.
#ifndef DRAGONFLYMOUNT_HOSTING_DATA_FOLDER_HPP
#define DRAGONFLYMOUNT_HOSTING_DATA_FOLDER_HPP

#include "dragonflymount/agreement.hpp"
#include "dragonflymount/runtime.hpp"

namespace dragonflymount::hosting {

/// \brief What a dump says of the disk.
enum class disk_state : std::uint8_t { sound, damaged, failed };

std::string_view name_of(disk_state value);

/// \brief A folder and the store in it.
class data_folder {
public:
    explicit data_folder(std::string path,
        agreement::tail_policy tail = agreement::tail_policy::refuse_damage)
        : files_(std::move(path)), tail_(tail), store_(files_, tail_) {}

    /// \brief Makes the folder of a member that the site begins with.
    result<done> initialize(const agreement::member_list& members);

    /// \brief Opens the folder.
    ///
    /// An empty folder gets a new identity: the replica may have lost its
    /// disk, so it must not vote under any identity that it had before.
    /// A damaged one, or one on a disk that fails, gives a state that keeps
    /// the replica silent.
    /// \param first the members that a new site begins with, this replica
    /// among them; an empty folder is then made theirs. Empty if the site
    /// isn't new.
    /// \returns a failure if another process holds the folder, or if the
    /// folder can't be used at all.
    result<agreement::recovered_state> open(
        const agreement::member_list& initial_members = {});
    /// \brief Opens the folder again in the same process after a failed
    /// call; what counts is what the files hold. May be tried again for as
    /// long as \c state is \c disk_state::failed.
    result<agreement::recovered_state> reopen();

    agreement::file_store<runtime::folder>& store() { return store_; }
    disk_state state() const { return state_; }
    /// \brief Notes a failed call.
    void note_failure(const failure& error);
    /// \returns the first failure, empty if there was none.
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
