// Plays one case: review-cases NAME FOLDER. TROUBLE=0 leaves the disruption
// out.
#include "cases.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

int main(int argc, char** argv) {
    using scenario = int (*)(review::record&, const review::case_settings&);
    const std::map<std::string, scenario> scenarios = {
        {"large-burst", &review::send_large_jobs_at_once},
        {"end-before-upkeep", &review::end_before_upkeep},
        {"old-list", &review::list_read_before_wave},
        {"rolling-restart", &review::restart_gateway_and_leader}};
    if (argc != 3 || !scenarios.contains(argv[1])) {
        std::cerr << "usage: review-cases NAME FOLDER\n";
        return review::status_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    review::case_settings settings;
    settings.folder = argv[2];
    const char* trouble = std::getenv("TROUBLE");
    settings.trouble = trouble == nullptr || std::string(trouble) != "0";
    review::record log(settings.folder);
    log.note(std::string(argv[1]) +
        (settings.trouble ? ", with the disruption"
                          : ", without the disruption"));
    const int status = scenarios.at(argv[1])(log, settings);
    log.note(status == review::status_held    ? "result: held"
            : status == review::status_broken ? "result: broken"
                                              : "result: could not run");
    return status;
}
