// Estimates a quantile over the current and the previous window of time.
#include "health/recentquantile.h"

namespace comfrey {

namespace {

namespace acc = boost::accumulators;

constexpr Duration kWindowLength = milliseconds(10000);
constexpr std::size_t kMinCurrentSamples =
    20; ///< With so many, the current window is preferred to the previous one.
constexpr std::size_t kMinSamples = 5;

} // namespace

RecentQuantile::RecentQuantile(double quantile)
    : m_quantile(quantile), m_current(newEstimator()), m_previous(newEstimator())
{ }

RecentQuantile::Estimator RecentQuantile::newEstimator() const
{
    return Estimator(acc::quantile_probability = m_quantile);
}

void RecentQuantile::add(Duration sample, TimePoint now)
{
    if (now >= m_windowEnd) {
        m_previous = m_current;
        m_current = newEstimator();
        m_windowEnd = now + kWindowLength;
    }
    m_current(static_cast<double>(sample.count()));
}

std::optional<Duration> RecentQuantile::value() const
{
    const auto quantileOf = [](const Estimator &estimator) {
        return Duration(static_cast<Duration::rep>(acc::p_square_quantile(estimator)));
    };
    if (acc::count(m_current) >= kMinCurrentSamples)
        return quantileOf(m_current);
    if (acc::count(m_previous) >= kMinSamples)
        return quantileOf(m_previous);
    if (acc::count(m_current) >= kMinSamples)
        return quantileOf(m_current);
    return std::nullopt;
}

} // namespace comfrey
