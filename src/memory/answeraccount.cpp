// Sums by server that each change of one connection updates.
#include "memory/answeraccount.h"

#include <algorithm>
#include <utility>

namespace comfrey {

AnswerShare::~AnswerShare()
{
    hold(0);
}

void AnswerShare::join(AnswerAccount *account, std::string server)
{
    hold(0);
    m_account = account;
    m_server = std::move(server);
}

void AnswerShare::hold(std::size_t bytes)
{
    if (!m_account || bytes == m_held)
        return;
    const std::size_t before = std::exchange(m_held, bytes);
    m_account->m_held = m_account->m_held - before + bytes;
    if (m_server.empty())
        return;
    const auto found = m_account->m_servers.try_emplace(m_server).first;
    AnswerAccount::Server &server = found->second;
    m_account->m_yielding = m_account->m_yielding - before + bytes;
    server.held = server.held - before + bytes;
    if (before == 0)
        m_position = server.shares.insert(server.shares.end(), this);
    if (bytes == 0)
        server.shares.erase(m_position);
    if (server.shares.empty())
        m_account->m_servers.erase(found);
}

AnswerShare *AnswerAccount::victim() const
{
    const auto most = std::max_element(
        m_servers.begin(), m_servers.end(),
        [](const auto &one, const auto &other) { return one.second.held < other.second.held; });
    if (most == m_servers.end())
        return nullptr;
    const std::list<AnswerShare *> &shares = most->second.shares;
    return *std::max_element(shares.begin(), shares.end(),
                             [](const AnswerShare *one, const AnswerShare *other) {
                                 return one->m_held < other->m_held;
                             });
}

} // namespace comfrey
