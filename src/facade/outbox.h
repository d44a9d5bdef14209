// Collects what the parts decide during one event. Messages for one router leave in one envelope.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "comfrey/actions.h"
#include "generated/messages.generated.h"

namespace comfrey {

class Outbox
{
public:
    explicit Outbox(std::vector<Action> &actions) : m_actions(actions) { }

    void push(Action action) { m_actions.push_back(std::move(action)); }

    /// Queues a message; Body is one of the object types of the union wire::Body.
    template<typename Body>
    void send(const RouterId &to, Body body)
    {
        auto message = std::make_unique<wire::MessageT>();
        message->body.Set(std::move(body));
        m_messages[to].push_back(std::move(message));
    }

    using MessageList = std::vector<std::unique_ptr<wire::MessageT>>;
    std::map<RouterId, MessageList> takeMessages() { return std::exchange(m_messages, {}); }

private:
    std::vector<Action> &m_actions;
    std::map<RouterId, MessageList> m_messages;
};

} // namespace comfrey
