// How routers pass the stream "config" on: whoever gets ahead tells a few others, whoever hears of
// more than it has asks the teller, and the answer is the missing records or a snapshot.
#pragma once

#include <map>
#include <optional>

#include "config/logfollower.h"
#include "facade/part.h"

namespace comfrey {

/// What another router last said of its state.
struct PeerConfig
{
    Revision revision;
    LogOffset offset;
    TimePoint heardAt;
};

class PeerExchange
{
public:
    PeerExchange(const PartContext &context, LogFollower &follower);

    void onGossip(const RouterId &from, const wire::GossipT &gossip, TimePoint now);
    /// Returns what became of the records that it brought.
    std::vector<FoldResult> onUpdate(const RouterId &from, const wire::ConfigUpdateT &update,
                                     TimePoint now);
    void onRequest(const RouterId &from, const wire::ConfigRequestT &request, bool isLoaded,
                   TimePoint now, Outbox &out);

    /// Tells others of new records and asks for missing ones, as far as it is time.
    void act(bool isLoaded, TimePoint now, Outbox &out);
    TimePoint nextWakeUp() const { return std::min(m_announceAt, m_askAt); }

    /// Offset after the newest record that anyone told of.
    LogOffset knownEnd() const { return m_knownEnd; }
    /// True once another router said where it stands.
    bool hasHeard() const { return m_hasHeard; }
    /// True once a router with a state in force gave us all that it has.
    bool isLoadedFromPeer() const { return m_isLoadedFromPeer; }
    const std::map<RouterId, PeerConfig> &peers() const { return m_peers; }

private:
    void notePeer(const RouterId &from, LogOffset end, TimePoint now);
    void announce(bool isLoaded, Outbox &out);
    void ask(bool isLoaded, TimePoint now, Outbox &out);
    std::vector<RouterId> randomPeers(std::size_t count);

    PartContext m_context;
    LogFollower &m_follower;
    std::map<RouterId, PeerConfig> m_peers;
    LogOffset m_knownEnd;
    RouterId m_ahead; ///< Told of m_knownEnd; empty if none did since the last question.
    std::uint32_t m_vainQuestions = 0; ///< Questions since the last answer with records.
    bool m_hasHeard = false;
    bool m_isLoadedFromPeer = false;
    LogOffset m_announced; ///< Newest record that others were told of.
    TimePoint m_announceAt = kNever;
    TimePoint m_lastAnnounceAt;
    TimePoint m_askedAt;        ///< When the last question was put that is not answered yet.
    TimePoint m_askAt;          ///< When to put the next question; kNever if nothing is missing.
    TimePoint m_lastSnapshotAt; ///< When a snapshot was last given to another router.
};

} // namespace comfrey
