// Listening sockets.
#include "traffic/callerlistener.h"

#include <algorithm>
#include <charconv>

namespace comfrey {

namespace {

constexpr int kBacklog =
    4096; ///< Connections that wait for accept(): many callers may come at once.

} // namespace

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const char *end = address.data() + address.size();
    std::uint16_t port = 0;
    std::from_chars_result parsed{end, std::errc::invalid_argument};
    if (colon != std::string::npos)
        parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return failure(ErrorCode::InvalidSettings, "address \"" + address + "\" is not IP:port");
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    if (error)
        return failure(ErrorCode::InvalidSettings, "address \"" + address + "\" is not IP:port");
    return boost::asio::ip::tcp::endpoint(ip, port);
}

CallerListener::CallerListener(boost::asio::io_context &loop, RequestHandler &handler, Clock clock,
                               std::size_t maxConnections)
    : m_loop(loop), m_handler(handler), m_clock(std::move(clock)), m_maxConnections(maxConnections),
      m_acceptor(loop)
{ }

Result<void> CallerListener::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return tl::make_unexpected(endpoint.error());
    boost::system::error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error)
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(*endpoint, error);
    if (!error)
        m_acceptor.listen(kBacklog, error);
    if (error)
        return failure(ErrorCode::Unavailable,
                       "cannot listen on " + address + ": " + error.message());
    accept();
    return {};
}

void CallerListener::accept()
{
    m_acceptor.async_accept(
        [this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (!m_acceptor.is_open())
                return;
            if (error == boost::asio::error::no_descriptors) {
                m_isWaiting = true;
                return;
            }
            if (!error)
                onAccepted(std::move(socket));
            accept();
        });
}

void CallerListener::onAccepted(boost::asio::ip::tcp::socket socket)
{
    forgetClosed();
    if (m_connections.size() >= m_maxConnections || !makeRoom())
        return;
    auto connection = std::make_shared<CallerConnection>(std::move(socket), m_handler, m_clock());
    m_connections.push_back(connection);
    connection->start();
}

bool CallerListener::makeRoom()
{
    const auto account = m_handler.account();
    while (account && account->lacksSocket()) {
        if (m_handler.closeKeptServer())
            continue;
        CallerShare *const other = account->victim(Shortage::Sockets, nullptr, m_clock());
        if (!other)
            return !account->lacksSpareSocket();
        other->giveWay(Shortage::Sockets);
    }
    return true;
}

void CallerListener::forgetClosed()
{
    if (m_connections.size() < std::min(m_forgetAt, m_maxConnections))
        return;
    m_connections.remove_if([](const auto &connection) { return !connection->isOpen(); });
    m_forgetAt = std::max(kFewConnections, m_connections.size() * 2);
}

void CallerListener::stopListening()
{
    boost::system::error_code ignored; // An acceptor that does not close accepts nothing either.
    m_acceptor.close(ignored);
}

void CallerListener::closeIdle()
{
    for (const auto &connection : m_connections)
        connection->closeIdle();
}

void CallerListener::sweep(TimePoint now)
{
    m_connections.remove_if([now](const auto &connection) { return !connection->sweep(now); });
    if (std::exchange(m_isWaiting, false) && m_acceptor.is_open())
        accept();
}

} // namespace comfrey
