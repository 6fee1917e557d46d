// Packs the replicated job state into an image, a limited number of jobs at a
// time.
#ifndef DRAGONFLYMOUNT_JOBS_STATE_IMAGE_HPP
#define DRAGONFLYMOUNT_JOBS_STATE_IMAGE_HPP

#include "dragonflymount/src/Jobs/State.hpp"

namespace dragonflymount::jobs {

/// \brief Packs the image of a state. The state must not change meanwhile.
///
/// Packing a large state takes long. Packing in parts lets the process handle
/// messages in between.
class state_image {
public:
    explicit state_image(const state& source);

    /// \brief Packs up to \p max_jobs further jobs.
    /// \returns whether all jobs are packed.
    bool advance(std::size_t max_jobs);
    /// \brief Packs the rest of the state and completes the image. \c advance
    /// must have packed all jobs before.
    bytes finish();

private:
    using job_table =
        std::unordered_map<std::uint64_t, std::unique_ptr<wire::JobT>>;

    std::vector<flatbuffers::Offset<wire::EndpointAck>> pack_acks();
    std::vector<flatbuffers::Offset<wire::MaintenanceWave>> pack_waves();
    template <class Table, class Unpacked>
    std::vector<flatbuffers::Offset<Table>> pack(
        const std::vector<Unpacked>& entries);

    const state* source_;
    flatbuffers::FlatBufferBuilder builder_;
    // Invariant: the jobs before this position are packed.
    job_table::const_iterator next_;
    std::vector<flatbuffers::Offset<wire::Job>> jobs_;
};

} // namespace dragonflymount::jobs

#endif
