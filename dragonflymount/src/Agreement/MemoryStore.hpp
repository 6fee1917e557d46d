// A log store in memory, for tests.
#ifndef DRAGONFLYMOUNT_AGREEMENT_MEMORY_STORE_HPP
#define DRAGONFLYMOUNT_AGREEMENT_MEMORY_STORE_HPP

#include "dragonflymount/src/Agreement/Types.hpp"

namespace dragonflymount::agreement {

/// \brief A log store whose \c crash discards unsynced data.
class memory_store {
public:
    memory_store() = default;
    explicit memory_store(recovered_state initial)
        : written_(initial), synced_(std::move(initial)) {}

    result<done> append(std::span<const log_record> records) {
        for (const log_record& record : records) {
            const auto kept =
                record.index.value() - written_.base.last_index.value() - 1;
            written_.records.resize(kept);
            written_.records.push_back(record);
        }
        return done{};
    }

    result<done> save(const hard_state& hard) {
        written_.hard = hard;
        return done{};
    }

    result<done> save(const snapshot& image) {
        std::erase_if(written_.records, [&](const log_record& record) {
            return record.index <= image.last_index;
        });
        if (!written_.records.empty() &&
            written_.records.front().index != image.last_index.next()) {
            written_.records.clear();
        }
        written_.base = image;
        return done{};
    }

    result<done> sync() {
        if (is_broken_) {
            return failure{
                make_error_code(errc::disk_failed), "sync log", "memory", {}};
        }
        synced_ = written_;
        return done{};
    }

    void crash() { written_ = synced_; }
    void set_broken(bool broken) { is_broken_ = broken; }
    const recovered_state& recover() const { return synced_; }

private:
    recovered_state written_;
    recovered_state synced_;
    bool is_broken_ = false;
};

static_assert(
    log_store<memory_store>, "the test store must satisfy the store concept");

} // namespace dragonflymount::agreement

#endif
