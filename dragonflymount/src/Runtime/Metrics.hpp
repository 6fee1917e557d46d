// Figures of a running process, as a page that a scraper can read.
#ifndef DRAGONFLYMOUNT_RUNTIME_METRICS_HPP
#define DRAGONFLYMOUNT_RUNTIME_METRICS_HPP

#include "dragonflymount/core.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace dragonflymount::runtime {

/// \brief Quantiles of times, estimated in constant space since the start of
/// the process.
class time_summary {
public:
    static constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};

    time_summary();

    void add(duration value);
    std::size_t count() const;
    double sum_seconds() const;
    /// \param place which of \c quantiles.
    /// \returns zero while nothing was added.
    double quantile_seconds(std::size_t place) const;

private:
    using statistics =
        boost::accumulators::stats<boost::accumulators::tag::count,
            boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square>;

    boost::accumulators::accumulator_set<double, statistics> times_;
};

/// \brief Builds a page in Prometheus' text form.
class metrics_page {
public:
    using label = std::pair<std::string, std::string>;

    /// \brief Begins a metric; its values follow.
    /// \param type "counter", "gauge" or "summary".
    metrics_page& metric(
        std::string name, const std::string& type, const std::string& help);
    metrics_page& value(double number, const std::vector<label>& labels = {});
    /// \brief Adds the quantiles, sum and count of a summary.
    metrics_page& value(const time_summary& summary);

    const std::string& text() const { return text_; }

private:
    void line(const std::string& suffix, double number,
        const std::vector<label>& labels);

    std::string name_;
    std::string text_;
};

} // namespace dragonflymount::runtime

#endif
