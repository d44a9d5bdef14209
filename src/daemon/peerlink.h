// Envelopes between routers over nng. Delivery is best effort: a full or absent peer loses them.
#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <thread>

#include <nng/nng.h>

#include "comfrey/actions.h"
#include "comfrey/error.h"
#include "daemon/eventsink.h"

namespace comfrey {

class PeerLink
{
public:
    explicit PeerLink(EventSink &sink);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Listens on "IP:port" and starts to receive.
    Result<void> start(const Endpoint &address);

    /// Called on the control thread only; never blocks.
    void send(const SendToRouter &order);

private:
    struct Peer
    {
        nng_socket socket = NNG_SOCKET_INITIALIZER;
        std::chrono::steady_clock::time_point lastUse;
    };

    void receive();
    Peer *peerOf(const Endpoint &address);
    void closeUnused(std::chrono::steady_clock::time_point now);

    EventSink &m_sink;
    nng_socket m_listener = NNG_SOCKET_INITIALIZER;
    bool m_isListening = false;
    std::thread m_receiver;
    std::map<Endpoint, Peer> m_peers; ///< Only peers that were sent to within kUnusedLimit.
    std::chrono::steady_clock::time_point m_lastSweep;
};

} // namespace comfrey
