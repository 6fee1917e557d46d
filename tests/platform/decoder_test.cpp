// Tests the decoders of the platform adapter with valid documents, invalid
// documents and arbitrary bytes.
#include "platform/endpoint_api.hpp"
#include "platform/job_api.hpp"
#include "platform/operator_api.hpp"
#include "platform/vm_service.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace dragonflymount::platform {
namespace {

nlohmann::json make_configuration() {
    return {{"version", 7},
        {"routes",
            {{{"name", "r1"}, {"host", "h"}, {"path_prefix", "/a/"},
                 {"timeout_ms", 3000}, {"target_latency_ms", 3600},
                 {"service", "s1"}, {"max_attempts", 2}, {"stretch", 1.6}},
                {{"name", "r2"}, {"host", "h"}, {"path_prefix", "/b/"},
                    {"timeout_ms", 3000}, {"service", "s1"},
                    {"public", true}}}},
        {"services", {{{"name", "s1"}, {"admission_check", true}}}},
        {"tenants",
            {{{"name", "t1"}, {"api_keys", {"k1", "k2"}}, {"weight", 2},
                 {"cap", {{"cpu", 100}, {"mem_mb", 200}, {"gpu", 0}}}},
                {{"name", "t2"}, {"api_keys", {"k3"}}}}}};
}

bool is_valid(const nlohmann::json& document) {
    return static_cast<bool>(decode_catalogue(document.dump()));
}

TEST(configuration, is_read_in_full) {
    const auto read = decode_catalogue(make_configuration().dump());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->version, 7U);
    ASSERT_EQ(read->queues.size(), 2U);
    EXPECT_EQ(read->queues[0]->pool, "s1");
    EXPECT_EQ(read->queues[0]->objective_ms, 3600U);
    EXPECT_TRUE(read->queues[1]->open);
    EXPECT_TRUE(read->pools[0]->guarded);
    EXPECT_EQ(read->teams[0]->cpu_limit, 100U);
    EXPECT_EQ(nlohmann::json::parse(read->source), make_configuration());
}

TEST(configuration, is_refused_if_a_route_names_an_unknown_service) {
    auto document = make_configuration();
    document["routes"][1]["service"] = "nowhere";
    EXPECT_FALSE(is_valid(document));
}

TEST(configuration, is_refused_if_two_routes_share_host_and_prefix) {
    auto document = make_configuration();
    document["routes"][1]["path_prefix"] = "/a/";
    EXPECT_FALSE(is_valid(document));
}

TEST(configuration, is_refused_without_a_timeout) {
    auto document = make_configuration();
    document["routes"][0]["timeout_ms"] = 0;
    EXPECT_FALSE(is_valid(document));
    document["routes"][0].erase("timeout_ms");
    EXPECT_FALSE(is_valid(document));
}

TEST(configuration, is_refused_if_two_teams_share_a_key) {
    auto document = make_configuration();
    document["tenants"][1]["api_keys"] = {"k2"};
    EXPECT_FALSE(is_valid(document));
}

TEST(configuration, is_refused_if_cut_short_anywhere) {
    const std::string text = make_configuration().dump();
    for (std::size_t size = 0; size < text.size(); ++size) {
        EXPECT_FALSE(decode_catalogue(text.substr(0, size))) << size;
    }
}

TEST(configuration, is_refused_with_members_of_another_type) {
    for (const char* member : {"version", "routes", "services"}) {
        auto document = make_configuration();
        document[member] = "text";
        EXPECT_FALSE(is_valid(document)) << member;
        document.erase(member);
        EXPECT_FALSE(is_valid(document)) << member;
    }
}

nlohmann::json make_heartbeat() {
    return {{"service", "s1"}, {"address", "10.0.0.1:80"}, {"zone", "z"},
        {"state", "ready"}, {"born", 1700000000000}, {"sequence", 4},
        {"machine", "m-1"}, {"labels", {"a", "r1"}},
        {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}},
        {"running", {{"5c0e7a21d94b36f8.0.1.17", 2, "saved", 41, 12.5}}},
        {"ended", {{58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""}}}};
}

TEST(heartbeat, is_read_in_full) {
    const auto read = decode_report("i-1", make_heartbeat().dump());
    ASSERT_TRUE(read) << read.error().message();
    EXPECT_EQ(read->life.endpoint, "i-1");
    EXPECT_EQ(read->vm, vm_id("m-1"));
    ASSERT_EQ(read->running.size(), 1U);
    EXPECT_EQ(read->running[0].run.task.job.value(), 0x5c0e7a21d94b36f8U);
    EXPECT_EQ(read->running[0].run.task.index, 17U);
    EXPECT_EQ(read->running[0].percent, 41U);
    ASSERT_EQ(read->ended.size(), 1U);
    EXPECT_EQ(read->ended[0].number, 58U);
    EXPECT_EQ(read->ended[0].how, wire::run_end::done);
}

TEST(heartbeat, with_missing_or_invalid_members_is_refused) {
    for (const char* member :
        {"service", "state", "born", "sequence", "capacity", "address"}) {
        auto document = make_heartbeat();
        document.erase(member);
        EXPECT_FALSE(decode_report("i-1", document.dump())) << member;
        document[member] = nlohmann::json::array({1});
        EXPECT_FALSE(decode_report("i-1", document.dump())) << member;
    }
    auto document = make_heartbeat();
    document["state"] = "asleep";
    EXPECT_FALSE(decode_report("i-1", document.dump()));
    document = make_heartbeat();
    document["ended"][0][3] = "vaporised";
    EXPECT_FALSE(decode_report("i-1", document.dump()));
}

RC_GTEST_PROP(decoders, handle_arbitrary_bytes, (const std::string& text)) {
    decode_catalogue(text);
    decode_report("i-1", text);
    decode_wave(text);
    decode_vm_page(text);
    runtime::http_request request;
    request.method = "POST";
    request.target = text;
    request.body = text;
    decode_call(request);
}

RC_GTEST_PROP(decoders, handle_heartbeats_with_one_byte_changed,
    (std::uint16_t place, char value)) {
    std::string text = make_heartbeat().dump();
    text[place % text.size()] = value;
    decode_report("i-1", text);
}

runtime::http_request make_submission(const nlohmann::json& body) {
    runtime::http_request request;
    request.method = "POST";
    request.target = "/a/5c0e7a21d94b36f8";
    request.headers = {{"Host", "h:80"}, {"authorization", "Bearer k1"}};
    request.body = body.dump();
    return request;
}

TEST(submission, is_read_in_full) {
    const auto call = decode_call(make_submission({{"spec", "text"},
        {"steps",
            {{{"count", 4}, {"cpu", 500}},
                {{"count", 2}, {"depends_on", {0}}, {"gang", true}}}}}));
    ASSERT_TRUE(call);
    EXPECT_EQ(call->host, "h");
    EXPECT_EQ(call->key, "k1");
    EXPECT_EQ(call->spec->steps[0]->cpu_milli, 500U);
    EXPECT_EQ(call->spec->steps[1]->depends_on, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(call->spec->steps[1]->gang);
}

TEST(submission, is_refused_if_steps_or_payload_are_invalid) {
    EXPECT_FALSE(decode_call(make_submission({{"spec", "text"}})));
    EXPECT_FALSE(decode_call(
        make_submission({{"steps", {{{"count", 1}, {"depends_on", {0}}}}}})));
    EXPECT_FALSE(decode_call(make_submission({{"steps", {{{"count", 0}}}}})));
    EXPECT_FALSE(decode_call(make_submission({{"steps", {{{"count", -3}}}}})));
    EXPECT_FALSE(decode_call(make_submission(
        {{"spec", std::string(4001, 'x')}, {"steps", {{{"count", 1}}}}})));
}

TEST(reply, of_an_unavailable_gateway_has_retry_after) {
    const auto reply = encode_unavailable(std::chrono::milliseconds(1200));
    EXPECT_EQ(reply.status, 503U);
    EXPECT_EQ(reply.header("retry-after"), "2");
}

TEST(orders, without_a_lease_omit_hold_ms) {
    jobs::endpoint_orders orders;
    const auto body = nlohmann::json::parse(encode_orders(orders, "").body);
    EXPECT_FALSE(body.contains("hold_ms"));
    orders.lease = std::chrono::seconds(4);
    const auto leased = nlohmann::json::parse(encode_orders(orders, "").body);
    EXPECT_EQ(leased["hold_ms"], 4000);
}

TEST(vm_verdicts, distinguish_refusal_reasons) {
    const auto refusal = [](const char* reason) {
        return decode_verdict(
            {409, {}, nlohmann::json{{"reason", reason}}.dump()});
    };
    EXPECT_EQ(refusal("fence"), jobs::vm_verdict::fenced);
    EXPECT_EQ(refusal("busy"), jobs::vm_verdict::busy);
    EXPECT_EQ(refusal("wave"), jobs::vm_verdict::unknown);
    EXPECT_EQ(decode_verdict({503, {}, ""}), jobs::vm_verdict::unclear);
}

} // namespace
} // namespace dragonflymount::platform
