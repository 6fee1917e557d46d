// Parses and validates the rules text.
#include "dragonflymount/src/Rules/Parser.hpp"

#include "dragonflymount/src/Rules/Times.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace dragonflymount::rules {
namespace {

constexpr std::size_t digest_digits = 64;
constexpr std::uint32_t total_percent = 100;

/// One line, split into its parts.
struct rule_line {
    std::size_t number = 0;
    std::string keyword;
    std::string name;
    std::map<std::string, std::string> fields;
};

class reader {
public:
    parse_result read(std::string_view text);

private:
    void error(std::size_t line, std::string what) {
        result_.errors.push_back({line, std::move(what)});
    }

    bool split_line(std::size_t number, std::string_view raw, rule_line& line);
    void dispatch(rule_line& line);
    void read_pool(rule_line& line);
    void read_team(rule_line& line);
    void read_service(rule_line& line);
    void read_key(rule_line& line);
    void read_vm(rule_line& line);
    void read_window(rule_line& line);
    void read_weights(rule_line& line);
    void read_maintenance(rule_line& line);
    void read_cutoff(rule_line& line);

    std::string take_field(rule_line& line, const std::string& field);
    std::string require_field(rule_line& line, const std::string& field);
    void take_count(
        rule_line& line, const std::string& field, std::uint32_t& target);
    void require_count(
        rule_line& line, const std::string& field, std::uint32_t& target);
    void take_duration(
        rule_line& line, const std::string& field, duration& target);
    void take_weight(rule_line& line, const std::string& field, double& target);
    void reject_unknown_fields(const rule_line& line);
    bool add_unique(const rule_line& line);

    void check_references();
    void check_shares();
    void check_cycles();

    parse_result result_;
    std::map<std::string, std::size_t> lines_;
};

parse_result reader::read(std::string_view text) {
    std::size_t number = 0;
    for (const std::string& raw : split(text, '\n')) {
        ++number;
        rule_line line;
        if (split_line(number, raw, line)) {
            dispatch(line);
        }
    }
    check_references();
    check_shares();
    check_cycles();
    std::stable_sort(result_.errors.begin(), result_.errors.end(),
        [](const rule_error& left, const rule_error& right) {
            return left.line < right.line;
        });
    return std::move(result_);
}

bool reader::split_line(
    std::size_t number, std::string_view raw, rule_line& line) {
    const std::size_t hash = raw.find('#');
    const std::string_view rule = trim(raw.substr(0, hash));
    if (rule.empty()) {
        return false;
    }
    const std::string_view comment = hash == std::string_view::npos
        ? std::string_view()
        : trim(raw.substr(hash + 1));
    if (comment.empty()) {
        error(number, "a comment must say who asked for this rule");
        return false;
    }
    line.number = number;
    const std::vector<std::string> words = words_of(rule);
    line.keyword = words.front();
    for (std::size_t k = 1; k < words.size(); ++k) {
        const std::size_t equals = words[k].find('=');
        if (equals == std::string::npos) {
            if (k != 1) {
                error(number,
                    absl::StrCat(
                        "expected name=value, found '", words[k], "'"));
                return false;
            }
            line.name = words[k];
            continue;
        }
        const std::string field = words[k].substr(0, equals);
        if (!line.fields.emplace(field, words[k].substr(equals + 1)).second) {
            error(number, absl::StrCat("'", field, "' stands twice"));
            return false;
        }
    }
    return true;
}

void reader::dispatch(rule_line& line) {
    using handler = void (reader::*)(rule_line&);
    static const std::map<std::string, handler> handlers{
        {"pool", &reader::read_pool},
        {"team", &reader::read_team},
        {"service", &reader::read_service},
        {"key", &reader::read_key},
        {"vm", &reader::read_vm},
        {"window", &reader::read_window},
        {"weights", &reader::read_weights},
        {"maintenance", &reader::read_maintenance},
        {"cutoff", &reader::read_cutoff},
    };
    const auto found = handlers.find(line.keyword);
    if (found == handlers.end()) {
        error(
            line.number, absl::StrCat("unknown keyword '", line.keyword, "'"));
        return;
    }
    static const std::set<std::string> unnamed_keywords{
        "window", "weights", "maintenance", "cutoff"};
    const bool requires_name = !unnamed_keywords.contains(line.keyword);
    if (requires_name == line.name.empty()) {
        error(line.number,
            absl::StrCat(line.keyword,
                requires_name ? " needs a name" : " takes no name"));
        return;
    }
    (this->*found->second)(line);
    reject_unknown_fields(line);
}

// ---- Fields ----------------------------------------------------------------

std::string reader::take_field(rule_line& line, const std::string& field) {
    const auto found = line.fields.find(field);
    if (found == line.fields.end()) {
        return {};
    }
    std::string value = std::move(found->second);
    line.fields.erase(found);
    if (value.empty()) {
        error(line.number, absl::StrCat("'", field, "' has no value"));
    }
    return value;
}

std::string reader::require_field(rule_line& line, const std::string& field) {
    if (!line.fields.contains(field)) {
        error(line.number, absl::StrCat("'", field, "=' is missing"));
        return {};
    }
    return take_field(line, field);
}

void reader::take_count(
    rule_line& line, const std::string& field, std::uint32_t& target) {
    const std::string value = take_field(line, field);
    if (value.empty()) {
        return;
    }
    const auto count = parse_number<std::uint32_t>(value);
    if (!count) {
        error(line.number,
            absl::StrCat(
                "'", field, "' must be a whole number, found '", value, "'"));
        return;
    }
    target = *count;
}

void reader::require_count(
    rule_line& line, const std::string& field, std::uint32_t& target) {
    if (!line.fields.contains(field)) {
        error(line.number, absl::StrCat("'", field, "=' is missing"));
        return;
    }
    take_count(line, field, target);
}

void reader::take_duration(
    rule_line& line, const std::string& field, duration& target) {
    const std::string value = take_field(line, field);
    if (value.empty()) {
        return;
    }
    const std::optional<duration> span = parse_duration(value);
    if (!span) {
        error(line.number,
            absl::StrCat("'", field,
                "' must be a time such as 500ms, 20s, 10m, 2h or 6w, found '",
                value, "'"));
        return;
    }
    target = *span;
}

void reader::take_weight(
    rule_line& line, const std::string& field, double& target) {
    const std::string value = take_field(line, field);
    if (value.empty()) {
        return;
    }
    const auto weight = parse_number<double>(value);
    if (!weight || !(*weight >= 0)) {
        error(line.number,
            absl::StrCat("'", field, "' must be a number of at least 0"));
        return;
    }
    target = *weight;
}

void reader::reject_unknown_fields(const rule_line& line) {
    for (const auto& [field, value] : line.fields) {
        error(line.number,
            absl::StrCat("unknown field '", field, "' for ", line.keyword));
    }
}

bool reader::add_unique(const rule_line& line) {
    const std::string what = line.name.empty()
        ? line.keyword
        : absl::StrCat(line.keyword, " ", line.name);
    const auto [found, inserted] = lines_.emplace(what, line.number);
    if (!inserted) {
        error(line.number,
            absl::StrCat(what, " stands already on line ", found->second));
    }
    return inserted;
}

// ---- Keywords --------------------------------------------------------------

void reader::read_pool(rule_line& line) {
    if (!add_unique(line)) {
        return;
    }
    pool_rule rule;
    rule.name = pool_id(line.name);
    require_count(line, "size", rule.size);
    take_count(line, "min-available", rule.min_available);
    const std::string spare = take_field(line, "spare");
    if (!spare.empty() && spare != "yes" && spare != "no") {
        error(line.number, "'spare' must be yes or no");
    }
    rule.spare = spare == "yes";
    rule.borrows_from = pool_id(take_field(line, "borrows-from"));
    if (rule.min_available > rule.size) {
        error(line.number, "'min-available' is larger than 'size'");
    }
    result_.rules.pools.emplace(rule.name, rule);
}

void reader::read_team(rule_line& line) {
    if (!add_unique(line)) {
        return;
    }
    team_rule rule;
    rule.name = team_id(line.name);
    std::string share = require_field(line, "share");
    if (!share.empty() && share.back() == '%') {
        share.pop_back();
    }
    const auto percent = parse_number<std::uint32_t>(share);
    if (!percent || *percent > total_percent) {
        error(line.number, "'share' must be a whole percentage such as 25%");
    }
    rule.share_percent = percent.value_or(0);
    require_count(line, "limit", rule.limit);
    result_.rules.teams.emplace(rule.name, rule);
}

void reader::read_service(rule_line& line) {
    if (!add_unique(line)) {
        return;
    }
    service_rule rule;
    rule.name = service_id(line.name);
    rule.pool = pool_id(require_field(line, "pool"));
    take_duration(line, "expected", rule.expected);
    result_.rules.services.emplace(rule.name, rule);
}

void reader::read_key(rule_line& line) {
    const std::string digest = require_field(line, "sha256");
    const bool is_hex =
        std::all_of(digest.begin(), digest.end(), [](char digit) {
            return (digit >= '0' && digit <= '9') ||
                (digit >= 'a' && digit <= 'f');
        });
    if (digest.size() != digest_digits || !is_hex) {
        error(line.number, "'sha256' must be 64 lower-case hexadecimal digits");
        return;
    }
    const team_id team(line.name);
    const auto [found, inserted] = result_.rules.keys.emplace(digest, team);
    if (!inserted) {
        error(line.number,
            absl::StrCat(
                "this key admits team ", found->second.str(), " already"));
    }
    lines_.emplace(absl::StrCat("key ", digest), line.number);
}

void reader::read_vm(rule_line& line) {
    const pool_id pool(require_field(line, "pool"));
    const auto [found, inserted] =
        result_.rules.pins.emplace(vm_id(line.name), pool);
    if (!inserted) {
        error(line.number,
            absl::StrCat("VM ", line.name, " belongs to pool ",
                found->second.str(), " already"));
    }
    lines_.emplace(absl::StrCat("vm ", line.name), line.number);
}

void reader::read_window(rule_line& line) {
    if (!add_unique(line)) {
        return;
    }
    const auto begin = parse_time_of_day(require_field(line, "begin"));
    const auto end = parse_time_of_day(require_field(line, "end"));
    if (!begin || !end) {
        error(line.number, "'begin' and 'end' must be times such as 20:30");
        return;
    }
    if (*begin == *end) {
        error(line.number, "'begin' and 'end' must differ");
    }
    result_.rules.window = {*begin, *end};
}

void reader::read_weights(rule_line& line) {
    if (!add_unique(line)) {
        return;
    }
    weight_rule& weights = result_.rules.weights;
    take_weight(line, "roll-out", weights.roll_out);
    take_weight(line, "share", weights.share);
    take_weight(line, "buffer", weights.buffer);
    take_weight(line, "moves", weights.moves);
}

void reader::read_maintenance(rule_line& line) {
    if (!add_unique(line)) {
        return;
    }
    maintenance_rule& rule = result_.rules.maintenance;
    duration period = rule.period;
    take_duration(line, "period", period);
    rule.period = std::chrono::duration_cast<std::chrono::hours>(period);
    take_count(line, "max-down-per-rack", rule.max_down_per_rack);
    take_count(line, "max-down-per-zone", rule.max_down_per_zone);
    take_count(line, "stop-after-failures", rule.stop_after_failures);
    if (rule.max_down_per_rack == 0 || rule.max_down_per_zone == 0) {
        error(line.number, "a wave needs at least one VM down at a time");
    }
}

void reader::read_cutoff(rule_line& line) {
    if (!add_unique(line)) {
        return;
    }
    take_duration(line, "serve-stale", result_.rules.serve_stale);
    if (result_.rules.serve_stale > duration(0)) {
        // Accepting the setting would promise behavior that isn't implemented.
        error(line.number, "'serve-stale' above 0s is not supported yet");
    }
    take_duration(line, "hold", result_.rules.hold);
}

// ---- Checks over the whole text --------------------------------------------

void reader::check_references() {
    const rule_set& rules = result_.rules;
    for (const auto& [name, service] : rules.services) {
        if (!rules.pools.contains(service.pool)) {
            error(lines_[absl::StrCat("service ", name.str())],
                absl::StrCat("unknown pool '", service.pool.str(), "'"));
        }
    }
    for (const auto& [digest, team] : rules.keys) {
        if (!rules.teams.contains(team)) {
            error(lines_[absl::StrCat("key ", digest)],
                absl::StrCat("unknown team '", team.str(), "'"));
        }
    }
    for (const auto& [vm, pool] : rules.pins) {
        if (!rules.pools.contains(pool)) {
            error(lines_[absl::StrCat("vm ", vm.str())],
                absl::StrCat("unknown pool '", pool.str(), "'"));
        }
    }
    for (const auto& [name, pool] : rules.pools) {
        if (!pool.borrows_from.empty() &&
            !rules.pools.contains(pool.borrows_from)) {
            error(lines_[absl::StrCat("pool ", name.str())],
                absl::StrCat("unknown pool '", pool.borrows_from.str(), "'"));
        }
    }
}

void reader::check_shares() {
    const auto& teams = result_.rules.teams;
    if (teams.empty()) {
        return;
    }
    std::uint32_t total = 0;
    for (const auto& [name, team] : teams) {
        total += team.share_percent;
    }
    if (total != total_percent) {
        const team_id& last = teams.rbegin()->first;
        error(lines_[absl::StrCat("team ", last.str())],
            absl::StrCat(
                "the teams' shares add up to ", total, "%, expected 100%"));
    }
}

void reader::check_cycles() {
    const auto& pools = result_.rules.pools;
    for (const auto& [name, pool] : pools) {
        std::set<pool_id> seen{name};
        pool_id next = pool.borrows_from;
        while (!next.empty() && pools.contains(next)) {
            if (!seen.insert(next).second) {
                error(lines_[absl::StrCat("pool ", name.str())],
                    absl::StrCat("'borrows-from' leads back to pool '",
                        next.str(), "'"));
                break;
            }
            next = pools.at(next).borrows_from;
        }
    }
}

} // namespace

std::string parse_result::message() const {
    return absl::StrJoin(
        errors, "\n", [](std::string* out, const rule_error& error) {
            absl::StrAppend(out, "line ", error.line, ": ", error.what);
        });
}

parse_result parse(std::string_view text) {
    return reader().read(text);
}

} // namespace dragonflymount::rules
