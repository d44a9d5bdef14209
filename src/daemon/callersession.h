// The caller's side of one request: writes what its exchange delivers to the caller's connection.
// What kinds of answers do differently, their sessions override.
#pragma once

#include <memory>
#include <string>

#include "daemon/calleranswer.h"
#include "daemon/exchange.h"
#include "traffic/callerconnection.h"

namespace comfrey {

class CallerSession;

/// Hears of the end of a session; it must let go of the session then, and may not use it again.
class SessionOwner
{
public:
    virtual ~SessionOwner() = default;
    /// `left`: the caller went before its answer was whole.
    virtual void onSessionEnded(CallerSession &session, bool left) = 0;
};

class CallerSession : public CallerWatcher, public ExchangeListener
{
public:
    CallerSession(SessionOwner &owner, std::shared_ptr<CallerConnection> caller,
                  std::shared_ptr<Exchange> exchange);
    ~CallerSession() override;

    const Exchange &exchange() const { return *m_exchange; }
    /// Called a few times a second.
    virtual void sweep(TimePoint now) { (void)now; }

    void onCallerGone() override;
    void onCallerDrained() override { m_exchange->setBacklogged(false); }

protected:
    CallerConnection &caller() { return *m_caller; }
    void respond(CallerResponse response);
    /// After the last byte of the answer.
    void end() { m_owner.onSessionEnded(*this, false); }
    /// The caller reads too slowly for more to be held for it.
    void checkBacklog();

private:
    SessionOwner &m_owner;
    std::shared_ptr<CallerConnection> m_caller;
    std::shared_ptr<Exchange> m_exchange;
};

/// A chat whose tokens go out as they come.
class StreamSession : public CallerSession
{
public:
    using CallerSession::CallerSession;

    void sweep(TimePoint now) override;
    void onToken(const std::string &text) override;
    void onEnd(const AnswerCaller &answer) override;

private:
    void begin();

    TimePoint m_writtenAt = TimePoint::min(); ///< Of the sweep after the last write.
    bool m_wrote = false;                     ///< Since the last sweep.
};

/// A chat that is answered in one piece.
class WholeChatSession : public CallerSession
{
public:
    using CallerSession::CallerSession;

    void onToken(const std::string &text) override { m_text += text; }
    std::size_t heldBytes() const override { return m_text.size(); }
    void onEnd(const AnswerCaller &answer) override;

private:
    std::string m_text;
};

/// A call to a plain service.
class ServiceSession : public CallerSession
{
public:
    using CallerSession::CallerSession;

    void onToken(const std::string &) override { }
    void onEnd(const AnswerCaller &answer) override;
};

} // namespace comfrey
