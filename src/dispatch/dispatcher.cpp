// Joins routes, servers, budgets and choosers.
#include "dispatch/dispatcher.h"

#include <algorithm>

namespace comfrey {

namespace {

constexpr double kWaitWeight = 0.05; ///< Of one answer in a service's smoothed wait.
constexpr Duration kLongestPause = milliseconds(300000); // then its word is asked for again
constexpr double kHeldWeight = 0.05; ///< Of one sending in a service's smoothed time.
/// Of what a cold server bears, the part that the mean cold server gets: much asked for prompts
/// bring some servers several times the mean, and what the others sent is heard of late.
constexpr double kColdPart = 0.5;
constexpr std::uint32_t kMostSends =
    4; ///< Of one request, when servers do not run it: more is no help in time.

} // namespace

Dispatcher::Dispatcher(const DispatcherSettings &settings)
    : m_settings(settings), m_replicas(settings.lapseGrace), m_random(settings.seed)
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
    admission.refusedFor = m_crashes.remainingRefusal(request.fingerprint, now);
    if (admission.refusedFor > Duration(0)) {
        admission.refusal = Refusal::Quarantined;
        return admission;
    }
    admission.service = chooseTarget(*admission.route, affinityKey(request));
    service(admission.service).retries.onRequest(now);
    return admission;
}

Choice Dispatcher::choose(const RequestFacts &request, const ServiceName &serviceName,
                          const std::vector<std::string> &tried, TimePoint now)
{
    ChoiceInput input;
    input.replicas = m_replicas.serving(serviceName);
    if (!request.prompt.empty())
        input.alive = m_replicas.alive(serviceName);
    std::erase_if(input.replicas, [&](const auto &replica) {
        return std::find(tried.begin(), tried.end(), replica->incarnation) != tried.end();
    });
    const auto paused = static_cast<std::uint32_t>(std::erase_if(
        input.replicas, [now](const auto &replica) { return now < replica->pausedUntil; }));
    const std::uint32_t cold = spareCold(serviceName, input.replicas, now);
    input.isZoneEmptied = m_replicas.isAnyZoneEvacuated();
    input.usualWait = usualWait(serviceName);
    input.tieBreak = m_random();
    Choice choice = request.prompt.empty() ? m_waitChooser.choose(request, input, now)
                                           : chooseForPrompt(request, input, now);
    choice.paused = paused;
    choice.cold = cold;
    return choice;
}

std::uint32_t Dispatcher::spareCold(const ServiceName &serviceName,
                                    std::vector<std::shared_ptr<Replica>> &list, TimePoint now)
{
    const auto isCold = [now](const auto &replica) { return now < replica->coldUntil; };
    const auto cold = std::count_if(list.begin(), list.end(), isCold);
    const ServiceTraits *traits = m_table ? m_table->findService(serviceName) : nullptr;
    const bool areAll = cold == static_cast<std::ptrdiff_t>(list.size());
    if (cold == 0 || areAll || !traits || traits->coldRequestsPerSecond <= 0)
        return 0;
    const double most = kColdPart * traits->coldRequestsPerSecond;
    const double held = service(serviceName).heldUs / 1e6;
    double requests = 0;
    for (const auto &replica : m_replicas.alive(serviceName))
        requests += replica->load.estimate(now);
    // Requests at once over the time of one are requests a second.
    const double wanted = held > 0 ? requests / held : 0;
    std::uniform_real_distribution<double> uniform(0, wanted);
    const bool mayGoThere = wanted <= 0 || uniform(m_random) < most * static_cast<double>(cold);
    return static_cast<std::uint32_t>(std::erase_if(list, [&](const auto &replica) {
        return isCold(replica) && !(mayGoThere && replica->load.estimate(now) < most * held);
    }));
}

Choice Dispatcher::chooseForPrompt(const RequestFacts &request, ChoiceInput &input,
                                   TimePoint now) const
{
    const std::uint32_t prompt = promptHash(request);
    for (const RequestCounts *counts : {&m_ownPrompts, &m_othersPrompts}) {
        if (const auto found = counts->find(prompt); found != counts->end())
            input.promptRequests += found->second;
    }
    return m_promptChooser.choose(request, input, now);
}

std::shared_ptr<Replica> Dispatcher::granted(const ServiceName &service,
                                             std::uint32_t incarnationHash, TimePoint now) const
{
    auto replica = m_replicas.servingBy(service, incarnationHash);
    return replica && now >= replica->pausedUntil ? replica : nullptr;
}

std::optional<Duration> Dispatcher::pauseOfAll(const ServiceName &service, TimePoint now) const
{
    if (now >= m_pausesEnd)
        return std::nullopt;
    TimePoint first = kNever;
    for (const auto &replica : m_replicas.serving(service))
        first = std::min(first, replica->pausedUntil);
    if (first == kNever || first <= now)
        return std::nullopt;
    return first - now;
}

std::vector<std::uint32_t> Dispatcher::unwanted(const ServiceName &service,
                                                const std::vector<std::string> &tried,
                                                TimePoint now) const
{
    std::vector<std::uint32_t> excluded;
    std::vector<std::uint32_t> doubtful;
    const auto replicas = m_replicas.alive(service);
    for (const auto &replica : replicas) {
        if (!m_replicas.takesWork(*replica) || now < replica->pausedUntil
            || std::find(tried.begin(), tried.end(), replica->incarnation) != tried.end())
            excluded.push_back(replica->incarnationHash);
        else if (replica->health.shouldAvoid(usualWait(service), now))
            doubtful.push_back(replica->incarnationHash);
    }
    if (excluded.size() + doubtful.size() < replicas.size())
        excluded.insert(excluded.end(), doubtful.begin(), doubtful.end());
    return excluded;
}

bool Dispatcher::mayResend(const Admission &admission, SendEnd end, std::uint32_t sends,
                           std::uint32_t runs, TimePoint now)
{
    if (sends >= kMostSends)
        return false;
    if (end == SendEnd::NotSent)
        return true;
    if (end != SendEnd::NotRun
        && (!admission.route->mayRetry() || runs >= admission.route->maxAttempts))
        return false;
    return service(admission.service).retries.tryAcquire(now);
}

void Dispatcher::onSent(Replica &replica, const RequestFacts &request, TimePoint now)
{
    if (const std::uint32_t prompt = promptHash(request))
        ++m_ownPrompts[prompt];
    replica.load.onSent();
    replica.health.onSent(now);
}

Duration Dispatcher::onPause(Replica &replica, Duration pause, TimePoint now)
{
    replica.pausedUntil = std::max(replica.pausedUntil, now + std::min(pause, kLongestPause));
    m_pausesEnd = std::max(m_pausesEnd, replica.pausedUntil);
    return replica.pausedUntil - now;
}

void Dispatcher::onLoadReport(Replica &replica, const AnswerFacts::Load &load, TimePoint now)
{
    replica.load.onReport(load.running, load.waiting, now);
}

void Dispatcher::onAnswer(Replica &replica, Duration waited, TimePoint now)
{
    replica.health.onAnswer(waited, now);
    double &usual = service(replica.record.service).waitUs;
    const auto sample = static_cast<double>(waited.count());
    usual = usual == 0 ? sample : usual + kWaitWeight * (sample - usual);
}

double Dispatcher::usualFailureShare(const Replica &except) const
{
    double total = 0;
    std::size_t count = 0;
    for (const auto &replica : m_replicas.serving(except.record.service)) {
        if (replica.get() == &except)
            continue;
        total += replica->health.failureShare();
        ++count;
    }
    // A server without others stays in use whatever it does.
    return count == 0 ? 1 : total / static_cast<double>(count);
}

void Dispatcher::onFailure(Replica &replica, TimePoint now)
{
    replica.health.onFailure(usualFailureShare(replica), now);
}

void Dispatcher::onUnreachable(Replica &replica, bool isRefused, TimePoint now)
{
    replica.health.onUnreachable(now);
    if (isRefused)
        m_crashes.onServerTerminated(replica.incarnation, TerminationEvidence::ConnectionRefused,
                                     now);
}

void Dispatcher::onSeenUnreachable(Replica &replica, bool isRefused, TimePoint now)
{
    replica.health.onConnectFailure(now);
    if (isRefused)
        m_crashes.onServerTerminated(replica.incarnation, TerminationEvidence::ConnectionRefused,
                                     now);
}

void Dispatcher::onOtherServer(const Replica &replica, TimePoint now)
{
    m_replicas.disown(replica.record.id);
    m_crashes.onServerTerminated(replica.incarnation, TerminationEvidence::AddressReused, now);
}

void Dispatcher::onBrokenOff(Replica &replica, TimePoint now)
{
    replica.health.onAnswerInterrupted(usualFailureShare(replica), now);
}

void Dispatcher::onAbandoned(Replica &replica, Duration waited, TimePoint now)
{
    replica.health.onAbandoned(waited, usualWait(replica.record.service),
                               usualFailureShare(replica), now);
}

void Dispatcher::onEnded(Replica &replica, const RequestFacts &request, Duration held)
{
    double &usual = service(replica.record.service).heldUs;
    const auto sample = static_cast<double>(held.count());
    usual = usual == 0 ? sample : usual + kHeldWeight * (sample - usual);
    const auto prompt = m_ownPrompts.find(promptHash(request));
    if (prompt != m_ownPrompts.end() && --prompt->second == 0)
        m_ownPrompts.erase(prompt);
    replica.load.onEnded();
}

RequestCounts Dispatcher::ownRequests() const
{
    RequestCounts requests;
    for (const auto &replica : m_replicas.all()) {
        if (replica->load.ownInFlight() > 0)
            requests[replica->incarnationHash] = replica->load.ownInFlight();
    }
    return requests;
}

void Dispatcher::setOthersRequests(const RequestCounts &requests, TimePoint now)
{
    for (const auto &replica : m_replicas.all()) {
        const auto found = requests.find(replica->incarnationHash);
        replica->load.setOthers(found == requests.end() ? 0 : found->second, now);
    }
}

Duration Dispatcher::usualWait(const ServiceName &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? Duration(0)
                                     : Duration(static_cast<std::int64_t>(found->second.waitUs));
}

void Dispatcher::tick(TimePoint now)
{
    m_replicas.tick(now);
    for (const EndedReplica &ended : m_replicas.takeEnded())
        m_crashes.onServerTerminated(ended.incarnation, ended.evidence, now);
    m_crashes.tick(now);
}

Dispatcher::Service &Dispatcher::service(const ServiceName &name)
{
    return m_services.try_emplace(name, m_settings.retries).first->second;
}

} // namespace comfrey
