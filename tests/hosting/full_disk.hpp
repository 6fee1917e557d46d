// Makes writes fail as on a full disk, for real files.
#ifndef DRAGONFLYMOUNT_TESTS_FULL_DISK_HPP
#define DRAGONFLYMOUNT_TESTS_FULL_DISK_HPP

#include <csignal>
#include <sys/resource.h>

namespace dragonflymount::hosting {

/// \brief While it exists, files of this process can't grow beyond a size: a
/// write stops there and the next one fails. Reads, syncs, renames and removals
/// work, as on a full disk.
class full_disk {
public:
    explicit full_disk(rlim_t largest_file = 0) {
        // Without this the signal of a refused write ends the process.
        std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &before_);
        rlimit limit = before_;
        limit.rlim_cur = largest_file;
        ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    ~full_disk() { ::setrlimit(RLIMIT_FSIZE, &before_); }
    full_disk(const full_disk&) = delete;
    full_disk& operator=(const full_disk&) = delete;

private:
    rlimit before_{};
};

} // namespace dragonflymount::hosting

#endif
