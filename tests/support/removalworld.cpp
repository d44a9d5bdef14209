// Events, the store's model, and the rules DRAIN and "nothing that exists is dropped for ever".
#include "support/removalworld.h"

#include <algorithm>

namespace comfrey::test {

namespace {

constexpr std::size_t kPageKeys = 2;
/// stable_window_ms: after it routers are in touch again.
constexpr Duration kStableWindow = milliseconds(3000);
constexpr Duration kDrainBound = milliseconds(2000);
/// After it every router knows every key again, whatever the lists lacked.
constexpr Duration kRecoveryBound = milliseconds(13000);
constexpr Duration kReadInterval = milliseconds(200); ///< A tenth of drain_ms.
constexpr Duration kPollInterval = milliseconds(300);
constexpr Duration kStep = milliseconds(100);
/// Lists lag for longer than it takes a router to read two of them.
constexpr Duration kLag = milliseconds(4000);
constexpr std::uint64_t kLaggingRecords = 2; ///< Newest records that a lagging list lacks.
constexpr Duration kWait = milliseconds(1200);

} // namespace

void ModelStore::append(const std::string &key, std::optional<std::string> value, TimePoint now)
{
    if (value)
        m_removedAt.erase(key);
    else
        m_removedAt[key] = now;
    m_log.push_back({key, std::move(value)});
}

void ModelStore::lag(std::uint64_t from, TimePoint until)
{
    if (!m_lagsFrom)
        m_lagsFrom = std::max(from, end() - std::min(end(), kLaggingRecords));
    m_lagsUntil = until;
}

void ModelStore::update(TimePoint now)
{
    if (now >= m_lagsUntil)
        m_lagsFrom.reset();
}

void ModelStore::deleteRecords()
{
    m_firstKept = end();
}

std::map<std::string, std::string> ModelStore::newest(std::uint64_t until) const
{
    std::map<std::string, std::string> found;
    for (std::uint64_t offset = 0; offset < until; ++offset) {
        const Record &record = m_log[offset];
        if (record.value)
            found[record.key] = *record.value;
        else
            found.erase(record.key);
    }
    return found;
}

ModelStore::Page ModelStore::page(const std::string &after) const
{
    const std::uint64_t until = m_lagsFrom.value_or(end());
    Page page;
    for (const auto &[key, value] : newest(until)) {
        if (key <= after)
            continue;
        if (page.records.size() == kPageKeys) {
            page.hasMore = true;
            break;
        }
        std::uint64_t offset = until;
        while (m_log[offset - 1].key != key)
            --offset;
        page.records.push_back({"t", key, value, offset - 1});
    }
    return page;
}

std::vector<FeedRecord> ModelStore::read(std::uint64_t from) const
{
    std::vector<FeedRecord> records;
    for (std::uint64_t offset = from; offset < end(); ++offset)
        records.push_back({"t", m_log[offset].key, m_log[offset].value, offset});
    return records;
}

std::optional<TimePoint> ModelStore::removedAt(const std::string &key) const
{
    const auto found = m_removedAt.find(key);
    return found == m_removedAt.end() ? std::nullopt : std::optional(found->second);
}

std::string describe(const WorldEvent &event)
{
    static const char *const names[] = {"write",         "renew",          "remove-newest",
                                        "remove-oldest", "delete-records", "delete-records-and-lag",
                                        "read",          "poll",           "ask",
                                        "deliver",       "restart",        "wait",
                                        "calm"};
    return std::string(names[static_cast<std::size_t>(event.kind)]) + "("
        + std::to_string(event.one) + "," + std::to_string(event.other) + ")";
}

RemovalWorld::RemovalWorld(std::size_t routers)
{
    for (int key = 0; key < 3; ++key)
        play({WorldEvent::Kind::Write});
    for (std::size_t index = 0; index < routers; ++index) {
        m_routers.push_back(nullptr);
        restart(index);
    }
    runCalm(0, 0, kStableWindow);
}

void RemovalWorld::breakRule(const std::string &text)
{
    if (m_problem.empty())
        m_problem = text;
}

std::string RemovalWorld::newestKey() const
{
    const auto log = m_store.read(0);
    const auto existing = m_store.existing();
    for (auto record = log.rbegin(); record != log.rend(); ++record) {
        if (existing.contains(record->key))
            return record->key;
    }
    return {};
}

std::string RemovalWorld::oldestKey() const
{
    const auto existing = m_store.existing();
    return existing.empty() ? std::string() : existing.begin()->first;
}

std::uint64_t RemovalWorld::leastListedEnd() const
{
    std::uint64_t least = 0;
    for (const auto &router : m_routers) {
        if (router->isReading && router->step == TopicReader::Step::List
            && router->reader.pageCount() > 0 && router->reader.isListCertain())
            least = std::max(least, router->listedEnd);
    }
    return least;
}

void RemovalWorld::restart(std::size_t one)
{
    m_routers[one] = std::make_unique<Router>(++m_starts);
}

void RemovalWorld::applyToServers(Router &router)
{
    const std::uint64_t since = std::exchange(router.appliedNumber, router.feed.number());
    for (const FeedChange &change : router.feed.changesSince(since)) {
        const BackendId id(change.record->key);
        if (!change.record->value) {
            router.servers.remove(id, m_now, m_now, change.record->isInDoubt);
            continue;
        }
        ReplicaRecord server;
        server.id = id;
        server.service = ServiceName("s");
        server.sequence = std::stoull(*change.record->value);
        router.servers.put(server, m_now);
    }
    router.servers.tick(m_now);
    for (const EndedReplica &end : router.servers.takeUnannouncedEnds()) {
        const std::string key = end.incarnation.substr(0, end.incarnation.rfind('@'));
        if (m_store.existing().contains(key))
            breakRule("a router takes the existing " + key + " for ended");
    }
}

void RemovalWorld::read(Router &router)
{
    readStep(router);
    applyToServers(router);
}

void RemovalWorld::readStep(Router &router)
{
    if (!router.isReading) {
        router.isReading = true;
        router.step = router.reader.activate(m_now);
    }
    TopicReader &reader = router.reader;
    if (router.step == TopicReader::Step::List) {
        if (reader.pageCount() == 0)
            router.listedEnd = m_store.end();
        ModelStore::Page page = m_store.page(reader.lastListedKey());
        for (FeedRecord &record : page.records)
            record.readAt = m_now;
        if (!reader.addPage(std::move(page.records), page.hasMore, m_now))
            return;
        router.isUsable = true;
        router.step = TopicReader::Step::Log;
        return;
    }
    if (reader.nextOffset() < m_store.firstKept()) {
        reader.onDropped(m_store.firstKept(), m_now);
        router.step = TopicReader::Step::List;
        return;
    }
    const bool isGap =
        reader.addLog(m_store.end(), m_store.firstKept(), m_store.read(reader.nextOffset()), m_now)
        == TopicReader::LogState::Gap;
    router.isUsable = router.isUsable || !isGap;
    router.step = isGap ? TopicReader::Step::List : reader.nextStep(m_now);
}

RemovalWorld::Answer RemovalWorld::ask(std::size_t one, std::size_t other)
{
    Router &asking = *m_routers[one];
    Router &asked = *m_routers[other];
    const RecordPoll poll = asking.positions[other].poll(asking.feed);
    const RecordAnswer answer = answerRecordPoll(asked.feed, poll, asked.startId);
    ReceivedRecords received{
        asked.startId, asked.feed.number(), asked.feed.knownOrders(), {}, answer.lists, true};
    for (const FeedChange &change : answer.changes)
        received.records.push_back(*change.record);
    return {one, other, asking.startId, poll, std::move(received)};
}

void RemovalWorld::deliver(Answer answer)
{
    Router &router = *m_routers[answer.to];
    if (router.startId != answer.startId)
        return;
    const bool isUsable = !answer.received.known.empty();
    router.positions[answer.from].apply(router.feed, answer.sent, std::move(answer.received));
    router.isUsable = router.isUsable || isUsable;
    applyToServers(router);
}

void RemovalWorld::play(const WorldEvent &event)
{
    using Kind = WorldEvent::Kind;
    m_now += milliseconds(10);
    m_store.update(m_now);
    const std::string newest = newestKey();
    const std::string oldest = oldestKey();
    switch (event.kind) {
    case Kind::Write:
        m_store.append("k" + std::to_string(100 + m_values), std::to_string(m_values), m_now);
        ++m_values;
        break;
    case Kind::Renew:
        if (!oldest.empty())
            m_store.append(oldest, std::to_string(++m_values), m_now);
        break;
    case Kind::RemoveNewest:
        if (!newest.empty())
            m_store.append(newest, std::nullopt, m_now);
        break;
    case Kind::RemoveOldest:
        if (!oldest.empty())
            m_store.append(oldest, std::nullopt, m_now);
        break;
    case Kind::Lag:
        m_store.lag(leastListedEnd(), m_now + kLag);
        m_store.deleteRecords();
        break;
    case Kind::DeleteRecords:
        m_store.deleteRecords();
        break;
    case Kind::Read:
        read(*m_routers[event.one]);
        break;
    case Kind::Poll:
        deliver(ask(event.one, event.other));
        break;
    case Kind::Ask:
        m_answers.push_back(ask(event.one, event.other));
        break;
    case Kind::Deliver:
        if (!m_answers.empty()) {
            Answer answer = std::move(m_answers.front());
            m_answers.erase(m_answers.begin());
            deliver(std::move(answer));
        }
        break;
    case Kind::Restart:
        restart(event.one);
        break;
    case Kind::Wait:
        m_now += kWait;
        break;
    case Kind::Calm:
        calm(event.one, event.other);
        break;
    }
}

void RemovalWorld::runCalm(std::size_t leader, std::size_t secondReader, Duration time)
{
    const TimePoint end = m_now + time;
    TimePoint readAt = m_now;
    TimePoint pollAt = m_now;
    for (; m_now < end; m_now += kStep) {
        m_store.update(m_now);
        const bool isReadDue = m_now >= readAt;
        for (const std::size_t index : {leader, secondReader}) {
            Router &reading = *m_routers[index];
            if (isReadDue || reading.step == TopicReader::Step::List)
                read(reading);
            if (leader == secondReader)
                break;
        }
        if (isReadDue)
            readAt = m_now + kReadInterval;
        if (m_now < pollAt)
            continue;
        pollAt = m_now + kPollInterval;
        for (std::size_t index = 0; index < m_routers.size(); ++index) {
            if (index == leader || index == secondReader || !m_routers[secondReader]->isUsable)
                continue;
            m_routers[index]->isReading = false;
            deliver(ask(index, secondReader));
        }
    }
}

void RemovalWorld::calm(std::size_t leader, std::size_t secondReader)
{
    m_answers.clear();
    while (m_store.isLagging())
        runCalm(leader, secondReader, kPollInterval);
    runCalm(leader, secondReader, kStableWindow);
    checkRemovals(kDrainBound, "in touch");
    runCalm(leader, secondReader, kRecoveryBound);
    checkRemovals(kDrainBound, "in calm");
    checkNothingDropped();
    // Planned restarts are no disruption: nobody takes up again what was removed.
    restart(leader);
    const std::size_t next = (leader + 1) % m_routers.size();
    for (int step = 0; step < 10 && m_problem.empty(); ++step) {
        runCalm(next, next, kPollInterval);
        checkRemovals(kDrainBound, "after a planned restart");
    }
    checkNothingDropped();
}

void RemovalWorld::checkRemovals(Duration bound, const char *when)
{
    const auto existing = m_store.existing();
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        for (std::uint64_t key = 0; key < m_values && m_routers[index]->isUsable; ++key) {
            const std::string name = "k" + std::to_string(100 + key);
            const FeedRecord *record = m_routers[index]->feed.find("t", name);
            const auto removedAt = m_store.removedAt(name);
            if (record && record->value && removedAt && m_now - *removedAt > bound)
                breakRule("router " + std::to_string(index) + " uses the removed " + name + " "
                          + when);
            if (m_routers[index]->servers.find(BackendId(name)) && removedAt
                && m_now - *removedAt > bound)
                breakRule("router " + std::to_string(index) + " sends to the removed " + name + " "
                          + when);
        }
    }
}

void RemovalWorld::checkNothingDropped()
{
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        for (const auto &[key, value] : m_store.existing()) {
            const FeedRecord *record = m_routers[index]->feed.find("t", key);
            if (!record || record->value != value)
                breakRule("router " + std::to_string(index) + " lacks " + key);
            if (!m_routers[index]->servers.find(BackendId(key)))
                breakRule("router " + std::to_string(index) + " sends nothing to " + key);
        }
    }
}

} // namespace comfrey::test
