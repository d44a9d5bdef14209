// Callers on one event loop.
#include "crowd.h"

#include <boost/asio/post.hpp>

#include "childprocess.h"

namespace comfrey::crowd {

using loopback::now;

namespace {

constexpr std::size_t kPieceBytes = 1400; ///< Of a body that is sent piece by piece.
constexpr std::size_t kLargeChunk = 262144;
constexpr std::size_t kWriteBytes = 65536;      ///< Tiny units are handed to the socket together.
constexpr Duration kQuiet = milliseconds(1000); ///< Nothing is taken for so long: nothing will be.
constexpr Duration kLongest = milliseconds(120000); ///< Only a fault takes so long.
constexpr std::size_t kIdleTicks = 10; ///< Processor time of a process without work in kQuiet.

} // namespace

CrowdCaller::CrowdCaller(boost::asio::io_context &loop,
                         const boost::asio::ip::tcp::endpoint &router,
                         std::shared_ptr<const Script> script)
    : m_socket(loop), m_router(router), m_script(std::move(script))
{ }

void CrowdCaller::start()
{
    m_socket.async_connect(m_router,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               if (error) {
                                   self->m_isClosed = true;
                                   return;
                               }
                               self->m_piece = self->m_script->start;
                               self->write();
                               if (self->m_script->readsAnswers)
                                   self->read();
                           });
}

void CrowdCaller::write()
{
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_piece),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
            self->m_sent += count;
            const Script &script = *self->m_script;
            if (error) {
                self->m_isClosed = true;
                return;
            }
            if (self->m_step > script.repeats) {
                self->m_isDone = true;
                return;
            }
            self->m_piece.clear();
            if (self->m_step == script.repeats) {
                ++self->m_step;
                self->m_piece = script.end;
            }
            while (self->m_step < script.repeats
                   && (self->m_piece.empty()
                       || (!script.isPiecewise && self->m_piece.size() < kWriteBytes))) {
                self->m_piece += script.unit;
                ++self->m_step;
            }
            self->write();
        });
}

void CrowdCaller::read()
{
    m_socket.async_read_some(
        boost::asio::buffer(m_chunk),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
            if (error) {
                self->m_isClosed = true;
                return;
            }
            if (self->m_received.size() < self->m_chunk.size())
                self->m_received.append(self->m_chunk.data(), count);
            self->read();
        });
}

Crowd::Crowd(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &router,
             std::size_t callers, Script script)
    : m_loop(loop)
{
    const auto shared = std::make_shared<const Script>(std::move(script));
    for (std::size_t index = 0; index < callers; ++index) {
        m_callers.push_back(std::make_shared<CrowdCaller>(loop, router, shared));
        m_callers.back()->start();
    }
}

Crowd::~Crowd() = default;

void Crowd::settle(pid_t process)
{
    const TimePoint begin = now();
    std::uint64_t sentBefore = 0;
    std::size_t ticksBefore = 0;
    while (now() - begin < kLongest && isAlive(process)) {
        loopback::runFor(m_loop, kQuiet);
        const std::uint64_t sentNow = sent();
        const std::size_t ticks = useOf(process).processorTicks;
        if (sentNow == sentBefore && ticks <= ticksBefore + kIdleTicks)
            return;
        sentBefore = sentNow;
        ticksBefore = ticks;
    }
}

std::uint64_t Crowd::sent() const
{
    std::uint64_t sum = 0;
    for (const auto &caller : m_callers)
        sum += caller->sent();
    return sum;
}

std::size_t Crowd::answeredWith(const std::string &text) const
{
    std::size_t count = 0;
    for (const auto &caller : m_callers)
        count += caller->received().rfind(text, 0) == 0 ? 1 : 0;
    return count;
}

std::size_t Crowd::closed() const
{
    std::size_t count = 0;
    for (const auto &caller : m_callers)
        count += caller->isClosed() ? 1 : 0;
    return count;
}

std::string announcedHead(const std::string &target, const std::string &fields, std::size_t length)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a.example\r\n" + fields
        + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string chunkedHead(const std::string &target, const std::string &fields)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a.example\r\n" + fields
        + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunkOf(std::size_t size)
{
    char length[24];
    std::snprintf(length, sizeof length, "%zx\r\n", size);
    return length + std::string(size, 'b') + "\r\n";
}

Script wholeBodies(const std::string &target, const std::string &fields, std::size_t size)
{
    return {announcedHead(target, fields, size) + std::string(size - 1, 'b'), {}, 0, {}};
}

Script bodiesInPieces(const std::string &target, const std::string &fields, std::size_t size)
{
    return {announcedHead(target, fields, size), std::string(kPieceBytes, 'b'),
            (size - 1) / kPieceBytes, std::string((size - 1) % kPieceBytes, 'b'), true};
}

Script largeChunks(const std::string &target, const std::string &fields, std::size_t size)
{
    return {chunkedHead(target, fields), chunkOf(kLargeChunk), size / kLargeChunk, {}};
}

Script oneByteChunks(const std::string &target, const std::string &fields, std::size_t size)
{
    return {chunkedHead(target, fields), chunkOf(1), size, {}};
}

Script announcedBodies(const std::string &target, const std::string &fields, std::size_t size)
{
    return {
        announcedHead(target, fields, size), std::string(kLargeChunk, 'b'), size / kLargeChunk, {}};
}

Script endlessChunks(const std::string &target, const std::string &fields, std::size_t size)
{
    return largeChunks(target, fields, size);
}

Script tinyFields(const std::string &target, const std::string &fields, std::size_t size)
{
    constexpr std::string_view field = "a:\r\n";
    constexpr std::size_t usualHead = 256;
    std::string many;
    while (many.size() + field.size() + fields.size() + usualHead < size)
        many += field;
    return {announcedHead(target, fields + many, 2) + "b", {}, 0, {}};
}

Script unreadAnswers(const std::string &target, const std::string &fields, std::size_t count)
{
    return {{},    "GET " + target + " HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n",
            count, {},
            false, false};
}

} // namespace comfrey::crowd
