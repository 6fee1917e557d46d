// The operator and the clients: configurations, jobs and their states.
#ifndef DRAGONFLYMOUNT_REVIEW_STANDIN_OPERATOR_HPP
#define DRAGONFLYMOUNT_REVIEW_STANDIN_OPERATOR_HPP

#include "review/standin/http.hpp"
#include "review/standin/record.hpp"

#include <nlohmann/json.hpp>

#include <optional>

namespace dragonflymount::review {

inline constexpr const char* host_name = "jobs.example";

/// \brief A route with the service of the same name.
struct queue {
    std::string name;
    int max_attempts = 3;
    bool is_public = false;
    bool guarded = true;
};

struct tenant {
    std::string name;
    std::string key;
    std::int64_t cpu_limit = 0;
};

nlohmann::json make_configuration(std::uint64_t version,
    const std::vector<queue>& queues, const std::vector<tenant>& tenants);

/// \brief Sends a configuration, to one node after the other, until it is
/// acknowledged.
/// \returns false if that takes longer than \p limit_ms.
bool put_configuration(record& log, const std::vector<std::string>& controls,
    const nlohmann::json& configuration, std::int64_t limit_ms);

/// \returns one step of \p count tasks.
nlohmann::json make_step(int count, int cpu, int memory_mb, int estimate_ms);
nlohmann::json make_job(std::vector<nlohmann::json> steps);
/// \returns an ID of 16 hexadecimal digits.
std::string make_id(std::uint64_t number);

/// \brief One client. It moves to the next gateway after no answer and 5xx.
class client {
public:
    client(record& log, std::vector<std::string> gateways, std::string key);

    /// \brief Hands the job in until an answer is clear.
    /// \returns the last status; 0 if none was clear within \p limit_ms.
    int submit(const std::string& queue, const std::string& id,
        const nlohmann::json& job, std::int64_t limit_ms);
    int cancel(
        const std::string& queue, const std::string& id, std::int64_t limit_ms);
    /// \brief Reads the job's state.
    /// \param state set to the state if the status is 200.
    /// \returns the status; 0 if none was clear within \p limit_ms.
    int read(const std::string& queue, const std::string& id,
        std::string& state, std::int64_t limit_ms);

private:
    response call(const std::string& method, const std::string& path,
        const std::string& body, std::int64_t limit_ms);

    record& log_;
    std::vector<std::string> gateways_;
    std::string key_;
    std::size_t next_ = 0;
    caller caller_;
};

} // namespace dragonflymount::review

#endif
