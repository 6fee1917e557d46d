// Images of the agreed state.
#include "dragonflymount/src/Jobs/State.hpp"

#include <algorithm>

namespace dragonflymount::jobs {
namespace {

// FlatBuffers' own default would refuse the image of a large site.
constexpr flatbuffers::uoffset_t most_image_tables = 50'000'000;
constexpr flatbuffers::uoffset_t most_image_depth = 64;

} // namespace

bytes state::save() const {
    wire::SchedulerImageT image;
    image.time_ms = time_ms_;
    image.catalogue = std::make_unique<wire::CatalogueT>(*catalogue_);
    for (const auto& [id, job] : jobs_) {
        image.jobs.push_back(std::make_unique<wire::JobT>(*job));
    }
    for (const auto& [life, ack] : acks_) {
        auto record = std::make_unique<wire::EndpointAckT>();
        record->endpoint = life.endpoint;
        record->life = life.number;
        record->number = ack.number;
        record->touched_ms = ack.touched_ms;
        image.acks.push_back(std::move(record));
    }
    for (const auto& [number, wave] : waves_) {
        image.waves.push_back(std::make_unique<wire::MaintenanceWaveT>(wave));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::SchedulerImage::Pack(builder, &image));
    return {builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

result<done> state::load(const bytes& data) {
    flatbuffers::Verifier verifier(
        data.data(), data.size(), most_image_depth, most_image_tables);
    if (!verifier.VerifyBuffer<wire::SchedulerImage>(nullptr)) {
        return failure{make_error_code(errc::malformed_message), "load image",
            {}, "verifier refused it"};
    }
    wire::SchedulerImageT image;
    flatbuffers::GetRoot<wire::SchedulerImage>(data.data())->UnPackTo(&image);
    *this = state();
    time_ms_ = image.time_ms;
    if (image.catalogue) {
        set_catalogue(std::shared_ptr<const wire::CatalogueT>(
            std::move(image.catalogue)));
    }
    for (auto& job : image.jobs) {
        const std::uint64_t id = job->id;
        jobs_.emplace(id, std::move(job));
    }
    for (const auto& record : image.acks) {
        acks_[{record->endpoint, record->life}] = {
            record->number, record->touched_ms};
    }
    for (auto& wave : image.waves) {
        const std::uint64_t number = wave->number;
        waves_.emplace(number, std::move(*wave));
    }
    derive();
    return done{};
}

} // namespace dragonflymount::jobs
