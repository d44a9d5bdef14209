// Messages, reads of the store and their time limits under scripted time.
#include "scriptedfleet.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <random>

namespace comfrey::test {

namespace {

constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kRouterDelay = milliseconds(2); // one way
constexpr Duration kStoreDelay = milliseconds(2);  // one way
// Holds and time limits of platform::TopicFollower; the limits are those beyond the hold.
constexpr Duration kReadTimeout = milliseconds(600);
constexpr Duration kShortHold = milliseconds(300);
constexpr Duration kShortHoldTimeout = milliseconds(1500);
constexpr Duration kShortHoldTimeAfterOutage = milliseconds(6000);
constexpr Duration kRetryPause = milliseconds(400);

/// The answering side of a call between two routers.
class ScriptedResponder : public Responder
{
public:
    explicit ScriptedResponder(std::function<void(CallAnswer)> deliver)
        : m_deliver(std::move(deliver))
    { }
    bool isOpen() const override { return !m_isAnswered; }
    void respond(unsigned status, std::vector<HttpField>, std::string_view body, bool) override
    {
        m_isAnswered = true;
        m_deliver({status, std::string(body), {}, true});
    }

private:
    std::function<void(CallAnswer)> m_deliver;
    bool m_isAnswered = false;
};

} // namespace

std::size_t ScriptedStore::append()
{
    m_appendedAt.push_back(m_queue.now());
    for (const auto &[id, held] : std::exchange(m_held, {}))
        answer(held);
    return m_appendedAt.size();
}

void ScriptedStore::read(std::uint64_t from, Duration hold, Reply reply)
{
    ++readCount;
    if (from < m_appendedAt.size() || hold <= Duration(0)) {
        answer({from, std::move(reply)});
        return;
    }
    const int id = readCount;
    m_held.emplace(id, HeldRead{from, std::move(reply)});
    m_queue.after(hold, [this, id] {
        if (const auto held = m_held.extract(id))
            answer(held.mapped());
    });
}

void ScriptedStore::answer(const HeldRead &held) const
{
    Answer answer{m_appendedAt.size(), {}};
    for (std::uint64_t offset = held.from; offset < m_appendedAt.size(); ++offset)
        answer.records.push_back({kTopic, "k" + std::to_string(offset), "v", offset});
    held.reply(answer);
}

ScriptedRouter::ScriptedRouter(ScriptedFleet &fleet, RouterInfo self,
                               std::vector<std::string> seeds)
    : m_fleet(fleet), m_self(std::move(self)),
      m_sync(
          *this, m_feed, m_log, [this] { return m_fleet.queue.now(); },
          FleetSyncSettings{m_self, std::move(seeds), 1, true, fleet.applyLimit}, *this)
{ }

void ScriptedRouter::run(Duration firstTickAfter)
{
    m_fleet.queue.after(firstTickAfter, [this] {
        perform([this] { tick(); });
        run(kTickInterval);
    });
}

void ScriptedRouter::perform(std::function<void()> callback)
{
    if (m_isFrozen)
        m_pending.push_back(std::move(callback));
    else
        callback();
}

void ScriptedRouter::wake()
{
    m_isFrozen = false;
    for (const auto &callback : std::exchange(m_pending, {}))
        callback();
}

void ScriptedRouter::start(Call call, Handler handler)
{
    const std::uint64_t id = ++m_lastCall;
    const std::string to = call.to.address().to_string() + ':' + std::to_string(call.to.port());
    const auto isCut = [this, to] {
        return isCutFromRouters || m_fleet.find(to)->isCutFromRouters;
    };
    const auto responder =
        std::make_shared<ScriptedResponder>([this, to, id, isCut](CallAnswer answer) {
            // The time limit is that of the answer's begin.
            m_fleet.queue.after(kRouterDelay, [this, id, isCut] {
                const auto running = m_calls.find(id);
                if (!isCut() && running != m_calls.end())
                    running->second.hasBegun = true;
            });
            const Duration whole = kRouterDelay + m_fleet.find(to)->answerDuration;
            m_fleet.queue.after(whole, [this, id, isCut, answer = std::move(answer)] {
                if (!isCut())
                    perform([this, id, answer] { endCall(id, answer); });
            });
        });
    m_calls.emplace(id, RunningCall{std::move(handler), responder});
    m_fleet.queue.after(kRouterDelay, [this, to, isCut, responder, body = std::move(call.body)] {
        if (!isCut())
            m_fleet.find(to)->receive(responder, body);
    });
    m_fleet.queue.after(call.timeout, [this, id] {
        perform([this, id] {
            const auto running = m_calls.find(id);
            if (running != m_calls.end() && !running->second.hasBegun)
                endCall(id, {0, {}, "no answer in time", true});
        });
    });
}

void ScriptedRouter::endCall(std::uint64_t id, CallAnswer answer)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const RunningCall call = std::move(found->second);
    m_calls.erase(found);
    call.handler(std::move(answer));
    noteRecords();
}

void ScriptedRouter::receive(const std::shared_ptr<Responder> &responder, const std::string &body)
{
    perform([this, responder, body] { m_sync.onPoll(responder, body); });
}

void ScriptedRouter::tick()
{
    m_sync.tick(m_fleet.queue.now());
    followStore();
    checkConfirmation();
}

void ScriptedRouter::checkConfirmation()
{
    if (m_hasSince.size() < m_fleet.store.size())
        CPPUNIT_ASSERT(m_sync.confirmedAt() <= m_fleet.store.appendedAt(m_hasSince.size() + 1));
}

void ScriptedRouter::followStore()
{
    if (m_isReading == m_sync.readsStore())
        return;
    m_isReading = m_sync.readsStore();
    ++m_readGeneration;
    if (!m_isReading)
        return;
    ++storeReadingsBegun;
    m_hasRead = false;
    if (m_reader.activate(m_fleet.queue.now()) == TopicReader::Step::List)
        m_reader.addPage({}, false, m_fleet.queue.now());
    startRead();
}

void ScriptedRouter::startRead()
{
    const std::uint64_t generation = ++m_readGeneration;
    const TimePoint now = m_fleet.queue.now();
    const bool isShort = m_isFailing || now < m_shortHoldsUntil;
    Duration hold = m_reader.logHold(StalenessLimits(m_fleet.applyLimit).storeHold(), now);
    if (isShort)
        hold = std::min(hold, kShortHold);
    if (!m_hasRead)
        hold = Duration(0);
    m_reader.startLog(hold, now);
    const Duration timeout = hold + (isShort ? kShortHoldTimeout : kReadTimeout);
    m_fleet.queue.after(kStoreDelay, [this, generation, hold] {
        if (isCutFromStore)
            return;
        m_fleet.store.read(
            m_reader.nextOffset(), hold, [this, generation](const ScriptedStore::Answer &answer) {
                m_fleet.queue.after(kStoreDelay + storeDelay, [this, generation, answer] {
                    if (!isCutFromStore)
                        perform([this, generation, answer] { onReadAnswer(generation, answer); });
                });
            });
    });
    m_fleet.queue.after(
        timeout, [this, generation] { perform([this, generation] { onReadFailed(generation); }); });
}

void ScriptedRouter::onReadAnswer(std::uint64_t generation, ScriptedStore::Answer answer)
{
    if (generation != m_readGeneration)
        return;
    const bool isChanged = !answer.records.empty();
    m_reader.addLog(answer.end, 0, std::move(answer.records), m_fleet.queue.now());
    m_hasRead = true;
    if (m_isFailing)
        m_shortHoldsUntil = m_fleet.queue.now() + kShortHoldTimeAfterOutage;
    m_isFailing = false;
    reportRead(true);
    noteRecords();
    if (isChanged)
        m_sync.publish();
    startRead();
}

void ScriptedRouter::onReadFailed(std::uint64_t generation)
{
    if (generation != m_readGeneration)
        return;
    ++m_readGeneration;
    m_isFailing = true;
    reportRead(false);
    const auto rank = static_cast<std::int64_t>(m_sync.ownRank());
    m_fleet.queue.after(kRetryPause * (1 + rank), [this, generation = m_readGeneration] {
        if (generation == m_readGeneration)
            perform([this] { startRead(); });
    });
}

void ScriptedRouter::reportRead(bool succeeded)
{
    m_sync.setStoreReadable(succeeded);
    m_sync.setStoreConfirmed(m_reader.confirmedAt());
}

void ScriptedRouter::noteRecords()
{
    while (m_feed.nextOrder(ScriptedStore::kTopic) > m_hasSince.size())
        m_hasSince.push_back(m_fleet.queue.now());
}

Duration ScriptedRouter::delayOf(std::size_t number) const
{
    const TimePoint until =
        number <= m_hasSince.size() ? m_hasSince[number - 1] : m_fleet.queue.now();
    return until - m_fleet.store.appendedAt(number);
}

ScriptedFleet::ScriptedFleet(const std::vector<int> &zoneSizes, Duration limit, std::uint64_t seed)
    : applyLimit(limit)
{
    std::mt19937_64 random(seed);
    const std::string firstAddress = "127.0.0.1:1";
    for (std::size_t zone = 0; zone < zoneSizes.size(); ++zone) {
        for (int index = 0; index < zoneSizes[zone]; ++index) {
            const std::string number = std::to_string(routers.size() + 1);
            const RouterInfo self{"r" + number + "-" + std::to_string(seed),
                                  ZoneId("z" + std::to_string(zone)), "127.0.0.1:" + number, 0};
            routers.push_back(std::make_unique<ScriptedRouter>(
                *this, self, std::vector<std::string>{firstAddress}));
        }
    }
    for (const auto &router : routers)
        router->run(kTickInterval * static_cast<std::int64_t>(random() % 100) / 100);
}

ScriptedRouter *ScriptedFleet::find(const std::string &address)
{
    const auto found = std::find_if(routers.begin(), routers.end(), [&](const auto &router) {
        return router->address() == address;
    });
    return found == routers.end() ? nullptr : found->get();
}

ScriptedRouter *ScriptedFleet::storeReader()
{
    ScriptedRouter *reader = nullptr;
    for (const auto &router : routers) {
        if (!router->sync().readsStore())
            continue;
        if (reader)
            return nullptr;
        reader = router.get();
    }
    return reader;
}

ScriptedRouter &ScriptedFleet::settle()
{
    runFor(milliseconds(6000));
    ScriptedRouter *reader = storeReader();
    CPPUNIT_ASSERT(reader);
    return *reader;
}

ScriptedRouter &ScriptedFleet::successorOf(ScriptedRouter &reader)
{
    const auto successor = reader.sync().directory().mostPreferred(
        [&](const RouterInfo &router) { return router.name != reader.name(); });
    CPPUNIT_ASSERT(successor);
    return *find(successor->address);
}

Duration ScriptedFleet::longestDelay(std::size_t number,
                                     const std::vector<const ScriptedRouter *> &except)
{
    Duration longest(0);
    for (const auto &router : routers) {
        if (std::find(except.begin(), except.end(), router.get()) == except.end())
            longest = std::max(longest, router->delayOf(number));
    }
    return longest;
}

} // namespace comfrey::test
