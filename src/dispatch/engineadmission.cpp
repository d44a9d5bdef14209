// Limits on local requests from the router's share of the places, and the order of those held.
#include "dispatch/engineadmission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "placement/ranking.h"

namespace comfrey {

namespace {

/// Share of the slots that may be taken. The rest takes up the unevenness of placement and what
/// routers do not know of each other yet.
constexpr double kTargetShare = 0.85;
constexpr double kMinTargetShare = 0.7;
/// Nobody is refused below this share of the slots: a half, and what the news may be late by.
constexpr double kAlwaysSentShare = 0.65;
/// The service is nearly full from this part of its target on, until the second one.
constexpr double kEnterShare = 0.8;
constexpr double kLeaveShare = 0.65;
/// First tokens that take more than this part of their objective lower the target.
constexpr double kLongWaitShare = 0.6;
constexpr double kTargetChangePerSecond = 0.15;
constexpr double kWaitSmoothing = 0.1;
/// Change of the correction a second, by the distance from the target. The known load is 0.3 to
/// 1.2 s old; a faster correction would swing.
constexpr double kCorrectionGain = 1.5;
constexpr double kMinCorrection = 0.05;
constexpr double kUrgentCorrection = 0.3; ///< Below it the most urgent are limited too.
/// When engines become nearly full, their load has grown since the news that say so.
constexpr double kEntryCorrection = 0.75;
constexpr double kMaxCorrection = 1.3;
constexpr double kGrowthPrior = 3; ///< Requests; keeps chance at few of them from counting much.
constexpr double kMinGrowth = 0.7;
constexpr double kMaxGrowth = 2;
constexpr double kMinProportion = 0.4;
constexpr Duration kNewsAge = milliseconds(600); ///< Usual age of what other routers reported.
constexpr Duration kShareMemory = milliseconds(4000);
constexpr Duration kMaxUpdateStep = milliseconds(500);
/// Limits of the most and the least urgent priority as multiples of the router's share.
constexpr double kUrgentFactor = 4;
constexpr double kNextFactor = 1.2; ///< Of the second most urgent priority.
constexpr double kLeastFactor = 0.8;
constexpr double kOverShareCut = 0.3; ///< Part of the factor that organisations over share lose.
/// An organisation is over its share if it asks for this multiple of its usual.
constexpr double kOverShareFactor = 2;
constexpr double kMinPlaces = 0.3;      ///< Of a router that has sent nothing for long.
constexpr double kMinOverShareRate = 1; ///< Requests a second at this router.
/// A priority or organisation of which a smaller share is sent than this part of the share of all
/// requests counts as the most urgent one.
constexpr double kMinSentShare = 0.3;
constexpr double kMinAsked = 3; ///< Fewer requests say nothing about the share.

constexpr double kMinWork = 0.25; ///< Limits on the work of one request, in mean requests.
constexpr double kMaxWork = 2;

constexpr Duration kMaxHold = milliseconds(80); ///< A refusal must be told within 100 ms.
constexpr int kHoldParts = 8;                   ///< Longest hold as a part of the objective.
constexpr Duration kAskInterval = milliseconds(20);
constexpr std::size_t kMaxHeld = 32;
constexpr Duration kMinReturn = milliseconds(200);
constexpr int kReturnParts = 3;        ///< Callers come back within this part of their time left.
constexpr double kMinLateReturn = 0.9; ///< Part of that time, for those who return at its end.
constexpr double kReturnRateShare =
    0.1; ///< Share of the drain rate that is left to callers who come back.

double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

Duration fromSeconds(double value)
{
    return Duration(static_cast<std::int64_t>(value * 1e6));
}

/// A number from 0 to 1 that stays the same while a request asks again.
double drawnFor(const std::string &id)
{
    return static_cast<double>(hashOf(id) % 1024) / 1024;
}

/// Room that a request needs beside those that run: more the longer it occupies a slot, and drawn,
/// so that limits of parts of a request are kept on average.
double neededRoom(const EngineAsk &request, const EngineRoom &room)
{
    if (request.work.slotTime <= Duration(0) || room.meanSlotTime <= Duration(0))
        return drawnFor(request.id);
    return drawnFor(request.id)
        * std::clamp(seconds(request.work.slotTime) / seconds(room.meanSlotTime), kMinWork,
                     kMaxWork);
}

/// Requests of this router that end in a second.
double drainRate(const EngineRoom &room)
{
    const double slotTime = std::max(0.05, seconds(room.meanSlotTime));
    return std::max(1.0, room.local / slotTime);
}

} // namespace

double FadingSum::value(TimePoint now) const
{
    if (m_at == TimePoint::min())
        return 0;
    return m_value * std::exp(-seconds(std::max(Duration(0), now - m_at)) / seconds(m_constant));
}

void FadingSum::add(double amount, TimePoint now)
{
    m_value = value(now) + amount;
    m_at = now;
}

void ShareAdmission::update(Service &service, const EngineRoom &room, TimePoint now)
{
    if (service.updatedAt == TimePoint::min()) {
        service.localMean = room.local;
        service.localRecent = room.local;
        service.fleetMean = room.load;
        service.updatedAt = now;
    }
    const Duration elapsed = now - service.updatedAt;
    service.updatedAt = now;
    const double step = seconds(std::min(elapsed, kMaxUpdateStep));
    const double weight = 1 - std::exp(-seconds(elapsed) / seconds(kShareMemory));
    service.localMean += weight * (room.local - service.localMean);
    const double recentWeight = 1 - std::exp(-seconds(elapsed) / seconds(kNewsAge));
    service.localRecent += recentWeight * (room.local - service.localRecent);
    service.fleetMean += weight * (room.load - service.fleetMean);

    const double change = service.objectiveShare > kLongWaitShare ? -1 : 1;
    service.targetShare = std::clamp(service.targetShare + change * kTargetChangePerSecond * step,
                                     kMinTargetShare, kTargetShare);
    const double target = service.targetShare * room.slots;
    // The other routers are taken to have changed as this one since their news.
    const double growth = std::clamp(
        (room.local + kGrowthPrior) / (service.localRecent + kGrowthPrior), kMinGrowth, kMaxGrowth);
    const double load = room.load * growth;
    service.load = std::min(load, room.load);
    const bool wasNearlyFull = service.isNearlyFull;
    service.proportion = load > 0 ? std::clamp(target / load, kMinProportion, 1.0) : 1;
    service.isNearlyFull = load >= (service.isNearlyFull ? kLeaveShare : kEnterShare) * target;
    if (service.isNearlyFull && !wasNearlyFull)
        service.correction = std::min(service.correction, kEntryCorrection);
    const double distance = service.isNearlyFull && load > 0
        ? std::clamp(target / load - 1, -1.0, 1.0)
        : 1 - service.correction;
    service.correction =
        std::clamp(service.correction * std::exp(kCorrectionGain * step * distance), kMinCorrection,
                   kMaxCorrection);
}

bool ShareAdmission::isOverShare(const Service &service, const std::string &organisation,
                                 TimePoint now)
{
    const auto found = service.organisations.find(organisation);
    if (organisation.empty() || found == service.organisations.end())
        return false;
    double all = 0;
    double count = 0;
    for (const auto &[name, tally] : service.organisations) {
        all += tally.asked.value(now) / seconds(kServedMemory);
        count += tally.asked.value(now) > 0.1 ? 1 : 0;
    }
    const double rate = found->second.asked.value(now) / seconds(kServedMemory);
    const double usual = found->second.usual.value(now) / seconds(kUsualMemory);
    const double fair = std::max({usual, all / std::max(1.0, count), kMinOverShareRate});
    return rate > kOverShareFactor * fair;
}

bool ShareAdmission::isStarved(const Service &service, const Tally &tally, TimePoint now)
{
    const double asked = tally.asked.value(now);
    const double allAsked = std::max(asked, service.all.asked.value(now));
    return asked >= kMinAsked
        && tally.sent.value(now) * allAsked < kMinSentShare * asked * service.all.sent.value(now);
}

std::uint32_t ShareAdmission::mostUrgent(const Service &service, std::uint32_t priority,
                                         TimePoint now)
{
    for (const auto &[other, tally] : service.priorities) {
        if (other < priority && isActive(tally, now))
            return other;
    }
    return priority;
}

bool ShareAdmission::isActive(const Tally &tally, TimePoint now)
{
    constexpr double kMinActive = 0.5; // a request of the last two seconds
    return tally.asked.value(now) >= kMinActive;
}

double ShareAdmission::limit(const Service &service, const EngineRoom &room, std::uint32_t priority,
                             bool isOverShare, TimePoint now)
{
    const double share =
        service.fleetMean > 0 ? std::min(1.0, service.localMean / service.fleetMean) : 1;
    const double places = share * service.targetShare * room.slots;
    double rank = 0;
    double last = 0;
    for (const auto &[other, tally] : service.priorities) {
        if (!isActive(tally, now) && other != priority)
            continue;
        rank += other < priority ? 1 : 0;
        ++last;
    }
    last = std::max(1.0, last) - 1;
    const double step = last > 1 ? (kNextFactor - kLeastFactor) / (last - 1) : 0;
    const double factor = last == 0 ? 1
        : rank == 0                 ? kUrgentFactor
                                    : kLeastFactor + step * (last - rank);
    // The most urgent are limited only once the others have given way.
    const bool isSpared = last > 0 && rank == 0;
    const double correction = service.correction * service.proportion;
    const double part = isSpared ? std::min(1.0, correction / kUrgentCorrection) : correction;
    return std::max(kMinPlaces, places * part) * factor * (isOverShare ? 1 - kOverShareCut : 1);
}

void ShareAdmission::forget(Service &service, const std::string &id)
{
    std::erase_if(service.held, [&](const HeldRequest &request) { return request.id == id; });
}

EngineVerdict ShareAdmission::send(Service &service, const EngineAsk &request,
                                   EngineVerdict verdict, TimePoint now)
{
    service.priorities[request.priority].sent.add(1, now);
    service.organisations[request.organisation].sent.add(1, now);
    service.all.sent.add(1, now);
    forget(service, request.id);
    verdict.answer = EngineVerdict::Answer::Send;
    return verdict;
}

EngineVerdict ShareAdmission::refuse(Service &service, const EngineAsk &request,
                                     const EngineRoom &room, const char *reason,
                                     EngineVerdict verdict, TimePoint now)
{
    forget(service, request.id);
    const Duration latest = std::max(kMinReturn, (request.deadline - now) / kReturnParts);
    const TimePoint next = std::max(service.lastReturnAt, now + kMinReturn)
        + fromSeconds(1 / (kReturnRateShare * drainRate(room)));
    if (next - now <= latest) {
        service.lastReturnAt = next;
        verdict.retryAfter = next - now;
    } else {
        std::uniform_real_distribution<double> spread(kMinLateReturn, 1);
        verdict.retryAfter = std::max(kMinReturn, fromSeconds(seconds(latest) * spread(m_random)));
    }
    verdict.answer = EngineVerdict::Answer::Refuse;
    verdict.reason = reason;
    return verdict;
}

EngineVerdict ShareAdmission::ask(const EngineAsk &request, const EngineRoom &room, TimePoint now)
{
    EngineVerdict verdict;
    if (room.slots <= 0)
        return verdict;
    Service &service = m_services[request.service];
    const bool wasNearlyFull = service.isNearlyFull;
    update(service, room, now);
    verdict.isNearlyFull = service.isNearlyFull;
    verdict.hasChanged = service.isNearlyFull != wasNearlyFull;
    std::erase_if(service.held, [now](const HeldRequest &held) { return held.until < now; });
    const auto own = std::find_if(service.held.begin(), service.held.end(),
                                  [&](const HeldRequest &held) { return held.id == request.id; });
    const bool isFirstAsk = own == service.held.end();
    Tally &ofPriority = service.priorities[request.priority];
    Tally &ofOrganisation = service.organisations[request.organisation];
    if (isFirstAsk) {
        ofPriority.asked.add(1, now);
        ofOrganisation.asked.add(1, now);
        service.all.asked.add(1, now);
        if (!service.isNearlyFull)
            ofOrganisation.usual.add(1, now);
    }
    verdict.load = room.load / room.slots;
    verdict.local = room.local;
    if (room.largestMemory > 0 && request.work.memoryTokens > room.largestMemory)
        return refuse(service, request, room, "larger than the memory of an engine", verdict, now);
    if (!service.isNearlyFull || service.load < kAlwaysSentShare * room.slots)
        return send(service, request, verdict, now);

    const bool isStarving =
        isStarved(service, ofPriority, now) || isStarved(service, ofOrganisation, now);
    if (now + request.work.firstToken > request.deadline && !isStarving)
        return refuse(service, request, room, "too little time left", verdict, now);
    const bool isOver = !isStarving && isOverShare(service, request.organisation, now);
    const std::uint32_t priority =
        isStarving ? mostUrgent(service, request.priority, now) : request.priority;
    verdict.limit = limit(service, room, priority, isOver, now);
    Order order{priority, isOver,
                request.arrivedAt - request.age + request.objective - request.work.firstToken,
                isFirstAsk ? ++m_sequence : own->order.sequence};
    const auto ahead =
        std::count_if(service.held.begin(), service.held.end(), [&](const HeldRequest &held) {
            return held.id != request.id && held.order < order;
        });
    if (room.local + static_cast<double>(ahead) + neededRoom(request, room) < verdict.limit)
        return send(service, request, verdict, now);

    const TimePoint holdEnd =
        request.arrivedAt + std::min(kMaxHold, request.objective / kHoldParts);
    const double endings = drainRate(room) * seconds(std::max(Duration(0), holdEnd - now));
    const bool isReached =
        static_cast<double>(ahead) < endings + 1 && static_cast<std::size_t>(ahead) < kMaxHeld;
    if (now >= holdEnd || !isReached)
        return refuse(service, request, room, "engines are full", verdict, now);
    forget(service, request.id);
    const auto place = std::find_if(service.held.begin(), service.held.end(),
                                    [&](const HeldRequest &held) { return order < held.order; });
    verdict.askAgainAt = std::min(holdEnd, now + kAskInterval);
    service.held.insert(place, {request.id, order, verdict.askAgainAt + kAskInterval});
    if (service.held.size() > kMaxHeld)
        service.held.pop_back();
    verdict.answer = EngineVerdict::Answer::Hold;
    verdict.reason = "engines are nearly full";
    return verdict;
}

void ShareAdmission::withdraw(const ServiceName &service, const std::string &id)
{
    if (const auto found = m_services.find(service); found != m_services.end())
        forget(found->second, id);
}

void ShareAdmission::onFirstToken(const ServiceName &service, double objectiveShare, TimePoint)
{
    double &smoothed = m_services[service].objectiveShare;
    smoothed += kWaitSmoothing * (std::min(objectiveShare, 4.0) - smoothed);
}

std::size_t ShareAdmission::held(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.held.size();
}

} // namespace comfrey
