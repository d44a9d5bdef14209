// Envelopes between routers over nng.
#include "daemon/peerlink.h"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace comfrey {

namespace {

constexpr auto kUnusedLimit = std::chrono::seconds(60);
constexpr int kSendQueue = 64; // envelopes per peer
constexpr std::size_t kMaxEnvelopeBytes = 4 << 20;
constexpr nng_duration kReconnectMin = 50;  // ms
constexpr nng_duration kReconnectMax = 500; // ms

std::string urlOf(const Endpoint &address)
{
    return "tcp://" + address.value();
}

} // namespace

PeerLink::PeerLink(EventSink &sink) : m_sink(sink) { }

PeerLink::~PeerLink()
{
    if (m_isListening)
        nng_close(m_listener);
    if (m_receiver.joinable())
        m_receiver.join();
    for (const auto &[address, peer] : m_peers)
        nng_close(peer.socket);
}

Result<void> PeerLink::start(const Endpoint &address)
{
    int error = nng_pull0_open(&m_listener);
    if (error == 0) {
        m_isListening = true;
        nng_socket_set_size(m_listener, NNG_OPT_RECVMAXSZ, kMaxEnvelopeBytes);
        error = nng_listen(m_listener, urlOf(address).c_str(), nullptr, 0);
    }
    if (error != 0)
        return failure(ErrorCode::Unavailable,
                       "cannot listen for routers on \"" + address.value()
                           + "\": " + nng_strerror(error));
    m_receiver = std::thread([this] { receive(); });
    return {};
}

void PeerLink::receive()
{
    while (true) {
        void *data = nullptr;
        std::size_t size = 0;
        const int error = nng_recv(m_listener, &data, &size, NNG_FLAG_ALLOC);
        if (error == NNG_ECLOSED)
            return;
        if (error != 0)
            continue;
        const auto *bytes = static_cast<const std::uint8_t *>(data);
        PeerMessage message;
        message.payload.assign(bytes, bytes + size);
        nng_free(data, size);
        m_sink.post(std::move(message));
    }
}

void PeerLink::send(const SendToRouter &order)
{
    const auto now = std::chrono::steady_clock::now();
    closeUnused(now);
    Peer *peer = peerOf(order.address);
    if (peer == nullptr)
        return;
    peer->lastUse = now;
    // nng copies the bytes; it takes a pointer to non-const for its zero-copy mode only.
    auto *bytes = const_cast<std::uint8_t *>(order.payload.data());
    nng_send(peer->socket, bytes, order.payload.size(), NNG_FLAG_NONBLOCK);
}

PeerLink::Peer *PeerLink::peerOf(const Endpoint &address)
{
    const auto found = m_peers.find(address);
    if (found != m_peers.end())
        return &found->second;
    Peer peer;
    if (nng_push0_open(&peer.socket) != 0)
        return nullptr;
    nng_socket_set_int(peer.socket, NNG_OPT_SENDBUF, kSendQueue);
    nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMINT, kReconnectMin);
    nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMAXT, kReconnectMax);
    if (nng_dial(peer.socket, urlOf(address).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(peer.socket);
        return nullptr;
    }
    return &m_peers.emplace(address, peer).first->second;
}

void PeerLink::closeUnused(std::chrono::steady_clock::time_point now)
{
    if (now - m_lastSweep < kUnusedLimit)
        return;
    m_lastSweep = now;
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (now - peer->second.lastUse < kUnusedLimit) {
            ++peer;
            continue;
        }
        nng_close(peer->second.socket);
        peer = m_peers.erase(peer);
    }
}

} // namespace comfrey
