// Decides whether a request may be sent to an engine of its service now, is held for a moment, or
// is refused, while the engines of the service are nearly full. With room, every request is sent.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"
#include "dispatch/workestimate.h"

namespace comfrey {

/// Room of the engines of one service, as this router knows it.
struct EngineRoom
{
    double load = 0;          ///< Requests of all routers at the engines that take work.
    double slots = 0;         ///< Of these engines; 0 if the configuration does not tell them.
    double local = 0;         ///< Requests of this router at them.
    Tokens largestMemory = 0; ///< Memory of one engine; 0: unknown.
    Duration meanSlotTime{0}; ///< Smoothed time that a request occupies a slot.
};

/// A request that asks for a place at an engine.
struct EngineAsk
{
    std::string id; ///< Of the request; the same each time it asks.
    ServiceName service;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::string organisation;   ///< Empty on public routes.
    TimePoint arrivedAt;
    Duration age{0};       ///< Time that its caller had waited before, when it arrived.
    Duration objective{0}; ///< Time from the arrival within which the first token is on time.
    TimePoint deadline;    ///< Nobody waits for an answer after it.
    WorkEstimate work;
};

/// The outcome of an ask, and the figures behind it for the log.
struct EngineVerdict
{
    enum class Answer : std::uint8_t { Send, Hold, Refuse };

    Answer answer = Answer::Send;
    TimePoint askAgainAt;   ///< With Hold.
    Duration retryAfter{0}; ///< With Refuse.
    const char *reason = "";
    double load = 0;  ///< Known share of the slots that is taken.
    double limit = 0; ///< Local requests up to which this one would be sent; 0: not limited.
    double local = 0;
    bool hasChanged = false;   ///< The service became nearly full with this ask, or has room again.
    bool isNearlyFull = false; ///< Only then are requests held, or refused for lack of room.
};

/// Admission to the engines of all services.
class EngineAdmission
{
public:
    virtual ~EngineAdmission() = default;
    /// Decides on a request that has not been sent yet. A request that is held asks again at the
    /// time that the verdict states, or calls withdraw().
    virtual EngineVerdict ask(const EngineAsk &request, const EngineRoom &room, TimePoint now) = 0;
    /// A request that is held does not ask again.
    virtual void withdraw(const ServiceName &service, const std::string &id) = 0;
    /// The first token of a request came after this part of its objective.
    virtual void onFirstToken(const ServiceName &service, double objectiveShare, TimePoint now) = 0;
};

/// Sums that fade with time: what was added counts 1/e after the time constant.
class FadingSum
{
public:
    explicit FadingSum(Duration constant) : m_constant(constant) { }
    void add(double amount, TimePoint now);
    double value(TimePoint now) const;

private:
    Duration m_constant;
    double m_value = 0;
    TimePoint m_at = TimePoint::min();
};

/// Admission by a limit on the local requests of a service: this router's share of the places,
/// which it has learnt from its share of the requests of all routers. So routers that know of each
/// other's requests a second late keep to the places together without a message for each request.
/// The more urgent a request, the further above the limit it may go; organisations that send more
/// than they usually do come after the others of the same priority. Load: 75 to 300 routers that
/// each see 5 to 15 requests a second.
class ShareAdmission : public EngineAdmission
{
public:
    explicit ShareAdmission(std::uint64_t seed) : m_random(seed) { }
    EngineVerdict ask(const EngineAsk &request, const EngineRoom &room, TimePoint now) override;
    void withdraw(const ServiceName &service, const std::string &id) override;
    void onFirstToken(const ServiceName &service, double objectiveShare, TimePoint now) override;
    /// Requests that are held now.
    std::size_t held(const ServiceName &service) const;

private:
    static constexpr Duration kServedMemory = milliseconds(3000);
    static constexpr Duration kUsualMemory = milliseconds(20000);

    /// Requests of one priority or organisation.
    struct Tally
    {
        FadingSum asked{kServedMemory};
        FadingSum sent{kServedMemory};
        FadingSum usual{kUsualMemory}; ///< Asked for while there was room.
    };
    /// Place of a request among those that are held; lower goes first.
    struct Order
    {
        std::uint32_t priority = 0;
        bool isOverShare = false;
        TimePoint latestStart; ///< Later, its first token would be late.
        std::uint64_t sequence = 0;
        bool operator<(const Order &other) const
        {
            return std::tie(priority, isOverShare, latestStart, sequence)
                < std::tie(other.priority, other.isOverShare, other.latestStart, other.sequence);
        }
    };
    struct HeldRequest
    {
        std::string id;
        Order order;
        TimePoint until; ///< Expires a little later if the request never asks again.
    };
    struct Service
    {
        double localMean = 0;   ///< Smoothed local requests and requests of all routers; their
        double fleetMean = 0;   ///< quotient is this router's share.
        double localRecent = 0; ///< Local requests, smoothed over the age of the others' news.
        double correction = 1;  ///< Of the limits, so that the fleet reaches its target.
        double proportion = 1;  ///< Target over load, where the load is above it.
        double load = 0;        ///< Of all routers; the lower of what is known and foreseen.
        double targetShare = 1; ///< Share of the slots that may be taken; lower while waits grow.
        double objectiveShare = 0; ///< Smoothed first-token time as a part of the objective.
        bool isNearlyFull = false;
        TimePoint updatedAt = TimePoint::min();
        TimePoint lastReturnAt = TimePoint::min(); ///< Latest return that a Retry-After named.
        Tally all;
        std::map<std::uint32_t, Tally> priorities;
        std::map<std::string, Tally> organisations;
        std::vector<HeldRequest> held; ///< In order; at most kMaxHeld.
    };

    static void update(Service &service, const EngineRoom &room, TimePoint now);
    static bool isOverShare(const Service &service, const std::string &organisation, TimePoint now);
    /// True if a far smaller share of the tally's requests was sent than of all requests.
    static bool isStarved(const Service &service, const Tally &tally, TimePoint now);
    /// True if a request of the tally asked lately.
    static bool isActive(const Tally &tally, TimePoint now);
    /// The most urgent priority that asked lately.
    static std::uint32_t mostUrgent(const Service &service, std::uint32_t priority, TimePoint now);
    static double limit(const Service &service, const EngineRoom &room, std::uint32_t priority,
                        bool isOverShare, TimePoint now);
    EngineVerdict send(Service &service, const EngineAsk &request, EngineVerdict verdict,
                       TimePoint now);
    EngineVerdict refuse(Service &service, const EngineAsk &request, const EngineRoom &room,
                         const char *reason, EngineVerdict verdict, TimePoint now);
    static void forget(Service &service, const std::string &id);

    std::map<ServiceName, Service> m_services;
    std::uint64_t m_sequence = 0;
    std::mt19937_64 m_random;
};

} // namespace comfrey
