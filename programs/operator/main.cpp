// dfm: the operators' command line.
#include "dragonflymount/runtime.hpp"
#include "programs/operator/console/flags.hpp"
#include "programs/operator/keys/key_commands.hpp"
#include "programs/operator/replicas/replica_commands.hpp"
#include "programs/operator/rules/rules_commands.hpp"
#include "programs/operator/state/state_commands.hpp"
#include "programs/operator/waves/wave_commands.hpp"
#include "programs/operator/zones/zone_commands.hpp"

#include <algorithm>
#include <iostream>

namespace {

using namespace dragonflymount;
using namespace dragonflymount::operator_program;

std::vector<command> all_commands() {
    std::vector<command> all;
    for (const auto& group : {rules_commands(), key_commands(), wave_commands(),
             zone_commands(), replica_commands(), state_commands()}) {
        all.insert(all.end(), group.begin(), group.end());
    }
    return all;
}

const command* find_command(
    const std::vector<command>& all, const std::string& name) {
    const auto found = std::find_if(all.begin(), all.end(),
        [&](const command& one) { return one.name == name; });
    return found == all.end() ? nullptr : &*found;
}

int print_help(const std::vector<command>& all, const std::string& name) {
    const command* one = find_command(all, name);
    std::cout << (one == nullptr ? help(all) : help(*one));
    return runtime::status_ok;
}

outcome run_command(const command& one,
    const std::vector<std::string>& arguments, const call& made) {
    if (arguments.size() < one.least_arguments ||
        arguments.size() > one.most_arguments) {
        return misused("expected dfm " + one.name + " " + one.arguments);
    }
    if (one.needs_author && made.given.author.empty()) {
        return misused("expected --author WHO, who asks for the change");
    }
    if (one.needs_replicas && made.given.replicas.empty()) {
        return misused("expected --replicas IP:port,..., --site FILE or "
                       "DFM_REPLICAS in the environment");
    }
    return one.run(arguments, made.given);
}

int print(const outcome& said, bool json) {
    // JSON always goes to the standard output, whatever became of the call.
    if (json) {
        std::cout << said.content.dump(2) << '\n';
    } else {
        auto& out = said.status == runtime::status_ok ? std::cout : std::cerr;
        out << said.text << '\n';
    }
    return said.status;
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<command> all = all_commands();
    const call made = read_call(argc, argv);
    if (!made.error.empty()) {
        return print(misused(made.error), made.given.json);
    }
    std::vector<std::string> arguments = made.words;
    if (arguments.empty() && !made.help) {
        return print(misused(help(all)), made.given.json);
    }
    if (made.help || arguments.front() == "help") {
        std::erase(arguments, "help");
        return print_help(all, arguments.empty() ? "" : arguments.front());
    }
    const std::string name = arguments.front();
    arguments.erase(arguments.begin());
    const command* one = find_command(all, name);
    if (one == nullptr) {
        return print(misused("unknown command '" + name + "'\n" + help(all)),
            made.given.json);
    }
    return print(run_command(*one, arguments, made), made.given.json);
}
