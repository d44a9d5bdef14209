// Random schedules of faults over the configuration parts of several routers, checked after every
// step against a model of the lists that shares no code with the fold.
#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "config/configpart.h"
#include "config/fold.h"
#include "support/changes.h"
#include "support/testsettings.h"
#include "wire/envelope.h"

using namespace comfrey;
using namespace comfrey::test;

namespace {

constexpr int kSchedules = 1000;
constexpr int kFaultySteps = 60;
constexpr Duration kStep = milliseconds(100);
constexpr int kStepsToAgree = 30; ///< 3 s, the target for a change to be in force everywhere.
constexpr std::size_t kRouters = 4;
constexpr std::size_t kKeptRecords = 10;

using Shares = std::map<std::string, std::pair<std::uint32_t, std::uint64_t>>; ///< Share, revision.

/// A fixed fleet as one router sees it.
class FixedFleet : public FleetView
{
public:
    explicit FixedFleet(std::size_t own)
    {
        for (std::size_t i = 0; i < kRouters; ++i)
            m_routers.push_back({RouterId("r" + std::to_string(i)), ZoneId(), {}, {}, {}, {}});
        m_self = m_routers[own].id;
    }
    const RouterId &self() const override { return m_self; }
    const ZoneId &zone() const override { return m_zone; }
    const std::vector<RouterView> &routers() const override { return m_routers; }
    const std::vector<BackendView> &backends() const override { return m_backends; }
    const BackendView *backend(const BackendId &) const override { return nullptr; }
    std::uint64_t version() const override { return 1; }

private:
    RouterId m_self;
    ZoneId m_zone;
    std::vector<RouterView> m_routers;
    std::vector<BackendView> m_backends;
};

/// Stands in the context of a configuration part, which does not use it.
class NoLists : public ListsView
{
public:
    const Lists &lists() const override { return m_lists; }
    const PlanEntry *customerOf(const ApiKeyHash &) const override { return nullptr; }
    bool isLoaded() const override { return false; }

private:
    Lists m_lists;
};

/// What the lists must be after each record of the whole log.
class Model
{
public:
    void take(const Bytes &payload)
    {
        const auto decoded = decodeRecord(payload);
        const record::ChangeT *change = decoded ? decoded->items.at(0)->entry.AsChange() : nullptr;
        if (change == nullptr || !m_seen.insert(change->changeId).second)
            return;
        for (const auto &basis : change->planBasis) {
            const auto found = m_shares.find(basis->key);
            if (basis->revision != (found == m_shares.end() ? 0 : found->second.second))
                return;
        }
        const std::uint64_t revision = m_history.size();
        for (const auto &plan : change->upsertPlans)
            m_shares[plan->customer] = {plan->share, revision};
        for (const std::string &customer : change->deletePlans)
            m_shares.erase(customer);
        m_history.push_back(m_shares);
    }
    const Shares &at(std::uint64_t revision) const { return m_history.at(revision); }
    std::uint64_t revision() const { return m_history.size() - 1; }

private:
    std::set<std::string> m_seen;
    Shares m_shares;
    std::vector<Shares> m_history = {{}};
};

struct Node
{
    Node(const Settings &nodeSettings, std::size_t own, std::uint64_t seed)
        : settings(nodeSettings), fleet(own), random(seed)
    {
        restart();
    }
    void restart()
    {
        part = std::make_unique<ConfigPart>(
            PartContext{settings, Incarnation(1), fleet, noLists, ids, random});
        seenRevision = 0;
        seenOffset = LogOffset();
        read.reset();
    }
    Settings settings;
    FixedFleet fleet;
    NoLists noLists;
    IdSource ids;
    Random random;
    std::unique_ptr<ConfigPart> part;
    std::uint64_t seenRevision = 0;
    LogOffset seenOffset;
    std::optional<ReadLog> read;
};

class Schedule
{
public:
    explicit Schedule(std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < kRouters; ++i) {
            Settings settings = testSettings("r" + std::to_string(i), "z");
            settings.config.tailingRouters = 2;
            settings.config.snapshotIntervalRecords = 4;
            m_nodes.push_back(std::make_unique<Node>(settings, i, seed * kRouters + i));
        }
        append(encodeRecord(recordOf(change("gold", {}, {entitlement("gold", {"m1"})}))));
    }

    /// Returns what went wrong, or nothing.
    std::string run()
    {
        for (int i = 0; i < kFaultySteps; ++i) {
            breakSomething();
            operate();
            if (std::string wrong = step(); !wrong.empty())
                return wrong;
        }
        m_logDown = false;
        m_oldEnd = 0;
        m_cut.reset();
        m_loss = 0;
        for (const Bytes &late : std::exchange(m_late, {}))
            append(late);
        for (int i = 0; i < kStepsToAgree; ++i) {
            if (std::string wrong = step(); !wrong.empty())
                return wrong;
        }
        for (const auto &node : m_nodes) {
            if (!node->part->isLoaded()
                || node->part->lists().revision.value() != m_model.revision())
                return node->fleet.self().value() + " at revision "
                    + std::to_string(node->part->lists().revision.value()) + ", offset "
                    + std::to_string(node->part->offset().value()) + " lacks revision "
                    + std::to_string(m_model.revision()) + " of a log from "
                    + std::to_string(m_first + 1) + " to " + std::to_string(m_log.size())
                    + (node->part->isLoaded() ? "" : ", not loaded");
        }
        return {};
    }

private:
    bool chance(unsigned percent) { return m_random() % 100 < percent; }

    void append(const Bytes &payload)
    {
        m_log.push_back(payload);
        m_model.take(payload);
        dropOldRecords();
    }

    /// The log keeps a record for much longer than two routers need to read it or its snapshot.
    void dropOldRecords()
    {
        std::vector<std::size_t> offsets;
        for (const auto &node : m_nodes)
            offsets.push_back(node->part->offset().value());
        std::sort(offsets.rbegin(), offsets.rend());
        const std::size_t old = m_log.size() - std::min(m_log.size(), kKeptRecords);
        m_first = std::max(m_first, std::min(old, offsets[1]));
    }

    /// Two others must hold what the log has dropped.
    bool mayRestart(std::size_t index) const
    {
        std::size_t others = 0;
        for (std::size_t i = 0; i < kRouters; ++i)
            others += i != index && m_nodes[i]->part->offset().value() >= m_first ? 1 : 0;
        return others >= 2;
    }

    void appendWithFaults(const Bytes &payload)
    {
        if (m_logDown)
            return;
        if (chance(15))
            return m_late.push_back(payload);
        append(payload);
        if (chance(15))
            append(payload);
        if (chance(20))
            m_late.push_back(payload); // The answer was lost: a retry at some later time.
    }

    void breakSomething()
    {
        if (chance(6))
            m_logDown = !m_logDown;
        if (chance(6))
            m_oldEnd = m_oldEnd == 0 ? 1 + m_random() % m_log.size() : 0;
        if (chance(6))
            m_cut = m_cut ? std::nullopt : std::optional(m_random() % kRouters);
        if (chance(5))
            m_loss = m_loss == 0 ? 40 : 0;
        if (!m_late.empty() && chance(20)) {
            const std::size_t which = m_random() % m_late.size();
            append(m_late[which]);
            m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(which));
        }
        const std::size_t router = m_random() % kRouters;
        if (chance(5) && mayRestart(router))
            m_nodes[router]->restart();
    }

    /// Two operators race with bases that may be old.
    void operate()
    {
        if (!chance(40))
            return;
        for (int racer = 0; racer < 2; ++racer) {
            const std::string id = "change-" + std::to_string(++m_changes);
            const std::string customer = "c" + std::to_string(m_random() % 3);
            const std::uint64_t seen =
                m_model.revision() - std::min<std::uint64_t>(m_model.revision(), m_random() % 3);
            const auto found = m_model.at(seen).find(customer);
            const bool exists = found != m_model.at(seen).end();
            record::ChangeT made = change(id, {});
            if (exists && chance(25))
                made.deletePlans = {customer};
            else
                made = change(id, {plan(customer, "gold", 1 + m_random() % 100)});
            made.planBasis.clear();
            made.planBasis.push_back(std::make_unique<record::BasisT>());
            made.planBasis[0]->key = customer;
            made.planBasis[0]->revision = exists ? found->second.second : 0;
            appendWithFaults(encodeRecord(recordOf(made)));
        }
    }

    bool connected(std::size_t from, std::size_t to)
    {
        return m_cut != from && m_cut != to && !chance(m_loss);
    }

    std::string step()
    {
        m_now += kStep;
        deliver();
        for (std::size_t i = 0; i < kRouters; ++i) {
            answerRead(i);
            handle(i, Tick{});
            heartbeat(i);
        }
        for (const auto &node : m_nodes) {
            if (std::string wrong = check(*node); !wrong.empty())
                return wrong;
        }
        return {};
    }

    void handle(std::size_t index, const Event &event)
    {
        std::vector<Action> actions;
        Outbox outbox(actions);
        m_nodes[index]->part->onEvent(event, m_now, outbox);
        perform(index, actions, outbox);
    }

    void perform(std::size_t index, const std::vector<Action> &actions, Outbox &outbox)
    {
        for (const Action &action : actions) {
            if (const auto *read = std::get_if<ReadLog>(&action))
                m_nodes[index]->read = *read;
            else if (const auto *append = std::get_if<AppendToLog>(&action))
                appendWithFaults(append->payload);
        }
        for (auto &[to, messages] : outbox.takeMessages()) {
            const std::size_t target = std::stoul(to.value().substr(1));
            for (auto &message : messages) {
                if (connected(index, target))
                    m_messages.push_back({index, target, std::move(message)});
            }
        }
    }

    void answerRead(std::size_t index)
    {
        const std::optional<ReadLog> read = std::exchange(m_nodes[index]->read, std::nullopt);
        if (!read)
            return;
        if (m_logDown || m_cut == index)
            return handle(index, LogReadFailed{read->stream});
        const std::size_t end = m_oldEnd == 0 ? m_log.size() : m_oldEnd;
        const std::size_t first = std::min(m_first, end);
        LogRead answer{read->stream, LogOffset(first + 1), LogOffset(end + 1), {}};
        for (std::size_t i = std::max<std::size_t>(first, read->from.value() - 1); i < end; ++i)
            answer.records.push_back({LogOffset(i + 1), m_log[i]});
        handle(index, answer);
    }

    /// Messages take one step; some are held back for later ones, some come twice.
    void deliver()
    {
        std::vector<InFlight> due = std::exchange(m_messages, {});
        for (InFlight &message : due) {
            if (chance(10) && m_loss > 0) {
                m_messages.push_back(std::move(message));
                continue;
            }
            for (int copies = chance(m_loss / 4) ? 2 : 1; copies > 0; --copies) {
                std::vector<Action> actions;
                Outbox outbox(actions);
                m_nodes[message.to]->part->onMessage(m_nodes[message.from]->fleet.self(),
                                                     *message.message, m_now, outbox);
                perform(message.to, actions, outbox);
            }
        }
    }

    /// Stands in for the membership part.
    void heartbeat(std::size_t from)
    {
        const std::size_t to = m_random() % kRouters;
        if (to == from || !connected(from, to))
            return;
        const ConfigPart &part = *m_nodes[from]->part;
        wire::GossipT gossip;
        gossip.heartbeats.push_back(std::make_unique<wire::HeartbeatT>());
        gossip.heartbeats[0]->configOffset = part.offset().value();
        gossip.heartbeats[0]->configRevision = part.lists().revision.value();
        gossip.heartbeats[0]->configAgeMs = static_cast<std::uint32_t>(
            std::min<Duration::rep>((m_now - part.confirmedAt(m_now)) / milliseconds(1), 1000000));
        auto message = std::make_unique<wire::MessageT>();
        message->body.Set(std::move(gossip));
        m_messages.push_back({from, to, std::move(message)});
    }

    std::string check(Node &node) const
    {
        const Lists &lists = node.part->lists();
        const std::string &name = node.fleet.self().value();
        const std::uint64_t revision = lists.revision.value();
        if (revision < node.seenRevision || node.part->offset() < node.seenOffset)
            return name + " went back";
        node.seenRevision = revision;
        node.seenOffset = node.part->offset();
        if (revision > m_model.revision())
            return name + " has a revision that no record made";
        Shares shares;
        for (const auto &[customer, entry] : lists.plans)
            shares[customer.value()] = {entry.share, entry.revision.value()};
        return shares == m_model.at(revision) ? std::string() : name + " has other lists";
    }

    struct InFlight
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::unique_ptr<wire::MessageT> message;
    };

    std::mt19937_64 m_random;
    TimePoint m_now = TimePoint(std::chrono::hours(1));
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Bytes> m_log; ///< Every record ever; the log still has those from m_first on.
    std::size_t m_first = 0;
    std::vector<Bytes> m_late; ///< Appends that take effect later, or come a second time.
    Model m_model;
    std::vector<InFlight> m_messages;
    bool m_logDown = false;
    std::size_t m_oldEnd = 0;         ///< Reads see only so many records; 0 is all.
    std::optional<std::size_t> m_cut; ///< Router without log and peers.
    unsigned m_loss = 0;              ///< Percent of messages.
    int m_changes = 0;
};

} // namespace

class ConfigSchedulesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigSchedulesTest);
    CPPUNIT_TEST(listsUnderRandomFaultsNeverRevertAndAgree);
    CPPUNIT_TEST_SUITE_END();

public:
    void listsUnderRandomFaultsNeverRevertAndAgree()
    {
        for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
            const std::string wrong = Schedule(seed).run();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + wrong, wrong.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigSchedulesTest);
