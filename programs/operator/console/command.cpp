// Outcomes that several commands share, and the help texts.
#include "programs/operator/console/command.hpp"

#include "dragonflymount/runtime.hpp"

#include <algorithm>

namespace dragonflymount::operator_program {
namespace {

constexpr const char* common_flags =
    "Flags that every command takes:\n"
    "  --replicas IP:port,...  the control replicas; else --site, else the\n"
    "                          environment variable DFM_REPLICAS\n"
    "  --site FILE             INI file with 'replicas' in section [site]\n"
    "  --json                  print JSON\n"
    "Exit status: 0 done, 1 failed or refused, 2 wrong usage.\n";

std::string head(const command& one) {
    return one.arguments.empty() ? one.name : one.name + " " + one.arguments;
}

} // namespace

outcome failed(const failure& error) {
    return {runtime::status_failed, error.message(),
        {{"result", "failed"}, {"error", error.message()}}};
}

outcome misused(const std::string& expected) {
    return {runtime::status_usage, expected,
        {{"result", "usage"}, {"error", expected}}};
}

outcome preview(const std::string& text, nlohmann::json content) {
    content["result"] = "preview";
    return {runtime::status_failed,
        text + "\nNothing was done. Repeat with --yes to do it.",
        std::move(content)};
}

std::string help(const std::vector<command>& all) {
    std::size_t widest = 0;
    for (const command& one : all) {
        widest = std::max(widest, head(one).size());
    }
    std::string text = "dfm COMMAND [ARGUMENT...] [--FLAG VALUE...]\n";
    for (const command& one : all) {
        std::string name = head(one);
        name.resize(widest, ' ');
        text += "  " + name + "  " + one.summary + "\n";
    }
    return text + "dfm help COMMAND says more of one command.\n" + common_flags;
}

std::string help(const command& one) {
    return "dfm " + head(one) + "\n  " + one.summary + "\n" + one.details +
        common_flags;
}

} // namespace dragonflymount::operator_program
