// Tests the decoders of the platform adapter with documents that another
// writer may have left: deeply nested, with numbers out of range, with
// unusable names, or with bytes that are no text.
#include "platform/endpoint_api.hpp"
#include "platform/job_api.hpp"
#include "platform/log_text.hpp"
#include "platform/operator_api.hpp"
#include "platform/settings.hpp"
#include "platform/vm_service.hpp"
#include "programs/scheduler/settings.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sys/resource.h>

#include <cstdlib>
#include <random>

namespace dragonflymount::platform {
namespace {

constexpr std::size_t control_body_bytes = 4U << 20U;

nlohmann::json make_heartbeat() {
    return {{"service", "s1"}, {"address", "10.0.0.1:80"}, {"zone", "z"},
        {"state", "ready"}, {"born", 1700000000000}, {"sequence", 4},
        {"machine", "m-1"}, {"labels", {"a", "r1"}}, {"clock_ms", 482113},
        {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}},
        {"running", {{"5c0e7a21d94b36f8.0.1.17", 2, "saved", 41, 12.5}}},
        {"ended", {{58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""}}}};
}

nlohmann::json make_configuration() {
    return {{"version", 7},
        {"routes",
            {{{"name", "r1"}, {"host", "h"}, {"path_prefix", "/a/"},
                {"timeout_ms", 3000}, {"target_latency_ms", 3600},
                {"service", "s1"}, {"max_attempts", 2}, {"stretch", 1.6},
                {"advice",
                    {{"decide_ms", 5}, {"each_ms", 1}, {"valid_ms", 9}}}}}},
        {"services", {{{"name", "s1"}, {"admission_check", true}}}},
        {"tenants",
            {{{"name", "t1"}, {"api_keys", {"k1", "k2"}}, {"weight", 2},
                {"cap", {{"cpu", 100}, {"mem_mb", 200}, {"gpu", 0}}}}}}};
}

nlohmann::json make_job() {
    return {{"spec", "text"}, {"repeats", 2}, {"start_at_ms", 5},
        {"interval_ms", 7},
        {"steps",
            {{{"count", 4}, {"cpu", 500}, {"mem_mb", 9}, {"estimate_ms", 900}},
                {{"count", 2}, {"depends_on", {0}}, {"gang", true}}}}};
}

nlohmann::json make_vm(const std::string& name) {
    return {{"machine", name}, {"pool", "s1"}, {"state", "up"}, {"zone", "z"},
        {"labels", {"a", "r1"}}, {"id", "i-" + name},
        {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}}};
}

nlohmann::json make_list() {
    return {
        {"machines", {make_vm("m-1"), make_vm("m-2")}}, {"next_token", "n"}};
}

nlohmann::json make_wave() {
    return {{"wave", 1}, {"machines", {"m-1", "m-2"}}, {"duration_s", 20},
        {"cap", 1}};
}

runtime::http_request make_submission(std::string body) {
    runtime::http_request request;
    request.method = "POST";
    request.target = "/a/5c0e7a21d94b36f8";
    request.headers = {{"Host", "h:80"}};
    request.body = std::move(body);
    return request;
}

void decode_all(const std::string& text) {
    decode_report("i-1", text);
    decode_catalogue(text);
    decode_wave(text);
    decode_vm_page(text);
    decode_verdict({409, {}, text});
    decode_call(make_submission(text));
}

std::vector<std::string> valid_documents() {
    return {make_heartbeat().dump(), make_configuration().dump(),
        make_job().dump(), make_list().dump(), make_wave().dump(),
        R"({"reason":"fence"})"};
}

std::string repeat(const std::string& part, std::size_t bytes) {
    std::string text;
    while (text.size() + part.size() <= bytes) {
        text += part;
    }
    return text;
}

/// \returns the peak of this process's memory so far, in bytes.
std::size_t peak_memory() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<std::size_t>(usage.ru_maxrss) << 10U;
}

// The child's memory may grow by 15 times the body, an eighth of what the
// platform gives a process with some bodies at once.
void expect_bounded_memory(const std::string& text) {
    constexpr std::size_t most_growth = 60U << 20U;
    EXPECT_EXIT(
        {
            const std::size_t before = peak_memory();
            decode_all(text);
            const std::size_t growth = peak_memory() - before;
            std::cerr << "grew by " << (growth >> 20U) << " MB";
            std::exit(growth < most_growth ? 0 : 1);
        },
        testing::ExitedWithCode(0), "")
        << text.substr(0, 20);
}

TEST(nesting, of_100_000_levels_is_refused_everywhere) {
    const std::string lists =
        std::string(100'000, '[') + std::string(100'000, ']');
    const std::string objects =
        repeat("{\"a\":", 500'000) + "1" + std::string(100'000, '}');
    for (const std::string& deep : {lists, objects}) {
        decode_all(deep);
        for (const std::string& valid : valid_documents()) {
            const std::string text = "{\"x\":" + deep + "," + valid.substr(1);
            decode_all(text);
            EXPECT_FALSE(decode_report("i-1", text));
            EXPECT_FALSE(decode_catalogue(text));
            EXPECT_FALSE(decode_wave(text));
            EXPECT_FALSE(decode_vm_page(text));
            EXPECT_FALSE(decode_call(make_submission(text)));
        }
    }
}

TEST(nesting, of_a_whole_body_does_not_use_up_the_memory) {
    expect_bounded_memory(std::string(control_body_bytes, '['));
    expect_bounded_memory(repeat("{\"\":", control_body_bytes));
}

TEST(many_values, in_a_body_do_not_use_up_the_memory) {
    for (const char* part : {"[],", "{},", "{\"\":0},", "0,"}) {
        expect_bounded_memory(
            "{\"x\":[" + repeat(part, control_body_bytes - 20) + "0]}");
        expect_bounded_memory(
            "{\"machines\":[" + repeat(part, control_body_bytes - 20) + "0]}");
    }
}

TEST(many_values, of_a_long_heartbeat_are_read) {
    auto document = make_heartbeat();
    for (int k = 0; k < 50'000; ++k) {
        document["ended"].push_back(
            {k + 59, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""});
    }
    ASSERT_LT(document.dump().size(), control_body_bytes);
    const auto read = decode_report("i-1", document.dump());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->ended.size(), 50'001U);
}

/// Replaces the value of a member, wherever the member stands in the text.
std::string with_value(
    const nlohmann::json& document, const std::string& path, const char* text) {
    nlohmann::json changed = document;
    changed[nlohmann::json::json_pointer(path)] = "PLACE";
    std::string made = changed.dump();
    const std::string place = "\"PLACE\"";
    return made.replace(made.find(place), place.size(), text);
}

// No unsigned number of 64 bits; the first two are the nearest above them.
const std::vector<const char*> numbers_too_large = {"18446744073709551616.0",
    "18446744073709551616", "1e20", "1e300", "1e999", "-1", "-1e300", "0.5"};

TEST(numbers, out_of_range_are_refused) {
    for (const char* number : numbers_too_large) {
        for (const char* path : {"/born", "/sequence", "/clock_ms",
                 "/ended/0/0", "/ended/0/2", "/running/0/1", "/capacity/cpu",
                 "/drain_remaining_ms", "/warmup_left_ms"}) {
            EXPECT_FALSE(decode_report(
                "i-1", with_value(make_heartbeat(), path, number)))
                << path << ' ' << number;
        }
        for (const char* path :
            {"/version", "/routes/0/timeout_ms", "/routes/0/max_attempts",
                "/routes/0/advice/each_ms", "/tenants/0/cap/cpu"}) {
            EXPECT_FALSE(decode_catalogue(
                with_value(make_configuration(), path, number)))
                << path << ' ' << number;
        }
        for (const char* path : {"/repeats", "/start_at_ms", "/interval_ms",
                 "/steps/0/count", "/steps/0/cpu", "/steps/1/depends_on/0",
                 "/steps/0/anti_affinity", "/steps/0/target_ms"}) {
            EXPECT_FALSE(decode_call(
                make_submission(with_value(make_job(), path, number))))
                << path << ' ' << number;
        }
        EXPECT_FALSE(decode_wave(with_value(make_wave(), "/wave", number)))
            << number;
        EXPECT_FALSE(decode_wave(with_value(make_wave(), "/cap", number)))
            << number;
    }
    EXPECT_FALSE(decode_wave(with_value(make_wave(), "/duration_s", "1e300")));
}

TEST(numbers, of_32_bits_are_compared_exactly) {
    const auto read = decode_report(
        "i-1", with_value(make_heartbeat(), "/ended/0/2", "4294967295.0"));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->ended[0].run.run, 4294967295U);
    EXPECT_FALSE(decode_report(
        "i-1", with_value(make_heartbeat(), "/ended/0/2", "4294967296")));
    EXPECT_FALSE(decode_report(
        "i-1", with_value(make_heartbeat(), "/ended/0/2", "4294967296.0")));
}

TEST(configuration, with_a_fraction_out_of_range_is_refused) {
    for (const char* number : {"-1", "1e300", "18446744073709551615"}) {
        EXPECT_FALSE(decode_catalogue(
            with_value(make_configuration(), "/routes/0/stretch", number)))
            << number;
        EXPECT_FALSE(decode_catalogue(
            with_value(make_configuration(), "/tenants/0/weight", number)))
            << number;
    }
}

// The limits are compared with signed amounts.
TEST(configuration, with_the_highest_cap_has_no_negative_limit) {
    const auto read = decode_catalogue(with_value(
        make_configuration(), "/tenants/0/cap/cpu", "18446744073709551615"));
    ASSERT_TRUE(read);
    EXPECT_GT(static_cast<std::int64_t>(read->teams[0]->cpu_limit), 0);
}

TEST(job, with_more_tasks_than_memory_is_refused) {
    for (const char* count : {"20001", "4294967295"}) {
        EXPECT_FALSE(decode_call(
            make_submission(with_value(make_job(), "/steps/0/count", count))));
    }
    auto many_steps = make_job();
    for (int k = 0; k < 3; ++k) {
        many_steps["steps"].push_back({{"count", 9'999}});
    }
    EXPECT_FALSE(decode_call(make_submission(many_steps.dump())));
}

TEST(job, that_depends_on_itself_or_a_later_step_is_refused) {
    for (const char* step : {"1", "2", "4294967295"}) {
        EXPECT_FALSE(decode_call(make_submission(
            with_value(make_job(), "/steps/1/depends_on/0", step))));
    }
}

TEST(heartbeat, without_a_usable_address_is_refused) {
    for (const char* address : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0",
             "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1",
             "10.0.0.1:8x", ":80", "10.0.0.1\n:80"}) {
        auto document = make_heartbeat();
        document["address"] = address;
        EXPECT_FALSE(decode_report("i-1", document.dump())) << address;
    }
    auto document = make_heartbeat();
    document["address"] = "10.0.0.1:65535";
    EXPECT_TRUE(decode_report("i-1", document.dump()));
}

TEST(heartbeat, with_an_unusable_name_is_refused) {
    const std::vector<std::string> names = {
        "", "a\nE999 forged", std::string("a\0b", 3), std::string(5000, 'x')};
    for (const std::string& name : names) {
        EXPECT_FALSE(decode_report(name, make_heartbeat().dump())) << name;
        for (const char* member : {"service", "zone", "machine"}) {
            if (name.empty() && member != std::string("service")) {
                continue;
            }
            auto document = make_heartbeat();
            document[member] = name;
            EXPECT_FALSE(decode_report("i-1", document.dump()))
                << member << ' ' << name;
        }
    }
}

TEST(heartbeat, with_more_than_any_machine_has_is_refused) {
    for (const char* path :
        {"/capacity/cpu", "/capacity/mem_mb", "/capacity/gpu"}) {
        EXPECT_FALSE(decode_report(
            "i-1", with_value(make_heartbeat(), path, "4294967295")))
            << path;
    }
}

// Bytes that are no UTF-8 must not get into a document that is encoded again:
// the encoder throws on them.
TEST(bytes, that_are_no_text_are_refused_everywhere) {
    for (const std::string& valid : valid_documents()) {
        for (const char* bytes : {"\xff", "\xc3", "\xed\xa0\x80", "\xc0\x80"}) {
            const std::string text =
                "{\"x\":\"" + std::string(bytes) + "\"," + valid.substr(1);
            decode_all(text);
            EXPECT_FALSE(decode_report("i-1", text));
            EXPECT_FALSE(decode_catalogue(text));
            EXPECT_FALSE(decode_call(make_submission(text)));
        }
    }
}

TEST(bytes, of_an_error_are_encoded) {
    wire::JobReplyT reply;
    reply.status = wire::job_status::malformed;
    reply.detail = "\xff";
    EXPECT_NO_THROW(encode_reply(reply));
    jobs::endpoint_orders orders;
    orders.starts.push_back({{}, "\xff", "\xc3", "\xfe"});
    EXPECT_NO_THROW(encode_orders(orders, ""));
}

/// Entries that name no VM to use.
std::vector<std::string> odd_entries() {
    const std::string deep =
        std::string(100'000, '[') + std::string(100'000, ']');
    return {"7", "null", "\"text\"", "[]", "{}", R"({"machine":7})",
        R"({"machine":""})", R"({"machine":"a\nb"})", "{\"machine\":\"\xff\"}",
        R"({"machine":"x","capacity":{"cpu":1e999}})", deep,
        R"({"machine":"x","labels":)" + deep + "}",
        "{\"machine\":\"" + std::string(5000, 'x') + "\"}",
        R"({"machine":"x","next_token":{"machines":[)" + deep + "]}}"};
}

TEST(vm_list, with_an_odd_entry_is_read) {
    const std::string first = make_vm("m-1").dump();
    const std::string last = make_vm("m-2").dump();
    for (const std::string& odd : odd_entries()) {
        std::string text = "{ \"machines\" : [";
        text += first;
        text += " , ";
        text += odd;
        text += ',';
        text += last;
        text += R"(],"next_token":"n"})";
        const auto page = decode_vm_page(text);
        ASSERT_TRUE(page) << odd.substr(0, 80);
        ASSERT_EQ(page->vms.size(), 2U) << odd.substr(0, 80);
        EXPECT_EQ(page->vms[0].vm, vm_id("m-1"));
        EXPECT_EQ(page->vms[1].vm, vm_id("m-2"));
        EXPECT_EQ(page->next, "n");
    }
}

TEST(vm_list, without_entries_is_read) {
    for (const char* text : {"{}", R"({"machines":[]})", R"({"machines": [ ]})",
             R"({"machines":null})", R"({"next_token":""})"}) {
        const auto page = decode_vm_page(text);
        ASSERT_TRUE(page) << text;
        EXPECT_TRUE(page->vms.empty()) << text;
    }
    for (const char* text :
        {"", "[", "{", R"({"machines":[)", R"({"machines":[{})",
            R"({"machines":[}]})", R"({"machines":7})"}) {
        EXPECT_FALSE(decode_vm_page(text)) << text;
    }
}

TEST(vm_list, with_an_unreadable_token_is_refused) {
    for (const char* token : {"7", "[]", "\"a b\\r\\nHost: x\""}) {
        EXPECT_FALSE(decode_vm_page(
            R"({"machines":[],"next_token":)" + std::string(token) + "}"))
            << token;
    }
}

class mutation {
public:
    explicit mutation(std::uint32_t seed) : random_(seed) {}

    std::string apply(std::string text) {
        const std::size_t changes = 1 + random_() % 4;
        for (std::size_t k = 0; k < changes && !text.empty(); ++k) {
            change(text);
        }
        return text;
    }

private:
    void change(std::string& text) {
        static const std::vector<std::string> parts = {"[", "]", "{", "}", ",",
            ":", "\"", "\\", "null", "-1", "1e999", "18446744073709551616.0",
            "18446744073709551615", "4294967295", "\xff", "\\u0000", "\n",
            "65536", "0", "\"\"", std::string(200, '[')};
        const std::size_t place = random_() % text.size();
        const std::size_t size = random_() % 12;
        switch (random_() % 4) {
        case 0:
            text[place] = static_cast<char>(random_());
            break;
        case 1:
            text.erase(place, size);
            break;
        case 2:
            text.insert(place, text.substr(random_() % text.size(), size));
            break;
        default:
            replace_value(text, place, parts[random_() % parts.size()]);
        }
    }
    // Replaces what stands between two separators, so that the document often
    // stays valid.
    static void replace_value(
        std::string& text, std::size_t place, const std::string& part) {
        constexpr const char* separators = ",:[]{}";
        const std::size_t begin = text.find_first_of(separators, place);
        if (begin == std::string::npos) {
            return;
        }
        const std::size_t end = text.find_first_of(separators, begin + 1);
        text.replace(begin + 1, end - begin - 1, part);
    }

    std::mt19937 random_;
};

TEST(log_text, text_stays_on_one_line) {
    EXPECT_EQ(log_text("a\"b\\c\nE999 forged"), R"("a\"b\\c\x0aE999 forged")");
    EXPECT_LT(log_text(std::string(100'000, 'x')).size(), 400U);
}

TEST(mutated_documents, end_no_decoder) {
    const char* chosen = std::getenv("DFM_DECODER_SEED");
    const auto seed = chosen == nullptr
        ? 1U
        : static_cast<std::uint32_t>(std::strtoul(chosen, nullptr, 10));
    SCOPED_TRACE(seed);
    mutation mutate(seed);
    const auto documents = valid_documents();
    for (int round = 0; round < 4'000; ++round) {
        for (const std::string& valid : documents) {
            decode_all(mutate.apply(valid));
        }
    }
}

// The settings file may change while the process runs.
TEST(mutated_settings, end_no_reader) {
    const std::string valid =
        "[scheduler]\ncontrol = 127.0.0.1:1\npeer-port = 2\n"
        "metrics = 127.0.0.1:3\nseeds = 127.0.0.1:1,127.0.0.1:4\ndata = /tmp\n"
        "new-site = false\nlost-disks = 1\nlongest-lease = 9000ms\n"
        "[vm-service]\naddress = 127.0.0.1:5\nholder = h\n"
        "move-time = 1.5s\norders-per-second = 64\n";
    ASSERT_TRUE(settings::read_text(valid, "test", scheduler_schema()).ok());
    mutation mutate(1);
    for (int round = 0; round < 1'000; ++round) {
        const std::string text = mutate.apply(valid);
        const auto read = settings::read_text(text, "test", scheduler_schema());
        if (read.ok()) {
            scheduler_program::make_scheduler_settings(read.settings);
            make_vm_settings(read.settings);
        }
        settings::read_text(text, "test", gateway_schema());
    }
}

} // namespace
} // namespace dragonflymount::platform
