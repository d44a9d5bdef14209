// One sending of a call to a replica of a plain service.
#include "daemon/servicesender.h"

namespace comfrey {

namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{16} << 20; // held whole, four times a request

} // namespace

std::vector<HttpField> ServiceSender::fields() const
{
    const IdempotencyKey &key = exchange().detail().idempotencyKey;
    if (key.isEmpty())
        return {};
    return {{"Idempotency-Key", key.value()}};
}

bool ServiceSender::takeHead(const HttpHead &head)
{
    m_hasHead = true;
    m_answer.status = static_cast<int>(head.status);
    m_answer.contentType = head.valueOf("Content-Type");
    m_isOwn = head.valueOf("X-Request-Id") == order().request.value();
    m_notStarted = head.count("X-Not-Started") > 0;
    m_leaving = head.count("X-Leaving") > 0;
    return m_isOwn;
}

bool ServiceSender::takeBytes(std::string_view bytes)
{
    if (m_answer.body.size() + bytes.size() > kMaxAnswerBytes)
        return false;
    m_answer.body += bytes;
    return true;
}

std::size_t ServiceSender::heldBytes() const
{
    return m_answer.body.size();
}

void ServiceSender::describeEnd(Cause cause, AttemptEnded &ended)
{
    ended.how = endOf(cause);
    ended.backendLeaving = m_leaving;
    if (cause != Cause::Whole)
        return;
    ended.status = m_answer.status;
    ended.body = m_answer.body;
    ended.contentType = m_answer.contentType;
    if (ended.how == AttemptEnd::Completed)
        exchange().finish(order().attempt, std::move(m_answer));
}

AttemptEnd ServiceSender::endOf(Cause cause) const
{
    if (cause == Cause::NotConnected)
        return AttemptEnd::NotConnected;
    if (cause == Cause::Cancelled)
        return AttemptEnd::Cancelled;
    if (m_hasHead && !m_isOwn)
        return AttemptEnd::ForeignAnswer;
    if (cause != Cause::Whole)
        return AttemptEnd::BrokenBeforeAnswer;
    return m_answer.status == 503 && m_notStarted ? AttemptEnd::RefusedUnstarted
                                                  : AttemptEnd::Completed;
}

} // namespace comfrey
