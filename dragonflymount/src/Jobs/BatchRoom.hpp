// Limits the bytes of one batch: every follower must be able to take it, and a
// slow link to carry it within an election timeout.
#ifndef DRAGONFLYMOUNT_JOBS_BATCH_ROOM_HPP
#define DRAGONFLYMOUNT_JOBS_BATCH_ROOM_HPP

#include "dragonflymount/wire.hpp"

namespace dragonflymount::jobs {

/// \brief The room of a batch for records of one kind.
class batch_room {
public:
    /// \param bytes may be exceeded by a single record.
    explicit batch_room(std::size_t bytes) : bytes_(bytes) {}

    /// \brief Takes the room of a record if it fits, or if it is the first.
    /// \param record a table of the schema as an object.
    /// \returns whether the record may go into the batch.
    template <class Record>
    bool take(const Record& record) {
        builder_.Clear();
        builder_.Finish(Record::TableType::Pack(builder_, &record));
        const std::size_t size = builder_.GetSize();
        if (used_ != 0 && used_ + size > bytes_) {
            return false;
        }
        used_ += size;
        return true;
    }

private:
    std::size_t bytes_;
    std::size_t used_ = 0;
    flatbuffers::FlatBufferBuilder builder_;
};

} // namespace dragonflymount::jobs

#endif
