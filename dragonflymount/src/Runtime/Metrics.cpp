// Estimation of quantiles, and the text form of metrics.
#include "dragonflymount/src/Runtime/Metrics.hpp"

#include <absl/strings/str_cat.h>

namespace dragonflymount::runtime {
namespace {

namespace accumulators = boost::accumulators;

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

std::string escape(const std::string& value) {
    std::string escaped;
    for (const char letter : value) {
        if (letter == '\n') {
            escaped += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            escaped += '\\';
        }
        escaped += letter;
    }
    return escaped;
}

} // namespace

time_summary::time_summary()
    : times_(accumulators::tag::extended_p_square::probabilities = quantiles) {}

void time_summary::add(duration value) {
    times_(to_seconds(value));
}

std::size_t time_summary::count() const {
    return accumulators::count(times_);
}

double time_summary::sum_seconds() const {
    return accumulators::sum(times_);
}

double time_summary::quantile_seconds(std::size_t place) const {
    if (count() == 0) {
        return 0;
    }
    return accumulators::extended_p_square(
        times_)[static_cast<std::ptrdiff_t>(place)];
}

metrics_page& metrics_page::metric(
    std::string name, const std::string& type, const std::string& help) {
    name_ = std::move(name);
    absl::StrAppend(&text_, "# HELP ", name_, " ", help, "\n# TYPE ", name_,
        " ", type, "\n");
    return *this;
}

metrics_page& metrics_page::value(
    double number, const std::vector<label>& labels) {
    line("", number, labels);
    return *this;
}

metrics_page& metrics_page::value(const time_summary& summary) {
    for (std::size_t k = 0; k < time_summary::quantiles.size(); ++k) {
        line("", summary.quantile_seconds(k),
            {{"quantile", absl::StrCat(time_summary::quantiles[k])}});
    }
    line("_sum", summary.sum_seconds(), {});
    line("_count", static_cast<double>(summary.count()), {});
    return *this;
}

void metrics_page::line(const std::string& suffix, double number,
    const std::vector<label>& labels) {
    absl::StrAppend(&text_, name_, suffix);
    const char* separator = "{";
    for (const auto& [name, value] : labels) {
        absl::StrAppend(&text_, separator, name, "=\"", escape(value), "\"");
        separator = ",";
    }
    absl::StrAppend(&text_, labels.empty() ? "" : "}", " ", number, "\n");
}

} // namespace dragonflymount::runtime
