// One queue for the requests of all routers before the servers of a small service.
//
// Load: 73 to 300 routers share 3 to 7 servers with 6 places each. A router sees a sliver of the
// requests and hears of the others' a few hundred milliseconds late, while a place is free again
// after 30: placed by each router alone, requests wait before some servers while others idle, and
// at a peak all of them are late instead of a few.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "comfrey/units.h"

namespace comfrey {

/// A request that wants a place at a server.
struct PlaceWish
{
    std::uint64_t id = 0; ///< Unique among those that wait.
    std::string organisation;
    std::uint32_t priority = 0;          ///< 0 is the most urgent.
    TimePoint onTimeUntil;               ///< An answer by then is on time.
    TimePoint until;                     ///< An answer after that reaches nobody.
    std::vector<std::uint32_t> excluded; ///< Servers that the request is not to go to.
};

struct PlaceDecision
{
    std::uint64_t wish = 0;
    std::uint64_t place = 0;  ///< 0: refused.
    std::uint32_t server = 0; ///< Hash of the server's incarnation.
    Duration retryAfter{0};   ///< Of a refusal.
};

/// How the use of a place ended.
enum class PlaceEnd : std::uint8_t {
    Unused,      ///< The request left before it was sent.
    Answered,    ///< Well, in the server's usual time.
    NotRun,      ///< The server had no room.
    Failed,      ///< With a failure, or without an answer.
    Unreachable, ///< No connection.
};

struct QueueServer
{
    std::uint32_t hash = 0; ///< Of the incarnation.
    std::uint32_t slots = 1;
};

class ServiceQueue
{
public:
    /// Requests over a server's slots: the next ones are on their way when a place becomes free.
    static constexpr std::uint32_t kSpare = 3;

    /// The servers that take work now.
    void setServers(const std::vector<QueueServer> &servers);
    bool hasServers() const { return !m_servers.empty(); }

    void add(PlaceWish wish, TimePoint now);
    /// The request waits no longer. False if it had its decision.
    bool withdraw(std::uint64_t wish);
    void end(std::uint64_t place, PlaceEnd end, TimePoint now);
    /// All decisions that can be made now.
    std::vector<PlaceDecision> decide(TimePoint now);

    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t used() const { return m_places.size(); }

private:
    struct Server
    {
        std::uint32_t slots = 1;
        std::uint32_t used = 0;
        double timeUs = 0;        ///< Smoothed time for which a place is used; 0 before the first.
        double failureShare = 0;  ///< Smoothed.
        std::uint32_t misses = 0; ///< Connections that failed, in a row.
        TimePoint pausedUntil = TimePoint::min();
    };

    struct Place
    {
        std::uint32_t server = 0;
        TimePoint since;
        TimePoint lapsesAt; ///< Its router has died or lost the way here.
    };

    using Waiting = std::list<PlaceWish>;

    /// Of a server that is listed again: its places may still be in use.
    std::uint32_t usedAt(std::uint32_t server) const;
    void dropLapsed(TimePoint now);
    void refuseHopeless(TimePoint now, std::vector<PlaceDecision> &decisions);
    /// The wish to serve next of those that some server can take; the end if there is none.
    Waiting::iterator next(TimePoint now);
    bool comesBefore(const PlaceWish &left, const PlaceWish &right, TimePoint now) const;
    /// The best free server for the wish, or null.
    std::map<std::uint32_t, Server>::iterator serverFor(const PlaceWish &wish, TimePoint now);
    double meanTimeUs() const;
    std::uint32_t slots() const; ///< Of all servers, at least 1.
    bool isOnTime(const PlaceWish &wish, TimePoint now) const;
    /// Most requests that wait though they can't be on time any more.
    std::size_t lateBound() const;
    Duration drainTime() const;
    /// What the organisation got lately against what it usually asks for.
    double shareOf(const std::string &organisation) const;
    void halveCounts(TimePoint now);

    std::map<std::uint32_t, Server> m_servers; ///< By hash of the incarnation.
    std::map<std::uint64_t, Place> m_places;
    Waiting m_waiting; ///< In order of arrival.
    struct Organisation
    {
        double asked = 0;   ///< Slowly forgotten: its usual part of the requests.
        double granted = 0; ///< Quickly forgotten.
    };

    std::map<std::string, Organisation> m_organisations;
    TimePoint m_halvedAt = TimePoint::min();
    std::uint64_t m_lastPlace = 0;
};

} // namespace comfrey
