// A loopback proxy on the way to a store or a backend server, which delays, resets, cuts one way or
// keeps silent as it is told.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>

#include "loopback.h"

namespace comfrey::soak {

enum class PathFault : std::uint8_t {
    None,
    Slow,     ///< Bytes arrive late in both directions.
    Reset,    ///< Each connection is reset, new ones too.
    CutThere, ///< Nothing of what callers send arrives any more.
    CutBack,  ///< Nothing of what the other end sends arrives any more.
    Silent,   ///< Neither direction; new connections stay open.
};

class FaultyPath
{
public:
    FaultyPath(boost::asio::io_context &loop, const std::string &target);
    ~FaultyPath();
    FaultyPath(const FaultyPath &) = delete;
    FaultyPath &operator=(const FaultyPath &) = delete;

    std::string address() const;
    /// Bytes that a cut has swallowed never arrive: its connections are reset when it ends.
    void setFault(PathFault fault);
    PathFault fault() const { return m_fault; }
    /// What it leads to has ended: its port is closed and its connections are reset.
    void end();

private:
    class Link;

    void accept();

    boost::asio::io_context &m_loop;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port; ///< Also after its end.
    std::list<std::shared_ptr<Link>> m_links;
    PathFault m_fault = PathFault::None;
};

} // namespace comfrey::soak
