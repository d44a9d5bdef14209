// The facade: hands events to the parts in order, packs their messages, and counts bytes by kind.
#include "comfrey/router.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "calls/callpart.h"
#include "chat/chatpart.h"
#include "config/configpart.h"
#include "facade/messagecounters.h"
#include "facade/part.h"
#include "membership/membershippart.h"
#include "orders/orderpart.h"
#include "wire/envelope.h"

namespace comfrey {

class Router::Impl
{
public:
    Impl(const Settings &settings, Incarnation incarnation, std::uint64_t seed);

    void handle(const Event &event, TimePoint now, std::vector<Action> &out);
    TimePoint nextWakeUp() const;
    bool isReady() const;
    std::string dump(TimePoint now) const;
    std::vector<ModelId> modelsFor(const ApiKeyHash &key) const;

private:
    PartContext context();
    void deliver(const PeerMessage &message, TimePoint now, Outbox &outbox);
    void flush(Outbox &outbox, std::vector<Action> &out);
    void noteSends(const std::vector<Action> &out, std::size_t first);
    void refuseWhileStopping(const RequestArrived &arrived, std::vector<Action> &out) const;
    void reportStopped(std::vector<Action> &out);

    Settings m_settings;
    Incarnation m_incarnation;
    IdSource m_ids;
    Random m_random;
    MembershipPart m_membership;
    ConfigPart m_config;
    ChatPart m_chats;
    CallPart m_calls;
    OrderPart m_orders;
    std::array<Part *, 5> m_parts; ///< In the order in which they see an event.
    MessageCounters m_counters;
    bool m_stopping = false;
    bool m_stopped = false; ///< Stopped was given out; it is given once.
};

Router::Impl::Impl(const Settings &settings, Incarnation incarnation, std::uint64_t seed)
    : m_settings(settings), m_incarnation(incarnation), m_random(seed), m_membership(context()),
      m_config(context()), m_chats(context()), m_calls(context()),
      m_orders(context()), m_parts{&m_membership, &m_config, &m_chats, &m_calls, &m_orders}
{ }

PartContext Router::Impl::context()
{
    return {m_settings, m_incarnation, m_membership, m_config, m_ids, m_random};
}

void Router::Impl::handle(const Event &event, TimePoint now, std::vector<Action> &out)
{
    if (const auto *arrived = std::get_if<RequestArrived>(&event); arrived != nullptr && m_stopping)
        return refuseWhileStopping(*arrived, out);
    if (std::holds_alternative<StopRequested>(event))
        m_stopping = true;
    const std::size_t first = out.size();
    Outbox outbox(out);
    if (const auto *message = std::get_if<PeerMessage>(&event)) {
        deliver(*message, now, outbox);
    } else {
        for (Part *part : m_parts)
            part->onEvent(event, now, outbox);
    }
    flush(outbox, out);
    noteSends(out, first);
    reportStopped(out);
}

void Router::Impl::noteSends(const std::vector<Action> &out, std::size_t first)
{
    for (std::size_t i = first; i < out.size(); ++i) {
        if (const auto *sent = std::get_if<SendToBackend>(&out[i]))
            m_membership.noteSent(*sent);
    }
}

void Router::Impl::deliver(const PeerMessage &message, TimePoint now, Outbox &outbox)
{
    const Result<wire::EnvelopeT> envelope = decodeEnvelope(message.payload);
    if (!envelope) {
        m_counters.countMalformed();
        return;
    }
    const RouterId sender(envelope->sender);
    for (const auto &item : envelope->messages) {
        if (item == nullptr || item->body.value == nullptr)
            continue;
        m_counters.countReceived(*item);
        for (Part *part : m_parts)
            part->onMessage(sender, *item, now, outbox);
    }
}

void Router::Impl::flush(Outbox &outbox, std::vector<Action> &out)
{
    for (auto &[to, messages] : outbox.takeMessages()) {
        const Endpoint address = m_membership.peerAddress(to);
        if (address.isEmpty())
            continue;
        wire::EnvelopeT envelope;
        envelope.sender = m_settings.router.id;
        envelope.incarnation = m_incarnation.value();
        envelope.messages = std::move(messages);
        Bytes payload = encodeEnvelope(envelope);
        m_counters.countSent(envelope, payload.size());
        out.emplace_back(SendToRouter{to, address, std::move(payload)});
    }
}

void Router::Impl::refuseWhileStopping(const RequestArrived &arrived,
                                       std::vector<Action> &out) const
{
    AnswerCaller answer;
    answer.request = arrived.request;
    answer.outcome = Outcome::NotRun;
    answer.error = CallerError::Stopping;
    answer.text = "router \"" + m_settings.router.id + "\" is stopping";
    answer.retryAfter = milliseconds(100);
    out.emplace_back(std::move(answer));
}

void Router::Impl::reportStopped(std::vector<Action> &out)
{
    if (!m_stopping || m_stopped)
        return;
    const bool idle = std::all_of(m_parts.begin(), m_parts.end(),
                                  [](const Part *part) { return part->isIdle(); });
    if (!idle)
        return;
    m_stopped = true;
    out.emplace_back(Stopped{});
}

TimePoint Router::Impl::nextWakeUp() const
{
    TimePoint next = kNever;
    for (const Part *part : m_parts)
        next = std::min(next, part->nextWakeUp());
    return next;
}

bool Router::Impl::isReady() const
{
    return !m_stopping && m_config.isLoaded() && !m_membership.backends().empty();
}

std::string Router::Impl::dump(TimePoint now) const
{
    nlohmann::json all;
    all["router"] = m_settings.router.id;
    all["zone"] = m_settings.router.zone;
    all["incarnation"] = m_incarnation.value();
    all["ready"] = isReady();
    all["stopping"] = m_stopping;
    for (const Part *part : m_parts)
        part->dump(all[part->name()], now);
    all["messages"] = m_counters.toJson();
    return all.dump();
}

std::vector<ModelId> Router::Impl::modelsFor(const ApiKeyHash &key) const
{
    const PlanEntry *customer = m_config.customerOf(key);
    if (customer == nullptr)
        return {};
    const auto entry = m_config.lists().entitlements.find(customer->plan);
    if (entry == m_config.lists().entitlements.end())
        return {};
    std::vector<ModelId> models;
    for (const ModelId &model : entry->second.models) {
        const auto serves = [&model](const BackendView &backend) {
            return std::find(backend.models.begin(), backend.models.end(), model)
                != backend.models.end();
        };
        const auto &backends = m_membership.backends();
        if (std::any_of(backends.begin(), backends.end(), serves))
            models.push_back(model);
    }
    return models;
}

Router::Router(const Settings &settings, Incarnation incarnation, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>(settings, incarnation, seed))
{ }

Router::~Router() = default;

void Router::handle(const Event &event, TimePoint now, std::vector<Action> &out)
{
    m_impl->handle(event, now, out);
}

TimePoint Router::nextWakeUp() const
{
    return m_impl->nextWakeUp();
}

bool Router::isReady() const
{
    return m_impl->isReady();
}

std::string Router::dump(TimePoint now) const
{
    return m_impl->dump(now);
}

std::vector<ModelId> Router::modelsFor(const ApiKeyHash &key) const
{
    return m_impl->modelsFor(key);
}

} // namespace comfrey
