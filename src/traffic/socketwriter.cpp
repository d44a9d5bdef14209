// One system call for the usual small write; asynchronous only when the socket is full.
#include "traffic/socketwriter.h"

#include <boost/asio/buffer.hpp>

namespace comfrey {

std::size_t SocketWriter::writeSome(Socket &socket, std::string_view bytes)
{
    boost::system::error_code error;
    const std::size_t written =
        socket.write_some(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    m_broken = error && error != boost::asio::error::would_block;
    return m_broken ? bytes.size() : written;
}

void SocketWriter::write(Socket &socket, std::string_view bytes, const std::shared_ptr<void> &owner)
{
    if (m_broken || bytes.empty())
        return;
    if (backlog() > 0) {
        m_waiting.append(bytes);
        return;
    }
    const std::size_t written = writeSome(socket, bytes);
    if (written < bytes.size()) {
        m_waiting.append(bytes.substr(written));
        sendWaiting(socket, owner);
    }
}

void SocketWriter::write(Socket &socket, const std::shared_ptr<const std::string> &bytes,
                         const std::shared_ptr<void> &owner)
{
    if (m_broken || backlog() > 0) {
        write(socket, std::string_view(*bytes), owner);
        return;
    }
    const std::size_t written = writeSome(socket, *bytes);
    if (written < bytes->size()) {
        m_sending = bytes;
        m_sent = written;
        sendRest(socket, owner);
    }
}

void SocketWriter::sendWaiting(Socket &socket, const std::shared_ptr<void> &owner)
{
    m_sending = std::make_shared<const std::string>(std::exchange(m_waiting, {}));
    m_sent = 0;
    sendRest(socket, owner);
}

void SocketWriter::sendRest(Socket &socket, const std::shared_ptr<void> &owner)
{
    socket.async_write_some(
        boost::asio::const_buffer(m_sending->data() + m_sent, m_sending->size() - m_sent),
        [this, &socket, owner](const boost::system::error_code &error, std::size_t count) {
            m_sent += count;
            ++m_progress;
            m_broken = m_broken || error;
            if (!m_broken && m_sent < m_sending->size()) {
                sendRest(socket, owner);
                return;
            }
            m_sending = nullptr;
            if (!m_broken && !m_waiting.empty()) {
                sendWaiting(socket, owner);
                return;
            }
            if (m_drained)
                m_drained(!m_broken);
        });
}

} // namespace comfrey
