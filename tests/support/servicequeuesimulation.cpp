// The model of a small service.
#include "support/servicequeuesimulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfrey {

namespace {

constexpr double kPi = 3.14159265358979;
constexpr double kSlowFactor = 2.5;
constexpr Duration kSlowSpell = milliseconds(600);
constexpr std::size_t kOrganisations = 10;

TimePoint start()
{
    return TimePoint(milliseconds(1000));
}

double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

Duration ofSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace

ServicePlay::ServicePlay(const ServiceLoad &load, ServicePolicy &policy)
    : m_load(load), m_policy(policy), m_arrivals(load.seed), m_work(load.seed + 1),
      m_policyRandom(load.seed + 2), m_servers(load.servers)
{ }

double ServicePlay::rateAt(TimePoint now) const
{
    const double turns = secondsOf(now - start()) / secondsOf(m_load.wave);
    return m_load.perSecond * (1 + m_load.swing * std::sin(2 * kPi * turns));
}

void ServicePlay::arrive(TimePoint now)
{
    if (now - start() >= m_load.length)
        return;
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto third = m_load.length / 3;
    const bool isHot = now - start() >= third && now - start() < 2 * third;
    const double extra = isHot ? m_load.largestShare * (m_load.hotFactor - 1) : 0;
    do {
        PlayedRequest request;
        request.router = m_arrivals() % m_load.routers;
        request.at = now;
        const double share = (m_load.largestShare + extra) / (1 + extra);
        const bool isLargest = uniform(m_arrivals) < share;
        request.organisation =
            'o' + std::to_string(isLargest ? 0 : 1 + m_arrivals() % (kOrganisations - 1));
        m_requests.push_back(std::move(request));
        ++m_result.asked;
        ++m_byOrganisation[m_requests.back().organisation].second;
        m_policy.onRequest(*this, m_requests.size() - 1, now);
    } while (uniform(m_arrivals) > 1 / m_load.clump);
    std::exponential_distribution<double> pause(rateAt(now) * (1 + extra) / m_load.clump);
    later(now + ofSeconds(pause(m_arrivals)), [this](TimePoint at) { arrive(at); });
}

void ServicePlay::send(std::size_t request, std::size_t server, TimePoint now)
{
    m_requests[request].server = server;
    later(now + m_load.hop, [this, request](TimePoint at) { reach(request, at); });
}

void ServicePlay::refuse(std::size_t request, TimePoint)
{
    if (std::exchange(m_requests[request].isOver, true))
        return;
    ++m_result.refused;
}

void ServicePlay::reach(std::size_t request, TimePoint now)
{
    const std::size_t index = m_requests[request].server;
    Server &server = m_servers[index];
    if (server.running < m_load.slots) {
        begin(index, request, now);
    } else if (server.queue.size() < m_load.queue) {
        server.queue.push_back(request);
    } else {
        later(now + m_load.hop, [this, request](TimePoint at) {
            refuse(request, at);
            m_policy.onEnd(*this, request, false, at);
        });
    }
}

Duration ServicePlay::workOf(Server &server, TimePoint now)
{
    // Spells of slowness that take up their share of the time.
    if (now >= server.usualUntil) {
        std::exponential_distribution<double> usual(
            1 / (secondsOf(kSlowSpell) * (1 - m_load.slowShare) / m_load.slowShare));
        server.slowUntil = now + kSlowSpell;
        server.usualUntil = server.slowUntil + ofSeconds(usual(m_work));
    }
    const double mean = secondsOf(m_load.work);
    std::exponential_distribution<double> tail(1 / (mean * 2 / 3));
    const double work = mean / 3 + tail(m_work);
    return ofSeconds(now < server.slowUntil ? work * kSlowFactor : work);
}

void ServicePlay::begin(std::size_t index, std::size_t request, TimePoint now)
{
    Server &server = m_servers[index];
    ++server.running;
    later(now + workOf(server, now),
          [this, index, request](TimePoint at) { finish(index, request, at); });
}

void ServicePlay::finish(std::size_t index, std::size_t request, TimePoint now)
{
    Server &server = m_servers[index];
    --server.running;
    if (!server.queue.empty()) {
        const std::size_t next = server.queue.front();
        server.queue.erase(server.queue.begin());
        begin(index, next, now);
    }
    later(now + m_load.hop, [this, request](TimePoint at) {
        PlayedRequest &played = m_requests[request];
        if (!std::exchange(played.isOver, true)) {
            const Duration took = at - played.at;
            if (took > m_load.limit)
                ++m_result.lost;
            else
                m_times.push_back(took);
            if (took <= m_load.objective) {
                ++m_result.onTime;
                ++m_byOrganisation[played.organisation].first;
            } else if (took <= m_load.limit) {
                ++m_result.late;
            }
        }
        m_policy.onEnd(*this, request, true, at);
    });
}

ServiceResult ServicePlay::run()
{
    later(start(), [this](TimePoint at) { arrive(at); });
    m_steps.runAll();
    if (!m_times.empty()) {
        const auto middle = m_times.begin() + static_cast<std::ptrdiff_t>(m_times.size() / 2);
        std::nth_element(m_times.begin(), middle, m_times.end());
        m_result.middle = *middle;
    }
    for (const auto &[organisation, counts] : m_byOrganisation) {
        m_result.onTimeOf[organisation] =
            static_cast<double>(counts.first) / static_cast<double>(counts.second);
    }
    return m_result;
}

} // namespace comfrey
