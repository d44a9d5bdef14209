// Many callers at once that send what a test says and keep their connections open.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "loopback.h"

namespace comfrey::crowd {

/// What each caller of a crowd sends.
struct Script
{
    std::string start; ///< Sent once.
    std::string unit;  ///< Sent `repeats` times after it.
    std::size_t repeats = 0;
    std::string end;          ///< Sent last.
    bool isPiecewise = false; ///< Each unit waits until the one before was taken.
    bool readsAnswers = true;
};

/// One caller.
class CrowdCaller : public std::enable_shared_from_this<CrowdCaller>
{
public:
    CrowdCaller(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &router,
                std::shared_ptr<const Script> script);

    void start();
    /// All was sent, or the other side has closed.
    bool isSettled() const { return m_isDone || m_isClosed; }
    bool isClosed() const { return m_isClosed; }
    std::uint64_t sent() const { return m_sent; }
    /// The first bytes that came back.
    const std::string &received() const { return m_received; }

private:
    void write();
    void read();

    loopback::Socket m_socket;
    boost::asio::ip::tcp::endpoint m_router;
    std::shared_ptr<const Script> m_script;
    std::string m_piece; ///< Under way.
    std::size_t m_step = 0;
    std::uint64_t m_sent = 0;
    bool m_isDone = false;
    bool m_isClosed = false;
    std::array<char, 4096> m_chunk{};
    std::string m_received;
};

class Crowd
{
public:
    Crowd(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &router,
          std::size_t callers, Script script);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Runs the loop until nobody can send more and the process at work has nothing left to do.
    void settle(pid_t process);
    std::uint64_t sent() const;
    /// Callers whose first answer begins with `text`.
    std::size_t answeredWith(const std::string &text) const;
    std::size_t closed() const;
    std::size_t size() const { return m_callers.size(); }

private:
    boost::asio::io_context &m_loop;
    std::vector<std::shared_ptr<CrowdCaller>> m_callers;
};

/// Head of a request with a body whose length is announced.
std::string announcedHead(const std::string &target, const std::string &fields, std::size_t length);
/// Head of a request with a chunked body.
std::string chunkedHead(const std::string &target, const std::string &fields);
/// One chunk with `size` bytes.
std::string chunkOf(std::size_t size);

/// The shapes of the crowds; bodies are of `size` bytes and miss their end.
Script wholeBodies(const std::string &target, const std::string &fields, std::size_t size);
Script bodiesInPieces(const std::string &target, const std::string &fields, std::size_t size);
Script largeChunks(const std::string &target, const std::string &fields, std::size_t size);
Script oneByteChunks(const std::string &target, const std::string &fields, std::size_t size);
/// Announces `size` and sends that much.
Script announcedBodies(const std::string &target, const std::string &fields, std::size_t size);
/// Chunks up to `size`, far over the limit.
Script endlessChunks(const std::string &target, const std::string &fields, std::size_t size);
/// A head of `size` bytes in many tiny fields; its body misses the end.
Script tinyFields(const std::string &target, const std::string &fields, std::size_t size);
/// `count` requests without a body in a row; their answers are not read.
Script unreadAnswers(const std::string &target, const std::string &fields, std::size_t count);

} // namespace comfrey::crowd
