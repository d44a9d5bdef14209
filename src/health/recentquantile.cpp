// A quantile of recent samples.
#include "health/recentquantile.h"

namespace comfrey {

namespace {

namespace acc = boost::accumulators;

constexpr Duration kWindow = milliseconds(10000);
constexpr std::size_t kEnoughSamples = 20; ///< The present window is used alone from here on.
constexpr std::size_t kFewestSamples = 5;

} // namespace

RecentQuantile::RecentQuantile(double quantile)
    : m_quantile(quantile), m_present(fresh()), m_last(fresh())
{ }

RecentQuantile::Estimator RecentQuantile::fresh() const
{
    return Estimator(acc::quantile_probability = m_quantile);
}

void RecentQuantile::add(Duration sample, TimePoint now)
{
    if (now >= m_windowEnds) {
        m_last = m_present;
        m_present = fresh();
        m_windowEnds = now + kWindow;
    }
    m_present(static_cast<double>(sample.count()));
}

std::optional<Duration> RecentQuantile::value() const
{
    const auto of = [](const Estimator &estimator) {
        return Duration(static_cast<Duration::rep>(acc::p_square_quantile(estimator)));
    };
    if (acc::count(m_present) >= kEnoughSamples)
        return of(m_present);
    if (acc::count(m_last) >= kFewestSamples)
        return of(m_last);
    if (acc::count(m_present) >= kFewestSamples)
        return of(m_present);
    return std::nullopt;
}

} // namespace comfrey
