// Abseil flags, checked before Abseil's own parser sees them.
//
// Abseil ends the process with status 1 at a wrong flag; here wrong usage has
// a status of its own, so each flag is tried beforehand.
#include "programs/operator/console/flags.hpp"

#include "dragonflymount/rules.hpp"
#include "dragonflymount/settings.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>

#include <cstdlib>

ABSL_FLAG(std::string, replicas, "",
    "addresses of the control replicas, IP:port,IP:port");
ABSL_FLAG(std::string, site, "", "INI file with 'replicas' in section [site]");
ABSL_FLAG(std::string, entries, "", "further entries to tell, IP:port,IP:port");
ABSL_FLAG(std::string, without, "",
    "members whose disks or machines are gone for good, NAME,NAME");
ABSL_FLAG(std::string, author, "", "who asks for the change");
ABSL_FLAG(std::string, pool, "", "the pool that a wave is about");
ABSL_FLAG(std::int64_t, base, -1,
    "the version that the change was made from; the current one by default");
ABSL_FLAG(std::uint64_t, identity, 0, "identity of a replica's data folder");
ABSL_FLAG(std::string, submission, "",
    "name of the submission; the same name gets the same answer");
ABSL_FLAG(bool, wait, false, "return when the change is in force everywhere");
ABSL_FLAG(std::string, wait_limit, "60s", "how long to wait");
ABSL_FLAG(bool, yes, false, "do what can't be undone");
ABSL_FLAG(bool, json, false, "print JSON");

namespace dragonflymount::operator_program {
namespace {

/// \returns what is wrong with one flag; \p takes_next tells whether its
/// value is the next word.
std::string check_flag(const std::string& text, bool& takes_next) {
    const std::size_t begin = text.find_first_not_of('-');
    const std::size_t equals = text.find('=');
    std::string name = text.substr(begin, equals - begin);
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr && name.compare(0, 2, "no") == 0) {
        flag = absl::FindCommandLineFlag(name.substr(2));
    }
    if (flag == nullptr) {
        return "unknown flag '--" + name + "'; 'dfm help' lists them";
    }
    if (equals == std::string::npos) {
        takes_next = !flag->IsOfType<bool>();
        return {};
    }
    std::string error;
    if (!flag->ParseFrom(text.substr(equals + 1), &error)) {
        return "--" + name + " expects another value: " + error;
    }
    return {};
}

std::string check_value(const std::string& text, const std::string& value) {
    const std::string name = text.substr(text.find_first_not_of('-'));
    std::string error;
    if (!absl::FindCommandLineFlag(name)->ParseFrom(value, &error)) {
        return "--" + name + " expects another value, found '" + value + "'";
    }
    return {};
}

std::string check_flags(int argc, char** argv) {
    for (int k = 1; k < argc; ++k) {
        const std::string text = argv[k];
        if (text == "--") {
            return {};
        }
        if (text.size() < 2 || text.front() != '-' ||
            text.find_first_not_of('-') == std::string::npos) {
            continue;
        }
        bool takes_next = false;
        std::string error = check_flag(text, takes_next);
        if (error.empty() && takes_next) {
            error = ++k < argc ? check_value(text, argv[k])
                               : text + " expects a value";
        }
        if (!error.empty()) {
            return error;
        }
    }
    return {};
}

bool asks_for_help(int argc, char** argv) {
    for (int k = 1; k < argc; ++k) {
        const std::string text = argv[k];
        if (text == "--help" || text == "-help" || text == "-h") {
            return true;
        }
    }
    return false;
}

/// The flag goes before the file, and the file before the environment.
std::string find_replicas(std::vector<std::string>& replicas) {
    replicas = words_of(absl::GetFlag(FLAGS_replicas), ", ");
    const std::string path = absl::GetFlag(FLAGS_site);
    if (replicas.empty() && !path.empty()) {
        const auto expected =
            settings::schema_builder()
                .require("site", "replicas", settings::kind::list)
                .build();
        const auto read = settings::read_file(path, expected);
        if (!read.ok()) {
            return read.message();
        }
        replicas = read.settings.list("site", "replicas");
    }
    const char* variable = std::getenv("DFM_REPLICAS");
    if (replicas.empty() && variable != nullptr) {
        replicas = words_of(variable, ", ");
    }
    return {};
}

} // namespace

call read_call(int argc, char** argv) {
    call made;
    made.help = asks_for_help(argc, argv);
    if (made.help) {
        for (int k = 1; k < argc; ++k) {
            if (argv[k][0] != '-') {
                made.words.emplace_back(argv[k]);
            }
        }
        return made;
    }
    made.error = check_flags(argc, argv);
    if (!made.error.empty()) {
        return made;
    }
    absl::SetProgramUsageMessage("COMMAND [ARGUMENT...]");
    const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
    made.words.assign(words.begin() + 1, words.end());
    options& given = made.given;
    made.error = find_replicas(given.replicas);
    given.entries = words_of(absl::GetFlag(FLAGS_entries), ", ");
    given.without = words_of(absl::GetFlag(FLAGS_without), ", ");
    given.author = std::string(trim(absl::GetFlag(FLAGS_author)));
    given.submission = absl::GetFlag(FLAGS_submission);
    given.pool = absl::GetFlag(FLAGS_pool);
    given.base = absl::GetFlag(FLAGS_base);
    given.identity = absl::GetFlag(FLAGS_identity);
    given.wait = absl::GetFlag(FLAGS_wait);
    given.yes = absl::GetFlag(FLAGS_yes);
    given.json = absl::GetFlag(FLAGS_json);
    const auto limit = rules::parse_duration(absl::GetFlag(FLAGS_wait_limit));
    given.wait_limit = limit.value_or(duration(0));
    if (!limit) {
        made.error = "--wait_limit expects a time such as 250ms, 20s or 10m";
    }
    return made;
}

} // namespace dragonflymount::operator_program
