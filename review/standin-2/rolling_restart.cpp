// A rolling restart: a gateway gets SIGTERM, and 5 s later the leader. A client
// uses its open connection to the gateway within the grace period.
#include "cases.hpp"

#include <csignal>

namespace review {
namespace {

constexpr int until_leader_ms = 5000;
constexpr int until_request_ms = 100;
constexpr std::int64_t loss_slack_ms = 200;
constexpr std::int64_t deadline_ms = 3000;
constexpr milliseconds start_limit{20000};

} // namespace

int restart_gateway_and_leader(record& log, const case_settings& settings) {
    deployment site(log, 3, 2);
    if (!site.start() || !site.put_config(make_config(1), start_limit)) {
        return status_not_run;
    }
    const int leader = site.wait_for_leader(start_limit);
    if (leader < 0 ||
        !submit(site, 0xc001, make_job("1000", 1, 500, 1000), start_limit)) {
        return status_not_run;
    }
    http_connection client;
    if (!client.open(site.frontend(0), milliseconds(1000)) ||
        client.exchange(job_call("GET", 0xc001), milliseconds(3000)).status !=
            200) {
        return status_not_run;
    }
    log.note("the client's connection to edge-0 is open, one call answered");
    if (settings.trouble) {
        site.signal_gateway(0, SIGTERM);
    }
    sleep_for(until_leader_ms);
    if (settings.trouble) {
        site.signal_scheduler(static_cast<std::size_t>(leader), SIGTERM);
    }
    sleep_for(until_request_ms);
    const std::int64_t sent = log.now();
    log.note("the client sends a job on its connection");
    if (!client.send(
            job_call("POST", 0xc002, make_job("1000", 1, 500, 1000)))) {
        log.note("the connection took no request");
        return status_not_run;
    }
    const http_reply reply = client.receive(milliseconds(deadline_ms));
    const std::int64_t waited = log.now() - sent;
    log.note("after " + std::to_string(waited) + " ms: " +
        (reply.status > 0   ? "answer " + std::to_string(reply.status)
                : reply.cut ? "the connection is closed with no answer"
                            : "no answer"));
    log.note("edge-0 wrote: " + site.gateway_output(0));
    const bool broken = reply.cut && waited > loss_slack_ms;
    return broken          ? status_broken
        : reply.status > 0 ? status_held
                           : status_not_run;
}

} // namespace review
