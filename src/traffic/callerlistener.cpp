// Listening sockets.
#include "traffic/callerlistener.h"

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
            if (!error && m_connections.size() < m_maxConnections) {
                auto connection =
                    std::make_shared<CallerConnection>(std::move(socket), m_handler, m_clock());
                m_connections.push_back(connection);
                connection->start();
            }
            accept();
        });
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
}

} // namespace comfrey
