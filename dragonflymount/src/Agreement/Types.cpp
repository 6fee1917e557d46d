// Converts member lists and snapshots to and from their wire form.
#include "dragonflymount/src/Agreement/Types.hpp"

namespace dragonflymount::agreement {

wire::MemberListT to_wire(const member_list& members) {
    wire::MemberListT list;
    for (const member& peer : members) {
        auto entry = std::make_unique<wire::MemberT>();
        entry->replica = peer.id.str();
        entry->address = peer.address;
        entry->zone = peer.zone.str();
        entry->identity = peer.identity.value();
        entry->voter = peer.voter;
        list.members.push_back(std::move(entry));
    }
    return list;
}

member_list from_wire(const wire::MemberListT& list) {
    member_list members;
    for (const auto& entry : list.members) {
        members.push_back({replica_id(entry->replica), entry->address,
            availability_zone_id(entry->zone),
            replica_identity(entry->identity), entry->voter});
    }
    return members;
}

bytes encode_members(const member_list& members) {
    flatbuffers::FlatBufferBuilder builder;
    const wire::MemberListT list = to_wire(members);
    builder.Finish(wire::MemberList::Pack(builder, &list));
    return {builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

result<member_list> decode_members(std::span<const std::uint8_t> data) {
    flatbuffers::Verifier verifier(data.data(), data.size());
    if (!verifier.VerifyBuffer<wire::MemberList>(nullptr)) {
        return failure{make_error_code(errc::malformed_message),
            "decode members", {}, "verifier refused it"};
    }
    wire::MemberListT list;
    flatbuffers::GetRoot<wire::MemberList>(data.data())->UnPackTo(&list);
    return from_wire(list);
}

wire::SnapshotImageT to_wire(const snapshot& image) {
    wire::SnapshotImageT wired;
    wired.last_index = image.last_index.value();
    wired.last_term = image.last_term.value();
    wired.members = std::make_unique<wire::MemberListT>(to_wire(image.members));
    wired.state = image.state;
    return wired;
}

snapshot from_wire(const wire::SnapshotImageT& image) {
    snapshot result;
    result.last_index = log_index(image.last_index);
    result.last_term = log_term(image.last_term);
    if (image.members) {
        result.members = from_wire(*image.members);
    }
    result.state = image.state;
    return result;
}

} // namespace dragonflymount::agreement
