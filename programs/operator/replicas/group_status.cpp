// Joins the answers of replicas to one view of their group.
#include "programs/operator/replicas/group_status.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <tuple>

namespace dragonflymount::operator_program {
namespace {

using nlohmann::json;

std::uint64_t number(const json& content, const char* name) {
    return content.value(name, std::uint64_t{0});
}

auto age_of_log(const json& content) {
    return std::tuple(
        number(content, "last_term"), number(content, "last_index"));
}

bool is_listed_as_itself(const json& content) {
    const json members = content.value("members", json::array());
    return std::any_of(members.begin(), members.end(), [&](const json& peer) {
        return peer.value("replica", "") == content.value("replica", "") &&
            number(peer, "identity") == number(content, "identity");
    });
}

// The lists of replicas that are admitted count before those of others, which
// may be older or empty.
auto weight_of_list(const json& content) {
    return std::tuple(content.value("leads", false),
        is_listed_as_itself(content), age_of_log(content),
        number(content, "term"));
}

const json* find_best(const std::vector<replica_answer>& answers) {
    const json* best = nullptr;
    for (const replica_answer& one : answers) {
        if (one.content.is_object() &&
            (best == nullptr ||
                weight_of_list(*best) < weight_of_list(one.content))) {
            best = &one.content;
        }
    }
    return best;
}

const json* find_answer(
    const std::vector<replica_answer>& answers, const std::string& name) {
    for (const replica_answer& one : answers) {
        if (one.content.is_object() &&
            one.content.value("replica", "") == name) {
            return &one.content;
        }
    }
    return nullptr;
}

replica_state state_of(const json& answer, const json& peer) {
    if (number(answer, "identity") != number(peer, "identity")) {
        return replica_state::new_identity;
    }
    if (answer.value("leads", false)) {
        return replica_state::leads;
    }
    return answer.value("disk", "") == "sound" ? replica_state::sound
                                               : replica_state::failed_disk;
}

replica_row make_row(const json& peer, const json* answer) {
    replica_row row;
    row.name = peer.value("replica", "");
    row.address = peer.value("address", "");
    row.voter = peer.value("voter", false);
    row.gap = peer.value("gap", "");
    row.records_left = number(peer, "records_left");
    row.behind_us = peer.value("behind_us", std::int64_t{0});
    if (answer != nullptr) {
        row.state = state_of(*answer, peer);
        row.term = number(*answer, "last_term");
        row.last_index = number(*answer, "last_index");
    }
    return row;
}

// Replicas that answer but aren't members, and addresses that nothing is known
// of.
void add_strangers(
    const std::vector<replica_answer>& answers, group_status& group) {
    for (const replica_answer& one : answers) {
        replica_row row;
        row.address = one.address;
        if (one.content.is_object()) {
            row.name = one.content.value("replica", "");
            row.state = replica_state::no_member;
            row.term = number(one.content, "last_term");
            row.last_index = number(one.content, "last_index");
        }
        const bool listed = std::any_of(
            group.rows.begin(), group.rows.end(), [&](const auto& known) {
                return row.name.empty() ? known.address == row.address
                                        : known.name == row.name;
            });
        if (!listed) {
            group.rows.push_back(row);
        }
    }
}

void find_roles(group_status& group) {
    for (std::size_t k = 0; k < group.rows.size(); ++k) {
        const replica_row& row = group.rows[k];
        group.voters += row.voter ? 1 : 0;
        if (row.state == replica_state::leads) {
            group.leader = static_cast<int>(k);
        }
        if (!row.voter ||
            (row.state != replica_state::sound &&
                row.state != replica_state::leads)) {
            continue;
        }
        if (group.newest < 0 ||
            std::tuple(group.rows[group.newest].term,
                group.rows[group.newest].last_index) <
                std::tuple(row.term, row.last_index)) {
            group.newest = static_cast<int>(k);
        }
    }
}

std::string describe_spare_disks(std::size_t count) {
    if (count == 0) {
        return "No disk may be lost now.";
    }
    return absl::StrCat(
        count, count == 1 ? " more disk" : " more disks", " may be lost now.");
}

std::string describe_lead(const group_status& group) {
    std::string text = absl::StrCat(group.rows[group.leader].name, " leads. ",
        describe_spare_disks(group.spare_disks));
    if (group.voters < group.voters_wanted) {
        absl::StrAppend(&text, "\n", group.voters, " of ", group.voters_wanted,
            " voters that the settings ask for.");
    }
    bool behind = false;
    for (const replica_row& row : group.rows) {
        if (!row.gap.empty() && row.gap != "none") {
            behind = true;
            absl::StrAppend(&text, "\n", row.name, " isn't whole (", row.gap,
                ") for ",
                absl::StrFormat(
                    "%.1f s", static_cast<double>(row.behind_us) / 1e6),
                ", ", row.records_left, " records left.");
        }
    }
    absl::StrAppend(&text,
        behind ? "\nTouch no other replica until these are whole."
               : "\nAll members are whole.");
    return text;
}

void append_names(std::string& text, const std::string& what,
    const std::vector<std::string>& names) {
    if (!names.empty()) {
        absl::StrAppend(&text, "\n", what, ": ", absl::StrJoin(names, ", "));
    }
}

std::string reform_command(
    const group_status& group, const std::vector<std::string>& lost) {
    return absl::StrCat("\n  dfm replica reform --replicas ",
        group.rows[group.newest].address, " --without ",
        absl::StrJoin(lost, ","), " --author WHO");
}

std::string advise(const group_status& group) {
    if (group.newest < 0) {
        return "No voter that has its log answers: start one that still has "
               "its disk.";
    }
    const replica_row& newest = group.rows[group.newest];
    const std::string text =
        absl::StrCat(newest.name, " holds the newest log: record ",
            newest.last_index, " of term ", newest.term, ".\n");
    if (group.voters_in(replica_state::sound).size() >= group.needed) {
        return text +
            "Enough voters answer, so an election is due; look again in a few "
            "seconds. If none succeeds, see whether they reach each other.";
    }
    std::vector<std::string> gone = group.members_in(replica_state::silent);
    const auto failed = group.members_in(replica_state::failed_disk);
    gone.insert(gone.end(), failed.begin(), failed.end());
    if (gone.empty()) {
        return text +
            "All others answer, so the group goes on by itself within seconds, "
            "unless too many disks were lost at once. Only if nobody leads "
            "after 10 s:" +
            reform_command(
                group, group.members_in(replica_state::new_identity));
    }
    return text + "Start " + absl::StrJoin(gone, ", ") +
        " if the disk is intact: it may hold records that no other has.\n"
        "Only if gone for good:" +
        reform_command(group, gone);
}

std::string describe_loss(const group_status& group) {
    std::string text = absl::StrCat("Nobody leads. A leader needs ",
        group.needed, " of ", group.voters, " voters.");
    append_names(text, "voters that answer with their log",
        group.voters_in(replica_state::sound));
    append_names(text, "answer under a new identity (their disk is lost)",
        group.members_in(replica_state::new_identity));
    append_names(
        text, "failed disk", group.members_in(replica_state::failed_disk));
    append_names(text, "silent", group.members_in(replica_state::silent));
    return text + "\n" + advise(group);
}

} // namespace

std::string_view name_of(replica_state value) {
    switch (value) {
    case replica_state::leads:
        return "leads";
    case replica_state::sound:
        return "sound";
    case replica_state::new_identity:
        return "new_identity";
    case replica_state::failed_disk:
        return "failed_disk";
    case replica_state::silent:
        return "silent";
    case replica_state::no_member:
        return "no_member";
    }
    return "unknown";
}

const replica_row* group_status::find(const std::string& name) const {
    const auto found = std::find_if(rows.begin(), rows.end(),
        [&](const replica_row& row) { return row.name == name; });
    return found == rows.end() ? nullptr : &*found;
}

std::vector<std::string> group_status::members_in(replica_state state) const {
    std::vector<std::string> names;
    for (const replica_row& row : rows) {
        if (!row.name.empty() && row.state == state) {
            names.push_back(row.name);
        }
    }
    return names;
}

std::vector<std::string> group_status::voters_in(replica_state state) const {
    std::vector<std::string> names;
    for (const replica_row& row : rows) {
        if (row.voter && row.state == state) {
            names.push_back(row.name);
        }
    }
    return names;
}

group_status assess(const std::vector<replica_answer>& answers) {
    group_status group;
    const json* best = find_best(answers);
    if (best == nullptr) {
        add_strangers(answers, group);
        group.verdict = "No replica answered.";
        return group;
    }
    for (const json& peer : best->value("members", json::array())) {
        group.rows.push_back(
            make_row(peer, find_answer(answers, peer.value("replica", ""))));
    }
    add_strangers(answers, group);
    find_roles(group);
    group.needed = std::max(
        group.voters / 2 + 1, best->value("commit_quorum", std::size_t{0}));
    group.voters_wanted = best->value("voters_wanted", std::size_t{0});
    group.spare_disks = best->value("spare_disks", std::size_t{0});
    if (group.has_leader()) {
        group.verdict = describe_lead(group);
    } else if (group.voters == 0) {
        group.verdict = "Nobody leads, and no replica that answers knows the "
                        "members: start one that still has its disk.";
    } else {
        group.verdict = describe_loss(group);
    }
    return group;
}

std::string find_objection(
    const group_status& group, const std::vector<std::string>& lost) {
    if (group.has_leader()) {
        return group.rows[group.leader].name +
            " leads; it replaces lost replicas by itself";
    }
    for (const std::string& name : lost) {
        const replica_row* row = group.find(name);
        if (row == nullptr || row->state == replica_state::no_member) {
            std::vector<std::string> names;
            for (const replica_row& known : group.rows) {
                names.push_back(known.name);
            }
            return "no member is called '" + name +
                "'; known are: " + absl::StrJoin(names, ", ");
        }
        if (row->state == replica_state::sound) {
            return name + " answers and has its log, so it isn't lost";
        }
    }
    return group.newest < 0 ? "no voter that has its log answers" : "";
}

std::string table_of(const group_status& group) {
    std::string text = absl::StrFormat("%-22s %-5s %-12s %8s %10s %-9s\n",
        "replica", "vote", "state", "term", "last", "gap");
    for (const replica_row& row : group.rows) {
        absl::StrAppendFormat(&text, "%-22s %-5s %-12s %8d %10d %-9s\n",
            row.name.empty() ? row.address : row.name, row.voter ? "yes" : "no",
            name_of(row.state), row.term, row.last_index, row.gap);
    }
    return text + group.verdict;
}

json to_json(const group_status& group) {
    json rows = json::array();
    for (const replica_row& row : group.rows) {
        rows.push_back({{"replica", row.name}, {"address", row.address},
            {"state", name_of(row.state)}, {"voter", row.voter},
            {"last_term", row.term}, {"last_index", row.last_index},
            {"gap", row.gap}, {"records_left", row.records_left},
            {"behind_us", row.behind_us}});
    }
    return {{"replicas", std::move(rows)},
        {"leader", group.has_leader() ? group.rows[group.leader].name : ""},
        {"newest", group.newest < 0 ? "" : group.rows[group.newest].name},
        {"voters", group.voters}, {"voters_wanted", group.voters_wanted},
        {"needed", group.needed}, {"spare_disks", group.spare_disks},
        {"verdict", group.verdict}};
}

} // namespace dragonflymount::operator_program
