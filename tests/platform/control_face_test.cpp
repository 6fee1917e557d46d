// Tests the scheduler's HTTP servers with a leader of its own: odd requests
// end neither the process nor the use of sound endpoints.
#include "platform/control_face.hpp"
#include "platform/settings.hpp"
#include "programs/scheduler/settings.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>

namespace dragonflymount::platform {
namespace {

using namespace std::chrono_literals;

/// \returns "127.0.0.1:PORT" with a port that is free at present.
std::string free_address(asio::io_context& context) {
    const asio::ip::tcp::acceptor probe(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    return absl::StrCat("127.0.0.1:", probe.local_endpoint().port());
}

std::uint64_t unix_time_ms() {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

class control_face_test : public testing::Test {
protected:
    control_face_test()
        : folder_(std::filesystem::path(testing::TempDir()) /
              absl::StrCat("dfm-face-", ::getpid())) {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        address_ = free_address(context_);
        const auto read = settings::read_text(
            absl::StrCat("[scheduler]\ncontrol = ", address_,
                "\npeer-port = 0\nmetrics = 127.0.0.1:0\nseeds = ", address_,
                "\ndata = ", folder_.string(),
                "\nnew-site = true\nlost-disks = 0\nzones = z,y\n"
                "[vm-service]\naddress = 127.0.0.1:9\nholder = test\n"),
            "test", scheduler_schema());
        EXPECT_TRUE(read.ok()) << read.message();
        scheduler_.emplace(context_,
            scheduler_program::make_scheduler_settings(read.settings));
        face_.emplace(context_, address_, "127.0.0.1:0",
            make_control_limits(read.settings), *scheduler_);
        EXPECT_TRUE(scheduler_->start());
        EXPECT_TRUE(face_->start());
        run_until([this] { return scheduler_->is_ready(); });
        EXPECT_EQ(
            send("PUT", "/api/config", make_configuration()).status, 200U);
    }
    ~control_face_test() override {
        face_->stop();
        scheduler_->stop();
        std::filesystem::remove_all(folder_);
    }
    template <class Predicate>
    void run_until(Predicate holds) {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!holds() && std::chrono::steady_clock::now() < limit) {
            context_.run_for(5ms);
        }
        EXPECT_TRUE(holds());
    }
    runtime::http_response send(const std::string& method,
        const std::string& target, const std::string& body) {
        runtime::http_request request;
        request.method = method;
        request.target = target;
        request.body = body;
        std::optional<result<runtime::http_response>> reply;
        client_.send(address_, request, 15s,
            [&](result<runtime::http_response> received) {
                reply.emplace(std::move(received));
            });
        run_until([&] { return reply.has_value(); });
        EXPECT_TRUE(*reply);
        return *reply ? std::move(**reply) : runtime::http_response{};
    }
    static std::string make_configuration() {
        return R"({"version":1,"routes":[],"services":[{"name":"s1"}]})";
    }
    nlohmann::json make_heartbeat() {
        return {{"service", "s1"}, {"address", "10.0.0.1:80"}, {"zone", "z"},
            {"state", "ready"}, {"born", born_}, {"sequence", ++sequence_},
            {"machine", "m-1"}, {"labels", {"a", "r1"}},
            {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}}}};
    }
    /// \returns whether a report of a sound endpoint is answered with a lease.
    bool gets_lease() {
        const auto reply =
            send("PUT", "/api/instances/i-1", make_heartbeat().dump());
        EXPECT_EQ(reply.status, 200U);
        return nlohmann::json::parse(reply.body).contains("hold_ms");
    }

    asio::io_context context_{1};
    std::filesystem::path folder_;
    std::string address_;
    std::optional<scheduler_program::scheduler> scheduler_;
    std::optional<control_face> face_;
    runtime::http_client client_{context_};
    std::uint64_t born_ = unix_time_ms() - 60'000;
    std::uint64_t sequence_ = 0;
};

// Each comes from the address and the VM of the sound endpoint, and claims to
// have started later.
TEST_F(control_face_test, keeps_a_sound_endpoint_beside_odd_reports) {
    ASSERT_TRUE(gets_lease());
    const std::vector<std::pair<std::string, nlohmann::json>> odd_members = {
        {"service", "nowhere"}, {"service", ""}, {"service", 7}, {"born", 1e18},
        {"born", 18446744073709551615U},
        {"born", unix_time_ms() + 10ULL * 24 * 3600 * 1000},
        {"address", "10.0.0.1:65536"}, {"address", "10.0.0.1"}, {"address", ""},
        {"state", "asleep"}, {"zone", 7}, {"zone", "a\nb"},
        {"capacity", {{"cpu", 4294967295U}}}, {"sequence", -1}};
    for (const auto& [member, value] : odd_members) {
        auto odd = make_heartbeat();
        odd["born"] = born_ + 1000;
        odd[member] = value;
        send("PUT", "/api/instances/i-odd", odd.dump());
        EXPECT_TRUE(gets_lease()) << member << ' ' << value;
    }
}

TEST_F(control_face_test, survives_bodies_that_are_no_reports) {
    ASSERT_TRUE(gets_lease());
    const std::string deep(100'000, '[');
    std::string inside = make_heartbeat().dump();
    inside.replace(inside.size() - 1, 1,
        ",\"x\":" + deep + std::string(100'000, ']') + "}");
    const std::vector<std::string> bodies = {"", "\xff\xfe", "null", "[]", deep,
        inside, std::string(4'000'000, '['), R"({"born":1e999})",
        std::string(1000, '\0')};
    for (const std::string& body : bodies) {
        EXPECT_EQ(send("PUT", "/api/instances/i-2", body).status, 400U)
            << body.substr(0, 20);
        EXPECT_EQ(send("PUT", "/api/config", body).status, 400U);
        EXPECT_EQ(send("POST", "/api/wave-start", body).status, 400U);
    }
    EXPECT_TRUE(gets_lease());
}

TEST_F(control_face_test, refuses_a_report_without_a_usable_name) {
    for (const std::string& name :
        {std::string(), std::string("?x=1"), std::string(5000, 'x')}) {
        EXPECT_EQ(send("PUT", "/api/instances/" + name, make_heartbeat().dump())
                      .status,
            400U)
            << name.substr(0, 20);
    }
    EXPECT_EQ(
        send("GET", "/api/wave-get/99999999999999999999", "").status, 404U);
    EXPECT_TRUE(gets_lease());
}

TEST_F(control_face_test, evacuates_a_zone_and_takes_it_back) {
    ASSERT_TRUE(gets_lease());
    const auto is_evacuated = [&](const char* zone) {
        return scheduler_->agreed().evacuated_zones().contains(
            availability_zone_id(zone));
    };
    EXPECT_EQ(send("DELETE", "/api/evacuations/y", "").status, 200U);
    for (int sent = 0; sent < 2; ++sent) {
        EXPECT_EQ(send("POST", "/api/evacuations/y", "").status, 200U);
        EXPECT_TRUE(is_evacuated("y"));
    }
    EXPECT_FALSE(is_evacuated("z"));
    for (int sent = 0; sent < 2; ++sent) {
        EXPECT_EQ(send("DELETE", "/api/evacuations/y", "").status, 200U);
        EXPECT_FALSE(is_evacuated("y"));
    }
}

TEST_F(control_face_test, refuses_to_evacuate_an_unknown_zone) {
    ASSERT_TRUE(gets_lease());
    for (const std::string& zone : {std::string("x"), std::string()}) {
        const auto reply = send("POST", "/api/evacuations/" + zone, "");
        EXPECT_EQ(reply.status, 400U);
        EXPECT_NE(reply.body.find("no availability zone '" + zone + "'"),
            std::string::npos);
    }
    EXPECT_TRUE(scheduler_->agreed().evacuated_zones().empty());
}

TEST_F(control_face_test, tells_the_state_of_a_wave) {
    EXPECT_EQ(send("POST", "/api/wave-start",
                  R"({"wave":3,"machines":["m-1"],"duration_s":20,"cap":1})")
                  .status,
        200U);
    EXPECT_EQ(
        send("GET", "/api/wave-get/3", "").body, R"({"state":"running"})");
}

} // namespace
} // namespace dragonflymount::platform
