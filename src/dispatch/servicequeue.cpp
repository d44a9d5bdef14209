// Who gets the next free place, and at which server.
#include "dispatch/servicequeue.h"

#include <algorithm>
#include <limits>

namespace comfrey {

namespace {

constexpr double kTimeWeight = 0.1;     ///< Of one use in a server's smoothed time.
constexpr double kFailureWeight = 0.25; ///< Of one end in the smoothed share of failures.
/// How much worse a server is that fails all requests than one that fails none.
constexpr double kFailurePenalty = 4;
constexpr double kUsualTimeUs = 30000;                    // before the first use has ended
constexpr Duration kFullPause = milliseconds(30);         // about one use of a place
constexpr Duration kUnreachablePause = milliseconds(500); // a restart takes a second or more
constexpr std::uint32_t kMostDoublings = 3;               // 4 s: a crashed server is back by then
constexpr Duration kLapseMargin = milliseconds(500);      // of a message that is late
constexpr Duration kHalving = milliseconds(1000);         // about the length of a clump of requests
/// Of the counted asks, each second: half of them are forgotten after 30 s, a few bursts' length.
constexpr double kAskedKept = 0.977;
/// Under it an organisation's usual part is not known yet.
constexpr double kFewAsks = 20;
/// Times the mean use of a place: slow servers take longer than the mean.
constexpr double kNeededFactor = 2;
/// Of work for requests that can't be on time any more: a lull between two clumps takes that much.
constexpr Duration kLateBacklog = milliseconds(1000);
constexpr Duration kShortestRetry = milliseconds(800);
constexpr Duration kLongestRetry = milliseconds(3000);

} // namespace

void ServiceQueue::setServers(const std::vector<QueueServer> &servers)
{
    std::map<std::uint32_t, Server> present;
    for (const QueueServer &server : servers) {
        const auto known = m_servers.find(server.hash);
        Server &entry = present[server.hash];
        if (known != m_servers.end())
            entry = known->second;
        else
            entry.used = usedAt(server.hash);
        entry.slots = std::max(1U, server.slots);
    }
    m_servers = std::move(present);
}

std::uint32_t ServiceQueue::usedAt(std::uint32_t server) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_places.begin(), m_places.end(),
                      [server](const auto &entry) { return entry.second.server == server; }));
}

bool ServiceQueue::withdraw(std::uint64_t wish)
{
    return std::erase_if(m_waiting, [wish](const PlaceWish &waiting) { return waiting.id == wish; })
        > 0;
}

void ServiceQueue::end(std::uint64_t place, PlaceEnd end, TimePoint now)
{
    const auto found = m_places.find(place);
    if (found == m_places.end())
        return;
    const Place used = found->second;
    m_places.erase(found);
    const auto entry = m_servers.find(used.server);
    if (entry == m_servers.end())
        return;
    Server &server = entry->second;
    server.used -= server.used > 0 ? 1 : 0;
    const bool isFailure = end == PlaceEnd::Failed || end == PlaceEnd::Unreachable;
    if (end != PlaceEnd::Unused && end != PlaceEnd::NotRun)
        server.failureShare += kFailureWeight * ((isFailure ? 1 : 0) - server.failureShare);
    if (end == PlaceEnd::Answered) {
        const auto time = static_cast<double>((now - used.since).count());
        server.timeUs =
            server.timeUs == 0 ? time : server.timeUs + kTimeWeight * (time - server.timeUs);
        server.misses = 0;
    }
    if (end == PlaceEnd::NotRun)
        server.pausedUntil = std::max(server.pausedUntil, now + kFullPause);
    if (end == PlaceEnd::Unreachable) {
        server.pausedUntil =
            now + kUnreachablePause * (1U << std::min(server.misses, kMostDoublings));
        ++server.misses;
    }
}

double ServiceQueue::meanTimeUs() const
{
    double total = 0;
    std::size_t count = 0;
    for (const auto &[hash, server] : m_servers) {
        if (server.timeUs > 0) {
            total += server.timeUs;
            ++count;
        }
    }
    return count == 0 ? kUsualTimeUs : total / static_cast<double>(count);
}

std::uint32_t ServiceQueue::slots() const
{
    std::uint32_t slots = 0;
    for (const auto &[hash, server] : m_servers)
        slots += server.slots;
    return std::max(1U, slots);
}

bool ServiceQueue::isOnTime(const PlaceWish &wish, TimePoint now) const
{
    return now + Duration(static_cast<std::int64_t>(meanTimeUs())) <= wish.onTimeUntil;
}

std::size_t ServiceQueue::lateBound() const
{
    const double rounds = static_cast<double>(kLateBacklog.count()) / meanTimeUs();
    return static_cast<std::size_t>(rounds * slots());
}

Duration ServiceQueue::drainTime() const
{
    const double rounds = static_cast<double>(m_waiting.size()) / slots();
    return Duration(static_cast<std::int64_t>(rounds * meanTimeUs()));
}

void ServiceQueue::dropLapsed(TimePoint now)
{
    for (auto place = m_places.begin(); place != m_places.end();) {
        if (now < place->second.lapsesAt) {
            ++place;
            continue;
        }
        const auto server = m_servers.find(place->second.server);
        if (server != m_servers.end())
            server->second.used -= server->second.used > 0 ? 1 : 0;
        place = m_places.erase(place);
    }
}

void ServiceQueue::refuseHopeless(TimePoint now, std::vector<PlaceDecision> &decisions)
{
    const Duration needed(static_cast<std::int64_t>(kNeededFactor * meanTimeUs()));
    const Duration retry = std::clamp(drainTime(), kShortestRetry, kLongestRetry);
    std::size_t late = 0;
    const std::size_t mostLate = lateBound();
    std::erase_if(m_waiting, [&](const PlaceWish &wish) {
        // Of those who can't be on time any more, the first ones wait for a lull.
        const bool fits = isOnTime(wish, now) || late++ < mostLate;
        if (fits && now + needed <= wish.until)
            return false;
        decisions.push_back({wish.id, 0, 0, retry});
        return true;
    });
}

double ServiceQueue::shareOf(const std::string &organisation) const
{
    const auto found = m_organisations.find(organisation);
    return found == m_organisations.end()
        ? 0
        : found->second.granted / (found->second.asked + kFewAsks);
}

void ServiceQueue::halveCounts(TimePoint now)
{
    if (m_halvedAt == TimePoint::min())
        m_halvedAt = now;
    while (now - m_halvedAt >= kHalving) {
        m_halvedAt += kHalving;
        for (auto &[name, counts] : m_organisations) {
            counts.granted /= 2;
            counts.asked *= kAskedKept;
        }
        std::erase_if(m_organisations, [](const auto &entry) { return entry.second.asked < 0.1; });
        if (m_organisations.empty())
            m_halvedAt = now;
    }
}

void ServiceQueue::add(PlaceWish wish, TimePoint now)
{
    halveCounts(now);
    m_organisations[wish.organisation].asked += 1;
    m_waiting.push_back(std::move(wish));
}

// On time before late: who is late already gets as much from a place a little later. Then by
// priority, then whoever's organisation had least lately for what it usually asks, then by arrival.
bool ServiceQueue::comesBefore(const PlaceWish &left, const PlaceWish &right, TimePoint now) const
{
    const bool leftOnTime = isOnTime(left, now);
    const bool rightOnTime = isOnTime(right, now);
    if (leftOnTime != rightOnTime)
        return leftOnTime;
    if (left.priority != right.priority)
        return left.priority < right.priority;
    return shareOf(left.organisation) < shareOf(right.organisation);
}

std::map<std::uint32_t, ServiceQueue::Server>::iterator
ServiceQueue::serverFor(const PlaceWish &wish, TimePoint now)
{
    auto best = m_servers.end();
    double bestScore = std::numeric_limits<double>::max();
    for (auto server = m_servers.begin(); server != m_servers.end(); ++server) {
        const Server &entry = server->second;
        if (entry.used >= entry.slots + kSpare || now < entry.pausedUntil)
            continue;
        if (std::find(wish.excluded.begin(), wish.excluded.end(), server->first)
            != wish.excluded.end())
            continue;
        const double filled = static_cast<double>(entry.used + 1) / entry.slots;
        const double time = entry.timeUs > 0 ? entry.timeUs : meanTimeUs();
        const double score = time * (1 + filled) * (1 + kFailurePenalty * entry.failureShare);
        if (score < bestScore) {
            bestScore = score;
            best = server;
        }
    }
    return best;
}

ServiceQueue::Waiting::iterator ServiceQueue::next(TimePoint now)
{
    auto best = m_waiting.end();
    for (auto wish = m_waiting.begin(); wish != m_waiting.end(); ++wish) {
        if ((best == m_waiting.end() || comesBefore(*wish, *best, now))
            && serverFor(*wish, now) != m_servers.end())
            best = wish;
    }
    return best;
}

std::vector<PlaceDecision> ServiceQueue::decide(TimePoint now)
{
    std::vector<PlaceDecision> decisions;
    halveCounts(now);
    dropLapsed(now);
    refuseHopeless(now, decisions);
    while (true) {
        const auto wish = next(now);
        if (wish == m_waiting.end())
            return decisions;
        const auto server = serverFor(*wish, now);
        ++server->second.used;
        m_places[++m_lastPlace] = {server->first, now, wish->until + kLapseMargin};
        m_organisations[wish->organisation].granted += 1;
        decisions.push_back({wish->id, m_lastPlace, server->first, Duration(0)});
        m_waiting.erase(wish);
    }
}

} // namespace comfrey
