// Quantile of recent samples, with an estimator for the current window of time and one for the
// previous window.
#pragma once

#include <cstddef>
#include <optional>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "comfrey/units.h"

namespace comfrey {

/// Estimates one quantile (0 to 1) of recent durations.
class RecentQuantile
{
public:
    explicit RecentQuantile(double quantile);

    /// Adds a sample; starts a new window if the current one has ended.
    void add(Duration sample, TimePoint now);
    /// The quantile; nullopt before the first few samples. Covers at most two windows of the time
    /// in which samples arrive.
    std::optional<Duration> value() const;

private:
    using Estimator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count,
                                   boost::accumulators::tag::p_square_quantile>>;

    Estimator newEstimator() const;

    double m_quantile;
    Estimator m_current;
    Estimator m_previous;
    TimePoint m_windowEnd;
};

} // namespace comfrey
