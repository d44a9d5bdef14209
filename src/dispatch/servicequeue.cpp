// Order of the waiting requests and choice of the server for each lease.
#include "dispatch/servicequeue.h"

#include <algorithm>
#include <limits>
#include <utility>

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
/// A kept request goes first when no more than this is left before its last possible grant.
constexpr Duration kDueMargin = milliseconds(100);
/// Applied to the drain rate when requests are refused: one kept wrongly is answered a little late,
/// one refused wrongly is not answered.
constexpr double kDrainOptimism = 1.2;
constexpr Duration kMinRetryAfter = milliseconds(800);
constexpr Duration kMaxRetryAfter = milliseconds(3000);
/// Callers refused at the same time are spread over this share of their Retry-After.
constexpr double kRetrySpread = 0.25;
/// Part of its remaining time for which a caller waits at most before it comes back.
constexpr int kCallerWaitPart = 3;
constexpr Duration kReturnTolerance = milliseconds(20); ///< Rounding on the way to the caller.

Duration toDuration(double microseconds)
{
    return Duration(static_cast<std::int64_t>(microseconds));
}

/// Time in which `requests` are worked off at the rate; the longest duration that counts if never.
Duration timeFor(std::size_t requests, double perSecond)
{
    constexpr double kLongestUs = 60e6;
    const double us = static_cast<double>(requests) * 1e6 / std::max(perSecond, 1e-3);
    return toDuration(std::min(us, kLongestUs));
}

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
    if (!hasServers())
        return;
    const std::uint32_t slots = totalSlots();
    if (m_ratedSlots != 0 && slots != m_ratedSlots) {
        m_drainRate.scale(static_cast<double>(slots) / m_ratedSlots);
        m_needsPlan = true;
    }
    m_ratedSlots = slots;
}

std::uint32_t ServiceQueue::leaseCountAt(std::uint32_t server) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_leases.begin(), m_leases.end(),
                      [server](const auto &entry) { return entry.second.server == server; }));
}

bool ServiceQueue::withdraw(std::uint64_t requestId)
{
    return std::erase_if(m_waiting,
                         [requestId](const WaitingRequest &waiting) {
                             return waiting.request.id == requestId;
                         })
        > 0;
}

void ServiceQueue::release(std::uint64_t leaseId, LeaseOutcome outcome, TimePoint now)
{
    const auto found = m_leases.find(leaseId);
    if (found == m_leases.end())
        return;
    const GrantedLease lease = found->second;
    const bool wasRun = outcome == LeaseOutcome::Answered || outcome == LeaseOutcome::Failed;
    m_drainRate.advance(wasRun ? 1 : 0, isSaturated(), now);
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
        m_needsPlan = true;
    }
}

void ServiceQueue::releaseUnusedOf(std::uint64_t requestId, TimePoint now)
{
    const auto lease = std::find_if(m_leases.begin(), m_leases.end(), [&](const auto &entry) {
        return entry.second.requestId == requestId;
    });
    if (lease != m_leases.end())
        release(lease->first, LeaseOutcome::Unused, now);
}

Duration ServiceQueue::meanLeaseTime() const
{
    double total = 0;
    std::size_t count = 0;
    for (const auto &[hash, server] : m_servers) {
        if (server.leaseTimeUs > 0) {
            total += server.leaseTimeUs;
            ++count;
        }
    }
    return toDuration(count == 0 ? kDefaultLeaseTimeUs : total / static_cast<double>(count));
}

Duration ServiceQueue::minAnswerTime() const
{
    return toDuration(kMinTimeFactor * static_cast<double>(meanLeaseTime().count()));
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
    return now + meanLeaseTime() <= request.onTimeDeadline;
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

bool ServiceQueue::isSaturated() const
{
    return !m_waiting.empty() && m_leases.size() >= totalSlots();
}

bool ServiceQueue::hasTriedAll(const LeaseRequest &request) const
{
    return request.isRetry && hasServers()
        && std::all_of(m_servers.begin(), m_servers.end(), [&request](const auto &server) {
               return std::find(request.excluded.begin(), request.excluded.end(), server.first)
                   != request.excluded.end();
           });
}

void ServiceQueue::refuseExpired(TimePoint now, std::vector<LeaseDecision> &decisions)
{
    const Duration needed = minAnswerTime();
    const Duration drainTime = timeFor(m_waiting.size(), drainRate());
    std::erase_if(m_waiting, [&](const WaitingRequest &waiting) {
        if (now + needed <= waiting.request.answerDeadline && !hasTriedAll(waiting.request))
            return false;
        decisions.push_back(refuse(waiting, drainTime, now));
        return true;
    });
}

TimePoint ServiceQueue::nextGrantFrom(TimePoint now) const
{
    if (m_servers.empty())
        return now;
    TimePoint from = kNever;
    for (const auto &[hash, server] : m_servers)
        from = std::min(from, std::max(now, server.pausedUntil));
    return from;
}

std::size_t ServiceQueue::roomAt(TimePoint from, TimePoint now) const
{
    std::size_t room = 0;
    for (const auto &[hash, server] : m_servers) {
        if (server.consecutiveConnectFailures == 0 || server.pausedUntil <= now)
            return std::numeric_limits<std::size_t>::max();
        if (server.pausedUntil <= from)
            room +=
                server.slots + kExtraLeases - std::min(server.leases, server.slots + kExtraLeases);
    }
    return hasServers() ? room : std::numeric_limits<std::size_t>::max();
}

double ServiceQueue::drainRate() const
{
    return m_drainRate.perSecond(totalSlots() * 1e6 / static_cast<double>(meanLeaseTime().count()));
}

void ServiceQueue::refuseUnservable(TimePoint now, std::vector<LeaseDecision> &decisions)
{
    if (!std::exchange(m_needsPlan, false))
        return;
    std::vector<std::pair<Place, WaitingRequests::iterator>> order;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end(); ++waiting)
        order.emplace_back(placeOf(*waiting, now), waiting);
    const auto byPlace = [](const auto &left, const auto &right) {
        return left.first < right.first;
    };
    std::stable_sort(order.begin(), order.end(), byPlace);

    const double rate = kDrainOptimism * drainRate();
    const Duration leaseTime = meanLeaseTime();
    const TimePoint from = nextGrantFrom(now);
    const std::size_t room = roomAt(from, now);
    // Those of `room` that are taken: kept requests stay in any case.
    auto taken = static_cast<std::size_t>(
        std::count_if(m_waiting.begin(), m_waiting.end(),
                      [&](const WaitingRequest &waiting) { return isKept(waiting, now); }));
    std::size_t before = 0; ///< Requests that are served first.
    std::vector<std::pair<Place, WaitingRequests::iterator>> late;
    for (auto &[place, waiting] : order) {
        const TimePoint grantedAt = from + timeFor(before + 1, rate);
        if (place.timeClass == Place::Class::OnTime
            && ((taken >= room && !isKept(*waiting, now))
                || grantedAt + leaseTime > waiting->request.onTimeDeadline))
            place.timeClass = Place::Class::Late;
        if (place.timeClass == Place::Class::Late) {
            late.emplace_back(place, waiting);
            continue;
        }
        taken += isKept(*waiting, now) ? 0 : 1;
        waiting->isPlanned = true;
        ++before;
    }
    std::stable_sort(late.begin(), late.end(), byPlace);

    // Late requests get what the requests to come leave.
    const double spareRate = rate - m_firstAttempts.perSecond(now);
    const Duration needed = minAnswerTime();
    const Duration drainTime = timeFor(before, rate);
    for (const auto &[place, waiting] : late) {
        if (isKept(*waiting, now)
            || (taken < room
                && from + timeFor(before + 1, spareRate) + needed
                    <= waiting->request.answerDeadline)) {
            taken += isKept(*waiting, now) ? 0 : 1;
            waiting->isPlanned = true;
            ++before;
            continue;
        }
        decisions.push_back(refuse(*waiting, drainTime, now));
        m_waiting.erase(waiting);
    }
}

LeaseDecision ServiceQueue::refuse(const WaitingRequest &waiting, Duration drainTime, TimePoint now)
{
    if (!waiting.isPlanned)
        ++m_counts.refusedAtOnce;
    else if (isKept(waiting, now))
        ++m_counts.refusedLate;
    else
        ++m_counts.displaced;
    const LeaseRequest &request = waiting.request;
    const Duration base = std::clamp(drainTime, kMinRetryAfter, kMaxRetryAfter);
    const double spread = kRetrySpread * static_cast<double>(request.id % 16) / 16;
    const Duration retryAfter = toDuration(static_cast<double>(base.count()) * (1 + spread));
    if (request.fingerprint != 0 && request.callerTime > Duration(0)) {
        const Duration callerLeft = waiting.callerDeadline - now;
        RefusedAttempt refusal;
        refusal.onTimeDeadline = request.onTimeDeadline;
        refusal.callerTime = callerLeft;
        refusal.refusedAt = now;
        refusal.retryAt = now + std::min(retryAfter, callerLeft / kCallerWaitPart);
        m_refusals.add(request.fingerprint, refusal);
    }
    return {request.id, 0, 0, retryAfter};
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
    m_drainRate.advance(0, isSaturated(), now);
    WaitingRequest waiting;
    waiting.arrivedAt = now - request.waited;
    waiting.callerDeadline = now + request.callerTime;
    waiting.isPlanned = request.isRetry && !hasTriedAll(request);
    const auto refusal = request.fingerprint == 0
        ? std::nullopt
        : m_refusals.take(request.fingerprint, request.callerTime, now);
    if (refusal) {
        ++m_counts.cameBack;
        waiting.isKeptReturn = now + kReturnTolerance >= refusal->retryAt;
        m_counts.cameBackEarly += waiting.isKeptReturn ? 0 : 1;
        request.onTimeDeadline = std::min(request.onTimeDeadline, refusal->onTimeDeadline);
    } else {
        m_firstAttempts.count(now);
        m_organisations[request.organisation].requested += 1;
    }
    waiting.request = std::move(request);
    m_waiting.push_back(std::move(waiting));
    m_needsPlan = true;
}

bool ServiceQueue::isKept(const WaitingRequest &waiting, TimePoint now) const
{
    return waiting.isPlanned
        && (waiting.request.isRetry || now >= waiting.arrivedAt + kDecisionTime);
}

ServiceQueue::Place ServiceQueue::placeOf(const WaitingRequest &waiting, TimePoint now) const
{
    const LeaseRequest &request = waiting.request;
    const bool kept = isKept(waiting, now);
    Place place;
    if (kept && now + minAnswerTime() + kDueMargin >= request.answerDeadline)
        place.timeClass = Place::Class::Due;
    else if (isOnTime(request, now))
        place.timeClass = Place::Class::OnTime;
    else
        place.timeClass = Place::Class::Late;
    place.priority = request.priority;
    place.rank = kept ? 0 : waiting.isKeptReturn ? 1 : 2;
    place.grantedRatio = grantedRatio(request.organisation);
    return place;
}

std::map<std::uint32_t, ServiceQueue::Server>::iterator
ServiceQueue::bestServerFor(const LeaseRequest &request, TimePoint now)
{
    auto best = m_servers.end();
    double bestScore = std::numeric_limits<double>::max();
    const auto meanTime = static_cast<double>(meanLeaseTime().count());
    for (auto server = m_servers.begin(); server != m_servers.end(); ++server) {
        const Server &entry = server->second;
        if (entry.leases >= entry.slots + kExtraLeases || now < entry.pausedUntil)
            continue;
        if (std::find(request.excluded.begin(), request.excluded.end(), server->first)
            != request.excluded.end())
            continue;
        const double filled = static_cast<double>(entry.leases + 1) / entry.slots;
        const double time = entry.leaseTimeUs > 0 ? entry.leaseTimeUs : meanTime;
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
    Place bestPlace;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end(); ++waiting) {
        const Place place = placeOf(*waiting, now);
        if ((best == m_waiting.end() || place < bestPlace)
            && bestServerFor(waiting->request, now) != m_servers.end()) {
            best = waiting;
            bestPlace = place;
        }
    }
    return best;
}

void ServiceQueue::grantLeases(TimePoint now, std::vector<LeaseDecision> &decisions)
{
    while (true) {
        const auto next = nextRequest(now);
        if (next == m_waiting.end())
            return;
        const LeaseRequest &request = next->request;
        const auto server = bestServerFor(request, now);
        ++server->second.leases;
        m_leases[++m_lastLeaseId] = {server->first, request.id, now,
                                     request.answerDeadline + kExpiryMargin};
        m_organisations[request.organisation].granted += 1;
        decisions.push_back({request.id, m_lastLeaseId, server->first, Duration(0)});
        m_waiting.erase(next);
    }
}

std::vector<LeaseDecision> ServiceQueue::decide(TimePoint now)
{
    std::vector<LeaseDecision> decisions;
    decayCounts(now);
    dropExpiredLeases(now);
    m_drainRate.advance(0, isSaturated(), now);
    refuseExpired(now, decisions);
    grantLeases(now, decisions);
    refuseUnservable(now, decisions);
    return decisions;
}

} // namespace comfrey
