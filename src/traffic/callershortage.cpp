// What a caller's connection tells the account of memory and sockets, and how it gives way.
#include <algorithm>

#include "traffic/callerconnection.h"

namespace comfrey {

namespace {

constexpr std::size_t kMaxPipelinedBytes = 65536;       ///< Read ahead of the present request.
constexpr std::size_t kMaxPipelinedBytesIfTight = 4096; ///< As above, while memory is short.
constexpr unsigned kServiceUnavailable = 503;

} // namespace

void CallerConnection::refuseForShortage(Shortage shortage)
{
    refuse(kServiceUnavailable,
           shortage == Shortage::Memory ? "no memory is left for this request"
                                        : "no descriptor is left for this request");
}

void CallerConnection::giveWay(Shortage shortage)
{
    const auto self = shared_from_this();
    if (m_state == State::Reading && m_writer.backlog() == 0) {
        refuseForShortage(shortage);
        // Its socket is what is needed; the refusal is on its way.
        if (shortage == Shortage::Sockets)
            close();
        return;
    }
    if (m_state != State::Closing || m_writer.backlog() > 0)
        m_handler.onCallerClosed(shortage);
    if (m_writer.backlog() > 0)
        abort();
    else
        close();
}

bool CallerConnection::makeRoom()
{
    CallerAccount *const all = account();
    while (all && all->isOver(*this)) {
        AnswerShare *const answer = all->answers().isTight() ? all->answers().victim() : nullptr;
        if (answer) {
            answer->giveWay();
            continue;
        }
        CallerShare *const other = all->victim(Shortage::Memory, this, m_now);
        if (!other) {
            refuseForShortage(Shortage::Memory);
            return false;
        }
        other->giveWay(Shortage::Memory);
    }
    return true;
}

bool CallerConnection::makeRoomForSending()
{
    CallerAccount *const all = account();
    while (all && all->lacksSocket()) {
        if (m_handler.closeKeptServer())
            continue;
        CallerShare *const other = all->victim(Shortage::Sockets, this, m_now);
        if (!other) {
            refuseForShortage(Shortage::Sockets);
            return false;
        }
        other->giveWay(Shortage::Sockets);
    }
    return true;
}

void CallerConnection::count()
{
    if (!account())
        return;
    const bool isRunning = m_state == State::Busy;
    hold(HeldKind::Head, m_headBytes + m_unparsed.capacity());
    hold(HeldKind::ArrivingBody, m_parser ? m_parser->body().size() : 0);
    hold(HeldKind::RunningBody, m_bodyBytes);
    const std::size_t answer = m_writer.backlog() + m_answerBytes;
    hold(HeldKind::Answer, isRunning ? std::max(answer, CallerAccount::kAnswerReserve) : answer);
    setStage(stage(), m_now);
}

CallerStage CallerConnection::stage() const
{
    switch (m_state) {
    case State::Idle:
        return m_writer.backlog() > 0 ? CallerStage::Unread : CallerStage::Idle;
    case State::Reading:
        // A close would cut the previous answer.
        return m_writer.backlog() > 0 ? CallerStage::Unread : CallerStage::Arriving;
    case State::Busy:
        return CallerStage::Running;
    case State::Closing:
        return m_writer.backlog() > 0 ? CallerStage::Unread : CallerStage::Closing;
    }
    return CallerStage::Running;
}

void CallerConnection::setState(State state)
{
    m_state = state;
    setStage(stage(), m_now);
}

void CallerConnection::holdAnswer(std::size_t bytes)
{
    m_answerBytes = bytes;
    count();
}

std::size_t CallerConnection::mostPipelinedBytes() const
{
    return isMemoryTight() ? kMaxPipelinedBytesIfTight : kMaxPipelinedBytes;
}

} // namespace comfrey
