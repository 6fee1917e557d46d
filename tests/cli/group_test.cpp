// What operators are told of a group of schedulers, and "replica reform".
#include "dragonflymount/runtime.hpp"
#include "programs/operator/replicas/group_status.hpp"
#include "tests/cli/small_site.hpp"

namespace dragonflymount::cli_test {
namespace {

using nlohmann::json;
using operator_program::assess;
using operator_program::replica_answer;
using operator_program::replica_state;

/// Three voters, c1 to c3, of identity 1.
json members() {
    json list = json::array();
    for (const char* name : {"c1", "c2", "c3"}) {
        list.push_back(
            {{"replica", name}, {"address", std::string(name) + ":1"},
                {"identity", 1}, {"voter", true}});
    }
    return list;
}

replica_answer silent(const std::string& name) {
    return {name + ":1", nullptr, "refused"};
}

replica_answer answer(
    const std::string& name, int identity, int term, int last) {
    return {name + ":1",
        {{"replica", name}, {"identity", identity}, {"disk", "sound"},
            {"last_term", term}, {"last_index", last}, {"leads", false},
            {"members", last == 0 ? json::array() : members()}},
        {}};
}

bool has(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

// Guards against advice that costs records: a silent voter may hold them.
TEST(group_status, names_the_way_on_beside_silent_voters) {
    const auto group =
        assess({answer("c1", 1, 4, 70), answer("c2", 9, 0, 0), silent("c3")});
    EXPECT_FALSE(group.has_leader());
    EXPECT_EQ(group.rows[group.newest].name, "c1");
    EXPECT_EQ(group.voters_in(replica_state::new_identity), words{"c2"});
    EXPECT_TRUE(has(group.verdict, "Start c3 if")) << group.verdict;
    EXPECT_TRUE(has(
        group.verdict, "replica reform --replicas c1:1 --without c3 --author"))
        << group.verdict;
}

// Guards against waiting for a leader that can't commit: with a quorum of three
// and one voter of three silent, two don't suffice, and a silent learner blocks
// an election without the lost.
TEST(group_status, counts_seats_and_learners) {
    auto short_of_one = answer("c1", 1, 4, 70);
    short_of_one.content["commit_quorum"] = 3;
    EXPECT_TRUE(has(
        assess({short_of_one, answer("c2", 1, 4, 70), silent("c3")}).verdict,
        "--without c3 "));
    auto learner = answer("c1", 1, 4, 70);
    learner.content["members"][2]["voter"] = false;
    EXPECT_TRUE(
        has(assess({learner, answer("c2", 9, 0, 0), silent("c3")}).verdict,
            "--without c3 "));
}

// Guards against a call for a reform where none is needed.
TEST(group_status, awaits_a_group_that_goes_on_by_itself) {
    EXPECT_TRUE(has(assess({answer("c2", 9, 0, 0), answer("c1", 1, 4, 70),
                               answer("c3", 8, 0, 0)})
                        .verdict,
        "goes on by itself"));
    EXPECT_TRUE(has(
        assess({answer("c1", 1, 4, 70), answer("c2", 1, 4, 71), silent("c3")})
            .verdict,
        "election is due"));
}

// Guards against the lists of replicas that know less than others.
TEST(group_status, takes_the_newest_log_and_the_leaders_word) {
    auto leader = answer("c2", 1, 5, 90);
    leader.content["leads"] = true;
    leader.content["spare_disks"] = 0;
    leader.content["members"][2]["gap"] = "no_vote";
    leader.content["members"][2]["behind_us"] = 5'200'000;
    const auto group = assess({answer("c4", 7, 6, 99), leader, silent("c3")});
    ASSERT_TRUE(group.has_leader());
    EXPECT_EQ(group.rows[group.leader].name, "c2");
    EXPECT_EQ(group.rows.back().state, replica_state::no_member);
    EXPECT_TRUE(has(group.verdict, "No disk may be lost now")) << group.verdict;
    EXPECT_TRUE(has(group.verdict, "c3 isn't whole (no_vote) for 5.2 s"))
        << group.verdict;
    EXPECT_TRUE(has(find_objection(group, {"c3"}), "c2 leads"));
}

// Guards against a reform that gives up replicas which have their log.
TEST(group_status, objects_to_a_reform_without_sound_replicas) {
    const auto group =
        assess({answer("c1", 1, 4, 70), answer("c2", 1, 4, 60), silent("c3")});
    EXPECT_EQ(find_objection(group, {"c3"}), "");
    EXPECT_TRUE(has(find_objection(group, {"c3", "c2"}), "c2 answers"));
    EXPECT_TRUE(has(find_objection(group, {"c9"}), "no member is called 'c9'"));
    EXPECT_TRUE(has(assess({silent("c1")}).verdict, "No replica answered"));
}

/// One scheduler process that leads alone.
class lone_scheduler : public testing::Test {
protected:
    void SetUp() override {
        const std::string port = peers_.substr(peers_.find(':') + 1);
        const std::string settings = folder_.write("s.ini",
            "[scheduler]\ncontrol = " + control_ + "\npeer-port = " + port +
                "\nmetrics = " + metrics_ + "\nseeds = " + control_ +
                "\ndata = " + folder_.make("data") +
                "\nnew-site = true\nlost-disks = 0\n"
                "[vm-service]\naddress = 127.0.0.1:9\nholder = test\n");
        scheduler_ = std::make_unique<process>("dfm-platform-scheduler",
            words{"--config", settings}, folder_.file("s.out"),
            folder_.file("s.log"));
        const auto limit = std::chrono::steady_clock::now() + start_limit;
        while (replica({"status"}).status != 0) {
            ASSERT_LT(std::chrono::steady_clock::now(), limit)
                << read_all(folder_.file("s.log"));
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }
    ended replica(words more) {
        more.insert(more.begin(), {"replica", "--replicas=" + peers_});
        return run("dfm", std::move(more));
    }

    temporary_folder folder_;
    std::string control_ = free_address();
    std::string peers_ = free_address();
    std::string metrics_ = free_address();
    std::unique_ptr<process> scheduler_;
};

// Guards against a scheduler that says nothing of its group, and against a
// reform of one that has a leader or on a mistyped call.
TEST_F(lone_scheduler, tells_its_group_and_refuses_to_reform_it) {
    const auto said =
        json::parse(replica({"status", "--json"}).output, nullptr, false);
    EXPECT_EQ(said["leader"], control_) << said;
    EXPECT_EQ(said["replicas"][0]["voter"], true) << said;
    struct refused {
        words call;
        int status;
        std::string text;
    };
    for (const refused& wrong :
        std::vector<refused>{{{"status", "c1"}, 2, "expected no name"},
            {{"reform", "--author=a"}, 2, "expected --without"},
            {{"reform", "--without=c1"}, 2, "expected --author"},
            {{"reform", "--without=c1", "--author=a", "--yes"}, 1,
                "refused: " + control_ + " leads"}}) {
        const ended call = replica(wrong.call);
        EXPECT_EQ(call.status, wrong.status) << wrong.text;
        EXPECT_TRUE(has(call.errors, wrong.text)) << call.errors;
    }
    EXPECT_EQ(replica({"status"}).status, 0);
    const ended gone =
        run("dfm", {"replica", "status", "--replicas=" + free_address()});
    EXPECT_EQ(gone.status, 1);
    EXPECT_TRUE(has(gone.errors, "no replica answered")) << gone.errors;
}

// Guards against a replica that obeys a message which the command line would
// not have sent.
TEST_F(lone_scheduler, refuses_a_reform_itself_and_logs_who_asked) {
    wire::ReformGroupT order;
    order.lost = {"c9"};
    order.author = "Ida";
    const auto reply =
        runtime::ask(peers_, wire::make_message(std::move(order)));
    ASSERT_TRUE(reply) << reply.error().message();
    const auto* answer = reply->body.AsProposeReply();
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->result, wire::proposal_result::refused);
    EXPECT_FALSE(answer->detail.empty());
    EXPECT_EQ(replica({"status"}).status, 0);
    const std::string log =
        read_all(folder_.file("s.log")) + read_all(folder_.file("s.out"));
    EXPECT_TRUE(has(log, "E221 reform_requested")) << log;
    EXPECT_TRUE(has(log, "author=Ida")) << log;
}

} // namespace
} // namespace dragonflymount::cli_test
