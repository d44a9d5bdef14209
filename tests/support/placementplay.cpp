// The model of engines and of the routers' news.
#include "support/placementplay.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace comfrey {

namespace {

// The users' engines: a step for all running chats, longer with each of them; prompts between.
constexpr double kStepMs = 3.55;
constexpr double kStepMsPerChat = 0.0462;
constexpr double kPromptTokensPerMs = 157;
constexpr double kFirstMs = 26;
constexpr double kOutputSpread = 0.8;            ///< Of the normal under the log-normal.
constexpr Duration kCopyTime = milliseconds(15); ///< Of a prompt from another engine.
constexpr Duration kWindow = milliseconds(5000); // the users' rule on load
constexpr double kLimitFactor = 2;
constexpr double kLimitSpare = 3;
constexpr Duration kWarmUp = milliseconds(2000); ///< Before it nothing counts.

TimePoint start()
{
    return TimePoint(milliseconds(1000));
}

Duration ofMs(double ms)
{
    return Duration(static_cast<std::int64_t>(ms * 1000));
}

// As FleetLink leaves out prompts with fewer requests.
constexpr std::uint32_t kPromptOfZone = 2;
constexpr std::uint32_t kPromptOfOthers = 4;

ServerRequests atLeast(ServerRequests requests, std::uint32_t least)
{
    std::erase_if(requests, [least](const auto &entry) { return entry.second < least; });
    return requests;
}

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

PlacementPlay::PlacementPlay(const PlacementLoad &load, const ReplicaChooser &chooser)
    : m_load(load), m_chooser(chooser), m_random(load.seed), m_routers(load.routers),
      m_engines(load.engines)
{
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        Router &router = m_routers[index];
        router.zone = index % load.zones;
        router.first = router.zone;
        for (std::size_t engine = 0; engine < load.engines; ++engine) {
            auto replica = std::make_shared<Replica>();
            replica->record.id = BackendId('e' + std::to_string(engine));
            replica->record.born = 1;
            replica->incarnation = replica->record.id.value();
            replica->incarnationHash = static_cast<std::uint32_t>(engine);
            replica->load.setSlots(load.slots);
            router.replicas.push_back(std::move(replica));
        }
    }
}

bool PlacementPlay::isHot(TimePoint now) const
{
    return now - start() >= m_load.hotFrom && now - start() < m_load.hotUntil;
}

PlacementResult PlacementPlay::run()
{
    for (std::size_t kind = 0; kind < m_load.kinds.size(); ++kind)
        later(start(), [this, kind](TimePoint at) { arrive(kind, at); });
    for (std::size_t router = 0; router < m_routers.size(); ++router) {
        const bool isFirst = router < m_load.zones;
        const Duration hold = isFirst ? m_load.crossHold : m_load.zoneHold;
        const Duration phase(
            static_cast<std::int64_t>(uniform(m_random) * static_cast<double>(hold.count())));
        if (!isFirst)
            later(start() + phase, [this, router](TimePoint at) { askInZone(router, at); });
        else if (router > 0)
            later(start() + phase, [this, router](TimePoint at) { askAcross(router, at); });
    }
    m_steps.runAll();
    PlacementResult result;
    result.sent = m_sent.size();
    std::size_t over = 0;
    for (std::size_t first = 0, last = 0; last < m_sent.size(); ++last) {
        over += m_sent[last].second ? 1 : 0;
        while (m_sent[last].first - m_sent[first].first > kWindow)
            over -= m_sent[first++].second ? 1 : 0;
        if (m_sent[last].first - m_sent.front().first >= kWindow)
            result.worstWindow =
                std::max(result.worstWindow,
                         static_cast<double>(over) / static_cast<double>(last - first + 1));
    }
    const auto share = [](std::size_t part, std::size_t all) {
        return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
    };
    result.onTime = share(m_onTime, m_begun);
    result.onTimeHot = share(m_hotOnTime, m_hotBegun);
    result.promptsRead = share(m_read, m_begun);
    result.meanLoad = m_loadSum / static_cast<double>(m_sent.size());
    return result;
}

void PlacementPlay::arrive(std::size_t kind, TimePoint now)
{
    if (now - start() >= m_load.length)
        return;
    const ChatKind &facts = m_load.kinds[kind];
    const double factor = isHot(now) ? m_load.hotFactor : 1;
    Chat chat;
    chat.router = m_random() % m_routers.size();
    chat.kind = kind;
    chat.at = now;
    chat.prompt = (kind << 20) + 1 + m_random() % facts.prompts;
    const bool isMore = uniform(m_random) < 1 - 1 / factor;
    if (isHot(now) && kind == 0 && uniform(m_random) < m_load.hotPromptShare)
        chat.prompt = kind << 20;
    else if (isMore && m_load.hotPrompts > 0)
        chat.prompt = (kind << 20) + 1 + m_random() % m_load.hotPrompts;
    place(chat, now);
    std::exponential_distribution<double> pause(facts.perSecond * factor / 1000);
    later(now + ofMs(pause(m_random)), [this, kind](TimePoint at) { arrive(kind, at); });
}

void PlacementPlay::place(Chat chat, TimePoint now)
{
    Router &router = m_routers[chat.router];
    RequestFacts request;
    request.prompt = {{chat.prompt, 1000}, {m_random(), 100}};
    ChoiceInput input;
    input.replicas = router.replicas;
    input.alive = router.replicas;
    if (now - start() >= m_load.emptiedFrom) {
        const auto emptied = static_cast<std::ptrdiff_t>(
            m_load.emptiedShare * static_cast<double>(input.replicas.size()));
        input.replicas.erase(input.replicas.begin(), input.replicas.begin() + emptied);
        input.isZoneEmptied = true;
    }
    input.tieBreak = m_random();
    const std::uint32_t prompt = promptHash(request);
    if (m_load.promptsAreTold)
        input.promptRequests = fleetRequests(router, prompt);
    const Choice choice = m_chooser.choose(request, input, now);
    chat.engine = choice.replica->incarnationHash;
    choice.replica->load.onSent();
    ++router.ownPrompts[prompt];
    chat.promptHash = prompt;
    Engine &engine = m_engines[chat.engine];
    const double mean = static_cast<double>(m_running) / static_cast<double>(m_engines.size());
    if (now - start() >= kWarmUp) {
        m_sent.emplace_back(now, engine.held > kLimitFactor * mean + kLimitSpare);
        m_loadSum += mean;
    }
    ++engine.held;
    ++m_running;
    m_chats.push_back(chat);
    if (engine.running < m_load.slots)
        begin(m_chats.size() - 1, now);
    else
        engine.waiting.push(m_chats.size() - 1);
}

void PlacementPlay::begin(std::size_t id, TimePoint now)
{
    const Chat &chat = m_chats[id];
    const ChatKind &kind = m_load.kinds[chat.kind];
    Engine &engine = m_engines[chat.engine];
    ++engine.running;
    const bool isNew = engine.prompts.insert(chat.prompt).second;
    const TimePoint readAt = std::max(now, engine.readUntil) + (isNew ? kCopyTime : Duration(0));
    engine.readUntil = readAt + ofMs(kind.ownTokens / kPromptTokensPerMs);
    const TimePoint first = engine.readUntil + ofMs(kFirstMs);
    std::normal_distribution<double> spread(-kOutputSpread * kOutputSpread / 2, kOutputSpread);
    const double tokens = kind.outputTokens * std::exp(spread(m_random));
    const TimePoint end = first + ofMs(tokens * (kStepMs + kStepMsPerChat * engine.running));
    if (chat.at - start() >= kWarmUp) {
        const bool onTime = first - chat.at <= kind.objective;
        ++m_begun;
        m_onTime += onTime ? 1 : 0;
        m_read += isNew ? 1 : 0;
        m_hotBegun += isHot(chat.at) ? 1 : 0;
        m_hotOnTime += onTime && isHot(chat.at) ? 1 : 0;
    }
    later(end, [this, id](TimePoint at) { finish(id, at); });
}

void PlacementPlay::finish(std::size_t id, TimePoint now)
{
    const Chat chat = m_chats[id];
    Engine &engine = m_engines[chat.engine];
    --engine.held;
    --engine.running;
    --m_running;
    m_routers[chat.router].replicas[chat.engine]->load.onEnded();
    ServerRequests &prompts = m_routers[chat.router].ownPrompts;
    if (--prompts[chat.promptHash] == 0)
        prompts.erase(chat.promptHash);
    if (engine.waiting.empty())
        return;
    const std::size_t next = engine.waiting.front();
    engine.waiting.pop();
    begin(next, now);
}

std::uint32_t PlacementPlay::fleetRequests(Router &router, std::uint32_t prompt)
{
    std::uint32_t requests = 0;
    for (const ServerRequests *counts : {&router.ownPrompts, &router.otherPrompts}) {
        if (const auto found = counts->find(prompt); found != counts->end())
            requests += found->second;
    }
    return requests;
}

ServerRequests PlacementPlay::ownRequests(const Router &router) const
{
    ServerRequests requests;
    for (const auto &replica : router.replicas) {
        if (replica->load.ownInFlight() > 0)
            requests[replica->incarnationHash] = replica->load.ownInFlight();
    }
    return requests;
}

void PlacementPlay::takeOthers(Router &router, TimePoint now)
{
    const ServerRequests others = router.digest.remoteTotal(now);
    for (const auto &replica : router.replicas) {
        const auto found = others.find(replica->incarnationHash);
        replica->load.setOthers(found == others.end() ? 0 : found->second, now);
    }
}

/// An ask that was held has its answer now; the next one goes out at once.
void PlacementPlay::askInZone(std::size_t index, TimePoint now)
{
    Router &router = m_routers[index];
    Router &first = m_routers[router.first];
    const std::string name = 'r' + std::to_string(index);
    router.digest.setRemoteTotal(first.digest.totalExceptRouter(name, ownRequests(first), now),
                                 now);
    takeOthers(router, now);
    first.digest.setRouter(name, ownRequests(router), now);
    router.promptDigest.setRemoteTotal(
        atLeast(first.promptDigest.totalExceptRouter(name, first.ownPrompts, now), kPromptOfOthers),
        now);
    router.otherPrompts = router.promptDigest.remoteTotal(now);
    first.promptDigest.setRouter(name, router.ownPrompts, now);
    first.otherPrompts = first.promptDigest.remoteTotal(now);
    takeOthers(first, now);
    if (now - start() < m_load.length)
        later(now + m_load.zoneHold, [this, index](TimePoint at) { askInZone(index, at); });
}

void PlacementPlay::askAcross(std::size_t index, TimePoint now)
{
    Router &router = m_routers[index];
    Router &first = m_routers.front();
    const ZoneId zone('z' + std::to_string(router.zone));
    router.digest.setOtherZonesTotal(first.digest.totalOutsideZone(zone, ownRequests(first), now),
                                     now);
    takeOthers(router, now);
    first.digest.setZone(zone, ZoneSource::Follower,
                         router.digest.zoneTotal(ownRequests(router), now), now);
    router.promptDigest.setOtherZonesTotal(
        atLeast(first.promptDigest.totalOutsideZone(zone, first.ownPrompts, now), kPromptOfZone),
        now);
    router.otherPrompts = router.promptDigest.remoteTotal(now);
    first.promptDigest.setZone(
        zone, ZoneSource::Follower,
        atLeast(router.promptDigest.zoneTotal(router.ownPrompts, now), kPromptOfZone), now);
    first.otherPrompts = first.promptDigest.remoteTotal(now);
    takeOthers(first, now);
    if (now - start() < m_load.length)
        later(now + m_load.crossHold, [this, index](TimePoint at) { askAcross(index, at); });
}

} // namespace comfrey
