// The entry's face to endpoints, other entries and operators.
#ifndef DRAGONFLYMOUNT_ENTRY_LINKS_LINK_SERVICE_HPP
#define DRAGONFLYMOUNT_ENTRY_LINKS_LINK_SERVICE_HPP

#include "programs/entry/coordination/node.hpp"

namespace dragonflymount::entry_program {

class link_service {
public:
    link_service(asio::io_context& context, std::string address,
        runtime::connection_options connections, node& core)
        : address_(std::move(address)), listener_(context, connections),
          core_(core) {}

    std::string name() const { return "links"; }

    result<done> start() {
        auto status = listener_.start(
            address_,
            [this](const auto& from, wire::message&& content) {
                core_.receive(from, std::move(content));
            },
            [this](const auto& closed, const failure& error) {
                VLOG(1) << event::connection_failed << error.message();
                core_.disconnect(closed);
            });
        if (status) {
            core_.set_address(listener_.address());
        }
        return status;
    }

    void stop() { listener_.stop(); }

private:
    std::string address_;
    runtime::listener listener_;
    node& core_;
};

} // namespace dragonflymount::entry_program

#endif
