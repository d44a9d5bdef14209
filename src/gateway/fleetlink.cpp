// Asks and answers between routers.
#include "gateway/fleetlink.h"

#include <algorithm>

#include "gateway/flatbuffercodec.h"
#include "routers/valuedelta.h"
#include "traffic/callerlistener.h"

namespace comfrey {

namespace {

const std::string kRouterTopic = "~routers"; ///< Known to routers only; never in the store.

/// Topics that routers know from each other only.
bool isLocal(const std::string &topic)
{
    return !topic.empty() && topic.front() == '~' && topic != kRouterTopic;
}

constexpr Duration kAskMargin = milliseconds(400); ///< For an answer after it was held.
constexpr Duration kExchangePause =
    milliseconds(300); // bytes between zones cost; the load of a server changes in about a second
/// Requests at once about a prompt, below which it fills no engine, so that an answer holds few
/// entries. With all of them told, bench_placementload has 0.018 and 0.043 over the bound where it
/// has 0.017 and 0.042 with these (hot prompt, hot organisation).
constexpr std::uint32_t kPromptOfZone = 2;
constexpr std::uint32_t kPromptOfOthers = 4;
/// Routers of each other zone that a router hears of: enough to find one that is there.
constexpr std::size_t kToldOfOtherZones = 8;
constexpr Duration kSeedPause = milliseconds(100);
constexpr Duration kSeedRepeat = milliseconds(1000);
constexpr Duration kSeedTime =
    milliseconds(400); ///< After the start, in which routers find each other.
constexpr Duration kProgressLimit =
    milliseconds(600); ///< Between two pieces of a long answer on a busy link.
constexpr Duration kFirstNewsLimit =
    milliseconds(1500); ///< For all records, which take a while on a slow link.
constexpr Duration kFollowLimit =
    milliseconds(900); ///< Without fresh news for so long, a router reads the store itself.
/// The store may turn single routers away for seconds and serve others: until it is tried again, a
/// router whose reads fail follows another one.
constexpr Duration kFirstOwnRetry = milliseconds(300);
constexpr Duration kLongestOwnRetry = milliseconds(2000); // most outages of a store last longer
/// Of a record: older ones are all the same.
constexpr std::int64_t kMostAgeMs = 1000000000;
constexpr Duration kShortestHold = milliseconds(150);
constexpr Duration kLongestHold =
    milliseconds(600); ///< With the way of the answer well under kFollowLimit.
static_assert(kLongestHold * 4 / 3 < kFollowLimit);
constexpr std::int64_t kAnswerBytesPerSecond =
    500000; ///< That the asked router of a zone sends: 4 Mbit/s.
/// Percent of an ask's hold time in which requests that were told count as told: answers with news
/// come sooner.
constexpr int kToldShare = 80;
constexpr int kAsksPerSecond =
    100; ///< That the asked router of a zone gets: a fraction of its processor

std::uint32_t keyOf(const wire::ServerRequests &entry)
{
    return entry.server();
}

std::uint32_t keyOf(const wire::PromptRequests &entry)
{
    return entry.prompt();
}

template<typename Entry>
void toWire(const ServerRequests &requests, std::vector<Entry> &list)
{
    list.reserve(requests.size());
    for (const auto &[key, count] : requests) {
        if (count > 0)
            list.emplace_back(key, count);
    }
}

template<typename Entry>
ServerRequests fromWire(const std::vector<Entry> &list)
{
    ServerRequests requests;
    for (const Entry &entry : list)
        requests[keyOf(entry)] += entry.requests();
    return requests;
}

ServerRequests atLeast(std::uint32_t least, ServerRequests requests)
{
    std::erase_if(requests, [least](const auto &entry) { return entry.second < least; });
    return requests;
}

std::vector<std::unique_ptr<wire::TopicKnownT>> toWire(const KnownOrders &known)
{
    std::vector<std::unique_ptr<wire::TopicKnownT>> topics;
    for (const auto &[topic, order] : known) {
        topics.push_back(std::make_unique<wire::TopicKnownT>());
        topics.back()->topic = topic;
        topics.back()->order = order;
    }
    return topics;
}

KnownOrders fromWire(const std::vector<std::unique_ptr<wire::TopicKnownT>> &topics)
{
    KnownOrders known;
    for (const auto &topic : topics)
        known[topic->topic] = topic->order;
    return known;
}

std::unique_ptr<wire::NewsRecordT> toWire(const FeedChange &change, TimePoint now)
{
    const FeedRecord &record = *change.record;
    auto news = std::make_unique<wire::NewsRecordT>();
    news->topic = record.topic;
    news->key = record.key;
    news->removed = !record.value;
    news->order = record.order;
    if (record.readAt != TimePoint::min())
        news->ageMs = static_cast<std::uint32_t>(
            std::clamp<std::int64_t>((now - record.readAt).count() / 1000, 0, kMostAgeMs));
    news->isDelta = change.delta != nullptr;
    news->baseOrder = change.baseOrder;
    if (change.delta)
        news->value.assign(change.delta->begin(), change.delta->end());
    else if (record.value)
        news->value.assign(record.value->begin(), record.value->end());
    return news;
}

/// Zone, address and standing, a line each.
std::string recordOf(const KnownRouter &router)
{
    return router.zone.value() + '\n' + router.address + '\n' + std::to_string(router.standing);
}

std::optional<KnownRouter> routerOf(const FeedRecord &record)
{
    const std::size_t first = record.value->find('\n');
    const std::size_t second = record.value->find('\n', first + 1);
    if (first == std::string::npos || second == std::string::npos)
        return std::nullopt;
    const auto standing =
        static_cast<std::uint8_t>(std::strtoul(record.value->c_str() + second + 1, nullptr, 10));
    return KnownRouter{record.key, ZoneId(record.value->substr(0, first)),
                       record.value->substr(first + 1, second - first - 1), standing};
}

/// Nothing if the record tells the difference to one that `feed` does not have.
std::optional<FeedRecord> fromWire(wire::NewsRecordT &news, const RecordFeed &feed, TimePoint now)
{
    FeedRecord record{std::move(news.topic), std::move(news.key), std::nullopt, news.order,
                      now - milliseconds(news.ageMs)};
    if (news.removed)
        return record;
    std::string value(news.value.begin(), news.value.end());
    if (!news.isDelta) {
        record.value = std::move(value);
        return record;
    }
    const FeedRecord *base = feed.find(record.topic, record.key);
    if (base && base->order >= record.order)
        return *base;
    if (!base || base->order != news.baseOrder || !base->value)
        return std::nullopt;
    record.value = applyDelta(*base->value, value);
    if (!record.value)
        return std::nullopt;
    return record;
}

} // namespace

FleetLink::FleetLink(HttpCaller &caller, RecordFeed &feed, EventLog &log,
                     std::function<TimePoint()> clock, FleetLinkSettings settings,
                     FleetLinkListener &listener)
    : m_caller(caller), m_feed(feed), m_log(log), m_clock(std::move(clock)),
      m_settings(std::move(settings)), m_listener(listener), m_directory(m_settings.self),
      m_source(static_cast<std::uint64_t>(m_clock().time_since_epoch().count())),
      m_startedAt(m_clock())
{
    m_prompts.leastOfZone = kPromptOfZone;
    m_prompts.leastOfOthers = kPromptOfOthers;
    m_limits.maxBodyBytes = 1 << 20;
    learnRouter(m_settings.self, m_settings.born);
}

void FleetLink::learnRouter(const KnownRouter &router, std::uint64_t born)
{
    m_feed.put({kRouterTopic, router.name, recordOf(router), born});
    m_directory.add(router);
}

bool FleetLink::hasFreshNews(TimePoint now) const
{
    return m_freshAt != TimePoint::min() && now - m_freshAt < kFollowLimit;
}

bool FleetLink::isFresh(TimePoint now) const
{
    return (m_readsStore && m_store == StoreState::Works) || hasFreshNews(now);
}

bool FleetLink::isFreshForOthers(TimePoint now) const
{
    if (m_readsStore && m_store == StoreState::Works)
        return true;
    return m_followed && m_directory.precedesSelf(*m_followed) && hasFreshNews(now);
}

Duration FleetLink::holdTime() const
{
    const auto routers = static_cast<std::int64_t>(m_directory.zoneSize(m_settings.self.zone));
    const Duration byAsks = milliseconds(1000 * routers / kAsksPerSecond);
    const Duration byBytes = milliseconds(1000 * routers * m_answerBytes / kAnswerBytesPerSecond);
    return std::clamp(std::max(byAsks, byBytes), kShortestHold, kLongestHold);
}

void FleetLink::tick(TimePoint now)
{
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const auto caller = waiting->caller.lock();
        if (caller && caller->isOpen() && now < waiting->until) {
            ++waiting;
            continue;
        }
        if (caller && caller->isOpen())
            answerAsk(*caller, waiting->ask);
        waiting = m_waiting.erase(waiting);
    }
    if (!m_stopping)
        decide(now);
}

void FleetLink::decide(TimePoint now)
{
    const bool isNew = now - m_startedAt < kSeedTime;
    const std::string &ownAddress = m_settings.self.address;
    const auto &seeds = m_settings.seeds;
    const bool isSeed = std::find(seeds.begin(), seeds.end(), ownAddress) != seeds.end();
    const bool isAlone = m_directory.zoneSize(m_settings.self.zone) <= 1;
    // Routers that read the store go on asking, so that those who do not know each other find out.
    if ((isNew || m_readsStore || !isFresh(now)) && now >= m_seedsAt) {
        m_seedsAt = now + (isNew ? kSeedPause : kSeedRepeat);
        for (const std::string &seed : seeds) {
            if (seed != ownAddress)
                ask({{}, ZoneId(), seed, 0}, Purpose::Seed, now);
        }
    }
    if (isNew && m_settings.isFirstStart && !isSeed && (isAlone || !m_followed)) {
        const auto first = m_directory.first(m_settings.self.zone, true, now);
        if (first && !isAlone)
            ask(*first, Purpose::Probe, now);
        return;
    }
    const auto first = m_directory.first(m_settings.self.zone, doOwnReadsFail(now), now);
    const bool isFirst = first && first->name == m_settings.self.name;
    // The first router of a zone asks that of another one, so that one reads the store for all.
    const auto leader = isFirst ? m_directory.firstElsewhere(now) : first;
    if (leader && (!m_followed || m_followed->address != leader->address))
        ask(*leader, Purpose::Probe, now);
    // Another router's news go on until own reads work.
    if (!leader && (m_store == StoreState::Works || !hasFreshNews(now)))
        m_followed.reset();
    if (m_followed)
        ask(*m_followed, Purpose::Follow, now);
    const bool isNewsFresh = hasFreshNews(now);
    if (isFirst && !leader)
        setReadsStore(true, now, "no router goes before it");
    else if (!isNewsFresh && !(m_followed && now - m_followedSince < kFirstNewsLimit))
        setReadsStore(true, now, "no router that goes before it has fresh news");
    else if (m_followed && isNewsFresh)
        setReadsStore(false, now, "another router reads it");
    const auto predecessor = isFresh(now) ? std::nullopt : m_directory.predecessor(now);
    if (predecessor) {
        askPredecessor(*predecessor, now);
        return;
    }
    m_predecessor.clear();
    if (isFirst && m_readsStore && now >= m_exchangeAt)
        exchange(now);
}

void FleetLink::askPredecessor(const KnownRouter &predecessor, TimePoint now)
{
    if (m_followed || now < m_predecessorAt)
        return;
    m_predecessorAt = now + std::max(kExchangePause, holdTime());
    if (m_predecessor != predecessor.name) {
        m_predecessor = predecessor.name;
        LogLine(m_log, "predecessor-asked", now)
            .add("router", predecessor.name)
            .add("reason", "no router has fresh news")
            .add("last_fresh", m_freshAt == TimePoint::min() ? Duration(0) : now - m_freshAt);
    }
    ask(predecessor, Purpose::Follow, now);
}

void FleetLink::setReadsStore(bool reads, TimePoint now, std::string_view why)
{
    if (m_readsStore == reads)
        return;
    m_readsStore = reads;
    m_store = StoreState::Unknown;
    LogLine(m_log, reads ? "store-reading-begun" : "store-reading-ended", now)
        .add("reason", why)
        .add("follows", m_followed ? std::string_view(m_followed->name) : std::string_view("none"));
}

void FleetLink::exchange(TimePoint now)
{
    m_exchangeAt = now + kExchangePause;
    for (const ZoneId &zone : m_directory.otherZones()) {
        if (zone < m_settings.self.zone || m_servers.digest.isFollowed(zone, now))
            continue; // It asks, and the ask tells it this zone's requests too.
        if (const auto router = m_directory.first(zone, false, now))
            ask(*router, Purpose::Exchange, now);
    }
}

void FleetLink::ask(const KnownRouter &router, Purpose purpose, TimePoint now)
{
    Known &known = m_known[router.address];
    const auto endpoint = parseEndpoint(router.address);
    if (known.isAsked || !endpoint)
        return;
    known.isAsked = true;
    wire::NewsAskT news;
    news.router = m_settings.self.name;
    news.zone = m_settings.self.zone.value();
    news.address = m_settings.self.address;
    news.born = m_settings.born;
    // Between zones both sides read the store; probes only show whether a router is up to date.
    news.routersOnly = purpose != Purpose::Follow && (purpose != Purpose::Exchange || isFresh(now));
    const Position &position = news.routersOnly ? known.routers : known.all;
    news.source = position.source;
    news.since = position.number;
    news.standing = m_settings.self.standing;
    news.noRecords = purpose == Purpose::Probe;
    if (!news.routersOnly && !known.wantsWhole)
        news.known = toWire(m_feed.knownOrders());
    const bool isNeighbour = router.zone == m_settings.self.zone;
    const Duration usualHold = isNeighbour ? holdTime() : kExchangePause;
    const Duration hold = purpose == Purpose::Follow ? usualHold : Duration(0);
    news.holdMs = static_cast<std::uint32_t>(hold.count() / 1000);
    const bool tellsLocal = purpose == Purpose::Follow || purpose == Purpose::Exchange;
    if (tellsLocal)
        news.records = localRecords(known.told);
    const std::uint64_t telling = m_feed.number();
    toWire(toAsk(m_servers, m_listener.ownRequests(), router, purpose, now), news.requests);
    toWire(toAsk(m_prompts, m_listener.ownPrompts(), router, purpose, now), news.prompts);
    HttpCaller::Call call;
    call.to = *endpoint;
    call.method = "POST";
    call.target = "/news";
    call.contentType = "application/octet-stream";
    call.body = encodeFlatBuffer<wire::NewsAsk>(news);
    call.timeout = hold + kAskMargin;
    call.progressTimeout = kProgressLimit;
    const bool wantsAll = !news.routersOnly && !news.noRecords;
    m_caller.start(
        std::move(call),
        [this, router, purpose, wantsAll, tellsLocal, telling](const CallAnswer &answer) {
            // Records of an ask that may be lost are told again.
            if (tellsLocal && answer.status == 200)
                m_known[router.address].told = telling;
            onAnswer(router, purpose, wantsAll, answer);
        });
}

void FleetLink::onAnswer(const KnownRouter &router, Purpose purpose, bool hadAll,
                         const CallAnswer &answer)
{
    const TimePoint now = m_clock();
    m_known[router.address].isAsked = false;
    auto news =
        answer.status == 200 ? decodeFlatBuffer<wire::NewsAnswer>(answer.body) : std::nullopt;
    const bool isUsable = news && news->fresh && !news->leaving;
    if (news && news->storeInDoubt)
        m_listener.onHeardStoreInDoubt();
    if (news && purpose == Purpose::Follow && news->records.empty())
        m_answerBytes = static_cast<std::int64_t>(answer.body.size());
    if (news) {
        if (purpose != Purpose::Probe)
            takeRecords(router, hadAll, *news);
        if (!news->leaving && news->requestsTold)
            takeRequests(router, purpose, *news, now);
    }
    if (purpose == Purpose::Seed)
        return;
    const bool isFollowed = m_followed && m_followed->address == router.address;
    if (isUsable || (news && purpose == Purpose::Exchange && !news->leaving)) {
        m_directory.onGood(router.name);
    } else {
        if (news && news->leaving)
            m_directory.onLeaving(router.name, now);
        else if (news)
            m_directory.onNotFresh(router.name, now);
        else
            m_directory.onFailed(router.name, now);
        if (isFollowed) {
            LogLine(m_log, "router-lost", now)
                .add("router", router.name)
                .add("reason",
                     !news               ? std::string_view(answer.problem)
                         : news->leaving ? "it stops"
                                         : "its news are old");
            m_followed.reset();
        }
    }
    const bool wasPredecessor = purpose == Purpose::Follow && !m_followed && !isFresh(now);
    if (isUsable && !isFollowed && (purpose == Purpose::Probe || wasPredecessor)) {
        m_followed = router;
        m_followedSince = now;
        LogLine(m_log, "router-followed", now).add("router", router.name);
    }
    if (isUsable && purpose == Purpose::Follow && (isFollowed || wasPredecessor))
        m_freshAt = now;
    if (!m_stopping && purpose != Purpose::Exchange)
        decide(now);
}

void FleetLink::takeRecords(const KnownRouter &router, bool hadAll, wire::NewsAnswerT &news)
{
    Known &known = m_known[router.address];
    if (known.routers.source != news.source)
        known.told = 0; // A router that started anew knows nothing of before.
    known.routers = {news.source, news.number};
    if (hadAll)
        known.all = known.routers;
    bool changed = false;
    known.wantsWhole = hadAll ? false : known.wantsWhole;
    for (const auto &wireRecord : news.records) {
        auto record = fromWire(*wireRecord, m_feed, m_clock());
        if (!record) {
            known.all = Position(); // The next answer tells everything.
            known.wantsWhole = true;
            continue;
        }
        if (record->topic == kRouterTopic && record->value && record->key != m_settings.self.name) {
            if (const auto told = routerOf(*record))
                m_directory.add(*told);
        }
        changed = m_feed.put(std::move(*record)) || changed;
    }
    if (hadAll && !known.wantsWhole) {
        for (const auto &[topic, order] : fromWire(news.known))
            m_feed.setKnownUntil(topic, order);
    }
    if (!changed)
        return;
    m_listener.onFeedChanged();
    publish();
}

void FleetLink::takeLocalRecords(wire::NewsAskT &ask)
{
    bool changed = false;
    for (const auto &wireRecord : ask.records) {
        auto record = fromWire(*wireRecord, m_feed, m_clock());
        changed = (record && isLocal(record->topic) && m_feed.put(std::move(*record))) || changed;
    }
    if (!changed)
        return;
    m_listener.onFeedChanged();
    publish();
}

void FleetLink::takeRequests(const KnownRouter &router, Purpose purpose,
                             const wire::NewsAnswerT &news, TimePoint now)
{
    if (purpose != Purpose::Exchange && purpose != Purpose::Follow)
        return;
    takeFromAnswer(m_servers, fromWire(news.requests), router, purpose, now);
    takeFromAnswer(m_prompts, fromWire(news.prompts), router, purpose, now);
    m_listener.onOthersChanged();
}

ServerRequests FleetLink::toAsk(const Counted &counted, const ServerRequests &own,
                                const KnownRouter &asked, Purpose purpose, TimePoint now) const
{
    if (purpose == Purpose::Exchange)
        return atLeast(counted.leastOfZone, counted.digest.treeTotal(own, now));
    if (purpose != Purpose::Follow)
        return {};
    return asked.zone == m_settings.self.zone
        ? own
        : atLeast(counted.leastOfZone, counted.digest.zoneTotal(own, now));
}

void FleetLink::takeFromAnswer(Counted &counted, ServerRequests told, const KnownRouter &router,
                               Purpose purpose, TimePoint now) const
{
    if (purpose == Purpose::Exchange)
        counted.digest.setZone(router.zone, ZoneSource::Peer, std::move(told), now);
    else if (router.zone == m_settings.self.zone)
        counted.digest.setOthers(std::move(told), now);
    else
        counted.digest.setOutside(std::move(told), now);
}

void FleetLink::takeFromAsk(Counted &counted, ServerRequests told, const wire::NewsAskT &ask,
                            bool isNeighbour, TimePoint now)
{
    const bool isFollower = ask.holdMs > 0;
    if (isFollower && isNeighbour)
        counted.digest.setRouter(ask.router, std::move(told), now);
    else
        counted.digest.setZone(ZoneId(ask.zone),
                               isFollower ? ZoneSource::Follower : ZoneSource::Peer,
                               std::move(told), now);
}

ServerRequests FleetLink::toAnswer(const Counted &counted, const ServerRequests &own,
                                   const wire::NewsAskT &ask, TimePoint now) const
{
    const ZoneId zone(ask.zone);
    if (zone == m_settings.self.zone)
        return atLeast(counted.leastOfOthers, counted.digest.totalExcept(ask.router, own, now));
    return atLeast(counted.leastOfZone,
                   ask.holdMs > 0 ? counted.digest.totalOutside(zone, own, now)
                                  : counted.digest.treeTotal(own, now));
}

void FleetLink::onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead,
                          std::string body)
{
    const TimePoint now = m_clock();
    auto ask = decodeFlatBuffer<wire::NewsAsk>(body);
    if (!ask) {
        caller->respond(400, {{"Content-Type", "text/plain"}}, "the body is no NewsAsk\n", true);
        return;
    }
    const KnownRouter asker{ask->router, ZoneId(ask->zone), ask->address, ask->standing};
    const std::uint64_t before = m_feed.number();
    learnRouter(asker, ask->born);
    // Only a router that follows this one, or reads the store for another zone, tells requests.
    const bool isFollower = ask->holdMs > 0;
    if (isFollower || !ask->requests.empty()) {
        const bool isNeighbour = asker.zone == m_settings.self.zone;
        takeFromAsk(m_servers, fromWire(ask->requests), *ask, isNeighbour, now);
        takeFromAsk(m_prompts, fromWire(ask->prompts), *ask, isNeighbour, now);
        m_listener.onOthersChanged();
    }
    if (m_feed.number() != before)
        publish();
    takeLocalRecords(*ask);
    const bool hasNews = ask->source != m_source || ask->since < m_feed.number();
    if (hasNews || ask->holdMs == 0 || m_stopping || !isFreshForOthers(now)) {
        answerAsk(*caller, *ask);
        return;
    }
    const Duration hold = std::min(milliseconds(ask->holdMs), milliseconds(5000));
    m_waiting.push_back({caller, std::move(*ask), now + hold});
}

void FleetLink::answerAsk(CallerConnection &caller, const wire::NewsAskT &ask)
{
    const TimePoint now = m_clock();
    wire::NewsAnswerT news;
    news.source = m_source;
    news.number = m_feed.number();
    news.fresh = isFreshForOthers(now);
    news.leaving = m_stopping;
    news.storeInDoubt = m_listener.isStoreInDoubt();
    if (!ask.noRecords)
        addRecords(news, ask);
    const Duration pause = milliseconds(ask.holdMs) * kToldShare / 100;
    TimePoint &toldAt = m_requestsToldAt.try_emplace(ask.router, TimePoint::min()).first->second;
    // A probe is not to use up what a follower waits for.
    if (!ask.noRecords && (toldAt == TimePoint::min() || now - toldAt >= pause)) {
        toldAt = now;
        news.requestsTold = true;
        toWire(toAnswer(m_servers, m_listener.ownRequests(), ask, now), news.requests);
        toWire(toAnswer(m_prompts, m_listener.ownPrompts(), ask, now), news.prompts);
    }
    caller.respond(200, {{"Content-Type", "application/octet-stream"}},
                   encodeFlatBuffer<wire::NewsAnswer>(news));
}

std::vector<std::unique_ptr<wire::NewsRecordT>> FleetLink::localRecords(std::uint64_t since) const
{
    std::vector<std::unique_ptr<wire::NewsRecordT>> records;
    for (const FeedChange &change : m_feed.since(since)) {
        if (isLocal(change.record->topic))
            records.push_back(toWire(change, m_clock()));
    }
    return records;
}

void FleetLink::addRecords(wire::NewsAnswerT &news, const wire::NewsAskT &ask)
{
    const std::uint64_t since = ask.source == m_source ? ask.since : 0;
    if (!ask.routersOnly)
        news.known = toWire(m_feed.knownOrders());
    for (const FeedChange &change : m_feed.deltasSince(since, fromWire(ask.known))) {
        if (change.record->topic == kRouterTopic) {
            const auto router = change.record->value ? routerOf(*change.record) : std::nullopt;
            if (router && router->zone.value() != ask.zone
                && m_directory.rankOf(*router) >= kToldOfOtherZones)
                continue;
        } else if (ask.routersOnly && !isLocal(change.record->topic)) {
            continue;
        }
        news.records.push_back(toWire(change, m_clock()));
    }
}

void FleetLink::setStoreWorks(bool works)
{
    const bool stopsServing = !works && m_store == StoreState::Works;
    if (works) {
        m_ownFailures = 0;
        m_ownRetryAt = TimePoint::min();
    } else if (m_store != StoreState::Fails) {
        m_ownRetryAt = m_clock()
            + std::min(kLongestOwnRetry, kFirstOwnRetry * (1U << std::min(m_ownFailures, 4U)));
        ++m_ownFailures;
    }
    m_store = works ? StoreState::Works : StoreState::Fails;
    // Who relies on this router is to look elsewhere at once.
    if (stopsServing)
        publish();
}

void FleetLink::publish()
{
    std::list<Waiting> waiting = std::exchange(m_waiting, {});
    for (const Waiting &router : waiting) {
        const auto caller = router.caller.lock();
        if (caller && caller->isOpen())
            answerAsk(*caller, router.ask);
    }
}

void FleetLink::stop()
{
    m_stopping = true;
    publish();
}

} // namespace comfrey
