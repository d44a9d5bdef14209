// Admission, choice of backend servers and retries of one router.
#include "dispatch/dispatcher.h"

#include <algorithm>

namespace comfrey {

namespace {

constexpr double kWaitSmoothing = 0.05; ///< Weight of one answer in a service's smoothed wait.
constexpr Duration kMaxPause = milliseconds(300000); ///< The server may then ask for another one.
constexpr double kDurationSmoothing =
    0.05; ///< Weight of one attempt in a service's smoothed duration.
/// Mean load of cold servers as a share of the rate that each of them can take. Popular prompts
/// load some servers with several times the mean, and requests of other routers become known late.
constexpr double kColdRateFactor = 0.5;
constexpr std::uint32_t kMaxAttempts =
    4; ///< Per request that servers do not run; further attempts would not succeed in time.

} // namespace

Dispatcher::Dispatcher(const DispatcherSettings &settings)
    : m_settings(settings), m_replicas(settings.relistTimeout), m_crashAttribution(settings.router),
      m_random(settings.seed), m_engineAdmission(settings.seed)
{ }

bool Dispatcher::apply(FleetConfig config)
{
    if (m_table && config.version <= m_table->version())
        return false;
    m_table = std::make_shared<const RouteTable>(std::move(config));
    return true;
}

Admission Dispatcher::admit(const RequestFacts &request, TimePoint now)
{
    Admission admission;
    admission.table = m_table;
    if (!m_table) {
        admission.refusal = Refusal::NoConfiguration;
        return admission;
    }
    admission.route = m_table->findRoute(request.host, request.path);
    if (!admission.route) {
        admission.refusal = Refusal::UnknownRoute;
        return admission;
    }
    if (m_table->requiresApiKeys() && !admission.route->isPublic) {
        admission.organisation = m_table->findOrganisation(request.apiKey);
        if (!admission.organisation) {
            admission.refusal = Refusal::UnknownKey;
            return admission;
        }
    }
    admission.quarantineRemaining = m_crashGuard.remainingRefusal(request.fingerprint, now);
    if (admission.quarantineRemaining > Duration(0)) {
        admission.refusal = Refusal::Quarantined;
        return admission;
    }
    const std::vector<PromptPartId> parts = sharedParts(request);
    admission.quarantineRemaining = m_crashAttribution.remainingRefusal(parts, now);
    if (admission.quarantineRemaining > Duration(0)) {
        admission.isProbe = m_crashAttribution.tryProbe(parts, now);
        if (!admission.isProbe) {
            admission.refusal = Refusal::PartQuarantined;
            return admission;
        }
    }
    static const std::vector<RegionId> everyRegion;
    admission.regions = {admission.route->allowedRegions,
                         admission.organisation ? admission.organisation->allowedRegions
                                                : everyRegion};
    admission.service = chooseTarget(*admission.route, affinityKey(request));
    service(admission.service).retries.onRequest(now);
    return admission;
}

Duration Dispatcher::remainingQuarantine(const RequestFacts &request, const Admission &admission,
                                         TimePoint now) const
{
    const Duration ofRequest = m_crashGuard.remainingRefusal(request.fingerprint, now);
    if (admission.isProbe)
        return ofRequest;
    return std::max(ofRequest, m_crashAttribution.remainingRefusal(sharedParts(request), now));
}

std::vector<PartVerdict> Dispatcher::updateCrashAttribution(TimePoint now)
{
    std::vector<PartVerdict> changes = m_crashAttribution.update(now);
    if (!changes.empty())
        m_crashGuard.setExplainedCrashes(m_crashAttribution.explainedCrashes());
    return changes;
}

EngineRoom Dispatcher::engineRoom(const ServiceName &serviceName, TimePoint now)
{
    EngineRoom room;
    const ServiceTraits *traits = m_table ? m_table->findService(serviceName) : nullptr;
    if (!traits || !traits->engine)
        return room;
    room.largestMemory = traits->engine->cacheTokens;
    room.meanSlotTime =
        Duration(static_cast<std::int64_t>(service(serviceName).smoothedDurationUs));
    for (const auto &replica : m_replicas.serving(serviceName)) {
        if (now < replica->pausedUntil || replica->health.isUnreachable(now))
            continue;
        room.load += replica->load.estimate(now);
        room.slots += traits->engine->slots;
        room.local += replica->load.localInFlight();
    }
    return room;
}

EngineVerdict Dispatcher::askForEngine(const RequestFacts &request, const Admission &admission,
                                       TimePoint arrivedAt, TimePoint deadline, TimePoint now)
{
    const EngineRoom room = engineRoom(admission.service, now);
    if (room.slots <= 0)
        return {};
    const Route &route = *admission.route;
    EngineAsk ask;
    ask.id = request.id;
    ask.service = admission.service;
    ask.priority = route.priority;
    if (admission.organisation) {
        ask.priority = admission.organisation->priority.value_or(route.priority);
        ask.organisation = admission.organisation->name;
    }
    ask.arrivedAt = arrivedAt;
    // Callers who come back have less time left than the route gives to new ones.
    if (request.callerTimeout)
        ask.age = std::max(Duration(0), route.timeout - *request.callerTimeout);
    ask.objective = route.objective;
    ask.deadline = deadline;
    ask.work = m_workEstimator.estimate(route.name, request);
    return m_engineAdmission.ask(ask, room, now);
}

void Dispatcher::withdrawFromEngines(const RequestFacts &request, const Admission &admission)
{
    m_engineAdmission.withdraw(admission.service, request.id);
}

void Dispatcher::onFirstToken(const RequestFacts &request, const Admission &admission,
                              Duration waited, TimePoint now)
{
    if (request.prompt.empty() || admission.route->objective <= Duration(0))
        return;
    m_workEstimator.onFirstToken(admission.route->name, request, waited);
    m_engineAdmission.onFirstToken(admission.service,
                                   static_cast<double>(waited.count())
                                       / static_cast<double>(admission.route->objective.count()),
                                   now);
}

void Dispatcher::onEngineAnswerEnded(const RequestFacts &request, const Admission &admission,
                                     Duration duration)
{
    if (!request.prompt.empty())
        m_workEstimator.onAnswerEnded(admission.route->name, request, duration);
}

Choice Dispatcher::choose(const RequestFacts &request, const ServiceName &serviceName,
                          const std::vector<std::string> &tried, TimePoint now,
                          const AllowedRegions &regions)
{
    ChoiceInput input;
    input.replicas = m_replicas.serving(serviceName);
    if (!request.prompt.empty())
        input.alive = m_replicas.alive(serviceName);
    std::erase_if(input.replicas, [&](const auto &replica) {
        return std::find(tried.begin(), tried.end(), replica->incarnation) != tried.end();
    });
    const auto outside = static_cast<std::uint32_t>(std::erase_if(
        input.replicas, [&](const auto &replica) { return !isIn(regions, *replica); }));
    const auto paused = static_cast<std::uint32_t>(std::erase_if(
        input.replicas, [now](const auto &replica) { return now < replica->pausedUntil; }));
    const std::uint32_t cold = excludeColdServers(serviceName, input.replicas, now);
    input.isZoneEvacuated = m_replicas.isAnyZoneEvacuated();
    input.smoothedWait = smoothedWait(serviceName);
    input.tieBreak = m_random();
    Choice choice = request.prompt.empty() ? m_waitChooser.choose(request, input, now)
                                           : chooseForPrompt(request, input, now);
    choice.pausedExcluded = paused;
    choice.coldExcluded = cold;
    choice.regionExcluded = outside;
    // A copied prompt travels to the chosen server, so its source is bound as well.
    if (choice.promptSource && !isIn(regions, *choice.promptSource))
        choice.promptSource = nullptr;
    return choice;
}

bool Dispatcher::hasServerIn(const ServiceName &serviceName, const AllowedRegions &regions) const
{
    const auto servers = m_replicas.serving(serviceName);
    return std::any_of(servers.begin(), servers.end(),
                       [&](const auto &replica) { return isIn(regions, *replica); });
}

std::uint32_t Dispatcher::excludeColdServers(const ServiceName &serviceName,
                                             std::vector<std::shared_ptr<Replica>> &list,
                                             TimePoint now)
{
    const auto isCold = [now](const auto &replica) { return now < replica->coldUntil; };
    const auto cold = std::count_if(list.begin(), list.end(), isCold);
    const ServiceTraits *traits = m_table ? m_table->findService(serviceName) : nullptr;
    const bool areAllCold = cold == static_cast<std::ptrdiff_t>(list.size());
    if (cold == 0 || areAllCold || !traits || traits->coldRequestsPerSecond <= 0)
        return 0;
    const double maxRate = kColdRateFactor * traits->coldRequestsPerSecond;
    const double duration = service(serviceName).smoothedDurationUs / 1e6;
    double requests = 0;
    for (const auto &replica : m_replicas.alive(serviceName))
        requests += replica->load.estimate(now);
    // Little's law: concurrent requests divided by the duration of one are requests per second.
    const double requestRate = duration > 0 ? requests / duration : 0;
    std::uniform_real_distribution<double> uniform(0, requestRate);
    const bool admitsCold =
        requestRate <= 0 || uniform(m_random) < maxRate * static_cast<double>(cold);
    return static_cast<std::uint32_t>(std::erase_if(list, [&](const auto &replica) {
        return isCold(replica) && !(admitsCold && replica->load.estimate(now) < maxRate * duration);
    }));
}

Choice Dispatcher::chooseForPrompt(const RequestFacts &request, ChoiceInput &input,
                                   TimePoint now) const
{
    const std::uint32_t prompt = promptHash(request);
    for (const RequestCounts *counts : {&m_localPromptRequests, &m_remotePromptRequests}) {
        if (const auto found = counts->find(prompt); found != counts->end())
            input.promptRequests += found->second;
    }
    return m_promptChooser.choose(request, input, now);
}

std::shared_ptr<Replica> Dispatcher::leasedReplica(const ServiceName &service,
                                                   std::uint32_t incarnationHash, TimePoint now,
                                                   const AllowedRegions &regions) const
{
    auto replica = m_replicas.servingWithHash(service, incarnationHash);
    const bool isUsable = replica && now >= replica->pausedUntil && isIn(regions, *replica);
    return isUsable ? replica : nullptr;
}

std::optional<Duration> Dispatcher::remainingPauseOfAll(const ServiceName &service,
                                                        TimePoint now) const
{
    if (now >= m_latestPauseEnd)
        return std::nullopt;
    TimePoint firstEnd = kNever;
    for (const auto &replica : m_replicas.serving(service))
        firstEnd = std::min(firstEnd, replica->pausedUntil);
    if (firstEnd == kNever || firstEnd <= now)
        return std::nullopt;
    return firstEnd - now;
}

std::vector<std::uint32_t> Dispatcher::excludedServers(const ServiceName &service,
                                                       const std::vector<std::string> &tried,
                                                       TimePoint now,
                                                       const AllowedRegions &regions) const
{
    std::vector<std::uint32_t> excluded;
    std::vector<std::uint32_t> unhealthy;
    const auto replicas = m_replicas.alive(service);
    for (const auto &replica : replicas) {
        if (!m_replicas.takesWork(*replica) || now < replica->pausedUntil
            || !isIn(regions, *replica)
            || std::find(tried.begin(), tried.end(), replica->incarnation) != tried.end())
            excluded.push_back(replica->incarnationHash);
        else if (replica->health.shouldAvoid(smoothedWait(service), now))
            unhealthy.push_back(replica->incarnationHash);
    }
    if (excluded.size() + unhealthy.size() < replicas.size())
        excluded.insert(excluded.end(), unhealthy.begin(), unhealthy.end());
    return excluded;
}

bool Dispatcher::mayRetry(const Admission &admission, AttemptResult result, std::uint32_t attempts,
                          std::uint32_t possibleRuns, TimePoint now)
{
    if (attempts >= kMaxAttempts)
        return false;
    if (result == AttemptResult::NotSent)
        return true;
    if (result != AttemptResult::NotRun
        && (!admission.route->mayRetry() || possibleRuns >= admission.route->maxAttempts))
        return false;
    return service(admission.service).retries.tryAcquire(now);
}

void Dispatcher::onAttemptStarted(Replica &replica, const RequestFacts &request, TimePoint now)
{
    if (const std::uint32_t prompt = promptHash(request))
        ++m_localPromptRequests[prompt];
    replica.load.onRequestSent();
    replica.health.onSent(now);
}

Duration Dispatcher::onPause(Replica &replica, Duration pause, TimePoint now)
{
    replica.pausedUntil = std::max(replica.pausedUntil, now + std::min(pause, kMaxPause));
    m_latestPauseEnd = std::max(m_latestPauseEnd, replica.pausedUntil);
    return replica.pausedUntil - now;
}

void Dispatcher::onLoadReport(Replica &replica, const AnswerFacts::Load &load, TimePoint now)
{
    replica.load.onReport(load.running, load.waiting, now);
}

void Dispatcher::onAnswer(Replica &replica, Duration waited, TimePoint now)
{
    replica.health.onAnswer(waited, now);
    double &smoothed = service(replica.record.service).smoothedWaitUs;
    const auto sample = static_cast<double>(waited.count());
    smoothed = smoothed == 0 ? sample : smoothed + kWaitSmoothing * (sample - smoothed);
}

double Dispatcher::meanFailureShare(const Replica &except) const
{
    double total = 0;
    std::size_t count = 0;
    for (const auto &replica : m_replicas.serving(except.record.service)) {
        if (replica.get() == &except)
            continue;
        total += replica->health.failureShare();
        ++count;
    }
    // The only server of a service stays in use however often it fails.
    return count == 0 ? 1 : total / static_cast<double>(count);
}

void Dispatcher::onFailure(Replica &replica, TimePoint now)
{
    replica.health.onFailure(meanFailureShare(replica), now);
}

void Dispatcher::onUnreachable(Replica &replica, bool isRefused, TimePoint now)
{
    replica.health.onUnreachable(now);
    if (isRefused)
        m_crashGuard.onServerTerminated(replica.incarnation, TerminationEvidence::ConnectionRefused,
                                        now);
}

void Dispatcher::onUnreachableWithoutRequest(Replica &replica, bool isRefused, TimePoint now)
{
    replica.health.onConnectFailure(now);
    if (isRefused)
        m_crashGuard.onServerTerminated(replica.incarnation, TerminationEvidence::ConnectionRefused,
                                        now);
}

void Dispatcher::onAddressTaken(const Replica &replica, TimePoint now)
{
    m_replicas.markAddressTaken(replica.record.id);
    m_crashGuard.onServerTerminated(replica.incarnation, TerminationEvidence::AddressReused, now);
}

void Dispatcher::onAnswerInterrupted(Replica &replica, TimePoint now)
{
    replica.health.onAnswerInterrupted(meanFailureShare(replica), now);
}

void Dispatcher::onAbandoned(Replica &replica, Duration waited, TimePoint now)
{
    replica.health.onAbandoned(waited, smoothedWait(replica.record.service),
                               meanFailureShare(replica), now);
}

void Dispatcher::onAttemptEnded(Replica &replica, const RequestFacts &request, Duration duration)
{
    double &smoothed = service(replica.record.service).smoothedDurationUs;
    const auto sample = static_cast<double>(duration.count());
    smoothed = smoothed == 0 ? sample : smoothed + kDurationSmoothing * (sample - smoothed);
    const auto prompt = m_localPromptRequests.find(promptHash(request));
    if (prompt != m_localPromptRequests.end() && --prompt->second == 0)
        m_localPromptRequests.erase(prompt);
    replica.load.onRequestEnded();
}

RequestCounts Dispatcher::localRequests() const
{
    RequestCounts requests;
    for (const auto &replica : m_replicas.all()) {
        if (replica->load.localInFlight() > 0)
            requests[replica->incarnationHash] = replica->load.localInFlight();
    }
    return requests;
}

void Dispatcher::setRemoteRequests(const RequestCounts &requests, TimePoint now)
{
    for (const auto &replica : m_replicas.all()) {
        const auto found = requests.find(replica->incarnationHash);
        replica->load.setRemoteInFlight(found == requests.end() ? 0 : found->second, now);
    }
}

Duration Dispatcher::smoothedWait(const ServiceName &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end()
        ? Duration(0)
        : Duration(static_cast<std::int64_t>(found->second.smoothedWaitUs));
}

void Dispatcher::tick(TimePoint now)
{
    m_replicas.tick(now);
    for (const EndedReplica &ended : m_replicas.takeUnannouncedEnds())
        m_crashGuard.onServerTerminated(ended.incarnation, ended.evidence, now);
    m_crashGuard.tick(now);
}

Dispatcher::Service &Dispatcher::service(const ServiceName &name)
{
    return m_services.try_emplace(name, m_settings.retries).first->second;
}

} // namespace comfrey
