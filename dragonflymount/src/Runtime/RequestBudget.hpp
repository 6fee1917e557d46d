// Bounds the memory of requests that a server is reading.
#ifndef DRAGONFLYMOUNT_RUNTIME_REQUEST_BUDGET_HPP
#define DRAGONFLYMOUNT_RUNTIME_REQUEST_BUDGET_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace dragonflymount::runtime {

/// \brief Counts the bytes that requests hold and chooses the one to refuse
/// when they hold too much.
///
/// Load pattern: many clients send large bodies at once and stop just before
/// their end, while ordinary callers send small requests. The request that
/// holds the most is refused, so ordinary callers aren't refused as long as
/// larger requests are being read.
/// \tparam Holder identifies a request; it has an order.
template <class Holder>
class request_budget {
public:
    /// \param limit in bytes.
    explicit request_budget(std::uint64_t limit) : limit_(limit) {}

    /// \brief Sets the bytes of a request that is being read.
    void hold(const Holder& holder, std::uint64_t bytes) {
        release(holder);
        held_[holder] = bytes;
        reading_.emplace(bytes, holder);
        total_ += bytes;
    }
    /// \brief Records that the request was read. It holds its bytes until
    /// \c release and can't be refused any more.
    void settle(const Holder& holder) {
        const auto found = held_.find(holder);
        if (found != held_.end()) {
            reading_.erase({found->second, holder});
        }
    }
    void release(const Holder& holder) {
        const auto found = held_.find(holder);
        if (found == held_.end()) {
            return;
        }
        total_ -= found->second;
        reading_.erase({found->second, holder});
        held_.erase(found);
    }
    /// \returns the request to refuse, or nothing while all bytes are within
    /// the limit or no request is being read.
    std::optional<Holder> surplus() const {
        if (total_ <= limit_ || reading_.empty()) {
            return std::nullopt;
        }
        return reading_.rbegin()->second;
    }
    std::uint64_t total() const { return total_; }

private:
    std::uint64_t limit_;
    // Invariant: the sum over held_.
    std::uint64_t total_ = 0;
    std::map<Holder, std::uint64_t> held_;
    // Invariant: exactly the requests of held_ that aren't settled.
    std::set<std::pair<std::uint64_t, Holder>> reading_;
};

} // namespace dragonflymount::runtime

#endif
