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
#include "support/simulationsteps.h"

namespace comfrey {

struct ServiceLoad
{
    std::size_t routers = 73;
    std::size_t servers = 3;
    std::uint32_t slots = 6;
    std::uint32_t queue = 24; ///< Beyond it a server sheds.
    double perSecond = 306;   ///< Mean arrivals.
    double swing = 0.55;      ///< Of the wave around the mean.
    Duration wave = milliseconds(15000);
    double clump = 3;                 ///< Mean requests that come together.
    Duration work = milliseconds(30); ///< Mean; exponential with a floor of a third.
    Duration objective = milliseconds(150);
    Duration limit = milliseconds(1200); ///< An answer after it reaches nobody.
    Duration hop = milliseconds(1);      ///< One way between routers, and to servers.
    Duration length = milliseconds(30000);
    double slowShare = 0.15; ///< Part of the time in which a server takes 2.5 times as long.
    /// Share of one organisation among ten; the others share the rest alike.
    double largestShare = 0.2;
    double hotFactor = 1; ///< Of the largest organisation's requests in the middle third.
    std::uint64_t seed = 1;
};

/// What callers got.
struct ServiceResult
{
    std::size_t asked = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0; ///< Told so at once, or by a server that shed them.
    std::size_t lost = 0;    ///< No answer within the limit.
    Duration middle{0};      ///< Median time of the answers.
    /// Share on time by organisation; the largest is "o0".
    std::map<std::string, double> onTimeOf;

    double onTimeShare() const { return static_cast<double>(onTime) / static_cast<double>(asked); }
    double servedShare() const
    {
        return static_cast<double>(onTime + late) / static_cast<double>(asked);
    }
};

class ServicePlay;

/// Places requests. Calls back into the play: send(), refuse().
class ServicePolicy
{
public:
    virtual ~ServicePolicy() = default;
    virtual void onRequest(ServicePlay &play, std::size_t request, TimePoint now) = 0;
    /// The server is done with it, or shed it.
    virtual void onEnd(ServicePlay &play, std::size_t request, bool wasRun, TimePoint now) = 0;
};

struct PlayedRequest
{
    std::size_t router = 0;
    std::string organisation;
    TimePoint at;
    std::size_t server = 0; ///< Once sent.
    bool isOver = false;
};

class ServicePlay
{
public:
    ServicePlay(const ServiceLoad &load, ServicePolicy &policy);

    ServiceResult run();

    const ServiceLoad &load() const { return m_load; }
    const PlayedRequest &request(std::size_t id) const { return m_requests[id]; }
    /// Of the policy's own choices.
    std::mt19937_64 &random() { return m_policyRandom; }

    // For policies.
    void send(std::size_t request, std::size_t server, TimePoint now);
    void refuse(std::size_t request, TimePoint now);
    void later(TimePoint at, SimulationSteps::Step step) { m_steps.schedule(at, std::move(step)); }

private:
    struct Server
    {
        std::size_t running = 0;
        std::vector<std::size_t> queue; ///< In order.
        TimePoint slowUntil = TimePoint::min();
        TimePoint usualUntil = TimePoint::min();
    };

    void arrive(TimePoint now);
    void reach(std::size_t request, TimePoint now);
    void begin(std::size_t server, std::size_t request, TimePoint now);
    void finish(std::size_t server, std::size_t request, TimePoint now);
    Duration workOf(Server &server, TimePoint now);
    double rateAt(TimePoint now) const;

    const ServiceLoad m_load;
    ServicePolicy &m_policy;
    // One for each concern, so that every policy meets the same load.
    std::mt19937_64 m_arrivals;
    std::mt19937_64 m_work;
    std::mt19937_64 m_policyRandom;
    std::vector<PlayedRequest> m_requests;
    std::vector<Server> m_servers;
    SimulationSteps m_steps;
    ServiceResult m_result;
    std::vector<Duration> m_times;
    std::map<std::string, std::pair<std::size_t, std::size_t>>
        m_byOrganisation; ///< On time, asked.
};

} // namespace comfrey
