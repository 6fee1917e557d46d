// Lookup of a call's queue among the routes of a catalogue.
#include "dragonflymount/src/Jobs/RouteTable.hpp"

#include <gtest/gtest.h>

namespace dragonflymount::jobs {
namespace {

class routes : public testing::Test {
protected:
    void add(const std::string& name, const std::string& host,
        const std::string& prefix) {
        auto queue = std::make_unique<wire::JobQueueT>();
        queue->name = name;
        queue->host = host;
        queue->path_prefix = prefix;
        catalogue_.queues.push_back(std::move(queue));
        table_.reset(catalogue_);
    }
    std::string find(const std::string& host, const std::string& path) const {
        const wire::JobQueueT* found = table_.find(host, path);
        return found == nullptr ? "none" : found->name;
    }

private:
    wire::CatalogueT catalogue_;
    route_table table_;
};

TEST_F(routes, the_longest_prefix_wins) {
    add("short", "one", "/a/");
    add("long", "one", "/a/b/");
    EXPECT_EQ(find("one", "/a/b/7"), "long");
    EXPECT_EQ(find("one", "/a/b/"), "long");
    EXPECT_EQ(find("one", "/a/b"), "short");
    EXPECT_EQ(find("one", "/a"), "none");
}

TEST_F(routes, belong_to_their_host) {
    add("first", "one", "/a/");
    add("second", "two", "/a/");
    EXPECT_EQ(find("two", "/a/7"), "second");
    EXPECT_EQ(find("three", "/a/7"), "none");
}

TEST_F(routes, the_first_of_two_equal_ones_wins) {
    add("first", "one", "/a/");
    add("second", "one", "/a/");
    EXPECT_EQ(find("one", "/a/7"), "first");
}

TEST_F(routes, an_empty_prefix_matches_every_path) {
    add("all", "one", "");
    EXPECT_EQ(find("one", ""), "all");
    EXPECT_EQ(find("one", "/x"), "all");
}

} // namespace
} // namespace dragonflymount::jobs
