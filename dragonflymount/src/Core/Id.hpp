// Strong types for names and numbers.
//
// A VM's name and a pool's name are both text, and an epoch and a version are
// both numbers; distinct types keep one from being passed for the other.
#ifndef DRAGONFLYMOUNT_CORE_ID_HPP
#define DRAGONFLYMOUNT_CORE_ID_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace dragonflymount {

/// \brief A name whose kind is fixed at compile time by \c Tag.
template <class Tag>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_(std::move(value)) {}

    const std::string& str() const noexcept { return value_; }
    bool empty() const noexcept { return value_.empty(); }

    friend bool operator==(const strong_id&, const strong_id&) = default;
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) {
        return out << id.value_;
    }

private:
    std::string value_;
};

/// \brief A counter whose kind is fixed at compile time by \c Tag.
template <class Tag>
class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value) : value_(value) {}

    constexpr std::uint64_t value() const noexcept { return value_; }
    constexpr strong_number next() const { return strong_number(value_ + 1); }

    friend constexpr auto operator<=>(
        const strong_number&, const strong_number&) = default;
    friend std::ostream& operator<<(std::ostream& out, strong_number number) {
        return out << number.value_;
    }

private:
    std::uint64_t value_ = 0;
};

using vm_id = strong_id<struct vm_tag>;
using availability_zone_id = strong_id<struct availability_zone_tag>;
using rack_id = strong_id<struct rack_tag>;
using pool_id = strong_id<struct pool_tag>;
using team_id = strong_id<struct team_tag>;
using service_id = strong_id<struct service_tag>;
using entry_id = strong_id<struct entry_tag>;
using replica_id = strong_id<struct replica_tag>;
using wave_id = strong_id<struct wave_tag>;

/// \brief Fences an earlier coordinator of the same availability zone.
using zone_epoch = strong_number<struct zone_epoch_tag>;
/// \brief Grows with each change of a VM's pool.
using assignment_epoch = strong_number<struct assignment_epoch_tag>;
/// \brief Version of the rules in force.
using rules_version = strong_number<struct rules_version_tag>;
/// \brief One attempt to run a request; never used twice.
using task_id = strong_number<struct task_tag>;
using log_index = strong_number<struct log_index_tag>;
using log_term = strong_number<struct log_term_tag>;

/// \brief Identifies a request: ids are chosen by callers, per team.
struct request_key {
    team_id team;
    std::string id;

    friend auto operator<=>(const request_key&, const request_key&) = default;
};

} // namespace dragonflymount

template <class Tag>
struct std::hash<dragonflymount::strong_id<Tag>> {
    std::size_t operator()(const dragonflymount::strong_id<Tag>& id) const {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag>
struct std::hash<dragonflymount::strong_number<Tag>> {
    std::size_t operator()(dragonflymount::strong_number<Tag> number) const {
        return std::hash<std::uint64_t>{}(number.value());
    }
};

#endif
