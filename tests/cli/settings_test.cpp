// Every program refuses a bad settings file with its place and status 2.
#include "tests/cli/program.hpp"

namespace dragonflymount::cli_test {
namespace {

struct bad_file {
    std::string name;
    std::string program;
    std::string text;
    /// After the file's path.
    std::string expected;
};

class refused_files : public testing::TestWithParam<bad_file> {};

TEST_P(refused_files, end_the_program_with_status_two) {
    const temporary_folder folder;
    const std::string path = folder.write("p.ini", GetParam().text);
    const ended call = run(GetParam().program, {"--config", path});
    EXPECT_EQ(call.status, 2);
    EXPECT_NE(call.errors.find(path + GetParam().expected), std::string::npos)
        << call.errors;
}

const std::string entry = "[entry]\nname = e1\nzone = z1\n"
                          "listen = 127.0.0.1:0\nhttp = 127.0.0.1:0\n"
                          "replicas = 127.0.0.1:1\n";
const std::string control = "[replica]\nname = c1\nlisten = 127.0.0.1:0\n"
                            "members = c1@z1@127.0.0.1:1\ndata = .\n";
const std::string worker = "[worker]\nzone = z1\nentries = 127.0.0.1:1\n";

INSTANTIATE_TEST_SUITE_P(programs, refused_files,
    testing::Values(bad_file{"entry_waiting_above_threads", "dfm-entry",
                        entry + "threads = 8\nwaiting = 9\n",
                        ":8: 'waiting' expects less than 'threads'"},
        bad_file{"entry_waiting_equal_to_threads", "dfm-entry",
            entry + "threads = 8\nwaiting = 8\n",
            ":8: 'waiting' expects less than"},
        bad_file{"entry_short_task_lease", "dfm-entry",
            entry + "task-lease = 1s\n",
            ":7: 'task-lease' expects at least 6000ms, found '1s'"},
        bad_file{"entry_replicas", "dfm-entry",
            "[entry]\nname = e1\nzone = z1\nlisten = 127.0.0.1:0\n"
            "http = 127.0.0.1:0\nreplicas = 127.0.0.1:1,c2\n",
            ":6: 'replicas' expects IP numbers and ports"},
        bad_file{"entry_unknown_name", "dfm-entry", entry + "thread = 9\n",
            ":7: unknown setting 'thread'"},
        bad_file{"control_heartbeat", "dfm-control",
            control + "election-timeout = 1s\nheartbeat = 1s\n",
            ":7: 'heartbeat' expects at most half of 'election-timeout'"},
        bad_file{"control_short_election_timeout", "dfm-control",
            control + "heartbeat = 150ms\nelection-timeout = 200ms\n",
            ":6: 'heartbeat' expects at most half of 'election-timeout'"},
        bad_file{"control_members", "dfm-control",
            "[replica]\nname = c1\nlisten = 127.0.0.1:0\nmembers = c1@z1\n"
            "data = .\n",
            ":4: 'members' expects name@zone@IP:port"},
        bad_file{"control_member_twice", "dfm-control",
            "[replica]\nname = c1\nlisten = 127.0.0.1:0\n"
            "members = c1@z1@127.0.0.1:1,c1@z2@127.0.0.1:2\ndata = .\n",
            ":4: 'members' expects name@zone@IP:port, each name once"},
        bad_file{"worker_vms", "dfm-worker", worker + "vms = a@r,a@r\n",
            ":4: 'vms' expects VM@rack, each VM once"},
        bad_file{"worker_unwritable_folder", "dfm-worker",
            worker + "vms = a@r\njournal = /proc/dfm.journal\n",
            ":5: 'journal' expects a file in a folder that exists and is "
            "writable"}),
    [](const auto& info) { return info.param.name; });

TEST(programs, refuse_a_missing_file) {
    for (const std::string program :
        {"dfm-entry", "dfm-control", "dfm-worker"}) {
        EXPECT_EQ(run(program, {"--config", "/nowhere/p.ini"}).status, 2);
        EXPECT_EQ(run(program, {}).status, 2);
    }
}

} // namespace
} // namespace dragonflymount::cli_test
