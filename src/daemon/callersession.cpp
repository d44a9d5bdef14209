// The caller's side of one request.
#include "daemon/callersession.h"

#include <utility>

namespace comfrey {

namespace {

constexpr std::size_t kMaxCallerBacklog = std::size_t{128} * 1024; ///< Beyond it, engines wait.
/// Without tokens for so long, a comment shows whether the caller is still there: one that only
/// closed its sending side looks the same as one that has left until something is written.
constexpr Duration kLivenessInterval = milliseconds(200);

} // namespace

CallerSession::CallerSession(SessionOwner &owner, std::shared_ptr<CallerConnection> caller,
                             std::shared_ptr<Exchange> exchange)
    : m_owner(owner), m_caller(std::move(caller)), m_exchange(std::move(exchange))
{
    m_caller->watch(this);
    m_exchange->listen(this);
}

CallerSession::~CallerSession()
{
    m_exchange->listen(nullptr);
}

void CallerSession::onCallerGone()
{
    m_owner.onSessionEnded(*this, true);
}

void CallerSession::respond(CallerResponse response)
{
    m_caller->respond(response.status, std::move(response.fields), response.body);
    end();
}

void CallerSession::checkBacklog()
{
    if (m_caller->backlog() > kMaxCallerBacklog)
        m_exchange->setBacklogged(true);
}

void StreamSession::begin()
{
    if (caller().hasStarted())
        return;
    HttpHead head;
    head.status = 200;
    head.fields = outcomeFields(exchange().request(), Outcome::Answered);
    head.add("Content-Type", "text/event-stream");
    caller().startResponse(head);
}

void StreamSession::onToken(const std::string &text)
{
    begin();
    caller().writeBody(tokenEvent(exchange(), text));
    m_wrote = true;
    checkBacklog();
}

void StreamSession::onEnd(const AnswerCaller &answer)
{
    const bool isAnswered = answer.outcome == Outcome::Answered;
    if (!isAnswered && !caller().hasStarted()) {
        respond(errorResponse(exchange().request(), answer));
        return;
    }
    begin();
    caller().writeBody(isAnswered ? lastEvents(exchange(), exchange().summaryOf(answer.attempt))
                                  : errorEvent(exchange().request(), answer));
    caller().finishResponse();
    end();
}

void StreamSession::sweep(TimePoint now)
{
    if (!caller().hasStarted())
        return;
    if (std::exchange(m_wrote, false)) {
        m_writtenAt = now;
        return;
    }
    if (now - m_writtenAt < kLivenessInterval || caller().backlog() > 0)
        return;
    m_writtenAt = now;
    caller().writeBody(": waiting\n\n");
}

void WholeChatSession::onEnd(const AnswerCaller &answer)
{
    if (answer.outcome != Outcome::Answered) {
        respond(errorResponse(exchange().request(), answer));
        return;
    }
    CallerResponse response =
        jsonResponse(200, wholeChat(exchange(), m_text, exchange().summaryOf(answer.attempt)));
    for (HttpField &field : outcomeFields(exchange().request(), Outcome::Answered))
        response.fields.push_back(std::move(field));
    respond(std::move(response));
}

void ServiceSession::onEnd(const AnswerCaller &answer)
{
    if (answer.outcome != Outcome::Answered) {
        respond(errorResponse(exchange().request(), answer));
        return;
    }
    CallerResponse response;
    response.fields = outcomeFields(exchange().request(), Outcome::Answered);
    if (answer.status != 0) {
        response.status = static_cast<unsigned>(answer.status);
        response.fields.push_back({"Content-Type", answer.contentType});
        response.body = answer.body;
    } else {
        AttemptSummary summary = exchange().summaryOf(answer.attempt);
        response.status = static_cast<unsigned>(summary.status);
        response.fields.push_back({"Content-Type", std::move(summary.contentType)});
        response.body = std::move(summary.body);
    }
    respond(std::move(response));
}

} // namespace comfrey
