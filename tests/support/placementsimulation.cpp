// The model of the engines and of the exchange of request counts between routers.
#include "support/placementsimulation.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace comfrey {

namespace {

// Model of the users' engines: one step makes a token for each running chat and takes longer with
// more chats; prompts are read between steps.
constexpr double kStepMs = 3.55;
constexpr double kStepMsPerChat = 0.0462;
constexpr double kPromptTokensPerMs = 157;
constexpr double kFirstTokenMs = 26;
constexpr double kOutputSigma = 0.8; ///< Sigma of the log-normal output length.
constexpr Duration kPromptCopyTime =
    milliseconds(15); ///< Time to copy a prompt from another engine.
constexpr Duration kOverloadWindow = milliseconds(5000); ///< Of the users' rule on load.
/// An engine is overloaded above this multiple of the mean load plus the headroom.
constexpr double kOverloadFactor = 2;
constexpr double kOverloadHeadroom = 3;
constexpr Duration kWarmUp = milliseconds(2000); ///< Chats before its end are not counted.

TimePoint start()
{
    return TimePoint(milliseconds(1000));
}

Duration fromMilliseconds(double ms)
{
    return Duration(static_cast<std::int64_t>(ms * 1000));
}

// Prompts with fewer requests are left out of the exchange, as in a router.
constexpr std::uint32_t kMinZonePromptRequests = 2;
constexpr std::uint32_t kMinRemotePromptRequests = 4;

ServerRequests withAtLeast(ServerRequests requests, std::uint32_t least)
{
    std::erase_if(requests, [least](const auto &entry) { return entry.second < least; });
    return requests;
}

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

PlacementSimulation::PlacementSimulation(const PlacementLoad &load, const ReplicaChooser &chooser)
    : m_load(load), m_chooser(chooser), m_random(load.seed), m_routers(load.routers),
      m_engines(load.engines)
{
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        Router &router = m_routers[index];
        router.zone = index % load.zones;
        router.leader = router.zone;
        for (std::size_t engine = 0; engine < load.engines; ++engine) {
            auto replica = std::make_shared<Replica>();
            replica->record.id = BackendId('e' + std::to_string(engine));
            replica->record.startedAtMs = 1;
            replica->incarnation = replica->record.id.value();
            replica->incarnationHash = static_cast<std::uint32_t>(engine);
            replica->load.setSlots(load.slots);
            router.replicas.push_back(std::move(replica));
        }
    }
}

bool PlacementSimulation::isHot(TimePoint now) const
{
    return now - start() >= m_load.hotFromOffset && now - start() < m_load.hotUntilOffset;
}

bool PlacementSimulation::isWarmedUp(TimePoint now) const
{
    return now - start() >= kWarmUp;
}

void PlacementSimulation::runSteps()
{
    for (std::size_t kind = 0; kind < m_load.kinds.size(); ++kind)
        schedule(start(), [this, kind](TimePoint at) { onArrival(kind, at); });
    for (std::size_t router = 0; router < m_routers.size(); ++router) {
        const bool isZoneLeader = router < m_load.zones;
        const Duration pollTime = isZoneLeader ? m_load.crossZonePollTime : m_load.zonePollTime;
        const Duration phase(
            static_cast<std::int64_t>(uniform(m_random) * static_cast<double>(pollTime.count())));
        if (!isZoneLeader)
            schedule(start() + phase, [this, router](TimePoint at) { pollZoneLeader(router, at); });
        else if (router > 0)
            schedule(start() + phase,
                     [this, router](TimePoint at) { pollFleetLeader(router, at); });
    }
    m_steps.runAll();
}

PlacementResult PlacementSimulation::run()
{
    runSteps();
    PlacementResult result;
    result.sent = m_sent.size();
    std::size_t overloaded = 0;
    for (std::size_t first = 0, last = 0; last < m_sent.size(); ++last) {
        overloaded += m_sent[last].second ? 1 : 0;
        while (m_sent[last].first - m_sent[first].first > kOverloadWindow)
            overloaded -= m_sent[first++].second ? 1 : 0;
        if (m_sent[last].first - m_sent.front().first >= kOverloadWindow)
            result.worstOverloadedShare =
                std::max(result.worstOverloadedShare,
                         static_cast<double>(overloaded) / static_cast<double>(last - first + 1));
    }
    const auto share = [](std::size_t part, std::size_t all) {
        return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
    };
    result.onTimeShare = share(m_onTime, m_started);
    result.hotOnTimeShare = share(m_hotOnTime, m_hotStarted);
    result.promptReadShare = share(m_promptsRead, m_started);
    result.meanEngineLoad = m_loadSum / static_cast<double>(m_sent.size());
    return result;
}

void PlacementSimulation::onArrival(std::size_t kind, TimePoint now)
{
    if (now - start() >= m_load.duration)
        return;
    const ChatKind &facts = m_load.kinds[kind];
    const double factor = isHot(now) ? m_load.hotFactor : 1;
    Chat chat;
    chat.router = m_random() % m_routers.size();
    chat.kind = kind;
    chat.at = now;
    chat.prompt = (kind << 20) + 1 + m_random() % facts.prompts;
    const bool isExtra = uniform(m_random) < 1 - 1 / factor;
    if (isHot(now) && kind == 0 && uniform(m_random) < m_load.hotPromptShare)
        chat.prompt = kind << 20;
    else if (isExtra && m_load.hotPrompts > 0)
        chat.prompt = (kind << 20) + 1 + m_random() % m_load.hotPrompts;
    sendChat(chat, now);
    std::exponential_distribution<double> interarrival(facts.perSecond * factor / 1000);
    schedule(now + fromMilliseconds(interarrival(m_random)),
             [this, kind](TimePoint at) { onArrival(kind, at); });
}

void PlacementSimulation::sendChat(Chat chat, TimePoint now)
{
    Router &router = m_routers[chat.router];
    RequestFacts request;
    request.prompt = {{chat.prompt, 1000}, {m_random(), 100}};
    ChoiceInput input;
    input.replicas = router.replicas;
    input.alive = router.replicas;
    if (now - start() >= m_load.evacuatedFrom) {
        const auto evacuated = static_cast<std::ptrdiff_t>(
            m_load.evacuatedShare * static_cast<double>(input.replicas.size()));
        input.replicas.erase(input.replicas.begin(), input.replicas.begin() + evacuated);
        input.isZoneEvacuated = true;
    }
    input.tieBreak = m_random();
    const std::uint32_t prompt = promptHash(request);
    if (m_load.promptCountsAreShared)
        input.promptRequests = fleetPromptRequests(router, prompt);
    const Choice choice = m_chooser.choose(request, input, now);
    chat.engine = choice.replica->incarnationHash;
    choice.replica->load.onRequestSent();
    ++router.localPrompts[prompt];
    chat.promptHash = prompt;
    Engine &engine = m_engines[chat.engine];
    const double mean = static_cast<double>(m_inFlight) / static_cast<double>(m_engines.size());
    if (now - start() >= kWarmUp) {
        m_sent.emplace_back(now, engine.inFlight > kOverloadFactor * mean + kOverloadHeadroom);
        m_loadSum += mean;
    }
    ++engine.inFlight;
    ++m_inFlight;
    m_chats.push_back(chat);
    if (engine.running < m_load.slots)
        startChat(m_chats.size() - 1, now);
    else
        engine.waiting.push(m_chats.size() - 1);
}

void PlacementSimulation::startChat(std::size_t id, TimePoint now)
{
    const Chat &chat = m_chats[id];
    const ChatKind &kind = m_load.kinds[chat.kind];
    Engine &engine = m_engines[chat.engine];
    ++engine.running;
    const bool isNew = engine.prompts.insert(chat.prompt).second;
    const TimePoint readAt =
        std::max(now, engine.readUntil) + (isNew ? kPromptCopyTime : Duration(0));
    engine.readUntil = readAt + fromMilliseconds(kind.ownTokens / kPromptTokensPerMs);
    const TimePoint firstTokenAt = engine.readUntil + fromMilliseconds(kFirstTokenMs);
    std::normal_distribution<double> spread(-kOutputSigma * kOutputSigma / 2, kOutputSigma);
    const double tokens = kind.outputTokens * std::exp(spread(m_random));
    const TimePoint end =
        firstTokenAt + fromMilliseconds(tokens * (kStepMs + kStepMsPerChat * engine.running));
    if (chat.at - start() >= kWarmUp) {
        const bool isOnTime = firstTokenAt - chat.at <= kind.firstTokenObjective;
        ++m_started;
        m_onTime += isOnTime ? 1 : 0;
        m_promptsRead += isNew ? 1 : 0;
        m_hotStarted += isHot(chat.at) ? 1 : 0;
        m_hotOnTime += isOnTime && isHot(chat.at) ? 1 : 0;
    }
    schedule(end, [this, id](TimePoint at) { finishChat(id, at); });
}

void PlacementSimulation::finishChat(std::size_t id, TimePoint now)
{
    const Chat chat = m_chats[id];
    Engine &engine = m_engines[chat.engine];
    --engine.inFlight;
    --engine.running;
    --m_inFlight;
    m_routers[chat.router].replicas[chat.engine]->load.onRequestEnded();
    ServerRequests &prompts = m_routers[chat.router].localPrompts;
    if (--prompts[chat.promptHash] == 0)
        prompts.erase(chat.promptHash);
    if (engine.waiting.empty())
        return;
    const std::size_t next = engine.waiting.front();
    engine.waiting.pop();
    startChat(next, now);
}

std::uint32_t PlacementSimulation::fleetPromptRequests(Router &router, std::uint32_t prompt)
{
    std::uint32_t requests = 0;
    for (const ServerRequests *counts : {&router.localPrompts, &router.remotePrompts}) {
        if (const auto found = counts->find(prompt); found != counts->end())
            requests += found->second;
    }
    return requests;
}

ServerRequests PlacementSimulation::localRequests(const Router &router) const
{
    ServerRequests requests;
    for (const auto &replica : router.replicas) {
        if (replica->load.localInFlight() > 0)
            requests[replica->incarnationHash] = replica->load.localInFlight();
    }
    return requests;
}

void PlacementSimulation::applyRemoteRequests(Router &router, TimePoint now)
{
    const ServerRequests remote = router.digest.remoteTotal(now);
    for (const auto &replica : router.replicas) {
        const auto found = remote.find(replica->incarnationHash);
        replica->load.setRemoteInFlight(found == remote.end() ? 0 : found->second, now);
    }
}

/// Completes a long poll of a router at the leader of its zone and starts the next one at once.
void PlacementSimulation::pollZoneLeader(std::size_t index, TimePoint now)
{
    Router &router = m_routers[index];
    Router &leader = m_routers[router.leader];
    const std::string name = 'r' + std::to_string(index);
    router.digest.setRemoteTotal(leader.digest.totalExceptRouter(name, localRequests(leader), now),
                                 now);
    applyRemoteRequests(router, now);
    leader.digest.setRouter(name, localRequests(router), now);
    router.promptDigest.setRemoteTotal(
        withAtLeast(leader.promptDigest.totalExceptRouter(name, leader.localPrompts, now),
                    kMinRemotePromptRequests),
        now);
    router.remotePrompts = router.promptDigest.remoteTotal(now);
    leader.promptDigest.setRouter(name, router.localPrompts, now);
    leader.remotePrompts = leader.promptDigest.remoteTotal(now);
    applyRemoteRequests(leader, now);
    if (now - start() < m_load.duration + m_load.pollsAfterLoad)
        schedule(now + m_load.zonePollTime,
                 [this, index](TimePoint at) { pollZoneLeader(index, at); });
}

void PlacementSimulation::pollFleetLeader(std::size_t index, TimePoint now)
{
    Router &router = m_routers[index];
    Router &leader = m_routers.front();
    const ZoneId zone('z' + std::to_string(router.zone));
    router.digest.setOtherZonesTotal(
        leader.digest.totalOutsideZone(zone, localRequests(leader), now), now);
    applyRemoteRequests(router, now);
    leader.digest.setZone(zone, ZoneSource::Follower,
                          router.digest.zoneTotal(localRequests(router), now), now);
    router.promptDigest.setOtherZonesTotal(
        withAtLeast(leader.promptDigest.totalOutsideZone(zone, leader.localPrompts, now),
                    kMinZonePromptRequests),
        now);
    router.remotePrompts = router.promptDigest.remoteTotal(now);
    leader.promptDigest.setZone(zone, ZoneSource::Follower,
                                withAtLeast(router.promptDigest.zoneTotal(router.localPrompts, now),
                                            kMinZonePromptRequests),
                                now);
    leader.remotePrompts = leader.promptDigest.remoteTotal(now);
    applyRemoteRequests(leader, now);
    if (now - start() < m_load.duration + m_load.pollsAfterLoad)
        schedule(now + m_load.crossZonePollTime,
                 [this, index](TimePoint at) { pollFleetLeader(index, at); });
}

} // namespace comfrey
