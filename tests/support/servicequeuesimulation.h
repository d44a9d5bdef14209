// Plays a load on a small service under scripted time: callers that come in waves and clumps, many
// routers, few servers with few places that queue a little and shed the rest and slow down at
// times. A policy places the requests; the play tells what callers got.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "comfrey/units.h"
#include "support/playsteps.h"

namespace comfrey {

struct ServiceSimulationConfig
{
    std::size_t routers = 73;
    std::size_t servers = 3;
    std::uint32_t slots = 6;
    std::uint32_t maxQueued = 24;   ///< Beyond it a server sheds.
    double requestsPerSecond = 306; ///< Mean arrivals.
    double waveAmplitude = 0.55;    ///< Of the wave around the mean.
    Duration wavePeriod = milliseconds(15000);
    double meanBurstSize = 3;                    ///< Mean requests that come together.
    Duration meanServiceTime = milliseconds(30); ///< Mean; exponential with a floor of a third.
    Duration objective = milliseconds(150);
    Duration callerTimeout = milliseconds(1200); ///< An answer after it reaches nobody.
    Duration networkDelay = milliseconds(1);     ///< One way between routers, and to servers.
    Duration duration = milliseconds(30000);
    double slowFraction = 0.15; ///< Part of the time in which a server takes 2.5 times as long.
    /// Share of one organisation among ten; the others share the rest alike.
    double largestOrganisationShare = 0.2;
    double hotLoadFactor = 1; ///< Of the largest organisation's requests in the middle third.
    std::uint64_t seed = 1;
};

/// What callers got.
struct ServiceSimulationResult
{
    std::size_t requests = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;  ///< Told so at once, or by a server that shed them.
    std::size_t timedOut = 0; ///< No answer within the limit.
    Duration medianTime{0};   ///< Median time of the answers.
    /// Share on time by organisation; the largest is "o0".
    std::map<std::string, double> onTimeShareByOrganisation;

    double onTimeShare() const
    {
        return static_cast<double>(onTime) / static_cast<double>(requests);
    }
    double servedShare() const
    {
        return static_cast<double>(onTime + late) / static_cast<double>(requests);
    }
};

class ServiceQueueSimulation;

/// Places requests. Calls back into the play: send(), refuse().
class ServicePolicy
{
public:
    virtual ~ServicePolicy() = default;
    virtual void onRequest(ServiceQueueSimulation &simulation, std::size_t request,
                           TimePoint now) = 0;
    /// The server is done with it, or shed it.
    virtual void onEnd(ServiceQueueSimulation &simulation, std::size_t request, bool wasExecuted,
                       TimePoint now) = 0;
};

struct SimulatedServiceRequest
{
    std::size_t router = 0;
    std::string organisation;
    TimePoint arrivedAt;
    std::size_t server = 0; ///< Once sent.
    bool isFinished = false;
};

class ServiceQueueSimulation
{
public:
    ServiceQueueSimulation(const ServiceSimulationConfig &config, ServicePolicy &policy);

    ServiceSimulationResult run();

    const ServiceSimulationConfig &config() const { return m_config; }
    const SimulatedServiceRequest &request(std::size_t id) const { return m_requests[id]; }
    /// Of the policy's own choices.
    std::mt19937_64 &random() { return m_policyRandom; }

    // For policies.
    void send(std::size_t request, std::size_t server, TimePoint now);
    void refuse(std::size_t request, TimePoint now);
    void later(TimePoint at, PlaySteps::Step step) { m_steps.later(at, std::move(step)); }

private:
    struct Server
    {
        std::size_t running = 0;
        std::vector<std::size_t> queue; ///< In order.
        TimePoint slowUntil = TimePoint::min();
        TimePoint normalUntil = TimePoint::min();
    };

    void generateArrivals(TimePoint now);
    void arriveAtServer(std::size_t request, TimePoint now);
    void startWork(std::size_t server, std::size_t request, TimePoint now);
    void finishWork(std::size_t server, std::size_t request, TimePoint now);
    Duration drawServiceTime(Server &server, TimePoint now);
    double arrivalRateAt(TimePoint now) const;

    const ServiceSimulationConfig m_config;
    ServicePolicy &m_policy;
    // One for each concern, so that every policy meets the same load.
    std::mt19937_64 m_arrivalRandom;
    std::mt19937_64 m_serviceTimeRandom;
    std::mt19937_64 m_policyRandom;
    std::vector<SimulatedServiceRequest> m_requests;
    std::vector<Server> m_servers;
    PlaySteps m_steps;
    ServiceSimulationResult m_result;
    std::vector<Duration> m_answerTimes;
    std::map<std::string, std::pair<std::size_t, std::size_t>>
        m_countsByOrganisation; ///< On time, asked.
};

} // namespace comfrey
