// Preloaded into a process of a test: its TCP connections carry only so many
// bytes a second, and its disk takes a while to sync. Needs no rights.
//
//   DFM_SLOW_BYTES_PER_S  pacing of each TCP connection; absent: none
//   DFM_SLOW_SYNC_MS      added to each sync of a file; absent: none
//   DFM_SLOW_COUNTS       a file that gets, for each last part of the IP number
//                         of a peer that was connected to, the bytes sent to it
#include <array>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace {

constexpr std::size_t peers = 256;
constexpr std::size_t most_descriptors = 65'536;

template <class Function>
Function* next(Function* /*shape*/, const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

unsigned setting(const char* name) {
    const char* text = std::getenv(name);
    return text == nullptr
        ? 0
        : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

void pace(int descriptor) {
    static const unsigned bytes_per_s = setting("DFM_SLOW_BYTES_PER_S");
    if (bytes_per_s > 0 && descriptor >= 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_MAX_PACING_RATE, &bytes_per_s,
            sizeof(bytes_per_s));
    }
}

void wait_for_disk() {
    static const unsigned sync_ms = setting("DFM_SLOW_SYNC_MS");
    if (sync_ms > 0) {
        ::usleep(sync_ms * 1000);
    }
}

// The last part of the peer's IP number; 0 if the peer connected by itself.
std::array<std::atomic<std::uint8_t>, most_descriptors> peer_of;
std::array<std::atomic<std::uint64_t>, peers> sent_to;

ssize_t count(int descriptor, ssize_t sent) {
    static const int file = [] {
        const char* path = std::getenv("DFM_SLOW_COUNTS");
        return path == nullptr
            ? -1
            : ::open(path, O_WRONLY | O_CREAT | O_CLOEXEC, S_IRUSR | S_IWUSR);
    }();
    const auto place = static_cast<std::size_t>(descriptor);
    if (file < 0 || sent <= 0 || place >= most_descriptors) {
        return sent;
    }
    const std::uint8_t peer = peer_of[place];
    const std::uint64_t total = sent_to[peer] +=
        static_cast<std::uint64_t>(sent);
    if (::pwrite(file, &total, sizeof(total),
            static_cast<off_t>(peer * sizeof(total))) < 0) {
        ::abort();
    }
    return sent;
}

void note_peer(int descriptor, const sockaddr* address) {
    const auto place = static_cast<std::size_t>(descriptor);
    if (place < most_descriptors) {
        peer_of[place] = address != nullptr && address->sa_family == AF_INET
            ? ntohl(reinterpret_cast<const sockaddr_in*>(address)
                        ->sin_addr.s_addr) %
                peers
            : 0;
    }
}

int accepted(int descriptor) {
    note_peer(descriptor, nullptr);
    pace(descriptor);
    return descriptor;
}

} // namespace

extern "C" {

int connect(int descriptor, const sockaddr* address, socklen_t length) {
    static auto* real = next(&connect, "connect");
    note_peer(descriptor, address);
    pace(descriptor);
    return real(descriptor, address, length);
}
int accept(int descriptor, sockaddr* address, socklen_t* length) {
    static auto* real = next(&accept, "accept");
    return accepted(real(descriptor, address, length));
}
int accept4(int descriptor, sockaddr* address, socklen_t* length, int flags) {
    static auto* real = next(&accept4, "accept4");
    return accepted(real(descriptor, address, length, flags));
}
ssize_t send(int descriptor, const void* bytes, size_t length, int flags) {
    static auto* real = next(&send, "send");
    return count(descriptor, real(descriptor, bytes, length, flags));
}
ssize_t sendmsg(int descriptor, const msghdr* content, int flags) {
    static auto* real = next(&sendmsg, "sendmsg");
    return count(descriptor, real(descriptor, content, flags));
}
int fsync(int descriptor) {
    static auto* real = next(&fsync, "fsync");
    wait_for_disk();
    return real(descriptor);
}
int fdatasync(int descriptor) {
    static auto* real = next(&fdatasync, "fdatasync");
    wait_for_disk();
    return real(descriptor);
}

} // extern "C"
