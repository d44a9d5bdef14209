// One system call for the usual small write; asynchronous only when the socket is full.
#include "traffic/socketwriter.h"

#include <boost/asio/write.hpp>

namespace comfrey {

void SocketWriter::write(Socket &socket, std::string_view bytes, const std::shared_ptr<void> &owner)
{
    if (m_broken || bytes.empty())
        return;
    if (backlog() > 0) {
        m_waiting.append(bytes);
        return;
    }
    boost::system::error_code error;
    const std::size_t written =
        socket.write_some(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    if (error && error != boost::asio::error::would_block) {
        m_broken = true;
        return;
    }
    if (written < bytes.size()) {
        m_waiting.append(bytes.substr(written));
        sendWaiting(socket, owner);
    }
}

void SocketWriter::sendWaiting(Socket &socket, const std::shared_ptr<void> &owner)
{
    m_sending.swap(m_waiting);
    boost::asio::async_write(
        socket, boost::asio::buffer(m_sending),
        [this, &socket, owner](const boost::system::error_code &error, std::size_t) {
            m_sending = std::string();
            ++m_progress;
            m_broken = m_broken || error;
            if (!m_broken && !m_waiting.empty()) {
                sendWaiting(socket, owner);
                return;
            }
            if (m_drained)
                m_drained(!m_broken);
        });
}

} // namespace comfrey
