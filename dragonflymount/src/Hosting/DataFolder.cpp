// Opens a replica's data folder, creates its identity if it has none, and logs
// recovery, damage and disk failures.
#include "dragonflymount/src/Hosting/DataFolder.hpp"

#include <algorithm>
#include <random>

namespace dragonflymount::hosting {
namespace {

agreement::replica_identity random_identity() {
    std::random_device source;
    const std::uint64_t high = source();
    const std::uint64_t drawn = (high << 32U) | source();
    // The initial identity is reserved for the members that a site starts with.
    return agreement::replica_identity(
        std::max(drawn, agreement::initial_identity.value() + 1));
}

} // namespace

std::string_view name_of(disk_state value) {
    switch (value) {
    case disk_state::sound:
        return "sound";
    case disk_state::damaged:
        return "damaged";
    case disk_state::failed:
        return "failed";
    }
    return "unknown";
}

result<done> data_folder::initialize(const agreement::member_list& members) {
    result<done> status = files_.lock();
    if (status) {
        status = store_.initialize(agreement::initial_identity, members);
    }
    return status;
}

result<done> data_folder::make_identity() {
    const agreement::replica_identity identity = random_identity();
    result<done> status = store_.initialize(identity, {});
    if (status) {
        LOG(WARNING) << event::identity_new << "identity=" << identity;
    }
    return status;
}

result<agreement::recovered_state> data_folder::open(
    const agreement::member_list& initial_members) {
    const result<done> locked = files_.lock();
    return locked ? read(initial_members) : locked.error();
}

result<agreement::recovered_state> data_folder::reopen() {
    const result<done> writable = agreement::probe_disk(files_);
    if (!writable) {
        return writable.error();
    }
    store_ = agreement::file_store<runtime::folder>(files_, tail_);
    auto recovered = read({});
    if (recovered && !recovered->damaged) {
        state_ = disk_state::sound;
        error_.clear();
    }
    return recovered;
}

// Removes the files of an initialization that a crash interrupted, and returns
// whether the folder is empty afterwards. A folder without an identity never
// served a replica: no vote or acknowledgement can depend on its files.
result<bool> data_folder::clear_unfinished() {
    const auto names = files_.list();
    if (!names) {
        return names.error();
    }
    const bool has_identity =
        std::any_of(names->begin(), names->end(), [](const std::string& name) {
            return name == agreement::identity_file ||
                name.starts_with(agreement::segment_prefix);
        });
    if (has_identity) {
        return false;
    }
    // Files of other programs mean that the settings name the wrong folder.
    const auto foreign =
        std::find_if(names->begin(), names->end(), [](const std::string& name) {
            return !agreement::is_store_file(name) &&
                !name.starts_with(settings::folder_probe_prefix);
        });
    if (foreign != names->end()) {
        return failure{make_error_code(errc::conflict), "open data folder",
            files_.path(), "holds a file of another program: " + *foreign};
    }
    for (const std::string& name : *names) {
        const result<done> status = files_.remove(name);
        if (!status) {
            return status.error();
        }
    }
    return true;
}

result<agreement::recovered_state> data_folder::read(
    const agreement::member_list& initial_members) {
    const result<bool> empty = clear_unfinished();
    if (!empty) {
        return empty.error();
    }
    if (*empty) {
        const result<done> status = initial_members.empty()
            ? make_identity()
            : store_.initialize(agreement::initial_identity, initial_members);
        if (!status) {
            return status.error();
        }
    }
    auto opened = store_.open();
    if (!opened) {
        note_open_failure(opened.error());
        agreement::recovered_state unusable;
        unusable.damaged = true;
        return unusable;
    }
    if (opened->tail_bytes_cut > 0) {
        LOG(WARNING) << event::log_tail_cut
                     << "bytes=" << opened->tail_bytes_cut;
    }
    LOG(INFO) << event::log_recovered
              << "records=" << opened->state.records.size()
              << " snapshot=" << opened->state.base.last_index
              << " identity=" << opened->state.identity;
    return std::move(opened->state);
}

// After a temporary disk failure all synced data may still be readable, so the
// folder can be reopened. A damaged log can't be repaired by reopening it.
void data_folder::note_open_failure(const failure& error) {
    if (error.code != make_error_code(errc::damaged_log)) {
        note_failure(error);
        return;
    }
    state_ = disk_state::damaged;
    error_ = error.message();
    LOG(ERROR) << event::log_damaged << error_;
}

void data_folder::note_failure(const failure& error) {
    if (state_ != disk_state::sound) {
        return;
    }
    state_ = disk_state::failed;
    error_ = error.message();
    LOG(ERROR) << event::disk_failed << error_;
}

} // namespace dragonflymount::hosting
