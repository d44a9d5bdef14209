// Who is in the fleet: routers by heartbeat and platform list, back ends by list and observation.
#include "membership/membershippart.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr std::array<const char *, 3> kBackendStateNames = {"joining", "live", "leaving"};
constexpr std::array<const char *, 3> kRouterStateNames = {"alive", "suspect", "leaving"};

constexpr Duration kAdvanceInterval = milliseconds(100);
constexpr Duration kSpreadInterval = milliseconds(200); // Least time between news out of turn.
constexpr std::size_t kSpreadFanout = 3;
constexpr std::size_t kRepeatedProbes = 3;    // Unanswered probes repeated in one interval.
constexpr std::uint64_t kLostProbeRounds = 3; // A lost router is tried once in so many intervals.

RouterView ownView(const PartContext &context)
{
    const settings::RouterT &router = context.settings.router;
    return {RouterId(router.id),          ZoneId(router.zone),
            Endpoint(router.peerAddress), Endpoint(router.operatorAddress),
            context.incarnation,          RouterState::Alive};
}

} // namespace

MembershipPart::MembershipPart(const PartContext &context)
    : m_context(context), m_self(context.settings.router.id), m_zone(context.settings.router.zone),
      m_table(context.settings.membership, ownView(context)),
      m_backends(context.settings.membership)
{ }

void MembershipPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    if (const auto *list = std::get_if<InstanceListRead>(&event)) {
        m_table.takeList(list->instances, now);
        m_backends.takeList(list->instances, now);
        m_hasList = true;
    } else if (const auto *ended = std::get_if<AttemptEnded>(&event)) {
        onAttemptEnded(*ended, now);
    } else if (const auto *probed = std::get_if<ProbeAnswered>(&event)) {
        onReport(probed->report, now);
    } else if (std::holds_alternative<StopRequested>(event)) {
        m_leaving = true;
        m_table.setSelfState(RouterState::Leaving);
        m_spreadAt = now;
    }
    readListWhenDue(now, out);
    advanceWhenDue(now);
    probeWhenDue(now, out);
    spreadWhenDue(now, out);
}

void MembershipPart::onMessage(const RouterId &from, const wire::MessageT &message, TimePoint now,
                               Outbox &out)
{
    const wire::GossipT *gossiped = message.body.AsGossip();
    if (gossiped == nullptr)
        return;
    for (const auto &heartbeat : gossiped->heartbeats) {
        std::optional<wire::HeartbeatT> news;
        if (heartbeat->router.empty()) {
            news = m_table.hear(from, *heartbeat, now);
        } else if (heartbeat->router != m_self.value()) {
            news = m_table.takeNews(*heartbeat, now);
        } else if (heartbeat->incarnation <= m_context.incarnation.value()
                   && heartbeat->state == static_cast<std::uint8_t>(RouterState::Suspect)) {
            ++m_sequence;
            news = ownHeartbeat(now);
            news->router = m_self.value();
        }
        if (news)
            addNews(*news, now);
    }
    if (gossiped->replyWanted)
        out.send(from, gossip(now));
}

void MembershipPart::noteSent(const SendToBackend &sent)
{
    m_sentTo.insert_or_assign(sent.attempt, sent.backend);
}

void MembershipPart::onAttemptEnded(const AttemptEnded &ended, TimePoint now)
{
    const auto sent = m_sentTo.find(ended.attempt);
    if (sent == m_sentTo.end())
        return;
    if (ended.backendLeaving)
        m_backends.noteLeaving(sent->second, now);
    m_sentTo.erase(sent);
}

void MembershipPart::onReport(const LoadReport &report, TimePoint now)
{
    if (report.leaving)
        m_backends.noteLeaving(report.backend, now);
    else
        m_backends.noteServing(report.backend, report.measuredAt, now);
}

void MembershipPart::readListWhenDue(TimePoint now, Outbox &out)
{
    if (now < m_readAt)
        return;
    m_readAt = now + milliseconds(m_context.settings.platform.instanceListIntervalMs);
    out.push(ReadInstanceList{});
}

void MembershipPart::advanceWhenDue(TimePoint now)
{
    if (now < m_advanceAt)
        return;
    m_advanceAt = now + kAdvanceInterval;
    for (const wire::HeartbeatT &news : m_table.advance(now))
        addNews(news, now);
    m_backends.advance(now);
}

void MembershipPart::probeWhenDue(TimePoint now, Outbox &out)
{
    if (now < m_probeAt)
        return;
    m_probeAt = now + milliseconds(m_context.settings.membership.heartbeatIntervalMs);
    ++m_sequence;
    ++m_rounds;
    std::vector<RouterId> targets = m_table.unanswered();
    std::shuffle(targets.begin(), targets.end(), m_context.random);
    targets.resize(std::min(targets.size(), kRepeatedProbes));
    for (std::uint32_t i = 0; i < m_context.settings.membership.gossipFanout; ++i) {
        if (const std::optional<RouterId> target = nextTarget())
            targets.push_back(*target);
    }
    const std::vector<RouterId> lost = m_table.lost();
    if (!lost.empty() && m_rounds % kLostProbeRounds == 0)
        targets.push_back(lost[m_context.random() % lost.size()]);
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    for (const RouterId &target : targets)
        probe(target, now, out);
}

void MembershipPart::probe(const RouterId &id, TimePoint now, Outbox &out)
{
    m_table.noteProbe(id, now);
    wire::GossipT message = gossip(now);
    message.replyWanted = true;
    out.send(id, std::move(message));
}

// Every router is probed once before any is probed again.
std::optional<RouterId> MembershipPart::nextTarget()
{
    if (m_order.empty()) {
        for (const RouterView &view : routers()) {
            if (view.id != m_self)
                m_order.push_back(view.id);
        }
        std::shuffle(m_order.begin(), m_order.end(), m_context.random);
    }
    if (m_order.empty())
        return std::nullopt;
    RouterId target = m_order.back();
    m_order.pop_back();
    return target;
}

void MembershipPart::addNews(const wire::HeartbeatT &news, TimePoint now)
{
    m_rumors.push(news, routers().size());
    if (m_spreadAt == kNever)
        m_spreadAt = std::max(now, m_lastSpreadAt + kSpreadInterval);
}

void MembershipPart::spreadWhenDue(TimePoint now, Outbox &out)
{
    if (now < m_spreadAt)
        return;
    m_spreadAt = kNever;
    m_lastSpreadAt = now;
    std::vector<RouterId> targets;
    for (const RouterView &view : routers()) {
        if (view.id != m_self && view.state == RouterState::Alive)
            targets.push_back(view.id);
    }
    std::shuffle(targets.begin(), targets.end(), m_context.random);
    targets.resize(std::min(targets.size(), kSpreadFanout));
    for (const RouterId &target : targets)
        out.send(target, gossip(now));
}

wire::HeartbeatT MembershipPart::ownHeartbeat(TimePoint now) const
{
    const ListsView &lists = m_context.lists;
    const Duration age = std::max(Duration::zero(), now - lists.confirmedAt(now));
    wire::HeartbeatT own;
    own.incarnation = m_context.incarnation.value();
    own.sequence = m_sequence;
    own.state = static_cast<std::uint8_t>(m_leaving ? RouterState::Leaving : RouterState::Alive);
    own.configOffset = lists.offset().value();
    own.configRevision = lists.lists().revision.value();
    own.configAgeMs = static_cast<std::uint32_t>(
        std::min<Duration::rep>(age / milliseconds(1), std::numeric_limits<std::uint32_t>::max()));
    return own;
}

wire::GossipT MembershipPart::gossip(TimePoint now)
{
    wire::GossipT message;
    message.heartbeats.push_back(std::make_unique<wire::HeartbeatT>(ownHeartbeat(now)));
    m_rumors.appendTo(message.heartbeats);
    return message;
}

TimePoint MembershipPart::nextWakeUp() const
{
    return std::min({m_readAt, m_advanceAt, m_probeAt, m_spreadAt});
}

void MembershipPart::dump(nlohmann::json &out, TimePoint now) const
{
    out["version"] = version();
    for (const RouterView &view : routers())
        out["routers"][view.id.value()] =
            kRouterStateNames.at(static_cast<std::size_t>(view.state));
    for (const RouterId &id : m_table.lost())
        out["lost"].push_back(id.value());
    for (const BackendView &view : backends()) {
        out["backends"][view.id.value()] =
            kBackendStateNames.at(static_cast<std::size_t>(view.state));
        out["backendStateAgeMs"][view.id.value()] = (now - view.since) / milliseconds(1);
    }
}

} // namespace comfrey
