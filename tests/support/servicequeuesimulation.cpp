// Arrivals, servers and answers of the simulated small service.
#include "support/servicequeuesimulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfrey {

namespace {

constexpr double kPi = 3.14159265358979;
constexpr double kSlowFactor = 2.5;
constexpr Duration kSlowPeriod = milliseconds(600);
constexpr std::size_t kOrganisationCount = 10;

TimePoint start()
{
    return TimePoint(milliseconds(1000));
}

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace

ServiceQueueSimulation::ServiceQueueSimulation(const ServiceSimulationConfig &config,
                                               ServicePolicy &policy)
    : m_config(config), m_policy(policy), m_arrivalRandom(config.seed),
      m_serviceTimeRandom(config.seed + 1), m_policyRandom(config.seed + 2),
      m_servers(config.servers)
{ }

double ServiceQueueSimulation::arrivalRateAt(TimePoint now) const
{
    const double turns = toSeconds(now - start()) / toSeconds(m_config.wavePeriod);
    return m_config.requestsPerSecond * (1 + m_config.waveAmplitude * std::sin(2 * kPi * turns));
}

void ServiceQueueSimulation::generateArrivals(TimePoint now)
{
    if (now - start() >= m_config.duration)
        return;
    std::uniform_real_distribution<double> uniform(0, 1);
    const bool isHot = isMiddleThird(now);
    const double extra =
        isHot ? m_config.largestOrganisationShare * (m_config.hotLoadFactor - 1) : 0;
    const double factor = (isHot ? m_config.overloadFactor : 1) * (1 + extra);
    do {
        SimulatedServiceRequest request;
        request.router = m_arrivalRandom() % m_config.routers;
        request.arrivedAt = now;
        const double share = (m_config.largestOrganisationShare + extra) / (1 + extra);
        const bool isLargest = uniform(m_arrivalRandom) < share;
        request.organisation =
            'o' + std::to_string(isLargest ? 0 : 1 + m_arrivalRandom() % (kOrganisationCount - 1));
        // No random number is drawn for a load of one kind, which is the same as before.
        if (m_config.lessUrgentShare > 0 && uniform(m_arrivalRandom) < m_config.lessUrgentShare)
            request.priority = 1;
        ++m_result.requests;
        ++m_countsByOrganisation[request.organisation].second;
        ++m_result.kinds[request.priority].requests;
        m_result.middleThird.requests += isHot ? 1 : 0;
        m_requests.push_back(std::move(request));
        const std::size_t id = m_requests.size() - 1;
        later(now + m_config.callerTimeout, [this, id](TimePoint then) {
            SimulatedServiceRequest &ended = m_requests[id];
            if (ended.isFinished || ended.isSent)
                return;
            ended.isFinished = true;
            ++m_result.heldInVain;
            ++m_result.timedOut;
            m_result.longestRefusal = std::max(m_result.longestRefusal, then - ended.attemptedAt);
        });
        attempt(id, now);
    } while (uniform(m_arrivalRandom) > 1 / m_config.meanBurstSize);
    std::exponential_distribution<double> pause(arrivalRateAt(now) * factor
                                                / m_config.meanBurstSize);
    later(now + fromSeconds(pause(m_arrivalRandom)),
          [this](TimePoint then) { generateArrivals(then); });
}

bool ServiceQueueSimulation::isMiddleThird(TimePoint at) const
{
    const auto third = m_config.duration / 3;
    return at - start() >= third && at - start() < 2 * third;
}

void ServiceQueueSimulation::attempt(std::size_t request, TimePoint now)
{
    m_requests[request].attemptedAt = now;
    ++m_result.attempts;
    m_policy.onRequest(*this, request, now);
}

void ServiceQueueSimulation::send(std::size_t request, std::size_t server, TimePoint now)
{
    m_requests[request].server = server;
    m_requests[request].isSent = true;
    later(now + m_config.networkDelay,
          [this, request](TimePoint then) { arriveAtServer(request, then); });
}

void ServiceQueueSimulation::refuse(std::size_t request, TimePoint now, Duration retryAfter)
{
    SimulatedServiceRequest &refused = m_requests[request];
    if (refused.isFinished)
        return;
    const Duration waited = now - refused.attemptedAt;
    ++m_result.refusedAttempts;
    m_result.longestRefusal = std::max(m_result.longestRefusal, waited);
    if (waited > milliseconds(100))
        ++m_result.lateRefusals;
    const Duration left = callerDeadline(request) - now;
    const TimePoint returnsAt = now + std::min(retryAfter, left / 3);
    if (refused.attempts > m_config.returns || left <= Duration(0)) {
        refused.isFinished = true;
        ++m_result.refused;
        return;
    }
    ++refused.attempts;
    refused.isSent = false;
    refused.router = m_policyRandom() % m_config.routers;
    later(returnsAt, [this, request](TimePoint then) { attempt(request, then); });
}

void ServiceQueueSimulation::arriveAtServer(std::size_t request, TimePoint now)
{
    const std::size_t index = m_requests[request].server;
    Server &server = m_servers[index];
    if (index < m_config.serversDown && isMiddleThird(now)) {
        m_requests[request].isSent = false;
        later(now + m_config.networkDelay,
              [this, request](TimePoint then) { m_policy.onUnreachable(*this, request, then); });
        return;
    }
    if (server.running < m_config.slots) {
        startWork(index, request, now);
    } else if (server.queue.size() < m_config.maxQueued) {
        server.queue.push_back(request);
    } else {
        later(now + m_config.networkDelay, [this, request](TimePoint then) {
            refuse(request, then);
            m_policy.onEnd(*this, request, false, then);
        });
    }
}

Duration ServiceQueueSimulation::drawServiceTime(Server &server, TimePoint now)
{
    // Slow periods of fixed length; the normal periods between them are random, with a mean that
    // gives the configured fraction of slow time.
    if (now >= server.normalUntil) {
        std::exponential_distribution<double> normal(
            1 / (toSeconds(kSlowPeriod) * (1 - m_config.slowFraction) / m_config.slowFraction));
        server.slowUntil = now + kSlowPeriod;
        server.normalUntil = server.slowUntil + fromSeconds(normal(m_serviceTimeRandom));
    }
    const double mean = toSeconds(m_config.meanServiceTime);
    std::exponential_distribution<double> tail(1 / (mean * 2 / 3));
    const double work = mean / 3 + tail(m_serviceTimeRandom);
    return fromSeconds(now < server.slowUntil ? work * kSlowFactor : work);
}

void ServiceQueueSimulation::startWork(std::size_t index, std::size_t request, TimePoint now)
{
    Server &server = m_servers[index];
    ++server.running;
    later(now + drawServiceTime(server, now),
          [this, index, request](TimePoint then) { finishWork(index, request, then); });
}

void ServiceQueueSimulation::finishWork(std::size_t index, std::size_t request, TimePoint now)
{
    Server &server = m_servers[index];
    --server.running;
    if (!server.queue.empty()) {
        const std::size_t next = server.queue.front();
        server.queue.erase(server.queue.begin());
        startWork(index, next, now);
    }
    later(now + m_config.networkDelay, [this, request](TimePoint then) {
        SimulatedServiceRequest &answered = m_requests[request];
        if (!std::exchange(answered.isFinished, true)) {
            const Duration took = then - answered.arrivedAt;
            if (took > m_config.callerTimeout)
                ++m_result.timedOut;
            else
                m_answerTimes.push_back(took);
            if (took <= m_config.callerTimeout) {
                ++m_result.kinds[answered.priority].answered;
                m_result.middleThird.answered += isMiddleThird(answered.arrivedAt) ? 1 : 0;
            }
            if (took <= m_config.objective) {
                ++m_result.onTime;
                ++m_result.kinds[answered.priority].onTime;
                m_result.middleThird.onTime += isMiddleThird(answered.arrivedAt) ? 1 : 0;
                ++m_countsByOrganisation[answered.organisation].first;
            } else if (took <= m_config.callerTimeout) {
                ++m_result.late;
            }
        }
        m_policy.onEnd(*this, request, true, then);
    });
}

ServiceSimulationResult ServiceQueueSimulation::run()
{
    later(start(), [this](TimePoint then) { generateArrivals(then); });
    m_steps.runAll();
    if (!m_answerTimes.empty()) {
        const auto middle =
            m_answerTimes.begin() + static_cast<std::ptrdiff_t>(m_answerTimes.size() / 2);
        std::nth_element(m_answerTimes.begin(), middle, m_answerTimes.end());
        m_result.medianTime = *middle;
    }
    for (const auto &[organisation, counts] : m_countsByOrganisation) {
        m_result.onTimeShareByOrganisation[organisation] =
            static_cast<double>(counts.first) / static_cast<double>(counts.second);
    }
    return m_result;
}

} // namespace comfrey
