// Framing and verification.
#include "dragonflymount/src/Wire/Codec.hpp"

#include <boost/crc.hpp>

namespace dragonflymount::wire {
namespace {

void put_u32(std::uint8_t* out, std::uint32_t value) {
    for (unsigned shift = 0; shift < 32; shift += 8) {
        *out++ = static_cast<std::uint8_t>(value >> shift);
    }
}

std::uint32_t get_u32(const std::uint8_t* in) {
    std::uint32_t value = 0;
    for (unsigned shift = 0; shift < 32; shift += 8) {
        value |= static_cast<std::uint32_t>(*in++) << shift;
    }
    return value;
}

failure frame_failure(errc code, std::string detail) {
    return {make_error_code(code), "decode frame", {}, std::move(detail)};
}

} // namespace

std::uint32_t checksum(std::span<const std::uint8_t> data) {
    boost::crc_32_type crc;
    crc.process_bytes(data.data(), data.size());
    return crc.checksum();
}

bytes encode_frame(const message& content) {
    flatbuffers::FlatBufferBuilder builder;
    const auto body = content.body.Pack(builder);
    builder.Finish(
        CreateEnvelope(builder, content.correlation, content.body.type, body));
    const std::span payload(builder.GetBufferPointer(), builder.GetSize());
    bytes frame(frame_header_bytes + payload.size());
    put_u32(frame.data(), static_cast<std::uint32_t>(payload.size()));
    put_u32(frame.data() + 4, checksum(payload));
    std::copy(
        payload.begin(), payload.end(), frame.begin() + frame_header_bytes);
    return frame;
}

result<frame_header> decode_header(std::span<const std::uint8_t> data) {
    if (data.size() < frame_header_bytes) {
        return frame_failure(errc::malformed_frame, "header is cut short");
    }
    const frame_header header{get_u32(data.data()), get_u32(data.data() + 4)};
    if (header.length > max_frame_bytes) {
        return frame_failure(
            errc::frame_too_large, std::to_string(header.length) + " bytes");
    }
    if (header.length == 0) {
        return frame_failure(errc::malformed_frame, "empty payload");
    }
    return header;
}

result<message> decode_payload(
    const frame_header& header, std::span<const std::uint8_t> payload) {
    if (payload.size() != header.length) {
        return frame_failure(errc::malformed_frame, "payload is cut short");
    }
    if (checksum(payload) != header.checksum) {
        return frame_failure(errc::malformed_frame, "checksum differs");
    }
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!VerifyEnvelopeBuffer(verifier)) {
        return frame_failure(errc::malformed_message, "verifier refused it");
    }
    const Envelope* envelope = GetEnvelope(payload.data());
    if (envelope->body() == nullptr) {
        return frame_failure(errc::malformed_message, "no body");
    }
    message content;
    content.correlation = envelope->correlation();
    content.body.type = envelope->body_type();
    content.body.value =
        BodyUnion::UnPack(envelope->body(), envelope->body_type(), nullptr);
    if (content.body.value == nullptr) {
        return frame_failure(errc::malformed_message, "unknown kind");
    }
    return content;
}

bytes pack_command(const LogCommandT& command) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(LogCommand::Pack(builder, &command));
    return {builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

result<LogCommandT> decode_command(std::span<const std::uint8_t> data) {
    flatbuffers::Verifier verifier(data.data(), data.size());
    if (!verifier.VerifyBuffer<LogCommand>(nullptr)) {
        return failure{make_error_code(errc::malformed_message),
            "decode command", {}, "verifier refused it"};
    }
    LogCommandT command;
    flatbuffers::GetRoot<LogCommand>(data.data())->UnPackTo(&command);
    if (command.command.type == Command::NONE) {
        return failure{make_error_code(errc::malformed_message),
            "decode command", {}, "no command"};
    }
    return command;
}

} // namespace dragonflymount::wire
