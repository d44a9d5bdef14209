// The two lists: follows the stream "config", from the log or from other routers, and passes it on.
#include "config/configpart.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "config/snapshot.h"
#include "wire/envelope.h"

#include "config/snapshot.h"
#include "config/tailers.h"
#include "wire/envelope.h"

namespace comfrey {

namespace {

constexpr std::size_t kProblemsKept = 16;

const StreamId &configStream()
{
    static const StreamId stream("config");
    return stream;
}

/// Equal for equal lists, so that operators and tests can compare routers.
std::string digestOf(const Lists &lists)
{
    ConfigState state;
    state.lists = lists;
    const Bytes encoded = encodeRecord(snapshotOf(state, ""));
    return std::to_string(XXH3_64bits(encoded.data(), encoded.size()));
}

} // namespace

ConfigPart::ConfigPart(const PartContext &context)
    : m_context(context), m_reader(context.settings, context.random),
      m_exchange(context, m_follower), m_snapshots(context.settings.config)
{ }

void ConfigPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    if (const auto *read = std::get_if<LogRead>(&event)) {
        if (read->stream == configStream())
            onLogRead(*read, now, out);
    } else if (const auto *failed = std::get_if<LogReadFailed>(&event)) {
        if (failed->stream == configStream())
            m_reader.failed(now);
    }
    act(now, out);
}

void ConfigPart::onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                           Outbox &out)
{
    if (const auto *gossip = message.body.AsGossip())
        onGossip(from, *gossip, now);
    else if (const auto *update = message.body.AsConfigUpdate())
        takeResults(m_exchange.onUpdate(from, *update, now), now, out);
    else if (const auto *request = message.body.AsConfigRequest())
        m_exchange.onRequest(from, *request, m_loaded, now, out);
    else
        return;
    act(now, out);
}

void ConfigPart::onLogRead(const LogRead &read, TimePoint now, Outbox &out)
{
    const LogOffset before = m_follower.next();
    takeResults(m_follower.take(read), now, out);
    m_snapshots.noteFirstOffset(read.firstOffset);
    const LogOffset next = m_follower.next();
    const bool confirmed = !m_follower.lacksRecords() && read.endOffset >= m_exchange.knownEnd()
        && next >= read.endOffset;
    m_reader.answered(next != before, confirmed, now);
}

void ConfigPart::onGossip(const RouterId &from, const wire::GossipT &gossip, TimePoint now)
{
    m_exchange.onGossip(from, gossip, now);
    for (const auto &heartbeat : gossip.heartbeats) {
        if (heartbeat->router.empty() && LogOffset(heartbeat->configOffset) <= offset())
            m_reader.confirm(now - milliseconds(heartbeat->configAgeMs));
    }
}

void ConfigPart::act(TimePoint now, Outbox &out)
{
    updateRole(now);
    updateLoaded(now);
    m_exchange.act(m_loaded, now, out);
    writeSnapshotWhenDue(now, out);
    if (const std::optional<bool> wait = m_reader.takeDueRead(now))
        out.push(ReadLog{configStream(), m_follower.next(), *wait});
}

void ConfigPart::updateRole(TimePoint now)
{
    const FleetView &fleet = m_context.fleet;
    if (m_fleetVersion == fleet.version())
        return;
    m_fleetVersion = fleet.version();
    m_tailingRank = ownTailingRank(fleet, m_context.settings.config.tailingRouters);
    m_reader.setRole(m_tailingRank.has_value(), fleet.routers().size(), now);
}

// The log may answer with an old end, so a router that starts waits for word of the others.
void ConfigPart::updateLoaded(TimePoint now)
{
    if (m_loaded)
        return;
    m_loaded = m_exchange.isLoadedFromPeer();
    if (m_loaded || !m_follower.hasReachedEnd())
        return;
    if (m_loadBy == kNever)
        m_loadBy = now + milliseconds(m_context.settings.config.silenceLimitMs);
    const bool isAlone = m_context.fleet.hasList() && m_context.fleet.routers().size() == 1;
    const bool isBehind = m_exchange.knownEnd() > m_follower.next();
    m_loaded = !isBehind && (isAlone || m_exchange.hasHeard() || now >= m_loadBy);
}

void ConfigPart::takeResults(const std::vector<FoldResult> &results, TimePoint now, Outbox &out)
{
    for (const FoldResult &result : results) {
        if (result.kind == FoldKind::Snapshot)
            m_snapshots.noteSnapshot(result.offset, now);
        if (result.kind != FoldKind::Refused && result.kind != FoldKind::Skipped)
            continue;
        out.push(WriteLogLine{Severity::Warning, "config-record-refused",
                              "offset=" + std::to_string(result.offset.value()) + " change="
                                  + result.change.value() + " reason=\"" + result.text + "\""});
        m_problems.push_back(result);
        if (m_problems.size() > kProblemsKept)
            m_problems.pop_front();
    }
    if (lists().revision == m_indexedRevision)
        return;
    rebuildIndex();
    out.push(WriteLogLine{Severity::Info, "config-in-force",
                          "revision=" + std::to_string(lists().revision.value())});
}

void ConfigPart::writeSnapshotWhenDue(TimePoint now, Outbox &out)
{
    if (!m_loaded || m_follower.lacksRecords()
        || !m_snapshots.takeDue(offset(), m_tailingRank, now))
        return;
    const std::string &self = m_context.settings.router.id;
    out.push(AppendToLog{m_context.ids.nextAppend(), configStream(),
                         encodeRecord(snapshotOf(m_follower.state(), self))});
}

void ConfigPart::rebuildIndex()
{
    m_indexedRevision = lists().revision;
    m_owners.clear();
    for (const auto &[customer, entry] : lists().plans) {
        for (const ApiKeyHash &key : entry.keys)
            m_owners.emplace(key, customer);
    }
}

TimePoint ConfigPart::confirmedAt(TimePoint now) const
{
    const bool isBehind = m_exchange.knownEnd() > offset().next();
    return isBehind ? m_reader.lastConfirmedAt() : m_reader.confirmedAt(now);
}

TimePoint ConfigPart::nextWakeUp() const
{
    const TimePoint loadBy = m_loaded ? kNever : m_loadBy;
    return std::min({m_reader.nextWakeUp(), m_exchange.nextWakeUp(), loadBy});
}

void ConfigPart::dump(nlohmann::json &out, TimePoint now) const
{
    const FleetView &fleet = m_context.fleet;
    out["revision"] = lists().revision.value();
    out["offset"] = offset().value();
    out["loaded"] = isLoaded();
    out["digest"] = digestOf(lists());
    out["tailing"] = m_tailingRank.has_value();
    out["confirmedAgeMs"] = (now - confirmedAt(now)) / milliseconds(1);
    out["lacksRecords"] = m_follower.lacksRecords();
    for (const RouterId &id : tailingRouters(fleet, m_context.settings.config.tailingRouters))
        out["tailingRouters"].push_back(id.value());
    out["routers"][fleet.self().value()] = {
        {"revision", lists().revision.value()}, {"offset", offset().value()}, {"ageMs", 0}};
    for (const auto &[id, peer] : m_exchange.peers())
        out["routers"][id.value()] = {{"revision", peer.revision.value()},
                                      {"offset", peer.offset.value()},
                                      {"ageMs", (now - peer.heardAt) / milliseconds(1)}};
    for (const FoldResult &problem : m_problems)
        out["problems"].push_back({{"offset", problem.offset.value()},
                                   {"change", problem.change.value()},
                                   {"text", problem.text}});
}

const PlanEntry *ConfigPart::customerOf(const ApiKeyHash &key) const
{
    const auto owner = m_owners.find(key);
    return owner == m_owners.end() ? nullptr : &lists().plans.at(owner->second);
}

} // namespace comfrey
