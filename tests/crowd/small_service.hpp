// One scheduler and one gateway as processes on loopback addresses, and a crowd
// of clients that keep to no limit.
#ifndef DRAGONFLYMOUNT_TESTS_CROWD_SMALL_SERVICE_HPP
#define DRAGONFLYMOUNT_TESTS_CROWD_SMALL_SERVICE_HPP

#include "tests/cli/program.hpp"

#include <array>
#include <memory>

namespace dragonflymount::crowd_test {

using cli_test::process;
using cli_test::temporary_folder;
using tcp = asio::ip::tcp;

constexpr auto start_limit = std::chrono::seconds(30);
constexpr auto answer_limit = std::chrono::seconds(30);

/// \brief An address that no other draw gives, in this process or another, as
/// long as the object lives. A program that reuses addresses can listen there.
///
/// Its IP number is one that no outgoing connection takes a port of. The socket
/// stays bound and never listens.
class reserved_address {
public:
    explicit reserved_address(asio::io_context& context) : socket_(context) {
        constexpr const char* ip = "127.77.0.1";
        socket_.open(tcp::v4());
        ::fcntl(socket_.native_handle(), F_SETFD, FD_CLOEXEC);
        socket_.set_option(asio::socket_base::reuse_address(true));
        socket_.bind({asio::ip::make_address_v4(ip), 0});
        text_ = ip + (":" + port());
    }
    const std::string& text() const { return text_; }
    std::string port() const {
        return std::to_string(socket_.local_endpoint().port());
    }

private:
    tcp::socket socket_;
    std::string text_;
};

/// \brief A connection whose writes and reads give up after a while.
class unruly_client {
public:
    unruly_client(asio::io_context& context, const std::string& address)
        : socket_(context) {
        const auto colon = address.find(':');
        asio::error_code ignored;
        socket_.connect({asio::ip::make_address(address.substr(0, colon)),
                            static_cast<std::uint16_t>(
                                std::stoi(address.substr(colon + 1)))},
            ignored);
        const timeval limit{answer_limit.count(), 0};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit,
            sizeof(limit));
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
            sizeof(limit));
    }
    /// \returns whether all of \p text was taken.
    bool send(std::string_view text) {
        while (!text.empty()) {
            const ssize_t sent = ::send(socket_.native_handle(), text.data(),
                text.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /// \returns the status of the next reply, or 0 if none came.
    unsigned read_status() {
        std::string head;
        std::array<char, 512> chunk{};
        while (head.find("\r\n") == std::string::npos) {
            const ssize_t count =
                ::recv(socket_.native_handle(), chunk.data(), chunk.size(), 0);
            if (count <= 0) {
                return 0;
            }
            head.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return static_cast<unsigned>(std::stoul(head.substr(head.find(' '))));
    }

private:
    tcp::socket socket_;
};

class small_service : public testing::Test {
protected:
    void SetUp() override {
        start_scheduler();
        start_gateway();
        const auto limit = std::chrono::steady_clock::now() + start_limit;
        while (!configure() || ordinary_call() != 200) {
            ASSERT_LT(std::chrono::steady_clock::now(), limit)
                << cli_test::read_all(folder_.file("s.log"))
                << cli_test::read_all(folder_.file("g.log"));
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    /// \returns the status of the reply to a small job, 0 if there was none.
    unsigned ordinary_call() {
        return exchange(callers(), "POST", "/q/" + next_job_id(),
            R"({"spec":"x","steps":[{"count":1,"cpu":1,"estimate_ms":1}]})");
    }
    unsigned ordinary_query() {
        return exchange(control(), "GET", "/api/config", "");
    }

    unsigned exchange(const std::string& address, const std::string& method,
        const std::string& path, const std::string& body) {
        unruly_client client(context_, address);
        client.send(method + " " + path +
            " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
        return client.read_status();
    }
    std::string next_job_id() {
        std::string digits = std::to_string(++jobs_);
        return std::string(16 - digits.size(), '0') + digits;
    }

    unruly_client& join(const std::string& address) {
        crowd_.push_back(std::make_unique<unruly_client>(context_, address));
        return *crowd_.back();
    }

    // Set before SetUp().
    unsigned gateway_memory_mb_ = 2;
    std::string further_scheduler_settings_;

    const std::string& callers() const { return callers_.text(); }
    const std::string& control() const { return control_.text(); }
    const std::string& peers() const { return peers_.text(); }
    pid_t gateway() const { return gateway_->id(); }
    pid_t scheduler() const { return scheduler_->id(); }

    /// \returns the most memory that the process ever had resident, in KiB, or
    /// 0 if it has ended.
    static std::size_t peak_memory_kb(pid_t process) {
        std::ifstream status("/proc/" + std::to_string(process) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6));
            }
        }
        return 0;
    }
    static std::size_t open_descriptors(pid_t process) {
        const std::filesystem::directory_iterator listed(
            "/proc/" + std::to_string(process) + "/fd");
        return static_cast<std::size_t>(std::distance(
            std::filesystem::begin(listed), std::filesystem::end(listed)));
    }
    /// Lets the process read what the crowd has sent.
    void let_it_read(pid_t process) {
        std::size_t before = 0;
        for (int unchanged = 0; unchanged < 5; ++unchanged) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            const std::size_t now = peak_memory_kb(process);
            unchanged = now == before ? unchanged : 0;
            before = now;
        }
    }

private:
    void start_scheduler() {
        const std::string settings = folder_.write("s.ini",
            "[scheduler]\ncontrol = " + control() + "\npeer-port = " +
                peers_.port() + "\nmetrics = " + scheduler_metrics_.text() +
                "\nseeds = " + control() + "\ndata = " + folder_.make("data") +
                "\nnew-site = true\nlost-disks = 0\n"
                "request-memory = 10\nconnections = 64\n" +
                further_scheduler_settings_ +
                "[vm-service]\naddress = 127.0.0.1:9\nholder = test\n");
        scheduler_ = start("dfm-platform-scheduler", settings, "s");
    }
    void start_gateway() {
        const std::string settings = folder_.write("g.ini",
            "[gateway]\ncallers = " + callers() + "\nreadiness = " +
                readiness_.text() + "\nmetrics = " + gateway_metrics_.text() +
                "\nseeds = " + control() + "\npeer-port = " + peers_.port() +
                "\nrequest-memory = " + std::to_string(gateway_memory_mb_) +
                "\nconnections = 64\n");
        gateway_ = start("dfm-platform-gateway", settings, "g");
    }
    std::unique_ptr<process> start(const std::string& program,
        const std::string& settings, const std::string& name) {
        return std::make_unique<process>(program,
            std::vector<std::string>{"--config", settings},
            folder_.file(name + ".out"), folder_.file(name + ".log"));
    }
    bool configure() {
        return exchange(control(), "PUT", "/api/config",
                   R"({"version":1,"routes":[{"name":"q","host":"h",)"
                   R"("path_prefix":"/q/","service":"s","timeout_ms":3000,)"
                   R"("public":true}],"services":[{"name":"s"}]})") == 200;
    }

    asio::io_context context_;
    temporary_folder folder_;
    reserved_address control_{context_};
    reserved_address peers_{context_};
    reserved_address callers_{context_};
    reserved_address readiness_{context_};
    reserved_address scheduler_metrics_{context_};
    reserved_address gateway_metrics_{context_};
    std::unique_ptr<process> scheduler_;
    std::unique_ptr<process> gateway_;
    std::vector<std::unique_ptr<unruly_client>> crowd_;
    unsigned jobs_ = 0;
};

} // namespace dragonflymount::crowd_test

#endif
