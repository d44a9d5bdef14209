// Exponential averages by route, scaled by the size of a request against the route's mean.
#include "dispatch/workestimate.h"

#include <algorithm>
#include <cstddef>

namespace comfrey {

namespace {

constexpr double kSmoothing = 0.1;       ///< Weight of one answer.
constexpr std::size_t kMaxRoutes = 4096; ///< Routes beyond it share the estimate "".
constexpr double kMinScale = 0.25;       ///< Limits on what the size of a request changes.
constexpr double kMaxScale = 4;

void smooth(double &mean, double sample)
{
    mean = mean == 0 ? sample : mean + kSmoothing * (sample - mean);
}

double scale(double size, double mean)
{
    return mean <= 0 ? 1 : std::clamp(size / mean, kMinScale, kMaxScale);
}

Duration fromMicroseconds(double us)
{
    return Duration(static_cast<std::int64_t>(us));
}

} // namespace

void WorkEstimator::onFirstToken(const std::string &route, const RequestFacts &, Duration waited)
{
    if (m_routes.size() >= kMaxRoutes && m_routes.count(route) == 0)
        return;
    smooth(m_routes[route].firstTokenUs, static_cast<double>(waited.count()));
}

void WorkEstimator::onAnswerEnded(const std::string &route, const RequestFacts &request,
                                  Duration duration)
{
    if (m_routes.size() >= kMaxRoutes && m_routes.count(route) == 0)
        return;
    Learnt &learnt = m_routes[route];
    smooth(learnt.slotTimeUs, static_cast<double>(duration.count()));
    smooth(learnt.promptTokens, static_cast<double>(request.promptTokens));
    smooth(learnt.outputTokens, static_cast<double>(request.maxOutputTokens));
}

WorkEstimate WorkEstimator::estimate(const std::string &route, const RequestFacts &request) const
{
    WorkEstimate work;
    work.memoryTokens = request.promptTokens + request.maxOutputTokens;
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return work;
    const Learnt &learnt = found->second;
    const double prompt = scale(static_cast<double>(request.promptTokens), learnt.promptTokens);
    const double output = scale(static_cast<double>(request.maxOutputTokens), learnt.outputTokens);
    work.firstToken = fromMicroseconds(learnt.firstTokenUs * prompt);
    work.slotTime = work.firstToken
        + fromMicroseconds(std::max(0.0, learnt.slotTimeUs - learnt.firstTokenUs) * output);
    return work;
}

} // namespace comfrey
