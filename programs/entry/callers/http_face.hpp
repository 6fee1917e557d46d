// The entry's face to callers, over HTTP.
//
//   POST   /v1/services/SERVICE/requests/ID   submit, and wait for the answer
//   GET    /v1/requests/ID                    fetch the answer
//   DELETE /v1/requests/ID                    cancel
//   GET    /metrics, GET /dump                the process's state
//
// docs/OPERATING.md has the headers and the meaning of each status.
#ifndef DRAGONFLYMOUNT_ENTRY_CALLERS_HTTP_FACE_HPP
#define DRAGONFLYMOUNT_ENTRY_CALLERS_HTTP_FACE_HPP

#include "programs/entry/coordination/node.hpp"

#include <httplib.h>

#include <atomic>
#include <thread>

namespace dragonflymount::entry_program {

struct http_settings {
    std::string address;
    /// Connections served at once, one thread each.
    std::size_t threads = 96;
    /// Callers that wait for an answer; further ones are told to come back.
    std::size_t most_waiting = 80;
    duration longest_deadline = std::chrono::minutes(10);
};

class http_face {
public:
    http_face(asio::io_context& context, http_settings settings, node& core);
    ~http_face() { stop(); }
    http_face(const http_face&) = delete;
    http_face& operator=(const http_face&) = delete;

    std::string name() const { return "callers"; }
    result<done> start();
    void stop();
    /// \brief Takes no new connections, answers what is under way, then
    /// calls \p on_closed on the event loop, which must go on running: the
    /// calls under way are answered by it.
    void close(std::function<void()> on_closed);

private:
    void route();
    void submit(const httplib::Request& request, httplib::Response& response);
    using look_up_call = void (node::*)(
        const std::string& key, const std::string& id, node::call_handler);
    /// \brief Asks about a request by its id: fetches or cancels it.
    void look_up(const httplib::Request& request, httplib::Response& response,
        look_up_call call);
    /// \brief Runs \p start on the event loop and waits for its result.
    call_result wait_for(
        const std::function<void(node::call_handler)>& start, duration limit);
    std::string ask(const std::function<std::string()>& question);

    asio::io_context& context_;
    http_settings settings_;
    node& core_;
    std::unique_ptr<httplib::Server> server_;
    std::thread thread_;
    // Waits for the server's end while the event loop goes on.
    std::thread closer_;
    std::atomic<std::size_t> waiting_{0};
};

} // namespace dragonflymount::entry_program

#endif
