// Order of the waiting requests and choice of the server for each lease.
#include "dispatch/servicequeue.h"

#include <algorithm>
#include <limits>

namespace comfrey {

namespace {

constexpr double kLeaseTimeWeight = 0.1; ///< Weight of the newest lease in the moving average.
constexpr double kFailureWeight = 0.25;  ///< Weight of the newest outcome in the moving average.
/// Added to the score factor of a server that fails every request.
constexpr double kFailurePenalty = 4;
constexpr double kDefaultLeaseTimeUs = 30000;             // before the first lease has ended
constexpr Duration kFullPause = milliseconds(30);         // about the time of one lease
constexpr Duration kUnreachablePause = milliseconds(500); // a restart takes a second or more
constexpr std::uint32_t kMaxPauseDoublings = 3; // at most 4 s: a crashed server is back by then
constexpr Duration kExpiryMargin = milliseconds(500);     // for a release message that arrives late
constexpr Duration kGrantedHalfLife = milliseconds(1000); // about the length of a burst of requests
/// Applied once per kGrantedHalfLife: the request counts halve in 30 s, a few times the length of a
/// burst.
constexpr double kRequestedDecay = 0.977;
/// Added to each organisation's request count: with fewer requests its usual load is not known yet.
constexpr double kRequestedPrior = 20;
/// Remaining time that a request needs, as a multiple of the mean lease time: slow servers take
/// longer than the mean.
constexpr double kMinTimeFactor = 2;
/// Maximum work queued for requests that cannot be on time any more: a lull between two bursts is
/// long enough to work it off.
constexpr Duration kMaxLateBacklog = milliseconds(1000);
constexpr Duration kMinRetryAfter = milliseconds(800);
constexpr Duration kMaxRetryAfter = milliseconds(3000);

} // namespace

void ServiceQueue::setServers(const std::vector<QueueServer> &servers)
{
    std::map<std::uint32_t, Server> present;
    for (const QueueServer &server : servers) {
        const auto known = m_servers.find(server.incarnationHash);
        Server &entry = present[server.incarnationHash];
        if (known != m_servers.end())
            entry = known->second;
        else
            entry.leases = leaseCountAt(server.incarnationHash);
        entry.slots = std::max(1U, server.slots);
    }
    m_servers = std::move(present);
}

std::uint32_t ServiceQueue::leaseCountAt(std::uint32_t server) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_leases.begin(), m_leases.end(),
                      [server](const auto &entry) { return entry.second.server == server; }));
}

bool ServiceQueue::withdraw(std::uint64_t requestId)
{
    return std::erase_if(
               m_waiting,
               [requestId](const LeaseRequest &request) { return request.id == requestId; })
        > 0;
}

void ServiceQueue::release(std::uint64_t leaseId, LeaseOutcome outcome, TimePoint now)
{
    const auto found = m_leases.find(leaseId);
    if (found == m_leases.end())
        return;
    const GrantedLease lease = found->second;
    m_leases.erase(found);
    const auto entry = m_servers.find(lease.server);
    if (entry == m_servers.end())
        return;
    Server &server = entry->second;
    server.leases -= server.leases > 0 ? 1 : 0;
    const bool isFailure = outcome == LeaseOutcome::Failed || outcome == LeaseOutcome::Unreachable;
    if (outcome != LeaseOutcome::Unused && outcome != LeaseOutcome::NotRun)
        server.failureRatio += kFailureWeight * ((isFailure ? 1 : 0) - server.failureRatio);
    if (outcome == LeaseOutcome::Answered) {
        const auto time = static_cast<double>((now - lease.grantedAt).count());
        server.leaseTimeUs = server.leaseTimeUs == 0
            ? time
            : server.leaseTimeUs + kLeaseTimeWeight * (time - server.leaseTimeUs);
        server.consecutiveConnectFailures = 0;
    }
    if (outcome == LeaseOutcome::NotRun)
        server.pausedUntil = std::max(server.pausedUntil, now + kFullPause);
    if (outcome == LeaseOutcome::Unreachable) {
        server.pausedUntil = now
            + kUnreachablePause
                * (1U << std::min(server.consecutiveConnectFailures, kMaxPauseDoublings));
        ++server.consecutiveConnectFailures;
    }
}

double ServiceQueue::meanLeaseTimeUs() const
{
    double total = 0;
    std::size_t count = 0;
    for (const auto &[hash, server] : m_servers) {
        if (server.leaseTimeUs > 0) {
            total += server.leaseTimeUs;
            ++count;
        }
    }
    return count == 0 ? kDefaultLeaseTimeUs : total / static_cast<double>(count);
}

std::uint32_t ServiceQueue::totalSlots() const
{
    std::uint32_t slots = 0;
    for (const auto &[hash, server] : m_servers)
        slots += server.slots;
    return std::max(1U, slots);
}

bool ServiceQueue::isOnTime(const LeaseRequest &request, TimePoint now) const
{
    return now + Duration(static_cast<std::int64_t>(meanLeaseTimeUs())) <= request.onTimeDeadline;
}

std::size_t ServiceQueue::maxLateWaiting() const
{
    const double rounds = static_cast<double>(kMaxLateBacklog.count()) / meanLeaseTimeUs();
    return static_cast<std::size_t>(rounds * totalSlots());
}

Duration ServiceQueue::drainTime() const
{
    const double rounds = static_cast<double>(m_waiting.size()) / totalSlots();
    return Duration(static_cast<std::int64_t>(rounds * meanLeaseTimeUs()));
}

void ServiceQueue::dropExpiredLeases(TimePoint now)
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (now < lease->second.expiresAt) {
            ++lease;
            continue;
        }
        const auto server = m_servers.find(lease->second.server);
        if (server != m_servers.end())
            server->second.leases -= server->second.leases > 0 ? 1 : 0;
        lease = m_leases.erase(lease);
    }
}

void ServiceQueue::refuseUnservable(TimePoint now, std::vector<LeaseDecision> &decisions)
{
    const Duration needed(static_cast<std::int64_t>(kMinTimeFactor * meanLeaseTimeUs()));
    const Duration retry = std::clamp(drainTime(), kMinRetryAfter, kMaxRetryAfter);
    std::size_t late = 0;
    const std::size_t maxLate = maxLateWaiting();
    std::erase_if(m_waiting, [&](const LeaseRequest &request) {
        // Of the requests that cannot be on time any more, the oldest ones wait for a lull.
        const bool fits = isOnTime(request, now) || late++ < maxLate;
        if (fits && now + needed <= request.answerDeadline)
            return false;
        decisions.push_back({request.id, 0, 0, retry});
        return true;
    });
}

double ServiceQueue::grantedRatio(const std::string &organisation) const
{
    const auto found = m_organisations.find(organisation);
    return found == m_organisations.end()
        ? 0
        : found->second.granted / (found->second.requested + kRequestedPrior);
}

void ServiceQueue::decayCounts(TimePoint now)
{
    if (m_decayedAt == TimePoint::min())
        m_decayedAt = now;
    while (now - m_decayedAt >= kGrantedHalfLife) {
        m_decayedAt += kGrantedHalfLife;
        for (auto &[name, counts] : m_organisations) {
            counts.granted /= 2;
            counts.requested *= kRequestedDecay;
        }
        std::erase_if(m_organisations,
                      [](const auto &entry) { return entry.second.requested < 0.1; });
        if (m_organisations.empty())
            m_decayedAt = now;
    }
}

void ServiceQueue::enqueue(LeaseRequest request, TimePoint now)
{
    decayCounts(now);
    m_organisations[request.organisation].requested += 1;
    m_waiting.push_back(std::move(request));
}

// Requests that can still be on time come before late ones, because a late answer loses nothing by
// a little more delay. Then follow the priority, the organisation with the fewest recent grants
// relative to its usual load, and the order of arrival (nextRequest() keeps the first of equal
// requests).
bool ServiceQueue::comesBefore(const LeaseRequest &left, const LeaseRequest &right,
                               TimePoint now) const
{
    const bool leftOnTime = isOnTime(left, now);
    const bool rightOnTime = isOnTime(right, now);
    if (leftOnTime != rightOnTime)
        return leftOnTime;
    if (left.priority != right.priority)
        return left.priority < right.priority;
    return grantedRatio(left.organisation) < grantedRatio(right.organisation);
}

std::map<std::uint32_t, ServiceQueue::Server>::iterator
ServiceQueue::bestServerFor(const LeaseRequest &request, TimePoint now)
{
    auto best = m_servers.end();
    double bestScore = std::numeric_limits<double>::max();
    for (auto server = m_servers.begin(); server != m_servers.end(); ++server) {
        const Server &entry = server->second;
        if (entry.leases >= entry.slots + kExtraLeases || now < entry.pausedUntil)
            continue;
        if (std::find(request.excluded.begin(), request.excluded.end(), server->first)
            != request.excluded.end())
            continue;
        const double filled = static_cast<double>(entry.leases + 1) / entry.slots;
        const double time = entry.leaseTimeUs > 0 ? entry.leaseTimeUs : meanLeaseTimeUs();
        const double score = time * (1 + filled) * (1 + kFailurePenalty * entry.failureRatio);
        if (score < bestScore) {
            bestScore = score;
            best = server;
        }
    }
    return best;
}

ServiceQueue::WaitingRequests::iterator ServiceQueue::nextRequest(TimePoint now)
{
    auto best = m_waiting.end();
    for (auto request = m_waiting.begin(); request != m_waiting.end(); ++request) {
        if ((best == m_waiting.end() || comesBefore(*request, *best, now))
            && bestServerFor(*request, now) != m_servers.end())
            best = request;
    }
    return best;
}

std::vector<LeaseDecision> ServiceQueue::decide(TimePoint now)
{
    std::vector<LeaseDecision> decisions;
    decayCounts(now);
    dropExpiredLeases(now);
    refuseUnservable(now, decisions);
    while (true) {
        const auto request = nextRequest(now);
        if (request == m_waiting.end())
            return decisions;
        const auto server = bestServerFor(*request, now);
        ++server->second.leases;
        m_leases[++m_lastLeaseId] = {server->first, now, request->answerDeadline + kExpiryMargin};
        m_organisations[request->organisation].granted += 1;
        decisions.push_back({request->id, m_lastLeaseId, server->first, Duration(0)});
        m_waiting.erase(request);
    }
}

} // namespace comfrey
