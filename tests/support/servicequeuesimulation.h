// Simulation of a small service under simulated time: many routers and few servers, requests that
// come in waves and bursts, and servers that queue a few requests, shed the rest and are slow at
// times. A policy chooses the server of each request; the result is what the callers got.
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
#include "support/simulationsteps.h"

namespace comfrey {

/// Load, servers and callers of the simulation.
struct ServiceSimulationConfig
{
    std::size_t routers = 73;
    std::size_t servers = 3;
    std::uint32_t slots = 6;
    std::uint32_t maxQueued = 24;   ///< Requests queued at a server; it sheds the rest.
    double requestsPerSecond = 306; ///< Mean arrival rate.
    double waveAmplitude = 0.55;    ///< Amplitude of the sine wave, relative to the mean rate.
    Duration wavePeriod = milliseconds(15000);
    double meanBurstSize = 3;                    ///< Requests that arrive together.
    Duration meanServiceTime = milliseconds(30); ///< Exponential above a third of the mean.
    Duration objective = milliseconds(150);
    Duration callerTimeout = milliseconds(1200); ///< The caller leaves after this time.
    Duration networkDelay = milliseconds(1);     ///< One way, between routers and to servers.
    Duration duration = milliseconds(30000);
    double slowFraction = 0.15; ///< Fraction of the time in which a server takes 2.5 times as long.
    /// Share of the largest of ten organisations; the others share the rest equally.
    double largestOrganisationShare = 0.2;
    double hotLoadFactor = 1; ///< Load factor of the largest organisation in the middle third.
    /// Load factor of all organisations in the middle third.
    double overloadFactor = 1;
    /// Share of the requests that are of the less urgent kind (priority 1); the others have 0.
    double lessUrgentShare = 0;
    std::uint32_t returns = 0;   ///< How often a refused caller comes back.
    std::size_t serversDown = 0; ///< Servers that refuse connections in the middle third.
    std::uint64_t seed = 1;
};

/// What the callers got. Each count is a number of requests.
struct ServiceSimulationResult
{
    std::size_t requests = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;  ///< Refused by the policy, or shed by a server.
    std::size_t timedOut = 0; ///< No answer within the caller timeout.
    Duration medianTime{0};   ///< Median answer time.
    std::size_t attempts = 0; ///< Requests, and returns of refused callers.
    std::size_t refusedAttempts = 0;
    Duration longestRefusal{0};   ///< Longest time from an attempt's arrival to its refusal.
    std::size_t lateRefusals = 0; ///< Attempts refused more than 0.1 s after their arrival.
    std::size_t heldInVain = 0;   ///< Requests whose time ended before they were sent or refused.
    /// Requests that are answered on time, answered at all, and asked, by priority.
    struct Kind
    {
        std::size_t onTime = 0;
        std::size_t answered = 0;
        std::size_t requests = 0;

        double onTimeShare() const
        {
            return static_cast<double>(onTime) / static_cast<double>(requests);
        }
        double answeredShare() const
        {
            return static_cast<double>(answered) / static_cast<double>(requests);
        }
    };
    std::map<std::uint32_t, Kind> kinds;
    Kind middleThird; ///< Of the requests that arrived in the middle third.
    /// Share of the requests answered on time, by organisation; the largest is "o0".
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

/// Chooses the server of each request, and calls send() or refuse() of the simulation.
class ServicePolicy
{
public:
    virtual ~ServicePolicy() = default;
    /// A request has arrived at its router.
    virtual void onRequest(ServiceQueueSimulation &simulation, std::size_t request,
                           TimePoint now) = 0;
    /// The server has executed the request, or shed it if not `wasExecuted`.
    virtual void onEnd(ServiceQueueSimulation &simulation, std::size_t request, bool wasExecuted,
                       TimePoint now) = 0;
    /// The request's server refused the connection.
    virtual void onUnreachable(ServiceQueueSimulation &simulation, std::size_t request,
                               TimePoint now)
    {
        onEnd(simulation, request, false, now);
    }
};

/// State of one request.
struct SimulatedServiceRequest
{
    std::size_t router = 0;
    std::string organisation;
    std::uint32_t priority = 0;
    TimePoint arrivedAt;   ///< The caller's first attempt.
    TimePoint attemptedAt; ///< The caller's present attempt.
    std::uint32_t attempts = 1;
    std::size_t server = 0; ///< Valid after send().
    bool isSent = false;
    bool isFinished = false;
};

/// Runs one load against one policy.
class ServiceQueueSimulation
{
public:
    ServiceQueueSimulation(const ServiceSimulationConfig &config, ServicePolicy &policy);

    /// Runs until every request has ended. To be called once.
    ServiceSimulationResult run();

    const ServiceSimulationConfig &config() const { return m_config; }
    const SimulatedServiceRequest &request(std::size_t id) const { return m_requests[id]; }
    /// Random numbers for the policy.
    std::mt19937_64 &random() { return m_policyRandom; }

    // Called by policies.
    /// Sends the request to the server, where it arrives after the network delay.
    void send(std::size_t request, std::size_t server, TimePoint now);
    /// Ends the attempt as refused, unless the request has ended already. The caller comes back
    /// after `retryAfter`, or after a third of its time if that is less.
    void refuse(std::size_t request, TimePoint now, Duration retryAfter = milliseconds(200));
    TimePoint callerDeadline(std::size_t request) const
    {
        return m_requests[request].arrivedAt + m_config.callerTimeout;
    }
    bool isMiddleThird(TimePoint at) const;
    /// Runs the step at the given time.
    void later(TimePoint at, SimulationSteps::Step step) { m_steps.schedule(at, std::move(step)); }

private:
    struct Server
    {
        std::size_t running = 0;
        std::vector<std::size_t> queue; ///< In order of arrival.
        TimePoint slowUntil = TimePoint::min();
        TimePoint normalUntil = TimePoint::min();
    };

    void generateArrivals(TimePoint now);
    void attempt(std::size_t request, TimePoint now);
    void arriveAtServer(std::size_t request, TimePoint now);
    void startWork(std::size_t server, std::size_t request, TimePoint now);
    void finishWork(std::size_t server, std::size_t request, TimePoint now);
    Duration drawServiceTime(Server &server, TimePoint now);
    double arrivalRateAt(TimePoint now) const;

    const ServiceSimulationConfig m_config;
    ServicePolicy &m_policy;
    // One generator for each purpose, so that every policy gets the same load.
    std::mt19937_64 m_arrivalRandom;
    std::mt19937_64 m_serviceTimeRandom;
    std::mt19937_64 m_policyRandom;
    std::vector<SimulatedServiceRequest> m_requests;
    std::vector<Server> m_servers;
    SimulationSteps m_steps;
    ServiceSimulationResult m_result;
    std::vector<Duration> m_answerTimes;
    std::map<std::string, std::pair<std::size_t, std::size_t>>
        m_countsByOrganisation; ///< Requests on time, all requests.
};

} // namespace comfrey
