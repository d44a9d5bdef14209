// Sends, holds and answers polls between routers.
#include "gateway/fleetsync.h"

#include <algorithm>
#include <limits>

#include "gateway/flatbuffercodec.h"
#include "routers/valuedelta.h"
#include "traffic/callerlistener.h"

namespace comfrey {

namespace {

const std::string kRouterTopic = "~routers"; ///< Shared by routers only; never in the store.

/// True for topics that routers only know from each other, except the list of routers.
bool isUnstored(const std::string &topic)
{
    return !topic.empty() && topic.front() == '~' && topic != kRouterTopic;
}

constexpr Duration kPollAnswerMargin = milliseconds(400); ///< For the answer after the hold time.
constexpr Duration kExchangeInterval =
    milliseconds(300); // traffic between zones is costly; a server's load changes in about 1 s
/// Fewer requests in flight about a prompt fill no engine and are left out to keep answers small.
/// With all prompts sent, bench_placementload has 0.018 and 0.043 over the bound for the loads hot
/// prompt and hot organisation; with these minimums it has 0.017 and 0.042.
constexpr std::uint32_t kMinZonePromptRequests = 2;
constexpr std::uint32_t kMinRemotePromptRequests = 4;
/// Routers of each other zone that a router is sent; enough for one of them to be reachable.
constexpr std::size_t kMaxRoutersPerOtherZone = 8;
constexpr Duration kStartDiscoveryInterval = milliseconds(100);
constexpr Duration kDiscoveryInterval = milliseconds(1000);
constexpr Duration kStartDiscoveryTime =
    milliseconds(400); ///< After the start, for routers to find each other.
constexpr Duration kProgressTimeout =
    milliseconds(600); ///< Between two parts of a long answer on a busy link.
constexpr Duration kFirstUpdatesTimeout =
    milliseconds(1500); ///< All records take longer than later updates on a slow link.
/// The store may refuse single routers for seconds and serve others. A router whose reads fail
/// follows another router until this delay ends.
constexpr Duration kMinStoreRetryDelay = milliseconds(300);
constexpr Duration kMaxStoreRetryDelay = milliseconds(2000); // most outages of a store last longer
/// Greater ages of a record are sent as this one, since they make no difference.
constexpr std::int64_t kMaxRecordAgeMs = 1000000000;
constexpr Duration kMinLongPoll = milliseconds(150);
/// Of an answer whose router's records the store never confirmed.
constexpr std::int32_t kUnconfirmedMs = std::numeric_limits<std::int32_t>::min();
constexpr std::int64_t kMaxAnswerBytesPerSecond =
    500000; ///< Sent by the leader of a zone to its followers: 4 Mbit/s.
/// Counts are sent to a router again after this percentage of the hold time. Answers to polls with
/// updates come sooner and omit the counts.
constexpr int kCountsIntervalPercent = 80;
constexpr int kMaxPollsPerSecond =
    100; ///< Received by the leader of a zone; a small share of its processor.

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

ServerRequests withoutCountsBelow(std::uint32_t minimum, ServerRequests requests)
{
    std::erase_if(requests, [minimum](const auto &entry) { return entry.second < minimum; });
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

/// Age for the wire of what was read at `readAt`.
std::uint32_t ageMs(TimePoint readAt, TimePoint now)
{
    if (readAt == TimePoint::min())
        return 0;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>((now - readAt).count() / 1000, 0, kMaxRecordAgeMs));
}

std::unique_ptr<wire::NewsRecordT> toWire(const FeedChange &change, TimePoint now)
{
    const FeedRecord &record = *change.record;
    auto wireRecord = std::make_unique<wire::NewsRecordT>();
    wireRecord->topic = record.topic;
    wireRecord->key = record.key;
    wireRecord->removed = !record.value;
    wireRecord->order = record.order;
    wireRecord->ageMs = ageMs(record.readAt, now);
    wireRecord->isDelta = change.delta != nullptr;
    wireRecord->baseOrder = change.baseOrder;
    if (change.delta)
        wireRecord->value.assign(change.delta->begin(), change.delta->end());
    else if (record.value)
        wireRecord->value.assign(record.value->begin(), record.value->end());
    return wireRecord;
}

/// The moment of a confirmation for the wire, from the arrival of a poll on.
std::int32_t confirmedMs(TimePoint confirmedAt, TimePoint receivedAt)
{
    if (confirmedAt == TimePoint::min())
        return kUnconfirmedMs;
    const auto difference =
        std::chrono::floor<std::chrono::milliseconds>(confirmedAt - receivedAt).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(
        difference, kUnconfirmedMs + 1, std::numeric_limits<std::int32_t>::max()));
}

/// `hasAllRecords` means that the records of the answer name all keys.
std::unique_ptr<wire::TopicKeysT> toWire(const CompleteList &list, bool hasAllRecords,
                                         TimePoint now)
{
    auto keys = std::make_unique<wire::TopicKeysT>();
    keys->topic = list.topic;
    keys->keysInRecords = hasAllRecords;
    if (!hasAllRecords)
        keys->keys.assign(list.keys.begin(), list.keys.end());
    keys->end = list.end;
    keys->claimedEnd = list.claimedEnd;
    keys->removalsFrom = list.removalsFrom;
    keys->ageMs = ageMs(list.readAt, now);
    return keys;
}

CompleteList fromWire(const wire::TopicKeysT &keys, const wire::NewsAnswerT &updates, TimePoint now)
{
    CompleteList list{keys.topic,        {keys.keys.begin(), keys.keys.end()},
                      keys.end,          keys.claimedEnd,
                      keys.removalsFrom, now - milliseconds(keys.ageMs)};
    if (keys.keysInRecords) {
        for (const auto &record : updates.records) {
            if (record->topic == keys.topic && !record->removed)
                list.keys.insert(record->key);
        }
    }
    return list;
}

/// Value of the router's record: zone, address and capacity tier, one per line.
std::string encodeRouter(const RouterInfo &router)
{
    return router.zone.value() + '\n' + router.address + '\n' + std::to_string(router.capacityTier);
}

std::optional<RouterInfo> decodeRouter(const FeedRecord &record)
{
    const std::size_t first = record.value->find('\n');
    const std::size_t second = record.value->find('\n', first + 1);
    if (first == std::string::npos || second == std::string::npos)
        return std::nullopt;
    const auto capacityTier =
        static_cast<std::uint8_t>(std::strtoul(record.value->c_str() + second + 1, nullptr, 10));
    return RouterInfo{record.key, ZoneId(record.value->substr(0, first)),
                      record.value->substr(first + 1, second - first - 1), capacityTier};
}

/// Decodes a record; none if it is a delta to a record that `feed` does not have.
std::optional<FeedRecord> fromWire(wire::NewsRecordT &wireRecord, const RecordFeed &feed,
                                   TimePoint now)
{
    FeedRecord record{std::move(wireRecord.topic), std::move(wireRecord.key), std::nullopt,
                      wireRecord.order, now - milliseconds(wireRecord.ageMs)};
    if (wireRecord.removed)
        return record;
    std::string value(wireRecord.value.begin(), wireRecord.value.end());
    if (!wireRecord.isDelta) {
        record.value = std::move(value);
        return record;
    }
    const FeedRecord *base = feed.find(record.topic, record.key);
    if (base && base->order >= record.order)
        return *base;
    if (!base || base->order != wireRecord.baseOrder || !base->value)
        return std::nullopt;
    record.value = applyDelta(*base->value, value);
    if (!record.value)
        return std::nullopt;
    return record;
}

} // namespace

FleetSync::FleetSync(CallSender &caller, RecordFeed &feed, EventLog &log,
                     std::function<TimePoint()> clock, FleetSyncSettings settings,
                     FleetSyncListener &listener)
    : m_caller(caller), m_feed(feed), m_log(log), m_clock(std::move(clock)),
      m_settings(std::move(settings)), m_staleness(m_settings.applyLimit), m_listener(listener),
      m_directory(m_settings.self),
      m_startId(static_cast<std::uint64_t>(m_clock().time_since_epoch().count())),
      m_startedAt(m_clock())
{
    m_prompts.minZoneCount = kMinZonePromptRequests;
    m_prompts.minRemoteCount = kMinRemotePromptRequests;
    m_limits.maxBodyBytes = 1 << 20;
    registerRouter(m_settings.self, m_settings.startedAtMs);
}

void FleetSync::registerRouter(const RouterInfo &router, std::uint64_t startedAtMs)
{
    m_feed.put({kRouterTopic, router.name, encodeRouter(router), startedAtMs});
    m_directory.add(router);
}

bool FleetSync::isFresh(TimePoint now) const
{
    const Duration age = m_staleness.outdatedAge();
    return (m_readsStore && m_storeState == StoreState::Readable
            && isYounger(m_storeConfirmedAt, age, now))
        || hasFreshUpdates(age, now);
}

bool FleetSync::isFreshForFollowers(TimePoint now) const
{
    if (m_isLeaving)
        return false;
    if (m_readsStore && m_storeState == StoreState::Readable
        && isYounger(m_storeConfirmedAt, m_staleness.staleReaderAge(), now))
        return true;
    return m_upstream && m_directory.isPreferredOverSelf(*m_upstream)
        && hasFreshUpdates(m_staleness.leaderReadAge(), now);
}

Duration FleetSync::longPollTime() const
{
    const auto routers = static_cast<std::int64_t>(m_directory.zoneSize(m_settings.self.zone));
    const Duration byPollRate = milliseconds(1000 * routers / kMaxPollsPerSecond);
    const Duration byLinkRate =
        milliseconds(1000 * routers * m_emptyAnswerBytes / kMaxAnswerBytesPerSecond);
    const Duration longest = m_staleness.routerHold();
    return std::clamp(std::max(byPollRate, byLinkRate), std::min(kMinLongPoll, longest), longest);
}

void FleetSync::tick(TimePoint now)
{
    // Followers learn at once that this router is stale and choose another one.
    const bool wasFresh = std::exchange(m_wasFreshForFollowers, isFreshForFollowers(now));
    if (wasFresh && !m_wasFreshForFollowers)
        publish();
    for (auto waiting = m_waitingPolls.begin(); waiting != m_waitingPolls.end();) {
        const auto responder = waiting->responder.lock();
        if (responder && responder->isOpen() && now < waiting->answerBy) {
            ++waiting;
            continue;
        }
        if (responder && responder->isOpen())
            answerPoll(*responder, waiting->poll, waiting->receivedAt);
        waiting = m_waitingPolls.erase(waiting);
    }
    updateUpstream(now);
}

void FleetSync::updateUpstream(TimePoint now)
{
    const bool isStarting = now - m_startedAt < kStartDiscoveryTime;
    const std::string &ownAddress = m_settings.self.address;
    const auto &seeds = m_settings.seeds;
    const bool isSeed = std::find(seeds.begin(), seeds.end(), ownAddress) != seeds.end();
    const bool isAlone = m_directory.zoneSize(m_settings.self.zone) <= 1;
    // Routers that read the store keep polling the seeds, so that they find unknown routers.
    if ((isStarting || m_readsStore || !isFresh(now)) && now >= m_nextDiscoveryAt) {
        m_nextDiscoveryAt = now + (isStarting ? kStartDiscoveryInterval : kDiscoveryInterval);
        for (const std::string &seed : seeds) {
            if (seed != ownAddress)
                sendPoll({{}, ZoneId(), seed, 0}, PollPurpose::Discovery, now);
        }
    }
    if (isStarting && m_settings.isFirstStart && !isSeed && (isAlone || !m_upstream)) {
        const auto leader = m_directory.zoneLeader(m_settings.self.zone, true, now);
        if (leader && !isAlone)
            sendPoll(*leader, PollPurpose::Probe, now);
        return;
    }
    const auto leader = m_directory.zoneLeader(m_settings.self.zone, !mayLead(now), now);
    const bool isZoneLeader = leader && leader->name == m_settings.self.name;
    // Zone leaders follow the fleet's leader, so that one router reads the store for all zones.
    const auto preferred = isZoneLeader ? m_directory.preferredRemoteLeader(now) : leader;
    if (preferred && (!m_upstream || m_upstream->address != preferred->address))
        sendPoll(*preferred, PollPurpose::Probe, now);
    // Routers that follow this one wait for it, so it reads first.
    const Duration readAge = isZoneLeader ? m_staleness.leaderReadAge() : m_staleness.readAge();
    const bool areUpdatesFresh = hasFreshUpdates(readAge, now);
    // The upstream router is kept until this router's reads of the store succeed.
    if (!preferred && (m_storeState == StoreState::Readable || !areUpdatesFresh))
        m_upstream.reset();
    if (m_upstream)
        sendPoll(*m_upstream, PollPurpose::Follow, now);
    const bool awaitsFirstUpdates = m_upstream && confirmedAt() == TimePoint::min()
        && now - m_upstreamSince < kFirstUpdatesTimeout;
    if (isZoneLeader && !preferred)
        setReadsStore(true, now, "this router is the leader of the fleet");
    else if (!areUpdatesFresh && !awaitsFirstUpdates)
        setReadsStore(true, now, "no preferred router has fresh updates");
    else if (m_upstream && areUpdatesFresh)
        setReadsStore(false, now, "another router reads the store");
    const auto fallback = isFresh(now) ? std::nullopt : m_directory.fallbackUpstream(now);
    if (fallback) {
        pollFallback(*fallback, now);
        return;
    }
    m_fallbackName.clear();
    if (isZoneLeader && m_readsStore && now >= m_nextExchangeAt)
        exchangeWithZones(now);
}

void FleetSync::pollFallback(const RouterInfo &fallback, TimePoint now)
{
    if (m_upstream || now < m_nextFallbackPollAt)
        return;
    m_nextFallbackPollAt = now + std::max(kExchangeInterval, longPollTime());
    if (m_fallbackName != fallback.name) {
        m_fallbackName = fallback.name;
        LogLine(m_log, "predecessor-asked", now)
            .add("router", fallback.name)
            .add("reason", "no router has fresh updates")
            .add("confirmed_before", confirmationAge(now));
    }
    sendPoll(fallback, PollPurpose::Follow, now);
}

void FleetSync::setReadsStore(bool reads, TimePoint now, std::string_view reason)
{
    if (m_readsStore == reads)
        return;
    m_readsStore = reads;
    m_storeState = StoreState::Unknown;
    LogLine(m_log, reads ? "store-reading-begun" : "store-reading-ended", now)
        .add("reason", reason)
        .add("confirmed_before", confirmationAge(now))
        .add("follows", m_upstream ? std::string_view(m_upstream->name) : std::string_view("none"));
}

void FleetSync::exchangeWithZones(TimePoint now)
{
    m_nextExchangeAt = now + kExchangeInterval;
    for (const ZoneId &zone : m_directory.otherZones()) {
        if (zone < m_settings.self.zone || m_servers.digest.isFollowerZone(zone, now))
            continue; // That zone polls this one, and both send their counts.
        if (const auto router = m_directory.zoneLeader(zone, false, now))
            sendPoll(*router, PollPurpose::Exchange, now);
    }
}

void FleetSync::sendPoll(const RouterInfo &router, PollPurpose purpose, TimePoint now)
{
    RouterState &state = m_routerStates[router.address];
    const auto endpoint = parseEndpoint(router.address);
    if (state.isPolling || !endpoint)
        return;
    state.isPolling = true;
    wire::NewsAskT poll;
    poll.router = m_settings.self.name;
    poll.zone = m_settings.self.zone.value();
    poll.address = m_settings.self.address;
    poll.born = m_settings.startedAtMs;
    // In an exchange both sides read the store; a probe only checks whether a router is up to date.
    poll.routersOnly =
        purpose != PollPurpose::Follow && (purpose != PollPurpose::Exchange || isFresh(now));
    RecordPoll records = state.allTopics.poll(m_feed);
    if (poll.routersOnly)
        records = {state.routerTopic.source, state.routerTopic.number, {}};
    poll.source = records.source;
    poll.since = records.since;
    poll.known = toWire(records.known);
    poll.standing = m_settings.self.capacityTier;
    poll.noRecords = purpose == PollPurpose::Probe;
    const bool isSameZone = router.zone == m_settings.self.zone;
    const Duration defaultHold = isSameZone ? longPollTime() : m_staleness.zoneHold();
    const Duration hold = purpose == PollPurpose::Follow ? defaultHold : Duration(0);
    poll.holdMs = static_cast<std::uint32_t>(hold.count() / 1000);
    const bool sendsUnstored = purpose == PollPurpose::Follow || purpose == PollPurpose::Exchange;
    if (sendsUnstored)
        poll.records = unstoredRecords(state.acknowledgedChange);
    const std::uint64_t sentNumber = m_feed.number();
    toWire(countsForPoll(m_servers, m_listener.localRequests(), router, purpose, now),
           poll.requests);
    toWire(countsForPoll(m_prompts, m_listener.localPrompts(), router, purpose, now), poll.prompts);
    CallSender::Call call;
    call.to = *endpoint;
    call.method = "POST";
    call.target = "/news";
    call.contentType = "application/octet-stream";
    call.body = encodeFlatBuffer<wire::NewsAsk>(poll);
    call.timeout = hold + kPollAnswerMargin;
    call.progressTimeout = kProgressTimeout;
    SentPoll sent{purpose, !poll.routersOnly && !poll.noRecords, std::move(records), now};
    m_caller.start(std::move(call),
                   [this, router, sent = std::move(sent), sendsUnstored,
                    sentNumber](const CallAnswer &answer) {
                       // Records of a poll that may be lost are sent again.
                       if (sendsUnstored && answer.status == 200)
                           m_routerStates[router.address].acknowledgedChange = sentNumber;
                       onPollAnswer(router, sent, answer);
                   });
}

void FleetSync::onPollAnswer(const RouterInfo &router, const SentPoll &sent,
                             const CallAnswer &answer)
{
    const TimePoint now = m_clock();
    const PollPurpose purpose = sent.purpose;
    m_routerStates[router.address].isPolling = false;
    auto updates =
        answer.status == 200 ? decodeFlatBuffer<wire::NewsAnswer>(answer.body) : std::nullopt;
    const bool isUsable = updates && updates->fresh && !updates->leaving;
    const bool wasFresh = isFresh(now);
    if (updates && updates->storeInDoubt)
        m_listener.onStoreUnconfirmedReported();
    if (updates && purpose == PollPurpose::Follow && updates->records.empty())
        m_emptyAnswerBytes = static_cast<std::int64_t>(answer.body.size());
    if (updates) {
        if (purpose != PollPurpose::Probe)
            applyRecords(router, sent, *updates);
        if (!updates->leaving && updates->requestsTold)
            applyCounts(router, purpose, *updates, now);
    }
    if (purpose == PollPurpose::Discovery)
        return;
    const bool isFollowed = m_upstream && m_upstream->address == router.address;
    if (isUsable || (updates && purpose == PollPurpose::Exchange && !updates->leaving)) {
        m_directory.onSucceeded(router.name);
    } else {
        if (updates && updates->leaving)
            m_directory.onLeaving(router.name, now);
        else if (updates)
            m_directory.onStale(router.name, now);
        else
            m_directory.onFailed(router.name, now);
        if (isFollowed) {
            LogLine(m_log, "router-lost", now)
                .add("router", router.name)
                .add("reason",
                     !updates               ? std::string_view(answer.problem)
                         : updates->leaving ? "the router is stopping"
                                            : "the router's updates are stale");
            m_upstream.reset();
        }
    }
    const bool wasFallback = purpose == PollPurpose::Follow && !m_upstream && !wasFresh;
    if (isUsable && !isFollowed && (purpose == PollPurpose::Probe || wasFallback)) {
        m_upstream = router;
        m_upstreamSince = now;
        LogLine(m_log, "router-followed", now).add("router", router.name);
    }
    if (purpose != PollPurpose::Exchange)
        updateUpstream(now);
}

void FleetSync::applyRecords(const RouterInfo &router, const SentPoll &sent,
                             wire::NewsAnswerT &updates)
{
    const TimePoint now = m_clock();
    RouterState &state = m_routerStates[router.address];
    if (state.routerTopic.source != updates.source)
        state.acknowledgedChange = 0; // After a restart the router has none of the earlier records.
    state.routerTopic = {updates.source, updates.number};
    ReceivedRecords received{updates.source, updates.number, fromWire(updates.known), {}, {}, true};
    for (const auto &list : updates.lists)
        received.lists.push_back(fromWire(*list, updates, now));
    for (const auto &wireRecord : updates.records) {
        auto record = fromWire(*wireRecord, m_feed, now);
        if (!record) {
            received.isComplete = false;
            continue;
        }
        if (record->topic == kRouterTopic && record->value && record->key != m_settings.self.name) {
            if (const auto announced = decodeRouter(*record))
                m_directory.add(*announced);
        }
        received.records.push_back(std::move(*record));
    }
    bool changed = false;
    if (sent.wantsAllTopics) {
        const bool isComplete = received.isComplete;
        changed = state.allTopics.apply(m_feed, sent.records, std::move(received));
        if (isComplete)
            applyConfirmation(sent, updates);
    } else {
        for (FeedRecord &record : received.records)
            changed = m_feed.put(std::move(record)) || changed;
    }
    if (!changed)
        return;
    m_listener.onFeedChanged();
    publish();
}

void FleetSync::applyConfirmation(const SentPoll &sent, const wire::NewsAnswerT &updates)
{
    if (updates.confirmedMs == kUnconfirmedMs)
        return;
    // The poll arrived after it was sent, so its way can make the confirmation only older.
    const TimePoint confirmed = sent.sentAt + milliseconds(updates.confirmedMs);
    if (confirmed <= m_clock())
        m_upstreamConfirmedAt = std::max(m_upstreamConfirmedAt, confirmed);
}

Duration FleetSync::confirmationAge(TimePoint now) const
{
    return confirmedAt() == TimePoint::min() ? Duration(0) : now - confirmedAt();
}

void FleetSync::applyUnstoredRecords(wire::NewsAskT &poll)
{
    bool changed = false;
    for (const auto &wireRecord : poll.records) {
        auto record = fromWire(*wireRecord, m_feed, m_clock());
        changed =
            (record && isUnstored(record->topic) && m_feed.put(std::move(*record))) || changed;
    }
    if (!changed)
        return;
    m_listener.onFeedChanged();
    publish();
}

void FleetSync::applyCounts(const RouterInfo &router, PollPurpose purpose,
                            const wire::NewsAnswerT &updates, TimePoint now)
{
    if (purpose != PollPurpose::Exchange && purpose != PollPurpose::Follow)
        return;
    applyAnswerCounts(m_servers, fromWire(updates.requests), router, purpose, now);
    applyAnswerCounts(m_prompts, fromWire(updates.prompts), router, purpose, now);
    m_listener.onRemoteRequestsChanged();
}

ServerRequests FleetSync::countsForPoll(const SharedCounts &counts, const ServerRequests &local,
                                        const RouterInfo &upstream, PollPurpose purpose,
                                        TimePoint now) const
{
    if (purpose == PollPurpose::Exchange)
        return withoutCountsBelow(counts.minZoneCount, counts.digest.subtreeTotal(local, now));
    if (purpose != PollPurpose::Follow)
        return {};
    return upstream.zone == m_settings.self.zone
        ? local
        : withoutCountsBelow(counts.minZoneCount, counts.digest.zoneTotal(local, now));
}

void FleetSync::applyAnswerCounts(SharedCounts &counts, ServerRequests reported,
                                  const RouterInfo &router, PollPurpose purpose,
                                  TimePoint now) const
{
    if (purpose == PollPurpose::Exchange)
        counts.digest.setZone(router.zone, ZoneSource::Peer, std::move(reported), now);
    else if (router.zone == m_settings.self.zone)
        counts.digest.setRemoteTotal(std::move(reported), now);
    else
        counts.digest.setOtherZonesTotal(std::move(reported), now);
}

void FleetSync::applyPollCounts(SharedCounts &counts, ServerRequests reported,
                                const wire::NewsAskT &poll, bool isSameZone, TimePoint now)
{
    const bool isFollower = poll.holdMs > 0;
    if (isFollower && isSameZone)
        counts.digest.setRouter(poll.router, std::move(reported), now);
    else
        counts.digest.setZone(ZoneId(poll.zone),
                              isFollower ? ZoneSource::Follower : ZoneSource::Peer,
                              std::move(reported), now);
}

ServerRequests FleetSync::countsForAnswer(const SharedCounts &counts, const ServerRequests &local,
                                          const wire::NewsAskT &poll, TimePoint now) const
{
    const ZoneId zone(poll.zone);
    if (zone == m_settings.self.zone)
        return withoutCountsBelow(counts.minRemoteCount,
                                  counts.digest.totalExceptRouter(poll.router, local, now));
    return withoutCountsBelow(counts.minZoneCount,
                              poll.holdMs > 0 ? counts.digest.totalOutsideZone(zone, local, now)
                                              : counts.digest.subtreeTotal(local, now));
}

void FleetSync::onRequest(const std::shared_ptr<CallerConnection> &caller, HttpHead,
                          std::string body)
{
    onPoll(caller, body);
}

void FleetSync::onPoll(const std::shared_ptr<Responder> &responder, const std::string &body)
{
    const TimePoint now = m_clock();
    auto poll = decodeFlatBuffer<wire::NewsAsk>(body);
    if (!poll) {
        responder->respond(400, {{"Content-Type", "text/plain"}}, "the body is no NewsAsk\n", true);
        return;
    }
    const RouterInfo requester{poll->router, ZoneId(poll->zone), poll->address, poll->standing};
    const std::uint64_t before = m_feed.number();
    registerRouter(requester, poll->born);
    // Only followers and zone leaders that read the store report request counts.
    const bool isFollower = poll->holdMs > 0;
    if (isFollower || !poll->requests.empty()) {
        const bool isSameZone = requester.zone == m_settings.self.zone;
        applyPollCounts(m_servers, fromWire(poll->requests), *poll, isSameZone, now);
        applyPollCounts(m_prompts, fromWire(poll->prompts), *poll, isSameZone, now);
        m_listener.onRemoteRequestsChanged();
    }
    if (m_feed.number() != before)
        publish();
    applyUnstoredRecords(*poll);
    const bool hasUpdates = poll->source != m_startId || poll->since < m_feed.number();
    if (hasUpdates || poll->holdMs == 0 || !isFreshForFollowers(now)) {
        answerPoll(*responder, *poll, now);
        return;
    }
    const Duration hold = std::min(milliseconds(poll->holdMs), milliseconds(5000));
    m_waitingPolls.push_back({responder, std::move(*poll), now, now + hold});
}

void FleetSync::answerPoll(Responder &responder, const wire::NewsAskT &poll, TimePoint receivedAt)
{
    const TimePoint now = m_clock();
    wire::NewsAnswerT updates;
    updates.source = m_startId;
    updates.number = m_feed.number();
    updates.fresh = isFreshForFollowers(now);
    updates.leaving = m_isLeaving;
    updates.storeInDoubt = m_listener.isStoreUnconfirmed();
    if (!poll.noRecords)
        addRecords(updates, poll);
    if (!poll.noRecords && !poll.routersOnly)
        updates.confirmedMs = confirmedMs(confirmedAt(), receivedAt);
    const Duration pause = milliseconds(poll.holdMs) * kCountsIntervalPercent / 100;
    TimePoint &countsSentAt =
        m_countsSentAt.try_emplace(poll.router, TimePoint::min()).first->second;
    // Probes ignore the counts, so answering one must not delay the counts for a later poll.
    if (!poll.noRecords && (countsSentAt == TimePoint::min() || now - countsSentAt >= pause)) {
        countsSentAt = now;
        updates.requestsTold = true;
        toWire(countsForAnswer(m_servers, m_listener.localRequests(), poll, now), updates.requests);
        toWire(countsForAnswer(m_prompts, m_listener.localPrompts(), poll, now), updates.prompts);
    }
    responder.respond(200, {{"Content-Type", "application/octet-stream"}},
                      encodeFlatBuffer<wire::NewsAnswer>(updates), false);
}

std::vector<std::unique_ptr<wire::NewsRecordT>>
FleetSync::unstoredRecords(std::uint64_t since) const
{
    std::vector<std::unique_ptr<wire::NewsRecordT>> records;
    for (const FeedChange &change : m_feed.changesSince(since)) {
        if (isUnstored(change.record->topic))
            records.push_back(toWire(change, m_clock()));
    }
    return records;
}

void FleetSync::addRecords(wire::NewsAnswerT &updates, const wire::NewsAskT &poll)
{
    const RecordPoll records{poll.source, poll.since, fromWire(poll.known)};
    const RecordAnswer answer = answerRecordPoll(m_feed, records, m_startId);
    if (!poll.routersOnly) {
        updates.known = toWire(m_feed.knownOrders());
        for (const CompleteList &list : answer.lists) {
            const bool hasAllRecords = (poll.source != m_startId || poll.since == 0)
                && (!records.known.contains(list.topic) || records.known.at(list.topic) == 0);
            updates.lists.push_back(toWire(list, hasAllRecords, m_clock()));
        }
    }
    for (const FeedChange &change : answer.changes) {
        if (change.record->topic == kRouterTopic) {
            const auto router = change.record->value ? decodeRouter(*change.record) : std::nullopt;
            if (router && router->zone.value() != poll.zone
                && m_directory.rankOf(*router) >= kMaxRoutersPerOtherZone)
                continue;
        } else if (poll.routersOnly && !isUnstored(change.record->topic)) {
            continue;
        }
        updates.records.push_back(toWire(change, m_clock()));
    }
}

void FleetSync::setStoreReadable(bool readable)
{
    const bool lostStore = !readable && m_storeState == StoreState::Readable;
    if (readable) {
        m_storeFailures = 0;
        m_storeRetryAt = TimePoint::min();
    } else if (m_storeState != StoreState::Unreadable) {
        m_storeRetryAt = m_clock()
            + std::min(kMaxStoreRetryDelay,
                       kMinStoreRetryDelay * (1U << std::min(m_storeFailures, 4U)));
        ++m_storeFailures;
    }
    m_storeState = readable ? StoreState::Readable : StoreState::Unreadable;
    // Followers learn at once that this router is stale and choose another one.
    if (lostStore)
        publish();
}

void FleetSync::publish()
{
    std::list<WaitingPoll> waiting = std::exchange(m_waitingPolls, {});
    for (const WaitingPoll &waitingPoll : waiting) {
        const auto responder = waitingPoll.responder.lock();
        if (responder && responder->isOpen())
            answerPoll(*responder, waitingPoll.poll, waitingPoll.receivedAt);
    }
}

void FleetSync::stop()
{
    m_isLeaving = true;
    publish();
}

} // namespace comfrey
