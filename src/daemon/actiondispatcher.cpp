// Carries out the facade's actions.
#include "daemon/actiondispatcher.h"

#include <type_traits>
#include <utility>

#include <glog/logging.h>

namespace comfrey {

namespace {

template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

ActionDispatcher::ActionDispatcher(TrafficLoop &loop, ExchangeTable &exchanges,
                                   std::function<void()> onStopped)
    : m_loop(loop), m_exchanges(exchanges), m_onStopped(std::move(onStopped))
{ }

void ActionDispatcher::connect(BackendClient &backends, PlatformClient &platform, PeerLink &peers)
{
    m_backends = &backends;
    m_platform = &platform;
    m_peers = &peers;
}

void ActionDispatcher::run(Action action)
{
    std::visit(Overloaded{
                   [this](SendToBackend &order) { m_backends->send(order); },
                   [this](CancelAttempt &order) { m_backends->cancel(order.attempt); },
                   [this](AnswerCaller &order) { answer(order); },
                   [this](ProbeBackend &order) { m_backends->probe(order); },
                   [this](ReadInstanceList &) { m_platform->readInstances(); },
                   [this](ReadLog &order) { m_platform->read(order); },
                   [this](AppendToLog &order) { m_platform->append(order); },
                   [this](SendToRouter &order) { m_peers->send(order); },
                   [this](GiveOrder &order) { m_backends->give(order); },
                   [this](FetchWeights &order) { m_platform->fetchWeights(order); },
                   [](WriteLogLine &line) { writeLogLine(line); },
                   [this](Stopped &) { m_onStopped(); },
               },
               action);
}

void ActionDispatcher::answer(const AnswerCaller &action)
{
    m_loop.post([this, action] {
        if (const std::shared_ptr<Exchange> exchange = m_exchanges.find(action.request))
            exchange->end(action);
    });
}

void ActionDispatcher::writeLogLine(const WriteLogLine &line)
{
    switch (line.severity) {
    case Severity::Info:
        LOG(INFO) << "event=" << line.event << ' ' << line.fields;
        return;
    case Severity::Warning:
        LOG(WARNING) << "event=" << line.event << ' ' << line.fields;
        return;
    case Severity::Error:
        LOG(ERROR) << "event=" << line.event << ' ' << line.fields;
        return;
    }
}

} // namespace comfrey
