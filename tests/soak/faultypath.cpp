// Bytes between two sockets, with the fault of the path in between.
#include "faultypath.h"

#include <array>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "traffic/callerlistener.h"

namespace comfrey::soak {

using loopback::Socket;

namespace {

constexpr std::chrono::milliseconds kDelay{60};

} // namespace

/// One connection through the path.
class FaultyPath::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(FaultyPath &path, Socket near) : m_near(std::move(near)), m_far(path.m_loop), m_path(&path)
    { }

    void start()
    {
        m_far.async_connect(m_path->m_target,
                            [self = shared_from_this()](const boost::system::error_code &error) {
                                if (error) {
                                    self->reset();
                                    return;
                                }
                                self->pump(self->m_near, self->m_far, self->m_there, true);
                                self->pump(self->m_far, self->m_near, self->m_back, false);
                            });
    }

    void reset()
    {
        boost::system::error_code ignored; // A socket that is closed already is as good.
        for (Socket *socket : {&m_near, &m_far}) {
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    bool isOpen() const { return m_near.is_open(); }
    void forgetPath() { m_path = nullptr; }

private:
    using Chunk = std::array<char, 16384>;

    void pump(Socket &from, Socket &to, Chunk &chunk, bool isThere)
    {
        from.async_read_some(boost::asio::buffer(chunk),
                             [this, self = shared_from_this(), &from, &to, &chunk,
                              isThere](const boost::system::error_code &error, std::size_t count) {
                                 if (error) {
                                     end(error);
                                     return;
                                 }
                                 carry(from, to, chunk, count, isThere);
                             });
    }

    void carry(Socket &from, Socket &to, Chunk &chunk, std::size_t count, bool isThere)
    {
        const PathFault fault = m_path ? m_path->m_fault : PathFault::Reset;
        const bool isSwallowed = fault == PathFault::Silent
            || fault == (isThere ? PathFault::CutThere : PathFault::CutBack);
        if (fault == PathFault::Reset) {
            reset();
            return;
        }
        if (isSwallowed) {
            pump(from, to, chunk, isThere);
            return;
        }
        const auto write = [this, self = shared_from_this(), &from, &to, &chunk, count, isThere] {
            boost::asio::async_write(to, boost::asio::buffer(chunk.data(), count),
                                     [this, self, &from, &to, &chunk, isThere](
                                         const boost::system::error_code &error, std::size_t) {
                                         if (error)
                                             end(error);
                                         else
                                             pump(from, to, chunk, isThere);
                                     });
        };
        if (fault != PathFault::Slow) {
            write();
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_near.get_executor(), kDelay);
        timer->async_wait([timer, write](const boost::system::error_code &) { write(); });
    }

    /// An end is passed on as what it was.
    void end(const boost::system::error_code &error)
    {
        if (error != boost::asio::error::eof) {
            reset();
            return;
        }
        boost::system::error_code ignored; // As above.
        m_near.close(ignored);
        m_far.close(ignored);
    }

    Socket m_near;
    Socket m_far;
    Chunk m_there{};
    Chunk m_back{};
    FaultyPath *m_path; ///< Null once the path has gone.
};

FaultyPath::FaultyPath(boost::asio::io_context &loop, const std::string &target)
    : m_loop(loop), m_target(*parseEndpoint(target)),
      m_acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}),
      m_port(m_acceptor.local_endpoint().port())
{
    accept();
}

FaultyPath::~FaultyPath()
{
    for (const auto &link : m_links) {
        link->forgetPath();
        link->reset();
    }
}

std::string FaultyPath::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void FaultyPath::setFault(PathFault fault)
{
    const bool swallowed = m_fault == PathFault::CutThere || m_fault == PathFault::CutBack
        || m_fault == PathFault::Silent;
    m_fault = fault;
    if (!swallowed && fault != PathFault::Reset)
        return;
    for (const auto &link : std::exchange(m_links, {}))
        link->reset();
}

void FaultyPath::end()
{
    m_acceptor.close();
    for (const auto &link : std::exchange(m_links, {}))
        link->reset();
}

void FaultyPath::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, Socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!error) {
            m_links.remove_if([](const auto &link) { return !link->isOpen(); });
            m_links.push_back(std::make_shared<Link>(*this, std::move(socket)));
            if (m_fault == PathFault::Reset)
                m_links.back()->reset();
            else
                m_links.back()->start();
        }
        accept();
    });
}

} // namespace comfrey::soak
