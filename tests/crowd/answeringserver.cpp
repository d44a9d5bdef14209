// Sockets of the back end.
#include "answeringserver.h"

#include <array>

namespace comfrey::crowd {

class AnsweringServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(loopback::Socket socket, std::size_t answerBytes, std::shared_ptr<std::size_t> runs)
        : m_socket(std::move(socket)), m_answerBytes(answerBytes), m_runs(std::move(runs))
    { }

    void read()
    {
        m_socket.async_read_some(
            boost::asio::buffer(m_chunk),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t count) {
                if (!error)
                    self->onBytes(count);
            });
    }

private:
    void onBytes(std::size_t count)
    {
        constexpr std::uint32_t headerBytes = 1 << 20;
        constexpr std::uint64_t bodyBytes = 1 << 30;
        m_unparsed.append(m_chunk.data(), count);
        if (!m_parser)
            m_parser.emplace(headerBytes, bodyBytes);
        m_unparsed.erase(0, m_parser->feed(m_unparsed));
        if (m_parser->isComplete())
            answer();
        else
            read();
    }

    void answer()
    {
        ++*m_runs;
        const HttpHead &head = m_parser->head();
        if (head.target.rfind("/again/hold", 0) == 0) {
            read(); // Sees the other side's end.
            return;
        }
        const std::string body = head.target.rfind("/again/large", 0) == 0
            ? std::string(m_answerBytes, 'a')
            : std::to_string(m_parser->body().size());
        m_answer = "HTTP/1.1 200 X\r\nX-Request-Id: " + std::string(head.valueOf("X-Request-Id"))
            + "\r\nX-Response-Signature: s\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        m_parser.reset();
        boost::asio::async_write(
            m_socket, boost::asio::buffer(m_answer),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (!error)
                    self->read();
            });
    }

    loopback::Socket m_socket;
    std::size_t m_answerBytes;
    std::shared_ptr<std::size_t> m_runs;
    std::array<char, 65536> m_chunk{};
    std::string m_unparsed;
    std::string m_answer;
    std::optional<RequestParser> m_parser;
};

AnsweringServer::AnsweringServer(boost::asio::io_context &loop, std::size_t answerBytes)
    : m_acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}), m_answerBytes(answerBytes)
{
    accept();
}

std::string AnsweringServer::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void AnsweringServer::accept()
{
    m_acceptor.async_accept(
        [this](const boost::system::error_code &error, loopback::Socket socket) {
            if (error)
                return;
            std::make_shared<Connection>(std::move(socket), m_answerBytes, m_runs)->read();
            accept();
        });
}

} // namespace comfrey::crowd
