// What this process holds of answers that nobody can be given yet, and whose answers are given up
// when that is too much. No I/O and no clock.
#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <string>

namespace comfrey {

class AnswerAccount;

/// What one connection holds of a backend server's answer.
class AnswerShare
{
public:
    AnswerShare() = default;
    virtual ~AnswerShare();
    AnswerShare(const AnswerShare &) = delete;
    AnswerShare &operator=(const AnswerShare &) = delete;

    /// The answer is given up; nothing of it is held any longer.
    virtual void giveWay() = 0;

protected:
    /// Null: nothing is counted. `server` is the same for all connections to one server; empty for
    /// answers that are counted and never given up.
    void join(AnswerAccount *account, std::string server);
    void hold(std::size_t bytes);

private:
    friend class AnswerAccount;

    AnswerAccount *m_account = nullptr;
    std::string m_server;
    std::size_t m_held = 0;
    std::list<AnswerShare *>::iterator
        m_position; ///< Valid if it holds something and has a server.
};

class AnswerAccount
{
public:
    /// `limit` in bytes.
    explicit AnswerAccount(std::size_t limit) : m_limit(limit) { }

    std::size_t held() const { return m_held; }
    std::size_t limit() const { return m_limit; }
    /// True while answers must be given up. Those without a server do not count here: others must
    /// not pay for them.
    bool isOver() const { return m_yielding > m_limit; }
    /// True while little may be held of each answer, and answers are given up before callers are
    /// refused for lack of memory.
    bool isTight() const { return m_yielding > m_limit / 2; }
    /// The largest share of the server that holds the most: servers with sound answers hold little,
    /// since these end. Null if there is none that may be given up.
    AnswerShare *victim() const;

private:
    friend class AnswerShare;

    struct Server
    {
        std::size_t held = 0;            ///< Sum over `shares`; never 0.
        std::list<AnswerShare *> shares; ///< Those that hold something.
    };

    std::size_t m_limit;
    std::size_t m_held = 0;     ///< Sum over all shares, those without a server included.
    std::size_t m_yielding = 0; ///< Sum over `m_servers`: what may be given up.
    std::map<std::string, Server> m_servers;
};

} // namespace comfrey
