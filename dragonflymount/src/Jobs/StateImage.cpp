// Saves the replicated job state as an image and loads it from one.
#include "dragonflymount/src/Jobs/StateImage.hpp"

namespace dragonflymount::jobs {
namespace {

// Limits of the verifier. The default table limit of FlatBuffers would reject
// the image of a large site.
constexpr flatbuffers::uoffset_t max_image_tables = 50'000'000;
constexpr flatbuffers::uoffset_t max_image_depth = 64;

} // namespace

state_image::state_image(const state& source)
    : source_(&source), next_(source.jobs_.begin()) {
    jobs_.reserve(source.jobs_.size());
}

bool state_image::advance(std::size_t max_jobs) {
    for (; max_jobs > 0 && next_ != source_->jobs_.end(); --max_jobs, ++next_) {
        jobs_.push_back(wire::CreateJob(builder_, next_->second.get()));
    }
    return next_ == source_->jobs_.end();
}

std::vector<flatbuffers::Offset<wire::EndpointAck>> state_image::pack_acks() {
    std::vector<flatbuffers::Offset<wire::EndpointAck>> packed;
    packed.reserve(source_->acks_.size());
    for (const auto& [life, ack] : source_->acks_) {
        packed.push_back(wire::CreateEndpointAckDirect(builder_,
            life.endpoint.c_str(), life.number, ack.number, ack.touched_ms));
    }
    return packed;
}

std::vector<flatbuffers::Offset<wire::MaintenanceWave>>
state_image::pack_waves() {
    std::vector<flatbuffers::Offset<wire::MaintenanceWave>> packed;
    for (const auto& [number, wave] : source_->waves_) {
        packed.push_back(wire::CreateMaintenanceWave(builder_, &wave));
    }
    return packed;
}

template <class Table, class Unpacked>
std::vector<flatbuffers::Offset<Table>> state_image::pack(
    const std::vector<Unpacked>& entries) {
    std::vector<flatbuffers::Offset<Table>> packed;
    packed.reserve(entries.size());
    for (const Unpacked& entry : entries) {
        packed.push_back(Table::Pack(builder_, &entry));
    }
    return packed;
}

bytes state_image::finish() {
    const auto catalogue =
        wire::CreateCatalogue(builder_, source_->catalogue_.get());
    const auto acks = pack_acks();
    const auto waves = pack_waves();
    const auto evacuated = pack<wire::Evacuation>(source_->evacuations_.save());
    const auto rates = pack<wire::AccountRate>(source_->rates_.save());
    builder_.Finish(
        wire::CreateSchedulerImageDirect(builder_, source_->time_ms_, catalogue,
            &jobs_, &acks, &waves, &evacuated, &rates));
    return {builder_.GetBufferPointer(),
        builder_.GetBufferPointer() + builder_.GetSize()};
}

state_image state::begin_image() const {
    return state_image(*this);
}

bytes state::save() const {
    state_image image(*this);
    image.advance(jobs_.size());
    return image.finish();
}

result<done> state::load(const bytes& data) {
    flatbuffers::Verifier verifier(
        data.data(), data.size(), max_image_depth, max_image_tables);
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
    evacuations_.load(image.evacuations);
    rates_.load(image.rates);
    rebuild_indexes();
    return done{};
}

} // namespace dragonflymount::jobs
