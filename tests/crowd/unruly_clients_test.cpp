// Clients that keep to no limit: trailers without end, many chunked bodies that
// stop just short of their end, and connections without number. The processes
// live on within their bounds, and an ordinary call is answered while the crowd
// is still there.
//
// The settings of the test allow 64 connections, and for requests that are
// being read 2 MiB at the gateway and 10 MiB at the scheduler, whose bodies may
// have 4 MiB.
#include "tests/crowd/small_service.hpp"

namespace dragonflymount::crowd_test {
namespace {

constexpr std::size_t crowd_size = 96;
constexpr std::size_t body_bytes = 250'000;
constexpr std::size_t trailer_bytes = 32'000'000;
constexpr std::size_t idle_crowd_size = 300;
constexpr std::size_t announcing_crowd_size = 16;

// What the settings allow, and 64 KiB for each of 64 connections.
constexpr std::size_t gateway_bound_kb = (2 + 4) * 1024;
constexpr std::size_t scheduler_bound_kb = (10 + 4) * 1024;
// The 64 of the settings, and some for the process itself.
constexpr std::size_t descriptor_bound = 64 + 32;

std::string chunked_head(const std::string& path) {
    return "POST " + path +
        " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// A chunked body without its last chunk.
std::string open_body(std::size_t chunk_bytes) {
    std::ostringstream head;
    head << std::hex << chunk_bytes << "\r\n";
    const std::string chunk =
        head.str() + std::string(chunk_bytes, ' ') + "\r\n";
    std::string body;
    for (std::size_t sent = 0; sent < body_bytes; sent += chunk_bytes) {
        body += chunk;
    }
    return body;
}

class unruly_clients : public small_service {
protected:
    void hold_bodies_open(const std::string& address, std::size_t chunk_bytes) {
        const std::string request =
            chunked_head("/q/0123456789abcdef") + open_body(chunk_bytes);
        for (std::size_t k = 0; k < crowd_size; ++k) {
            join(address).send(request);
        }
    }
    void send_trailers(const std::string& address) {
        unruly_client& client = join(address);
        client.send(chunked_head("/q/0123456789abcdef") + "0\r\n");
        std::string lines;
        while (lines.size() < 100'000) {
            lines += "X-Trailer: value\r\n";
        }
        for (std::size_t sent = 0; sent < trailer_bytes; sent += lines.size()) {
            if (!client.send(lines)) {
                return;
            }
        }
    }
    unsigned submit(const std::string& body) {
        return exchange(callers(), "POST", "/q/" + next_job_id(), body);
    }
    bool answers_in_time() {
        const auto limit = std::chrono::steady_clock::now() + answer_limit;
        while (std::chrono::steady_clock::now() < limit) {
            if (ordinary_call() == 200) {
                return true;
            }
        }
        return false;
    }
    void expect_bounds(pid_t process, std::size_t memory_before_kb) {
        let_it_read(process);
        const std::size_t peak_kb = peak_memory_kb(process);
        EXPECT_GT(peak_kb, 0U) << "the process has ended";
        EXPECT_LE(peak_kb,
            memory_before_kb +
                (process == gateway() ? gateway_bound_kb : scheduler_bound_kb));
        EXPECT_LE(open_descriptors(process), descriptor_bound);
    }
};

TEST_F(unruly_clients, send_trailers_without_end_to_a_gateway) {
    const std::size_t before_kb = peak_memory_kb(gateway());
    send_trailers(callers());
    expect_bounds(gateway(), before_kb);
    EXPECT_EQ(ordinary_call(), 200U);
}

TEST_F(unruly_clients, send_trailers_without_end_to_a_scheduler) {
    const std::size_t before_kb = peak_memory_kb(scheduler());
    send_trailers(control());
    expect_bounds(scheduler(), before_kb);
    EXPECT_EQ(ordinary_query(), 200U);
}

TEST_F(unruly_clients, hold_bodies_of_large_chunks_open_at_a_gateway) {
    const std::size_t before_kb = peak_memory_kb(gateway());
    hold_bodies_open(callers(), 50'000);
    expect_bounds(gateway(), before_kb);
    EXPECT_EQ(ordinary_call(), 200U);
}

TEST_F(unruly_clients, hold_bodies_of_small_chunks_open_at_a_gateway) {
    const std::size_t before_kb = peak_memory_kb(gateway());
    hold_bodies_open(callers(), 8);
    expect_bounds(gateway(), before_kb);
    EXPECT_EQ(ordinary_call(), 200U);
}

TEST_F(unruly_clients, hold_bodies_of_large_chunks_open_at_a_scheduler) {
    const std::size_t before_kb = peak_memory_kb(scheduler());
    hold_bodies_open(control(), 50'000);
    expect_bounds(scheduler(), before_kb);
    EXPECT_EQ(ordinary_query(), 200U);
}

TEST_F(unruly_clients, open_connections_without_number_at_a_gateway) {
    const std::size_t before_kb = peak_memory_kb(gateway());
    for (std::size_t k = 0; k < idle_crowd_size; ++k) {
        join(callers());
    }
    expect_bounds(gateway(), before_kb);
    EXPECT_EQ(ordinary_call(), 200U);
}

TEST_F(unruly_clients, send_many_header_fields_before_open_bodies) {
    const std::size_t before_kb = peak_memory_kb(gateway());
    std::string fields;
    while (fields.size() < 15'000) {
        fields += "a:\r\n";
    }
    const std::string request = "POST /q/0123456789abcdef HTTP/1.1\r\n" +
        fields + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
    for (std::size_t k = 0; k < crowd_size; ++k) {
        join(callers()).send(request);
    }
    expect_bounds(gateway(), before_kb);
    EXPECT_EQ(ordinary_call(), 200U);
}

// Headers of frames that never follow made room for 16 MiB each.
TEST_F(unruly_clients, announce_large_frames_to_a_scheduler) {
    const std::size_t before_kb = peak_memory_kb(scheduler());
    // Length 16 MiB, any checksum.
    const std::string header("\0\0\0\1\0\0\0\0", 8);
    for (std::size_t k = 0; k < announcing_crowd_size; ++k) {
        join(peers()).send(header);
    }
    expect_bounds(scheduler(), before_kb);
    EXPECT_EQ(ordinary_query(), 200U);
}

// A gateway's calls on their way to a leader that doesn't answer.
class unanswered_calls : public unruly_clients {
protected:
    unanswered_calls() { gateway_memory_mb_ = request_mb; }
    static constexpr unsigned request_mb = 8;
};

// Bodies of 250 KB that name 20,000 steps took up many times as much while they
// waited, beside the memory of requests.
TEST_F(unanswered_calls, of_many_steps_stay_within_bounds) {
    constexpr unsigned steps = 20'000;
    // Requests, as many bytes of calls, and one call that is being decoded.
    constexpr std::size_t bound_kb = (2 * request_mb + 4 + 13) * 1024;
    std::string body = R"({"steps":[{"count":1})";
    for (unsigned k = 1; k < steps; ++k) {
        body += R"(,{"count":1})";
    }
    body += "]}";
    const std::size_t before_kb = peak_memory_kb(gateway());
    ::kill(scheduler(), SIGSTOP);
    for (std::size_t k = 0; k < crowd_size; ++k) {
        join(callers()).send("POST /q/" + next_job_id() +
            " HTTP/1.1\r\nHost: h\r\nX-Dragonflymount-Deadline-Ms: 60000\r\n"
            "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    let_it_read(gateway());
    const std::size_t peak_kb = peak_memory_kb(gateway());
    ::kill(scheduler(), SIGCONT);
    EXPECT_GT(peak_kb, 0U) << "the process has ended";
    EXPECT_LE(peak_kb, before_kb + bound_kb);
    EXPECT_TRUE(answers_in_time());
}

// Small requests whose jobs have many tasks.
class accepted_jobs : public unruly_clients {
protected:
    accepted_jobs() { further_scheduler_settings_ = "job-memory = 40\n"; }
    static constexpr unsigned job_mb = 40;
};

TEST_F(accepted_jobs, of_many_tasks_stay_within_bounds) {
    constexpr std::size_t bound_kb = scheduler_bound_kb + job_mb * 1024;
    constexpr unsigned jobs = 150;
    const std::size_t before_kb = peak_memory_kb(scheduler());
    unsigned refused = 0;
    for (unsigned k = 0; k < jobs; ++k) {
        const unsigned status = submit(R"({"steps":[{"count":20000}]})");
        EXPECT_TRUE(status == 200 || status == 503) << status;
        refused += status == 503 ? 1 : 0;
    }
    let_it_read(scheduler());
    const std::size_t peak_kb = peak_memory_kb(scheduler());
    EXPECT_GT(peak_kb, 0U) << "the process has ended";
    EXPECT_LE(peak_kb, before_kb + bound_kb);
    EXPECT_GT(refused, 0U);
    EXPECT_LT(refused, jobs);
    EXPECT_EQ(ordinary_call(), 200U);
}

} // namespace
} // namespace dragonflymount::crowd_test
