// Images of the agreed state, packed a part at a time.
#ifndef DRAGONFLYMOUNT_JOBS_STATE_IMAGE_HPP
#define DRAGONFLYMOUNT_JOBS_STATE_IMAGE_HPP

#include "dragonflymount/src/Jobs/State.hpp"

namespace dragonflymount::jobs {

/// \brief Packs the image of a state that doesn't change meanwhile.
///
/// A large state takes long to pack; in parts, the process can hear and answer
/// others in between.
class state_image {
public:
    explicit state_image(const state& source);

    /// \brief Packs up to \p most further jobs.
    /// \returns whether all jobs are packed.
    bool advance(std::size_t max_jobs);
    /// \brief Completes the image; all jobs have to be packed.
    bytes finish();

private:
    using job_table =
        std::unordered_map<std::uint64_t, std::unique_ptr<wire::JobT>>;

    std::vector<flatbuffers::Offset<wire::EndpointAck>> pack_acks();
    std::vector<flatbuffers::Offset<wire::MaintenanceWave>> pack_waves();

    const state* source_;
    flatbuffers::FlatBufferBuilder builder_;
    // Invariant: the jobs before this one are packed.
    job_table::const_iterator next_;
    std::vector<flatbuffers::Offset<wire::Job>> jobs_;
};

} // namespace dragonflymount::jobs

#endif
