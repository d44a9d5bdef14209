// A quantile of recent samples: an estimator for the present window of time and one for the last.
#pragma once

#include <cstddef>
#include <optional>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "comfrey/units.h"

namespace comfrey {

class RecentQuantile
{
public:
    explicit RecentQuantile(double quantile);

    void add(Duration sample, TimePoint now);
    /// Nothing before the first few samples. Never older than two windows of samples' time.
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
