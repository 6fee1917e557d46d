// HTTP requests to calls, and answers to HTTP responses.
#include "programs/entry/callers/http_face.hpp"

#include <condition_variable>
#include <future>
#include <list>

#include <sys/socket.h>

namespace dragonflymount::entry_program {
namespace {

constexpr int listen_backlog = 512;
constexpr std::size_t requests_per_connection = 1000;
constexpr time_t keep_alive_seconds = 5;
constexpr time_t read_timeout_seconds = 10;
constexpr std::uint32_t default_deadline_ms = 30'000;
/// Beyond the core's own deadlines, which end every wait in time.
constexpr duration wait_margin = std::chrono::seconds(5);
constexpr std::uint32_t come_back_ms = 500;
constexpr std::size_t longest_name = 128;
constexpr const char* expected_name =
    ": expected 1 to 128 letters, digits, '.', '_' or '-'";

/// The library's own list of accepted connections has no bound. Here the
/// thread that accepts waits for a free place, and further callers wait in
/// the system's backlog.
class bounded_task_queue : public httplib::TaskQueue {
public:
    explicit bounded_task_queue(std::size_t threads) : most_queued_(threads) {
        for (std::size_t k = 0; k < threads; ++k) {
            threads_.emplace_back([this] { work(); });
        }
    }

    void enqueue(std::function<void()> task) override {
        std::unique_lock lock(mutex_);
        has_room_.wait(
            lock, [this] { return stopping_ || tasks_.size() < most_queued_; });
        tasks_.push_back(std::move(task));
        has_task_.notify_one();
    }

    void shutdown() override {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        has_task_.notify_all();
        has_room_.notify_all();
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

private:
    void work() {
        while (true) {
            std::function<void()> task;
            {
                std::unique_lock lock(mutex_);
                has_task_.wait(
                    lock, [this] { return stopping_ || !tasks_.empty(); });
                if (tasks_.empty()) {
                    return;
                }
                task = std::move(tasks_.front());
                tasks_.pop_front();
                has_room_.notify_one();
            }
            task();
        }
    }

    std::size_t most_queued_;
    std::mutex mutex_;
    std::condition_variable has_task_;
    std::condition_variable has_room_;
    std::list<std::function<void()>> tasks_;
    std::vector<std::thread> threads_;
    bool stopping_ = false;
};

/// Ids and services go into paths and headers, so they are kept plain.
bool is_plain_name(const std::string& text) {
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= longest_name &&
        text.find_first_not_of(allowed) == std::string::npos;
}

std::string bearer_key(const httplib::Request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const std::string header = request.get_header_value("Authorization");
    if (header.compare(0, scheme.size(), scheme) != 0) {
        return {};
    }
    return header.substr(scheme.size());
}

constexpr int status_bad_request = 400;
constexpr int status_no_key = 401;
constexpr int status_no_path = 404;
constexpr int status_no_method = 405;
constexpr int status_too_large = 413;

void reject(httplib::Response& response, int status, const std::string& why) {
    response.status = status;
    response.set_header("Dfm-Outcome", "not-run");
    response.set_header("Dfm-Reason", why);
}

int status_of(wire::outcome outcome) {
    switch (outcome) {
    case wire::outcome::answered:
        return 200;
    case wire::outcome::failed:
        return 502;
    case wire::outcome::not_run:
        return 503;
    case wire::outcome::unknown:
        return 504;
    case wire::outcome::none:
        return 404;
    }
    return 500;
}

const char* name_of(wire::outcome outcome) {
    switch (outcome) {
    case wire::outcome::answered:
        return "answered";
    case wire::outcome::failed:
        return "failed";
    case wire::outcome::not_run:
        return "not-run";
    case wire::outcome::unknown:
        return "unknown";
    case wire::outcome::none:
        return "no-such-request";
    }
    return "unknown";
}

void set_retry_after(httplib::Response& response, std::uint32_t wait_ms) {
    response.set_header("Retry-After", std::to_string((wait_ms + 999) / 1000));
    response.set_header("Dfm-Retry-After-Ms", std::to_string(wait_ms));
}

void respond(httplib::Response& response, const std::string& id,
    const call_result& result) {
    if (result.type == call_result::kind::rejected) {
        reject(response, status_no_key, "the key admits no team");
        return;
    }
    if (result.type == call_result::kind::pending) {
        response.status = 202;
        response.set_header("Dfm-Outcome", "accepted");
        response.set_header("Location", "/v1/requests/" + id);
        set_retry_after(response, come_back_ms);
        return;
    }
    const wire::AnswerT& answer = result.answer;
    response.status = status_of(answer.outcome);
    response.set_header("Dfm-Outcome", name_of(answer.outcome));
    response.set_header("Dfm-Request", answer.id);
    response.set_header("Dfm-Attempt", std::to_string(answer.attempt));
    if (!answer.reason.empty()) {
        response.set_header("Dfm-Reason", answer.reason);
    }
    if (answer.outcome == wire::outcome::not_run) {
        set_retry_after(response, answer.retry_after_ms);
    }
    if (!answer.digest.empty()) {
        response.set_header("Dfm-Digest", to_hex(answer.digest));
    }
    response.set_content(to_text(answer.body), "application/octet-stream");
}

/// Reads a header that must be a whole number, if it is there.
/// \returns what is wrong, empty if nothing is.
std::string read_number(const httplib::Request& request, const char* header,
    std::uint32_t& target) {
    if (!request.has_header(header)) {
        return {};
    }
    const auto value =
        parse_number<std::uint32_t>(request.get_header_value(header));
    target = value.value_or(target);
    return value ? std::string()
                 : std::string(header) + ": expected a whole number";
}

/// Reads a header that must be "true" or "false", if it is there.
std::string read_truth(
    const httplib::Request& request, const char* header, bool& target) {
    const std::string value = request.get_header_value(header);
    if (!request.has_header(header) || value == "false") {
        return {};
    }
    target = value == "true";
    return target ? std::string()
                  : std::string(header) + ": expected true or false";
}

/// Reads what the headers and the body of a submission say.
std::string read_request(const httplib::Request& request,
    std::uint32_t longest_deadline_ms, wire::RequestT& target) {
    std::string error =
        read_number(request, "Dfm-Deadline-Ms", target.deadline_ms);
    if (error.empty() && target.deadline_ms > longest_deadline_ms) {
        error = "Dfm-Deadline-Ms: expected at most " +
            std::to_string(longest_deadline_ms);
    }
    if (error.empty()) {
        error = read_number(request, "Dfm-Size", target.declared_size);
    }
    if (error.empty()) {
        error = read_truth(request, "Dfm-Idempotent", target.idempotent);
    }
    if (error.empty()) {
        error = read_truth(request, "Dfm-Urgent", target.urgent);
    }
    target.body = to_bytes(request.body);
    target.digest = sha256(target.body);
    const std::string stated = request.get_header_value("Dfm-Digest");
    if (error.empty() && !stated.empty() && stated != to_hex(target.digest)) {
        error = "the digest does not match the body";
    }
    return error;
}

/// Checks the names in the path and that a key came with the request.
/// \returns whether it may go on; otherwise it has been answered.
bool check_call(const httplib::Request& request, httplib::Response& response,
    const std::string& id) {
    if (!is_plain_name(id)) {
        reject(response, status_bad_request,
            std::string("request id") + expected_name);
        return false;
    }
    if (bearer_key(request).empty()) {
        reject(response, status_no_key,
            "expected the header Authorization: Bearer KEY");
        return false;
    }
    return true;
}

/// Gives a reason to the errors that the library answers by itself.
void explain_error(const httplib::Request&, httplib::Response& response) {
    if (response.has_header("Dfm-Outcome")) {
        return;
    }
    switch (response.status) {
    case status_no_path:
        reject(response, response.status, "no such path");
        break;
    case status_too_large:
        reject(response, response.status,
            "expected a body of at most " +
                std::to_string(wire::max_body_bytes) + " bytes");
        break;
    default:
        reject(response, response.status,
            "the request is malformed or incomplete");
    }
}

httplib::Server::Handler refuse_method(std::string allowed) {
    std::string expected = allowed;
    const std::size_t comma = expected.find(", ");
    if (comma != std::string::npos) {
        expected.replace(comma, 2, " or ");
    }
    return [allowed, expected](const auto&, auto& response) {
        response.set_header("Allow", allowed);
        reject(response, status_no_method, "expected " + expected);
    };
}

constexpr const char* submission_path =
    R"(/v1/services/([^/]+)/requests/([^/]+))";
constexpr const char* request_path = R"(/v1/requests/([^/]+))";

/// Other methods on known paths; the handlers that were added before go
/// first.
void refuse_other_methods(httplib::Server& server) {
    for (const auto& [path, allowed] :
        {std::pair(submission_path, "POST"), {request_path, "GET, DELETE"},
            {"/metrics", "GET"}, {"/dump", "GET"}}) {
        const auto refuse = refuse_method(allowed);
        server.Get(path, refuse);
        server.Post(path, refuse);
        server.Put(path, refuse);
        server.Patch(path, refuse);
        server.Delete(path, refuse);
        server.Options(path, refuse);
    }
}

} // namespace

http_face::http_face(
    asio::io_context& context, http_settings settings, node& core)
    : context_(context), settings_(std::move(settings)), core_(core) {}

result<done> http_face::start() {
    server_ = std::make_unique<httplib::Server>();
    server_->new_task_queue = [threads = settings_.threads] {
        return new bounded_task_queue(threads);
    };
    server_->set_keep_alive_max_count(requests_per_connection);
    server_->set_keep_alive_timeout(keep_alive_seconds);
    server_->set_read_timeout(read_timeout_seconds);
    server_->set_payload_max_length(wire::max_body_bytes);
    server_->set_tcp_nodelay(true);
    int listening = -1;
    server_->set_socket_options([&listening](socket_t socket) {
        const int yes = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        listening = socket;
    });
    route();
    const auto endpoint = runtime::parse_address(settings_.address);
    if (!endpoint) {
        return endpoint.error();
    }
    if (!server_->bind_to_port(
            endpoint->address().to_string(), endpoint->port())) {
        return failure{std::make_error_code(std::errc::address_in_use),
            "bind HTTP", settings_.address, {}};
    }
    // The library asks for a backlog of 5; a second listen() raises it.
    ::listen(listening, listen_backlog);
    thread_ =
        std::thread([server = server_.get()] { server->listen_after_bind(); });
    return done{};
}

void http_face::stop() {
    if (closer_.joinable()) {
        closer_.join();
    }
    if (!thread_.joinable()) {
        server_.reset();
        return;
    }
    while (!server_->is_running()) {
        std::this_thread::yield();
    }
    server_->stop();
    thread_.join();
    server_.reset();
}

void http_face::close(std::function<void()> on_closed) {
    closer_ = std::thread([this, on_closed = std::move(on_closed)] {
        server_->stop();
        thread_.join();
        asio::post(context_, on_closed);
    });
}

void http_face::route() {
    server_->Post(submission_path, [this](const auto& request, auto& response) {
        submit(request, response);
    });
    server_->Get(request_path, [this](const auto& request, auto& response) {
        look_up(request, response, &node::fetch);
    });
    server_->Delete(request_path, [this](const auto& request, auto& response) {
        look_up(request, response, &node::cancel);
    });
    server_->Get("/metrics", [this](const auto&, auto& response) {
        response.set_content(
            ask([this] { return core_.metrics(); }), "text/plain");
    });
    server_->Get("/dump", [this](const auto&, auto& response) {
        response.set_content(
            ask([this] { return core_.describe(); }), "application/json");
    });
    refuse_other_methods(*server_);
    server_->set_error_handler(&explain_error);
}

call_result http_face::wait_for(
    const std::function<void(node::call_handler)>& start, duration limit) {
    auto promise = std::make_shared<std::promise<call_result>>();
    std::future<call_result> future = promise->get_future();
    asio::post(context_, [start, promise] {
        start([promise](call_result result) {
            promise->set_value(std::move(result));
        });
    });
    if (future.wait_for(limit + wait_margin) != std::future_status::ready) {
        call_result lost;
        lost.answer.outcome = wire::outcome::unknown;
        lost.answer.reason = "this entry is stopping";
        return lost;
    }
    return future.get();
}

std::string http_face::ask(const std::function<std::string()>& question) {
    auto promise = std::make_shared<std::promise<std::string>>();
    std::future<std::string> future = promise->get_future();
    asio::post(
        context_, [question, promise] { promise->set_value(question()); });
    if (future.wait_for(wait_margin) != std::future_status::ready) {
        return {};
    }
    return future.get();
}

void http_face::submit(
    const httplib::Request& request, httplib::Response& response) {
    const std::string id = request.matches[2];
    if (!check_call(request, response, id)) {
        return;
    }
    zone::call content;
    content.key = bearer_key(request);
    content.request.service = request.matches[1];
    content.request.id = id;
    content.request.deadline_ms = default_deadline_ms;
    if (!is_plain_name(content.request.service)) {
        reject(response, status_bad_request,
            std::string("service") + expected_name);
        return;
    }
    const std::string error = read_request(
        request, to_wire_ms(settings_.longest_deadline), content.request);
    if (!error.empty()) {
        reject(response, status_bad_request, error);
        return;
    }
    const duration deadline = from_wire_ms(content.request.deadline_ms);
    content.asynchronous =
        request.get_header_value("Prefer") == "respond-async" ||
        waiting_ >= settings_.most_waiting;
    ++waiting_;
    // The event loop may get to it after this thread has stopped waiting.
    const auto shared = std::make_shared<zone::call>(std::move(content));
    const call_result result = wait_for(
        [this, shared](node::call_handler handler) {
            core_.submit(std::move(*shared), std::move(handler));
        },
        deadline);
    --waiting_;
    respond(response, id, result);
}

void http_face::look_up(const httplib::Request& request,
    httplib::Response& response, look_up_call call) {
    const std::string key = bearer_key(request);
    const std::string id = request.matches[1];
    if (!check_call(request, response, id)) {
        return;
    }
    respond(response, id,
        wait_for(
            [this, call, key, id](node::call_handler handler) {
                (core_.*call)(key, id, std::move(handler));
            },
            duration(0)));
}

} // namespace dragonflymount::entry_program
