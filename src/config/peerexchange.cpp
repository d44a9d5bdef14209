// How routers pass the stream "config" on.
#include "config/peerexchange.h"

#include <algorithm>

#include "config/snapshot.h"
#include "wire/envelope.h"

namespace comfrey {

namespace {

constexpr std::size_t kAnnounceFanout = 4;
constexpr Duration kAnnounceInterval = milliseconds(50); // Least time between announcements.
constexpr Duration kAnswerLimit = milliseconds(200);     // Until a question is put again.
constexpr Duration kSnapshotInterval = milliseconds(50); // Least time between snapshots given.
constexpr std::uint32_t kVainQuestionsLimit = 2;         // Doublings of kAnswerLimit.
constexpr Duration kPeerStateKept = milliseconds(600000);

} // namespace

PeerExchange::PeerExchange(const PartContext &context, LogFollower &follower)
    : m_context(context), m_follower(follower)
{ }

void PeerExchange::notePeer(const RouterId &from, LogOffset end, TimePoint now)
{
    m_hasHeard = true;
    if (end < m_knownEnd || end <= m_follower.state().foldedTo.next())
        return;
    m_knownEnd = end;
    m_ahead = from;
    m_askAt = std::min(m_askAt, std::max(now, m_askedAt + kAnswerLimit));
}

void PeerExchange::onGossip(const RouterId &from, const wire::GossipT &gossip, TimePoint now)
{
    for (const auto &heartbeat : gossip.heartbeats) {
        if (!heartbeat->router.empty())
            continue;
        const LogOffset offset(heartbeat->configOffset);
        m_peers.insert_or_assign(from,
                                 PeerConfig{Revision(heartbeat->configRevision), offset, now});
        notePeer(from, offset.next(), now);
    }
    if (m_peers.size() > 2 * m_context.fleet.routers().size())
        std::erase_if(m_peers, [now](const auto &peer) {
            return now - peer.second.heardAt >= kPeerStateKept;
        });
}

std::vector<FoldResult> PeerExchange::onUpdate(const RouterId &from,
                                               const wire::ConfigUpdateT &update, TimePoint now)
{
    std::vector<FoldResult> results;
    if (!update.snapshot.empty())
        m_follower.takeSnapshot(update.snapshot);
    for (const auto &record : update.records)
        m_follower.take(LogOffset(record->offset), record->payload, results);
    notePeer(from, LogOffset(update.endOffset), now);
    const bool haveAll = m_follower.state().foldedTo.next() >= LogOffset(update.endOffset);
    m_isLoadedFromPeer = m_isLoadedFromPeer || (update.loaded && haveAll);
    if (!update.records.empty() || !update.snapshot.empty()) {
        m_vainQuestions = 0;
        m_askedAt = TimePoint();
        m_askAt = now;
    }
    return results;
}

void PeerExchange::onRequest(const RouterId &from, const wire::ConfigRequestT &request,
                             bool isLoaded, TimePoint now, Outbox &out)
{
    const ConfigState &state = m_follower.state();
    const LogOffset wanted(request.fromOffset);
    wire::ConfigUpdateT update;
    update.endOffset = state.foldedTo.next().value();
    update.loaded = isLoaded;
    if (wanted <= state.foldedTo) {
        auto records = m_follower.recent().from(wanted);
        if (records) {
            update.records = std::move(*records);
        } else {
            if (now < m_lastSnapshotAt + kSnapshotInterval)
                return;
            m_lastSnapshotAt = now;
            update.snapshot = encodeRecord(snapshotOf(state, m_context.settings.router.id));
        }
    }
    out.send(from, std::move(update));
}

void PeerExchange::act(bool isLoaded, TimePoint now, Outbox &out)
{
    if (m_follower.state().foldedTo > m_announced && m_announceAt == kNever)
        m_announceAt = std::max(now, m_lastAnnounceAt + kAnnounceInterval);
    if (now >= m_announceAt) {
        m_lastAnnounceAt = now;
        m_announceAt = kNever;
        announce(isLoaded, out);
    }
    if (now >= m_askAt)
        ask(isLoaded, now, out);
}

void PeerExchange::announce(bool isLoaded, Outbox &out)
{
    m_announced = m_follower.state().foldedTo;
    for (const RouterId &peer : randomPeers(kAnnounceFanout)) {
        wire::ConfigUpdateT update;
        update.endOffset = m_announced.next().value();
        update.loaded = isLoaded;
        out.send(peer, std::move(update));
    }
}

// Asks whoever told of more than there is here; without such word, and for a router that has no
// state yet, any other router.
void PeerExchange::ask(bool isLoaded, TimePoint now, Outbox &out)
{
    m_askAt = kNever;
    const LogOffset next = m_follower.state().foldedTo.next();
    const bool isBehind = m_knownEnd > next;
    if (!isBehind && isLoaded && !m_follower.lacksRecords())
        return;
    m_askedAt = now;
    m_askAt = now + kAnswerLimit * (1U << m_vainQuestions);
    m_vainQuestions = std::min(m_vainQuestions + 1, kVainQuestionsLimit);
    RouterId target = std::exchange(m_ahead, RouterId());
    if (target.isEmpty() || !isBehind) {
        const std::vector<RouterId> peers = randomPeers(1);
        if (peers.empty())
            return;
        target = peers.front();
    }
    wire::ConfigRequestT request;
    request.fromOffset = next.value();
    out.send(target, request);
}

std::vector<RouterId> PeerExchange::randomPeers(std::size_t count)
{
    const FleetView &fleet = m_context.fleet;
    std::vector<RouterId> peers;
    for (const RouterView &view : fleet.routers()) {
        if (view.id != fleet.self() && view.state == RouterState::Alive)
            peers.push_back(view.id);
    }
    const std::size_t wanted = std::min(count, peers.size());
    for (std::size_t i = 0; i < wanted; ++i)
        std::swap(peers[i], peers[i + m_context.random() % (peers.size() - i)]);
    peers.resize(wanted);
    return peers;
}

} // namespace comfrey
