// A connection for one question.
#include "dragonflymount/src/Runtime/Client.hpp"

namespace dragonflymount::runtime {

result<wire::message> ask(
    const std::string& address, wire::message question, duration limit) {
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        return endpoint.error();
    }
    constexpr std::uint64_t correlation = 1;
    question.correlation = correlation;
    result<wire::message> outcome =
        failure{make_error_code(errc::timeout), "wait for reply", address, {}};
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    connection::pointer opened;
    socket.async_connect(*endpoint, [&](std::error_code code) {
        if (code) {
            outcome = failure{code, "connect", address, {}};
            context.stop();
            return;
        }
        opened = std::make_shared<connection>(
            std::move(socket), connection_options());
        opened->start(
            [&](const auto&, wire::message&& reply) {
                if (reply.correlation == correlation) {
                    outcome = std::move(reply);
                    context.stop();
                }
            },
            [&](const auto&, const failure& error) {
                outcome = error;
                context.stop();
            });
        opened->send(question);
    });
    context.run_for(limit);
    return outcome;
}

} // namespace dragonflymount::runtime
