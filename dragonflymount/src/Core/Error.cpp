// Texts of the project's own error conditions.
#include "dragonflymount/src/Core/Error.hpp"

namespace dragonflymount {
namespace {

class project_category : public std::error_category {
public:
    const char* name() const noexcept override { return "dragonflymount"; }

    std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::malformed_frame:
            return "malformed frame";
        case errc::frame_too_large:
            return "frame larger than allowed";
        case errc::malformed_message:
            return "message fails verification";
        case errc::digest_mismatch:
            return "digest does not match the body";
        case errc::connection_silent:
            return "connection silent";
        case errc::connection_closed:
            return "connection closed";
        case errc::queue_full:
            return "queue full";
        case errc::not_leader:
            return "not the leader";
        case errc::conflict:
            return "conflicts with the version in force";
        case errc::unavailable:
            return "no quorum";
        case errc::invalid_rule:
            return "invalid rule";
        case errc::invalid_setting:
            return "invalid setting";
        case errc::damaged_log:
            return "log is damaged";
        case errc::disk_failed:
            return "disk failed";
        case errc::unknown_key:
            return "unknown key";
        case errc::restart_budget_spent:
            return "restart budget spent";
        case errc::timeout:
            return "timeout";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& error_category() noexcept {
    static const project_category category;
    return category;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), error_category()};
}

std::string failure::message() const {
    std::string text = step;
    if (!peer.empty()) {
        text += " (" + peer + ")";
    }
    text += ": " + code.message();
    if (!detail.empty()) {
        text += ": " + detail;
    }
    return text;
}

} // namespace dragonflymount
